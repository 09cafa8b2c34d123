package gateway

import (
	"testing"
	"time"

	"anvilcross/kernel/replica"
)

// The instances of a large fleet together keep more idle connections than an endpoint accepts, which
// then resets those that others open for their requests.
func TestIdleConnectionsOfALargeFleet(t *testing.T) {
	for _, c := range []struct{ strong, weak, most int }{{8, 69, 77}, {24, 209, 88}} {
		const accepted = 110
		f := newTestFleet(t, c.strong, c.weak)
		catalog := testCatalog(2)
		catalog.Services["orders"].MaxConnections = accepted
		catalog.Services["registry"].MaxConnections = accepted
		for _, name := range f.names {
			f.gateways[name].HandleChanges([]replica.Record{testRecord(t, "catalog", 2, catalog)}, 2)
		}
		f.advance(3 * time.Second)
		for _, e := range []string{"orders-0", "orders-1", "orders-2"} {
			address, kept := testListing("orders", int(e[len(e)-1]-'0')).Address, 0
			for _, name := range f.names {
				transient := f.gateways[name].TransientAddresses()
				if !transient.Has(address) {
					kept++
				}
				if transient.Has(testListing("registry", 0).Address) {
					t.Fatal("a stage endpoint, which few instances call, keeps no connection")
				}
			}
			if kept > c.most || c.most == len(f.names) && kept < c.most || kept < accepted/5 {
				t.Errorf("%d of %d instances keep a connection to %s, which accepts %d", kept, len(f.names), e, accepted)
			}
		}
	}
}
