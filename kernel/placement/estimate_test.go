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
	all[0].Slots, all[0].PeerRequests, all[1].PeerRequests = 4, 4, 9
	if share := shareOf(newTestTable(), testPrompt(200), published.Engine{}, all, all[0]); share > 0.02 {
		t.Errorf("%.2f go to the endpoint without a free slot", share)
	}
	d := demand{late: 1400, left: 1400, tokens: 8000, meanTokens: 8000, meanRun: 2000, engine: published.Engine{KVCapacityTokens: 60_000}}
	fits, full := estimate(d, candidate{running: 6, slots: 16, pace: 1}), estimate(d, candidate{running: 7, slots: 16, pace: 1})
	if fits.FirstEventMillis > 100 || full.FirstEventMillis < 200 {
		t.Errorf("%.0f ms with memory for one more request, %.0f ms without", fits.FirstEventMillis, full.FirstEventMillis)
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

// Guards against a stream that begins behind prompts in prefill and then misses its own gap objective.
func TestOwnStreamAvoidsPrefillInProgress(t *testing.T) {
	d := demand{late: 1400, left: 1400, gap: 400}
	c := candidate{uncached: 200, slots: 16, pace: 2, backlog: 300}
	if e := estimate(d, c); e.HarmMillis < 300 {
		t.Errorf("harm of %.0f ms behind a prefill of 300 ms", e.HarmMillis)
	}
}

// Guards against a prefill that costs nothing to the requests that arrive while it lasts.
func TestLongPrefillCostsThoseThatArrive(t *testing.T) {
	d := demand{late: 1400, left: 1400}
	if e := estimate(d, candidate{uncached: 7000, slots: 16, pace: 2}); e.OtherMillis < 150 {
		t.Errorf("cost of %.0f ms for occupying a slow endpoint for 200 ms", e.OtherMillis)
	}
}

// Guards against an endpoint that fails, or one in another data centre, that counts as well as others.
func TestFarAndFailingEndpointsCostMore(t *testing.T) {
	all := testEndpoints(t, "models", 3)
	all[0].DataCentre = "west"
	all[1].FailureShare = 0.5
	if share := shareOf(newTestTable(), testPrompt(1000), published.Engine{}, all, all[2]); share < 0.9 {
		t.Errorf("%.2f go to the sound endpoint of the own data centre", share)
	}
	p := testPrompt(1000)
	p.InputBytes = map[ident.DataCentre]int{"west": 8_000_000}
	if share := shareOf(newTestTable(), p, published.Engine{}, all, all[0]); share < 0.9 {
		t.Errorf("%.2f go to the data centre of the inputs", share)
	}
}

// Guards against instances that know the same and all choose the same of several equal endpoints.
func TestEqualCandidatesShareLoad(t *testing.T) {
	tb, all := newTestTable(), testEndpoints(t, "models", 8)
	for _, e := range all {
		if share := shareOf(tb, testPrompt(1000), published.Engine{}, all, e); share < 0.06 || share > 0.19 {
			t.Errorf("%.2f go to one of eight equal endpoints", share)
		}
	}
	counts := map[*endpoints.Endpoint]int{}
	choices := tb.modelChoices(start, testCatalog(published.Engine{}), testPrompt(1000), all)
	for range 400 {
		counts[tb.drawNear(choices).Endpoint]++
	}
	if len(counts) != 8 {
		t.Errorf("the placer draws from %d of eight equal endpoints", len(counts))
	}
}

// Guards against a choice that compares all candidates by old figures, or without the one that has
// the prefix cached.
func TestSampleOfCandidates(t *testing.T) {
	tb, all := newTestTable(), testEndpoints(t, "models", 60)
	for _, e := range all[:30] {
		e.DataCentre = "west"
	}
	p := testPrompt(6000)
	p.PrefixTokens = 5400
	affinity, _ := AffinityEndpoints(p.Prefix, all, nil)
	for range 50 {
		near, found := 0, false
		drawn := tb.sample(p, tb.modelChoices(start, testCatalog(published.Engine{}), p, all), all)
		for _, c := range drawn {
			found = found || c.Endpoint == affinity
			if c.Endpoint.DataCentre == "east" {
				near++
			}
		}
		if len(drawn) > nearSample+farSample+1 || near < nearSample || !found {
			t.Fatalf("%d candidates, %d of the own data centre, affinity endpoint %t", len(drawn), near, found)
		}
	}
}

// Guards against an endpoint that was least busy a second ago and gets most requests.
func TestLeastBusyEndpointIsNotFlooded(t *testing.T) {
	all := testEndpoints(t, "models", 60)
	for _, e := range all[1:] {
		e.PeerRequests = 4
	}
	if share := shareOf(newTestTable(), testPrompt(200), published.Engine{}, all, all[0]); share > 0.2 {
		t.Errorf("%.2f go to the least busy of 60 endpoints", share)
	}
}

// Guards against an endpoint that is new, and so empty, and gets the requests of all instances.
func TestNewEndpointCountsAsBusy(t *testing.T) {
	tb, all := newTestTable(), testEndpoints(t, "models", 6)
	for _, e := range all[:5] {
		e.PeerRequests = 6
	}
	tb.modelChoices(start, testCatalog(published.Engine{}), testPrompt(200), all[:5])
	share := func(at time.Time) float64 {
		n := 0
		for range 200 {
			if tb.ChooseModel(at, testCatalog(published.Engine{}), testPrompt(200), all, ident.EndpointProcess{}).Endpoint == all[5] {
				n++
			}
		}
		return float64(n) / 200
	}
	if got := share(start); got > 0.6 {
		t.Errorf("%.2f go to the new endpoint at once", got)
	}
	if got := share(start.Add(joinTime)); got < 0.9 {
		t.Errorf("%.2f go to the empty endpoint that is no longer new", got)
	}
}

// Guards against a placer that does not count its placements until pings report them.
func TestPlacerCountsUnreportedPlacements(t *testing.T) {
	tb, all := newTestTable(), testEndpoints(t, "models", 2)
	tb.Expire(start, time.Second)
	for n := range 20 {
		at := start.Add(time.Duration(n) * 10 * time.Second)
		first := tb.Place(at, testCatalog(published.Engine{}), Request{Prompt: testPrompt(4000)}, all)
		second := tb.Place(at.Add(700*time.Millisecond), testCatalog(published.Engine{}), Request{Prompt: testPrompt(4000)}, all)
		if second.Endpoint == first.Endpoint {
			t.Fatalf("round %d: the second prompt joins the stream of the first", n)
		}
	}
	tb.Expire(start.Add(time.Hour), time.Second)
	if n := tb.service("models").unreported(start.Add(time.Hour), all[0].Process()) + tb.service("models").unreported(start.Add(time.Hour), all[1].Process()); n != 0 {
		t.Errorf("%d placements are counted twice", n)
	}
}
