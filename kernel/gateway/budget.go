package gateway

import (
	"time"

	"anvilcross/kernel/ident"
)

const (
	// budgetSlots divides the window of the retry budget.
	budgetSlots = 20
	// usableBudgetShare is the part of the budget that is used, since instances
	// may disagree for a moment on how many share it.
	usableBudgetShare = 0.7
)

type budgetSlot struct {
	index    int64
	requests int
	retries  int
}

// retryBudget limits the arrivals beyond the first of each request. The fleet's
// allowance is divided by the number of living instances, so it holds without
// a shared counter and while the fleet is cut in parts.
type retryBudget struct {
	limits   RetryLimits
	services map[ident.Service]*[2 * budgetSlots]budgetSlot
}

func newRetryBudget(b RetryLimits) *retryBudget {
	return &retryBudget{limits: b, services: map[ident.Service]*[2 * budgetSlots]budgetSlot{}}
}

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

// countRequest counts a caller's request to a service.
func (b *retryBudget) countRequest(now time.Time, s ident.Service) { b.slot(now, s).requests++ }

// tryTake counts a repeat and reports whether the budget allows it.
func (b *retryBudget) tryTake(now time.Time, s ident.Service, living int) bool {
	current := b.slot(now, s)
	requests, repeats := 0, 0
	for _, slot := range b.services[s] {
		if current.index-slot.index <= budgetSlots {
			requests += slot.requests
			repeats += slot.retries
		}
	}
	allowed := usableBudgetShare * (b.limits.Ratio*float64(requests) + b.limits.Slack/float64(max(living, 1)))
	if float64(repeats+1) > allowed {
		return false
	}
	current.retries++
	return true
}
