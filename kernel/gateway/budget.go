package gateway

import (
	"time"

	"anvilcross/kernel/ident"
)

const (
	// budgetSlots divides the window of the retry budget.
	budgetSlots = 20
	// budgetShare is the part of the budget that is used, since instances
	// may disagree for a moment on how many share it.
	budgetShare = 0.7
)

type budgetSlot struct {
	index    int64
	requests int
	repeats  int
}

// budget limits the arrivals beyond the first of each request. The fleet's
// allowance is divided by the number of living instances, so it holds without
// a shared counter and while the fleet is cut in parts.
type budget struct {
	bounds   RetryLimits
	services map[ident.Service]*[2 * budgetSlots]budgetSlot
}

func newBudget(b RetryLimits) *budget {
	return &budget{bounds: b, services: map[ident.Service]*[2 * budgetSlots]budgetSlot{}}
}

func (b *budget) slot(now time.Time, s ident.Service) *budgetSlot {
	slots := b.services[s]
	if slots == nil {
		slots = &[2 * budgetSlots]budgetSlot{}
		b.services[s] = slots
	}
	index := now.UnixNano() / int64(b.bounds.Window/budgetSlots)
	slot := &slots[index%int64(len(slots))]
	if slot.index != index {
		*slot = budgetSlot{index: index}
	}
	return slot
}

// request counts a caller's request to a service.
func (b *budget) request(now time.Time, s ident.Service) { b.slot(now, s).requests++ }

// take counts a repeat and reports whether the budget allows it.
func (b *budget) take(now time.Time, s ident.Service, living int) bool {
	current := b.slot(now, s)
	requests, repeats := 0, 0
	for _, slot := range b.services[s] {
		if current.index-slot.index <= budgetSlots {
			requests += slot.requests
			repeats += slot.repeats
		}
	}
	allowed := budgetShare * (b.bounds.Ratio*float64(requests) + b.bounds.Slack/float64(max(living, 1)))
	if float64(repeats+1) > allowed {
		return false
	}
	current.repeats++
	return true
}
