package retrybudget

import (
	"testing"
	"time"
)

// An instance spends more retries than its share, or the check of a configuration reckons with
// another budget than the instances.
func TestBudgetOfOneShare(t *testing.T) {
	limits := Limits{Ratio: 0.5, Slack: 10, Window: 10 * time.Second}
	now := time.Unix(1_700_000_000, 0)
	for _, c := range []struct{ requests, shares, want int }{{1, 1, 7}, {20, 1, 14}, {1, 5, 1}, {0, 50, 0}} {
		b := NewBudget(limits)
		for range c.requests {
			b.CountRequest(now, "s")
		}
		taken := 0
		for b.TryTake(now, "s", c.shares) {
			taken++
		}
		if taken != c.want {
			t.Errorf("%d requests, one of %d shares: %d retries, want %d", c.requests, c.shares, taken, c.want)
		}
		if c.requests == 1 && c.shares == 1 && taken != int(limits.RetriesOfOne()) {
			t.Errorf("the check reckons with %v retries, an instance makes %d", limits.RetriesOfOne(), taken)
		}
	}
}
