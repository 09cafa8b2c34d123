// Package retry implements a retry budget. It limits retries to a share of the
// successful requests, so that retries do not amplify an overload. A
// FleetBudget has limits that apply to each service and the whole fleet.
package retry

// Config configures a Budget.
type Config struct {
	// RetriesPerSuccess is the number of retries, usually a fraction, that one
	// success adds to the budget.
	RetriesPerSuccess float64
	// Capacity bounds the retries in the budget, which starts full.
	Capacity float64
}

// Budget holds the number of retries that may still be made.
type Budget struct {
	config Config
	left   float64
}

// NewBudget returns a full budget.
func NewBudget(c Config) *Budget { return &Budget{config: c, left: c.Capacity} }

// RecordSuccess adds RetriesPerSuccess to the budget.
func (b *Budget) RecordSuccess() { b.left = min(b.left+b.config.RetriesPerSuccess, b.config.Capacity) }

// TryTake takes one retry from the budget. It reports false if less than one is left.
func (b *Budget) TryTake() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
