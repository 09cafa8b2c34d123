package gateway

import (
	"testing"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/replica"
)

// newWithModels returns a configured test gateway with count model endpoints.
func newWithModels(t *testing.T, count int) *testGateway {
	t.Helper()
	tg := newConfigured(t)
	var records []replica.Record
	for n := range count {
		l := testListing("models", n)
		records = append(records, testRecord(t, string(l.Name), 2, l))
	}
	tg.gateway.HandleChanges(records, 2)
	return tg
}

// A quarter of the model endpoints crash at once (fault srv_crash). They refuse
// connections and are tried first, since they run nothing and look the least
// busy.
func TestRequestsSurviveCrashedEndpoints(t *testing.T) {
	const models, crashed, requests = 40, 10, 30
	isCrashed := func(e ident.Endpoint) bool {
		for n := range crashed {
			if e == testListing("models", n).Name {
				return true
			}
		}
		return false
	}
	t.Run("a request finds one that lives", func(t *testing.T) {
		tg := newWithModels(t, models)
		for _, e := range tg.gateway.directory.ByService("models") {
			if !isCrashed(e.Name) {
				e.PeerRequests = 30
			}
		}
		for range requests {
			h := tg.sendRequest("/draft/x", nil)
			for tg.lastStep(h).Send != nil && isCrashed(tg.lastStep(h).Send.Endpoint) {
				tg.gateway.HandleFailure(h, tg.lastStep(h).Send.Attempt, NotSent, "", "connection refused")
			}
			tg.wantSend(h)
		}
	})
	t.Run("the word of others keeps requests from them", func(t *testing.T) {
		tg := newWithModels(t, models)
		ages := map[ident.Endpoint]time.Duration{}
		for n := range crashed {
			ages[testListing("models", n).Name] = 10 * time.Millisecond
		}
		tg.gateway.HandleMessage(message.Envelope{From: "two", Ping: &message.Ping{Member: testMember("two"), RecentlyUnreachable: ages}})
		for range requests {
			if s := tg.wantSend(tg.sendRequest("/draft/x", nil)); isCrashed(s.Endpoint) {
				t.Fatalf("sent to the crashed endpoint %s", s.Endpoint)
			}
		}
	})
	t.Run("the word of one who reaches nobody says nothing", func(t *testing.T) {
		tg := newWithModels(t, models)
		ages := map[ident.Endpoint]time.Duration{}
		for n := range models {
			ages[testListing("models", n).Name] = 10 * time.Millisecond
		}
		tg.gateway.HandleMessage(message.Envelope{From: "two", Ping: &message.Ping{Member: testMember("two"), RecentlyUnreachable: ages}})
		if reported := tg.gateway.directory.RecentlyUnreachable(tg.timers.Now()); len(reported) > 0 {
			t.Fatalf("%d endpoints count as unreachable, want none", len(reported))
		}
	})
	t.Run("an endpoint whose address another has is not tried again", func(t *testing.T) {
		tg := newWithModels(t, models)
		h := tg.sendRequest("/verse/x", nil)
		s := tg.wantSend(h)
		tg.gateway.HandleFailure(h, s.Attempt, Replaced, "", "misdirected")
		tg.advance(2 * time.Second)
		for _, e := range tg.gateway.directory.Candidates(tg.timers.Now(), "models", nil) {
			if e.Name == s.Endpoint {
				t.Fatalf("replaced endpoint %s is still a candidate", s.Endpoint)
			}
		}
	})
}

// A caller that receives nothing gives up long before its deadline. The pieces
// of its stages must not be given more time than that.
func TestStagesEndBeforeTheCallerGivesUp(t *testing.T) {
	tg := newConfigured(t)
	tg.sendRequest("/draft/x", func(c *CallerRequest) { c.PieceCounts, c.Timeout = []int{1}, 15*time.Second })
	tg.advance(time.Millisecond)
	if len(tg.calls) != 1 {
		t.Fatalf("%d stage calls, want 1", len(tg.calls))
	}
	route := tg.gateway.Catalog().MatchRoute("h", "/draft/x")
	if left, most := tg.calls[0].Items[0].Remaining, route.AbandonAfter(); left > most {
		t.Fatalf("a piece may take %v, but the caller gives up after %v", left, most)
	}
}
