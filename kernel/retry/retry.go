// Package retry limits how much extra work retries may cause: a share of the
// successes, so that a brown-out is not made worse by repeating everything.
package retry

// Config sets up a Budget.
type Config struct {
	// RetriesPerSuccess is the number of retries that one success earns.
	RetriesPerSuccess float64
	// Capacity bounds the saved-up retries; a budget starts full.
	Capacity float64
}

// Budget is a saved-up allowance of retries.
type Budget struct {
	config Config
	left   float64
}

// NewBudget returns a full budget.
func NewBudget(c Config) *Budget { return &Budget{config: c, left: c.Capacity} }

// RecordSuccess earns a part of a retry.
func (b *Budget) RecordSuccess() {
	b.left = min(b.left+b.config.RetriesPerSuccess, b.config.Capacity)
}

// TryTake spends one retry and reports whether there was one.
func (b *Budget) TryTake() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
