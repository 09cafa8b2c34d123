package gateway

import (
	"testing"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/replica"
)

// manyModels returns a world with so many model endpoints.
func manyModels(t *testing.T, count int) *world {
	t.Helper()
	w := configured(t)
	var records []replica.Record
	for n := range count {
		l := listing("models", n)
		records = append(records, record(t, string(l.Name), 2, l))
	}
	w.gateway.HandleChanges(records, 2)
	return w
}

// A quarter of the model endpoints crash at once (srv_crash): they run nothing,
// so they look the least busy, and refuse connections.
func TestCrashedEndpointsTakeNoRequestsDown(t *testing.T) {
	const models, crashed, requests = 40, 10, 30
	gone := func(e ident.Endpoint) bool {
		for n := range crashed {
			if e == listing("models", n).Name {
				return true
			}
		}
		return false
	}
	t.Run("a request finds one that lives", func(t *testing.T) {
		w := manyModels(t, models)
		for _, e := range w.gateway.directory.Listed("models") {
			if !gone(e.Name) {
				e.Elsewhere = 30
			}
		}
		for range requests {
			h := w.arrive("/draft/x", nil)
			for w.last(h).Send != nil && gone(w.last(h).Send.Endpoint) {
				w.gateway.HandleFailure(h, w.last(h).Send.Attempt, Unreached, "", "connection refused")
			}
			w.wantSend(h)
		}
	})
	t.Run("the word of others keeps requests from them", func(t *testing.T) {
		w := manyModels(t, models)
		failed := map[ident.Endpoint]time.Duration{}
		for n := range crashed {
			failed[listing("models", n).Name] = 10 * time.Millisecond
		}
		w.gateway.HandleMessage(message.Envelope{From: "two", Ping: &message.Ping{Member: member("two"), Unreached: failed}})
		for range requests {
			if s := w.wantSend(w.arrive("/draft/x", nil)); gone(s.Endpoint) {
				t.Fatalf("sent to %s", s.Endpoint)
			}
		}
	})
	t.Run("the word of one who reaches nobody says nothing", func(t *testing.T) {
		w := manyModels(t, models)
		failed := map[ident.Endpoint]time.Duration{}
		for n := range models {
			failed[listing("models", n).Name] = 10 * time.Millisecond
		}
		w.gateway.HandleMessage(message.Envelope{From: "two", Ping: &message.Ping{Member: member("two"), Unreached: failed}})
		if told := w.gateway.directory.Unreached(w.timers.Now()); len(told) > 0 {
			t.Fatalf("%d endpoints are taken to be out of reach", len(told))
		}
	})
	t.Run("an endpoint whose address another has is not tried again", func(t *testing.T) {
		w := manyModels(t, models)
		h := w.arrive("/verse/x", nil)
		s := w.wantSend(h)
		w.gateway.HandleFailure(h, s.Attempt, Replaced, "", "misdirected")
		w.pass(2 * time.Second)
		for _, e := range w.gateway.directory.Candidates(w.timers.Now(), "models", nil) {
			if e.Name == s.Endpoint {
				t.Fatalf("%s gets work", s.Endpoint)
			}
		}
	})
}

// A caller that hears nothing gives up long before its deadline: its stages
// have to be done by then, or it is told at once.
func TestStagesEndBeforeTheCallerGivesUp(t *testing.T) {
	w := configured(t)
	w.arrive("/draft/x", func(a *CallerRequest) { a.PieceCounts, a.Timeout = []int{1}, 15*time.Second })
	w.pass(time.Millisecond)
	if len(w.calls) != 1 {
		t.Fatalf("%d calls", len(w.calls))
	}
	route := w.gateway.Catalog().Match("h", "/draft/x")
	if left, most := w.calls[0].Items[0].Remaining, route.GivenUpAfter(); left > most {
		t.Fatalf("a piece may take %v, the caller waits %v", left, most)
	}
}
