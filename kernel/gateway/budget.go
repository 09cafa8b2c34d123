package gateway

import (
	"time"

	"anvilcross/kernel/ident"
)

const (
	// budgetSlots is the number of slots into which the retry budget's window
	// is divided.
	budgetSlots = 20
	// usableBudgetShare is the share of the budget that is spent. The rest covers the
	// time in which instances that start do not know all of the others yet.
	usableBudgetShare = 0.7
)

// budgetSlot counts the requests and retries in one slot of the window.
type budgetSlot struct {
	index    int64
	requests int
	retries  int
}

// retryBudget limits this instance's retries to each service. The fixed part of
// the fleet's budget is divided by the number of alive instances, so the limit
// needs no shared counter and also holds in a partitioned fleet.
type retryBudget struct {
	limits   RetryLimits
	services map[ident.Service]*[2 * budgetSlots]budgetSlot
}

func newRetryBudget(l RetryLimits) *retryBudget {
	return &retryBudget{limits: l, services: map[ident.Service]*[2 * budgetSlots]budgetSlot{}}
}

// slot returns the service's slot for the current time. The slots form a ring;
// a slot of an earlier round is reset.
func (b *retryBudget) slot(now time.Time, s ident.Service) *budgetSlot {
	slots := b.services[s]
	if slots == nil {
		slots = &[2 * budgetSlots]budgetSlot{}
		b.services[s] = slots
	}
	index := now.UnixNano() / int64(b.limits.Window/budgetSlots)
	slot := &slots[index%int64(len(slots))]
	if slot.index != index {
		*slot = budgetSlot{index: index}
	}
	return slot
}

// countRequest counts a caller's request, which raises the budget of its
// service.
func (b *retryBudget) countRequest(now time.Time, s ident.Service) { b.slot(now, s).requests++ }

// tryTake takes one retry from the service's budget. It returns false if the
// budget is used up.
func (b *retryBudget) tryTake(now time.Time, s ident.Service, shares int) bool {
	current := b.slot(now, s)
	requests, retries := 0, 0
	for _, slot := range b.services[s] {
		if current.index-slot.index <= budgetSlots {
			requests += slot.requests
			retries += slot.retries
		}
	}
	allowed := usableBudgetShare * (b.limits.Ratio*float64(requests) + b.limits.Slack/float64(max(shares, 1)))
	if float64(retries+1) > allowed {
		return false
	}
	current.retries++
	return true
}

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
