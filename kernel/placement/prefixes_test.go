package placement

import (
	"fmt"
	"testing"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/published"
)

// Guards against a hot prefix that is prefilled again at one endpoint after the other: the endpoint
// that took it while its affinity endpoint was busy holds it too.
func TestPrefixThatWasSentElsewhereIsCachedThere(t *testing.T) {
	tb, all := newTestTable(), testEndpoints(t, "models", 24)
	p := testPrompt(6000)
	p.PrefixTokens = 5400
	affinity, _ := AffinityEndpoints(p.Prefix, all, nil)
	affinity.PeerRequests = 15
	first := tb.ChooseModel(start, testCatalog(published.Engine{}), p, all, ident.EndpointProcess{})
	if first.Endpoint == affinity {
		t.Fatal("the busy endpoint was chosen")
	}
	tb.RecordSent(start, first)
	share := func(at time.Duration) float64 {
		n := 0
		for range 200 {
			if tb.ChooseModel(start.Add(at), testCatalog(published.Engine{}), p, all, ident.EndpointProcess{}).Endpoint == first.Endpoint {
				n++
			}
		}
		return float64(n) / 200
	}
	if s := share(time.Second); s < 0.95 {
		t.Errorf("%.2f go to the endpoint that has the prefix from a second ago", s)
	}
	if s := share(prefixRetention + time.Second); s > 0.3 {
		t.Errorf("%.2f go to the endpoint that had the prefix long ago", s)
	}
	first.Endpoint.StartedUnixMillis++
	if s := share(time.Second); s > 0.3 {
		t.Errorf("%.2f go to another process of the endpoint that had the prefix", s)
	}
}

// Guards against memory that grows with the number of prefixes, or of endpoints of one.
func TestPrefixesAreBounded(t *testing.T) {
	x := newPrefixes()
	for n := range maxPrefixes + 100 {
		x.record(start, fmt.Sprint(n), ident.EndpointProcess{Endpoint: "e"})
	}
	for n := range 3 * maxHolders {
		x.record(start, "0", ident.EndpointProcess{Endpoint: ident.Endpoint(fmt.Sprint(n))})
	}
	if len(x.holders) != maxPrefixes || len(x.holders["0"]) != maxHolders {
		t.Errorf("%d prefixes, %d holders of one", len(x.holders), len(x.holders["0"]))
	}
	if last := ident.Endpoint(fmt.Sprint(3*maxHolders - 1)); !x.holds(start, "0", ident.EndpointProcess{Endpoint: last}) {
		t.Error("the latest holder is forgotten")
	}
	if x.expire(start.Add(prefixRetention)); len(x.holders) != 0 {
		t.Errorf("%d prefixes are kept", len(x.holders))
	}
}
