package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/published"
)

func testCatalog(engine published.Engine) *published.Catalog {
	return &published.Catalog{
		Routes:   []published.Route{{Kind: published.Stream, CarriesPrompts: true, GapObjective: gapLimit, LatencyObjective: firstLimit, Targets: []published.Target{{Service: "models", Weight: 1}}}},
		Services: map[ident.Service]*published.Service{"models": {Name: "models", Engine: engine}},
	}
}

// testEndpoints returns some endpoints of a service, in the data centre east.
func testEndpoints(t *testing.T, service ident.Service, count int) []*endpoints.Endpoint {
	t.Helper()
	d := endpoints.NewDirectory()
	for n := range count {
		d.Upsert(endpoints.Listing{Name: ident.Endpoint(fmt.Sprintf("e-%02d", n)), Service: service, DataCentre: "east", Address: fmt.Sprintf("e-%02d:1", n), Slots: 16})
	}
	return d.ByService(service)
}

func newTestTable() *Table {
	return NewTable(Config{Mode: Always, Random: rand.New(rand.NewPCG(1, 1)), Directory: endpoints.NewDirectory()})
}

func testPrompt(tokens int) Prompt {
	return Prompt{Service: "models", Prefix: "shared", Tokens: tokens, From: "east", Objective: firstLimit, Left: firstLimit, GapObjective: gapLimit}
}

// shareOf returns how often an endpoint is chosen for a prompt.
func shareOf(tb *Table, p Prompt, engine published.Engine, all []*endpoints.Endpoint, e *endpoints.Endpoint) float64 {
	const draws = 400
	n := 0
	for range draws {
		if tb.ChooseModel(start, testCatalog(engine), p, all, ident.EndpointProcess{}).Endpoint == e {
			n++
		}
	}
	return float64(n) / draws
}

// Guards against a long prompt beside running streams whose gap objective it would break, and
// against a cached prefix that counts for more than the tokens that it saves.
func TestLongPromptAvoidsRunningStreams(t *testing.T) {
	all := testEndpoints(t, "models", 8)
	p := testPrompt(20_000)
	p.PrefixTokens = 5400
	affinity, _ := AffinityEndpoints(p.Prefix, all, nil)
	if share := shareOf(newTestTable(), p, published.Engine{}, all, affinity); share < 0.95 {
		t.Errorf("%.2f go to the endpoint with the cached prefix while all are empty", share)
	}
	affinity.PeerRequests = 4
	if share := shareOf(newTestTable(), p, published.Engine{}, all, affinity); share > 0.02 {
		t.Errorf("%.2f go to the endpoint with four streams", share)
	}
	cached := testPrompt(5600)
	cached.PrefixTokens = 5400
	affinity.PeerRequests = 3
	if share := shareOf(newTestTable(), cached, published.Engine{}, all, affinity); share < 0.95 {
		t.Errorf("%.2f of the cached prompts go to the endpoint with the cached prefix and three streams", share)
	}
	affinity.PeerRequests = 14
	if share := shareOf(newTestTable(), cached, published.Engine{}, all, affinity); share > 0.05 {
		t.Errorf("%.2f of the cached prompts go to the endpoint with the cached prefix and fourteen streams", share)
	}
}

// Guards against a prompt that joins another one in prefill.
func TestPromptAvoidsPrefillInProgress(t *testing.T) {
	tb, all := newTestTable(), testEndpoints(t, "models", 2)
	first := tb.ChooseModel(start, testCatalog(published.Engine{}), testPrompt(9000), all, ident.EndpointProcess{})
	tb.RecordSent(start, first)
	if share := shareOf(tb, testPrompt(9000), published.Engine{}, all, first.Endpoint); share > 0.02 {
		t.Errorf("%.2f go to the endpoint with a prompt in prefill", share)
	}
	tb.Expire(start.Add(time.Second), time.Second)
	if left := tb.service("models").backlog(start.Add(time.Second), first.Endpoint.Process()); left != 0 {
		t.Errorf("%v ms of backlog are left", left)
	}
}

// Guards against a request that waits for a slot, or for memory, while another endpoint has it.
func TestRequestAvoidsFullEndpoints(t *testing.T) {
	all := testEndpoints(t, "models", 2)
	p := testPrompt(200)
	all[0].PeerRequests, all[1].PeerRequests = 16, 15
	if share := shareOf(newTestTable(), p, published.Engine{}, all, all[0]); share > 0.02 {
		t.Errorf("%.2f go to the endpoint without a free slot", share)
	}
	tb := newTestTable()
	tb.service("models").meanTokens = 8000
	all[0].PeerRequests, all[1].PeerRequests = 9, 5
	if share := shareOf(tb, p, published.Engine{KVCapacityTokens: 60_000}, all, all[0]); share > 0.02 {
		t.Errorf("%.2f go to the endpoint without memory", share)
	}
}

// Guards against a request that is sent where it would be late.
func TestRequestAvoidsLateEndpoint(t *testing.T) {
	d := demand{late: 1400, left: 140}
	near, far := estimate(d, candidate{uncached: 500, slots: 16, pace: 1}), estimate(d, candidate{uncached: 500, slots: 16, pace: 3})
	if far.LateMillis < near.LateMillis+300 {
		t.Errorf("late costs %.0f ms at a slow endpoint, %.0f ms at a fast one", far.LateMillis, near.LateMillis)
	}
	d.left = 1400
	if e := estimate(d, candidate{uncached: 500, slots: 16, pace: 1}); e.LateMillis > 2 {
		t.Errorf("a request in time costs %.0f ms for being late", e.LateMillis)
	}
}

// Guards against harm that counts only at the endpoint's usual speed although it has slow spells.
func TestSlowSpellsCount(t *testing.T) {
	s := &service{}
	for n := range 400 {
		work := 1.0
		if n%7 == 0 {
			work = 2.5
		}
		s.recordWork(work)
	}
	if s.spellShare < 0.08 || s.spellShare > 0.25 || s.spellMean < 2.4 || s.spellMean > 2.6 {
		t.Fatalf("share %.2f of spells of factor %.2f", s.spellShare, s.spellMean)
	}
	d := demand{late: 1400, left: 1400, gap: 400, othersGap: 400}
	c := candidate{uncached: 9000, running: 3, slots: 16, pace: 1}
	steady := estimate(d, c)
	c.spellShare, c.spellFactor = s.spellShare, s.spellMean
	if e := estimate(d, c); e.HarmMillis < 1.5*steady.HarmMillis {
		t.Errorf("harm of %.0f ms with slow spells, %.0f ms without", e.HarmMillis, steady.HarmMillis)
	}
}

// Guards against the estimate in deployments that neither ask for it nor report what it needs.
func TestWhereTheEstimateApplies(t *testing.T) {
	plain := &published.Catalog{Services: map[ident.Service]*published.Service{"models": {}, "orders": {}}}
	cold := &published.Catalog{Services: map[ident.Service]*published.Service{"models": {}, "orders": {ColdPerSecond: 7}}}
	cold.BuildIndex()
	silent, reporting := testEndpoints(t, "models", 2), testEndpoints(t, "models", 2)
	reporting[1].RecordResponse(start, false, time.Millisecond, endpoints.Load{Slots: 6, WorkPercent: 100})
	for _, c := range []struct {
		mode    Mode
		catalog *published.Catalog
		prompts bool
		all     []*endpoints.Endpoint
		want    bool
	}{
		{Auto, plain, true, silent, false},
		{Auto, plain, true, reporting, true},
		{Auto, plain, false, reporting, true},
		{Auto, cold, true, silent, true},
		{Auto, cold, false, silent, false},
		{"", cold, true, silent, true},
		{Always, plain, false, silent, true},
		{Off, cold, true, reporting, false},
	} {
		if got := NewTable(Config{Mode: c.mode}).Applies(c.catalog, c.prompts, c.all); got != c.want {
			t.Errorf("mode %q, cold starts %t, prompts %t, work figures %t: applies %t", c.mode, c.catalog == cold, c.prompts, c.all[1].ReportsWork, got)
		}
	}
}

// Guards against a plain call that waits at an endpoint in a slow spell although it would be done in
// time in another data centre.
func TestPlainCallLeavesSlowEndpoint(t *testing.T) {
	all := testEndpoints(t, "orders", 2)
	all[1].DataCentre = "west"
	for _, e := range all {
		e.RecordResponse(start, false, 80*time.Millisecond, endpoints.Load{Slots: 16, WorkPercent: 100})
	}
	if e := newTestTable().ChoosePlain(start, "east", 150*time.Millisecond, all, nil); e != all[0] {
		t.Errorf("got %s, want the endpoint of the own data centre", e.Name)
	}
	all[0].RecordResponse(start, false, 200*time.Millisecond, endpoints.Load{Slots: 16, WorkPercent: 250})
	for range 50 {
		if e := newTestTable().ChoosePlain(start, "east", 150*time.Millisecond, all, nil); e != all[1] {
			t.Fatalf("got %s, want the endpoint that is in time", e.Name)
		}
	}
	if e := newTestTable().ChoosePlain(start.Add(time.Second), "east", 150*time.Millisecond, all, nil); e != all[0] {
		t.Errorf("got %s although the figure is a second old", e.Name)
	}
}

// Guards against a time between events that is taken from one endpoint in trouble, or never learned:
// prompts of average length then count as a risk to the streams beside them.
func TestTimeBetweenEventsIsLearned(t *testing.T) {
	tb, e := newTestTable(), testEndpoints(t, "models", 1)[0]
	for n := range 200 {
		took := 48 * 36 * time.Millisecond
		if n%4 == 0 {
			took *= 4
		}
		tb.RecordStream(Choice{Endpoint: e}, 49, took)
		tb.RecordStream(Choice{Endpoint: e}, 2, time.Second)
	}
	if event := tb.service("models").event; event < 30 || event > 60 {
		t.Errorf("an event takes %.0f ms, 36 in three of four streams", event)
	}
}
