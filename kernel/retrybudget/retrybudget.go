// Package retrybudget limits how often requests are sent again.
package retrybudget

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

// Limits sets the retry budget of the whole fleet.
type Limits struct {
	// Within any Window a service may receive Ratio times its requests plus
	// Slack as retries. A retry is any arrival of a request at an endpoint
	// after its first one.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// RetriesOfOne returns how many retries the budget covers of a request that comes alone.
func (l Limits) RetriesOfOne() float64 { return l.allowed(1, 1) }

// allowed returns how many retries an instance may make for a number of requests, with one of
// the given number of shares of the fixed part.
func (l Limits) allowed(requests, shares int) float64 {
	return usableBudgetShare * (l.Ratio*float64(requests) + l.Slack/float64(max(shares, 1)))
}

// Budget limits this instance's retries to each service. The fixed part of
// the fleet's budget is divided by the number of alive instances, so the limit
// needs no shared counter and also holds in a partitioned fleet.
type Budget struct {
	limits   Limits
	services map[ident.Service]*[2 * budgetSlots]budgetSlot
}

// NewBudget returns a budget of which nothing is spent.
func NewBudget(l Limits) *Budget {
	return &Budget{limits: l, services: map[ident.Service]*[2 * budgetSlots]budgetSlot{}}
}

// SetLimits replaces the limits.
func (b *Budget) SetLimits(l Limits) { b.limits = l }

// Requests returns the requests counted in the current slot of the window.
func (b *Budget) Requests(now time.Time, s ident.Service) int { return b.slot(now, s).requests }

// slot returns the service's slot for the current time. The slots form a ring;
// a slot of an earlier round is reset.
func (b *Budget) slot(now time.Time, s ident.Service) *budgetSlot {
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

// CountRequest counts a caller's request, which raises the budget of its
// service.
func (b *Budget) CountRequest(now time.Time, s ident.Service) { b.slot(now, s).requests++ }

// TryTake takes one retry from the service's budget, of which the instance has one of the given
// number of shares. It returns false if that is used up.
func (b *Budget) TryTake(now time.Time, s ident.Service, shares int) bool {
	current := b.slot(now, s)
	requests, retries := 0, 0
	for _, slot := range b.services[s] {
		if current.index-slot.index <= budgetSlots {
			requests += slot.requests
			retries += slot.retries
		}
	}
	if float64(retries+1) > b.limits.allowed(requests, shares) {
		return false
	}
	current.retries++
	return true
}
