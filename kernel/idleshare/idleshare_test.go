package idleshare

import (
	"fmt"
	"testing"

	"anvilcross/kernel/ident"
)

// In a large fleet the idle connections of all instances exceed what an endpoint accepts, which
// resets those that instances need for requests.
func TestIdleConnectionsOfAllInstancesFitAnEndpoint(t *testing.T) {
	for _, c := range []struct{ alive, maxConnections, least, most int }{
		{77, 110, 77, 77}, {85, 120, 85, 85}, {66, 100, 66, 66}, {295, 370, 295, 295}, {500, 0, 500, 500},
		{231, 110, 20, 88}, {300, 110, 20, 88}, {300, 230, 60, 184}, {1000, 48, 2, 38},
	} {
		for n := range 20 {
			kept := 0
			for i := range c.alive {
				if Keeps(ident.Instance(fmt.Sprint("front-", i)), ident.Endpoint(fmt.Sprint("orders-", n)), c.alive, c.maxConnections) {
					kept++
				}
			}
			if kept < c.least || kept > c.most {
				t.Errorf("%d of %d instances keep a connection to orders-%d, which accepts %d; want %d to %d", kept, c.alive, n, c.maxConnections, c.least, c.most)
			}
		}
	}
}
