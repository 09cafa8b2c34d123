package gateway

import (
	"fmt"
	"testing"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/published"
	"anvilcross/kernel/replica"
)

// placementCatalog returns a configuration with a route of prompts and, if coldStarts is set, cold
// endpoints.
func placementCatalog(coldStarts bool) *published.Catalog {
	c := &published.Catalog{
		Version:  1,
		Routes:   []published.Route{{Name: "draft", Host: "h", Prefix: "/draft/", Kind: published.Stream, CarriesPrompts: true, Public: true, Targets: []published.Target{{Service: "models", Weight: 1}}, Timeout: 15 * time.Second, LatencyObjective: 1400 * time.Millisecond, GapObjective: 400 * time.Millisecond, MaxAttempts: 1}},
		Services: map[ident.Service]*published.Service{"models": {Name: "models", Engine: published.Engine{Slots: 16, Stride: 8}}},
	}
	if coldStarts {
		c.Services["models"].ColdPerSecond = 7.7
	}
	return c
}

func placementRecords(t *testing.T, c *published.Catalog, count int) []replica.Record {
	t.Helper()
	records := []replica.Record{testRecord(t, "catalog", 1, c)}
	for n := range count {
		l := testListing("models", n)
		l.Slots, l.DataCentre = 16, "east"
		records = append(records, testRecord(t, string(l.Name), 1, l))
	}
	return records
}

func longPrompt(c *CallerRequest) {
	c.Prompt = []PromptPart{{ID: "shared", Tokens: 5400}, {ID: "own", Tokens: 9000}}
}

// Guards against long prompts that all go to the affinity endpoint of their prefix, and against the
// estimate where nothing asks for it.
func TestLongPromptsSpreadWhereEstimateApplies(t *testing.T) {
	for _, coldStarts := range []bool{false, true} {
		t.Run(fmt.Sprintf("cold starts %t", coldStarts), func(t *testing.T) {
			tg := newTestGateway(t)
			tg.gateway.HandleFullList(placementRecords(t, placementCatalog(coldStarts), 12), 1)
			counts := map[ident.Endpoint]int{}
			for range 6 {
				h := tg.sendRequest("/draft/x", longPrompt)
				counts[tg.wantSend(h).Endpoint]++
				if estimated := tg.gateway.requests[h].attempt.choice.Endpoint != nil; estimated != coldStarts {
					t.Fatalf("chosen by estimate: %t", estimated)
				}
			}
			if want := map[bool]int{false: 1, true: 6}[coldStarts]; len(counts) != want {
				t.Errorf("the prompts went to %d endpoints, want %d: %v", len(counts), want, counts)
			}
		})
	}
}

// Guards against an endpoint's speed that is not learned from the exchanges that end there.
func TestGatewayLearnsSpeed(t *testing.T) {
	tg := newTestGateway(t)
	tg.gateway.HandleFullList(placementRecords(t, placementCatalog(true), 4), 1)
	sent := map[ident.Endpoint]int{}
	for n := range 120 {
		h := tg.sendRequest("/draft/x", func(c *CallerRequest) {
			longPrompt(c)
			c.Prompt[0].ID = fmt.Sprint(n)
		})
		s := tg.wantSend(h)
		if n >= 60 {
			sent[s.Endpoint]++
		}
		took := 240 * time.Millisecond
		if s.Endpoint == "models-0" {
			took *= 2
		}
		tg.mustBeginWrite(h, s)
		tg.advance(took)
		tg.gateway.HandleResponseHead(h, s.Attempt, false, endpoints.Load{})
		tg.gateway.HandleFirstEvent(h, s.Attempt)
		tg.advance(100 * time.Millisecond)
		tg.gateway.HandleDelivery(h, s.Attempt, Delivery{Status: 200, Events: 3, Delimited: true})
	}
	if sent["models-0"] > 6 {
		t.Errorf("%v of 60 long prompts, most of them for the slow endpoint models-0", sent)
	}
}
