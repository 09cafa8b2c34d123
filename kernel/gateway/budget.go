package gateway

import "time"

// shareCount returns the number of equal shares into which the fleet's limits are divided:
// one for each instance that this or another one has heard of lately, running or not, so
// that instances with different views do not claim more than the whole.
func (g *Gateway) shareCount(now time.Time) int {
	return max(g.members.KnownCount(), g.fleetSize.latest(now), len(g.config.Seeds))
}

// fleetSizeTTL is how long the number of instances that a member knows is valid.
const fleetSizeTTL = 30 * time.Second

// fleetSize is the largest number of instances that a member has reported lately.
type fleetSize struct {
	count int
	at    time.Time
}

func (s *fleetSize) record(now time.Time, count int) {
	if count >= s.latest(now) {
		s.count, s.at = count, now
	}
}

func (s *fleetSize) latest(now time.Time) int {
	if now.Sub(s.at) > fleetSizeTTL {
		return 0
	}
	return s.count
}
