// Package retry limits how much extra work retries may cause: a share of the
// successes, so that a brown-out is not made worse by repeating everything.
package retry

// Config sets up a Budget.
type Config struct {
	// PerSuccess is the number of retries that one success earns.
	PerSuccess float64
	// Most bounds the saved-up retries; a budget starts full.
	Most float64
}

// Budget is a saved-up allowance of retries.
type Budget struct {
	config Config
	left   float64
}

// NewBudget returns a full budget.
func NewBudget(c Config) *Budget { return &Budget{config: c, left: c.Most} }

// Success earns a part of a retry.
func (b *Budget) Success() { b.left = min(b.left+b.config.PerSuccess, b.config.Most) }

// Take spends one retry and reports whether there was one.
func (b *Budget) Take() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
