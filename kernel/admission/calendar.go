package admission

import (
	"math"
	"time"
)

const (
	// MinRetryAfter is the shortest Retry-After of a refused request: about the time of one
	// call.
	MinRetryAfter = 300 * time.Millisecond
	// unplacedSpread is the part of their time over which callers are spread that cannot wait
	// for a free place. It is small: the later they come, the likelier the burst is over.
	unplacedSpread = 0.1
	// goldenRatio is the step between the places of callers that cannot wait for a free one.
	// Its multiples modulo 1 are evenly distributed for any number of callers.
	goldenRatio = 0.618034
)

// calendar gives each refused caller a time at which to come back. Callers come back one after
// the other, at a rate that the capacity sustains.
type calendar struct {
	nextFree time.Time
	// unplaced counts callers whose time is too short for the next free place.
	unplaced int
}

// place returns the Retry-After of a request that takes the given time of the capacity that is
// spare for callers that come back. drained is the time until the present backlog is gone, and left the time until the caller
// gives up, of which at most a third is used, so that a second try can still be served.
func (c *calendar) place(now time.Time, cost, drained, left time.Duration) time.Duration {
	latest := max(left/3, MinRetryAfter)
	at := now.Add(max(drained, MinRetryAfter))
	if c.nextFree.After(at) {
		at = c.nextFree
	}
	if wait := at.Sub(now); wait <= latest {
		c.nextFree = at.Add(cost)
		return wait
	}
	c.unplaced++
	_, fraction := math.Modf(goldenRatio * float64(c.unplaced))
	return max(time.Duration((1-unplacedSpread*fraction)*float64(latest)), MinRetryAfter)
}
