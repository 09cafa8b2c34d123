package ratelimit

import (
	"time"

	"anvilcross/kernel/ident"
)

const (
	// ThrottleWindow is the time over which requests are counted to estimate how many of
	// them the rate limits of a service admit.
	ThrottleWindow = 4 * time.Second
	// throttleMargin is the ratio of requests that are admitted to those that were served
	// in the window before: limits may have risen since.
	throttleMargin = 1.3
)

// throttleCount counts the requests to a service in one window.
type throttleCount struct {
	window   int64
	arrived  int
	admitted int
}

// Throttle tells how large a share of the requests to a service its rate limits admit: that
// which was sent to an endpoint in the window before.
type Throttle struct {
	current, before map[ident.Service]throttleCount
}

// NewThrottle returns a throttle that has seen no requests.
func NewThrottle() *Throttle {
	return &Throttle{current: map[ident.Service]throttleCount{}, before: map[ident.Service]throttleCount{}}
}

// count returns the count of the present window, and moves the one before aside.
func (t *Throttle) count(now time.Time, s ident.Service) throttleCount {
	window := now.UnixNano() / int64(ThrottleWindow)
	c := t.current[s]
	if c.window != window {
		t.before[s] = c
		c = throttleCount{window: window}
	}
	return c
}

// RecordArrival counts a request.
func (t *Throttle) RecordArrival(now time.Time, s ident.Service) {
	c := t.count(now, s)
	c.arrived++
	t.current[s] = c
}

// RecordAdmission counts a request that is sent to an endpoint.
func (t *Throttle) RecordAdmission(now time.Time, s ident.Service) {
	c := t.count(now, s)
	c.admitted++
	t.current[s] = c
}

// AdmittedShare returns the share of requests to admit, from the window before; 1 if that
// had none.
func (t *Throttle) AdmittedShare(now time.Time, s ident.Service) float64 {
	c := t.count(now, s)
	before := t.before[s]
	if before.window != c.window-1 || before.arrived == 0 {
		return 1
	}
	return throttleMargin * float64(before.admitted) / float64(before.arrived)
}
