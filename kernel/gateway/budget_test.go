package gateway

import (
	"fmt"
	"testing"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
)

// Parts of a fleet that are cut off from each other each spend the whole fixed part of
// the retry budget.
func TestRetryBudgetOfADividedFleet(t *testing.T) {
	const (
		perSecond = 13
		window    = 10 * time.Second
	)
	for _, size := range []int{6, 66} {
		for _, parts := range []int{1, 2, 3} {
			t.Run(fmt.Sprintf("%d instances in %d parts", size, parts), func(t *testing.T) {
				t.Parallel()
				f := newLimitFleet(t, size, 4, float64(perSecond)/4)
				if parts > 1 {
					f.split(parts)
				}
				f.advance(6 * time.Second)
				var first, retries int
				f.nextStep = func(name ident.Instance, h RequestHandle, s Step) {
					if s.Send == nil {
						return
					}
					if s.Send.Attempt == 1 {
						first++
					} else {
						retries++
					}
					g, id := f.gateways[name], s.Send.Attempt
					f.timers.After(linkDelay, func() {
						g.BeginWrite(h, id)
						g.HandleResponseHead(h, id, true, endpoints.Load{})
						if !g.RetryErrorResponse(h, id) {
							g.HandleDelivery(h, id, Delivery{Status: 500, Delimited: true})
						}
					})
				}
				f.advance(window)
				allowed := 0.2*float64(first) + 50
				t.Logf("%d retries of %d requests, %.0f allowed", retries, first, allowed)
				if float64(retries) > allowed {
					t.Errorf("%d retries of %d requests in %v, %.0f are allowed", retries, first, window, allowed)
				}
			})
		}
	}
}
