package retry

import (
	"time"

	"anvilcross/kernel/ident"
)

// FleetLimits sets the retry budget of the whole fleet.
type FleetLimits struct {
	// Within any Window a service may receive Ratio times its requests plus
	// Slack as retries. A retry is any arrival of a request at an endpoint
	// after its first one.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

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

// FleetBudget limits this instance's retries to each service. The fixed part of
// the fleet's budget is divided by the number of alive instances, so the limit
// needs no shared counter and also holds in a partitioned fleet.
type FleetBudget struct {
	limits   FleetLimits
	services map[ident.Service]*[2 * budgetSlots]budgetSlot
}

// NewFleetBudget returns a budget of which nothing is spent.
func NewFleetBudget(l FleetLimits) *FleetBudget {
	return &FleetBudget{limits: l, services: map[ident.Service]*[2 * budgetSlots]budgetSlot{}}
}

// slot returns the service's slot for the current time. The slots form a ring;
// a slot of an earlier round is reset.
func (b *FleetBudget) slot(now time.Time, s ident.Service) *budgetSlot {
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
func (b *FleetBudget) CountRequest(now time.Time, s ident.Service) { b.slot(now, s).requests++ }

// TryTake takes one retry from the service's budget. It returns false if the
// budget is used up.
func (b *FleetBudget) TryTake(now time.Time, s ident.Service, shares int) bool {
	requests, retries := b.totals(now, s)
	allowed := usableBudgetShare * (b.limits.Ratio*float64(requests) + b.limits.Slack/float64(max(shares, 1)))
	if float64(retries+1) > allowed {
		return false
	}
	b.slot(now, s).retries++
	return true
}

// totals returns the requests and the retries in the window.
func (b *FleetBudget) totals(now time.Time, s ident.Service) (requests, retries int) {
	current := b.slot(now, s)
	for _, slot := range b.services[s] {
		if current.index-slot.index <= budgetSlots {
			requests += slot.requests
			retries += slot.retries
		}
	}
	return requests, retries
}

// Requests returns how many requests to a service have been counted within the window.
func (b *FleetBudget) Requests(now time.Time, s ident.Service) int {
	requests, _ := b.totals(now, s)
	return requests
}

// SetLimits changes the limits.
func (b *FleetBudget) SetLimits(l FleetLimits) { b.limits = l }
