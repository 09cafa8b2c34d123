package admission

import (
	"slices"
	"time"

	"anvilcross/kernel/ident"
)

const (
	// relievedAfter is how long no request must have been held or refused until a pool no
	// longer counts as contended.
	relievedAfter = 2 * time.Second
	// namedWorkspaces is how many workspaces are named for a contended pool.
	namedWorkspaces = 3
)

// Contention is a change of a pool between enough and too little capacity.
type Contention struct {
	Pool      ident.Pool
	Contended bool
	Wait      time.Duration
	// PiecesPerSecond is the capacity reckoned with.
	PiecesPerSecond float64
	// Largest holds the workspaces that had most lately.
	Largest []Share
}

func (c *Controller) noteContended(now time.Time, d Decision) {
	if _, known := c.contended[d.Short]; !known {
		c.changes = append(c.changes, c.contention(now, d.Short, true, d.Wait))
	}
	c.contended[d.Short] = now
}

func (c *Controller) noteRelieved(now time.Time) {
	for pool, at := range c.contended {
		if now.Sub(at) >= relievedAfter {
			delete(c.contended, pool)
			c.changes = append(c.changes, c.contention(now, pool, false, 0))
		}
	}
}

func (c *Controller) contention(now time.Time, pool ident.Pool, contended bool, wait time.Duration) Contention {
	return Contention{Pool: pool, Contended: contended, Wait: wait, PiecesPerSecond: c.account(now, pool).capacity, Largest: largestShares(now, c.shares, namedWorkspaces)}
}

// TakeChanges returns the pools that have become contended or are no longer, since the last
// call.
func (c *Controller) TakeChanges(now time.Time) []Contention {
	c.noteRelieved(now)
	changes := c.changes
	c.changes = nil
	slices.SortFunc(changes, func(x, y Contention) int { return x.Pool.Compare(y.Pool) })
	return changes
}
