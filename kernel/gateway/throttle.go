package gateway

import (
	"time"

	"anvilcross/kernel/ident"
)

const (
	// throttleWindow is the time over which requests are counted to estimate how many of
	// them the rate limits of a service admit.
	throttleWindow = 4 * time.Second
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

// throttle refuses requests before their stages run if the rate limits of all endpoints of
// their service leave no room for them afterwards. It admits as large a share of them as
// was sent to an endpoint in the window before.
type throttle struct {
	current, before map[ident.Service]throttleCount
}

func newThrottle() *throttle {
	return &throttle{current: map[ident.Service]throttleCount{}, before: map[ident.Service]throttleCount{}}
}

// count returns the count of the present window, and moves the one before aside.
func (t *throttle) count(now time.Time, s ident.Service) throttleCount {
	window := now.UnixNano() / int64(throttleWindow)
	c := t.current[s]
	if c.window != window {
		t.before[s] = c
		c = throttleCount{window: window}
	}
	return c
}

// recordArrival counts a request, recordAdmission one that is sent to an endpoint.
func (t *throttle) recordArrival(now time.Time, s ident.Service) {
	c := t.count(now, s)
	c.arrived++
	t.current[s] = c
}

func (t *throttle) recordAdmission(now time.Time, s ident.Service) {
	c := t.count(now, s)
	c.admitted++
	t.current[s] = c
}

// admittedShare returns the share of requests to admit, from the window before; 1 if that
// had none.
func (t *throttle) admittedShare(now time.Time, s ident.Service) float64 {
	c := t.count(now, s)
	before := t.before[s]
	if before.window != c.window-1 || before.arrived == 0 {
		return 1
	}
	return throttleMargin * float64(before.admitted) / float64(before.arrived)
}

// limitsRefuse reports whether to refuse a request whose stages have not run yet, because
// all endpoints of its service have rate limits that leave no room for it.
func (g *Gateway) limitsRefuse(r *request) bool {
	if g.limits.Empty() {
		return false
	}
	now := g.now()
	g.throttle.recordArrival(now, r.service)
	candidates := g.directory.Candidates(now, r.service, r.excluded)
	for _, e := range candidates {
		if !g.isLimited(e) {
			return false
		}
	}
	return len(candidates) > 0 && len(r.stageServices()) > 0 && g.random.Float64() >= g.throttle.admittedShare(now, r.service)
}
