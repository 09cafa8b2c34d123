package gateway

import (
	"time"

	"anvilcross/kernel/ident"
)

const (
	// budgetSlots is the number of slots into which the retry budget's window
	// is divided.
	budgetSlots = 20
	// usableBudgetShare is the share of the budget that is spent. The rest
	// covers the time in which instances disagree on how many of them share the
	// budget.
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
func (b *retryBudget) tryTake(now time.Time, s ident.Service, aliveInstances int) bool {
	current := b.slot(now, s)
	requests, retries := 0, 0
	for _, slot := range b.services[s] {
		if current.index-slot.index <= budgetSlots {
			requests += slot.requests
			retries += slot.retries
		}
	}
	allowed := usableBudgetShare * (b.limits.Ratio*float64(requests) + b.limits.Slack/float64(max(aliveInstances, 1)))
	if float64(retries+1) > allowed {
		return false
	}
	current.retries++
	return true
}
