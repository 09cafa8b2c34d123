package gateway

import (
	"testing"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/message"
	"anvilcross/kernel/replica"
)

const poison = 42

// crash lets a request crash the endpoint that it is sent to.
func (w *world) crash(path string) {
	w.t.Helper()
	h := w.arrive(path, func(a *CallerRequest) { a.Digest = poison })
	s := w.wantSend(h)
	w.mayWrite(h, s)
	w.gateway.HandleFailure(h, s.Attempt, Broken, "", "reset")
	w.gateway.HandleCallerLeft(h)
	w.gateway.HandleChanges([]replica.Record{{Key: string(s.Endpoint), Revision: w.gateway.AsOf() + 1, Removed: true}}, w.gateway.AsOf()+1)
	w.pass(3 * time.Second)
}

// A request that crashes each endpoint that runs it comes again under new ids.
func TestCrashingContentIsStopped(t *testing.T) {
	t.Run("after three crashes", func(t *testing.T) {
		w := configured(t)
		for range poisonCrashes {
			w.crash("/draft/")
		}
		w.wantAnswer(w.arrive("/draft/", func(a *CallerRequest) { a.Digest = poison }), Quarantined)
	})
	t.Run("by the word of other instances", func(t *testing.T) {
		w := configured(t)
		var seen []message.Crash
		for n := range poisonCrashes {
			seen = append(seen, message.Crash{Digest: poison, Endpoint: listing("models", n).Name, Service: "models", Age: time.Duration(10*n+5) * time.Second})
		}
		w.gateway.HandleMessage(message.Envelope{From: "two", Ping: &message.Ping{Crashes: seen}})
		w.wantAnswer(w.arrive("/draft/", func(a *CallerRequest) { a.Digest = poison }), Quarantined)
	})
	t.Run("other contents go on", func(t *testing.T) {
		w := configured(t)
		for range 2 {
			w.crash("/draft/")
		}
		w.wantSend(w.arrive("/draft/", nil))
	})
}

// Answers that are lost (answer_lost) are no crashes: the endpoint goes on.
func TestLostAnswersAreNoCrashes(t *testing.T) {
	w := configured(t)
	for range 6 {
		h := w.arrive("/order/", func(a *CallerRequest) { a.Digest = poison })
		s := w.wantSend(h)
		w.mayWrite(h, s)
		w.gateway.HandleFailure(h, s.Attempt, Broken, "", "reset")
		w.pass(4 * time.Second)
		next := w.arrive("/order/", nil)
		n := w.wantSend(next)
		w.mayWrite(next, n)
		w.gateway.HandleResponseHead(next, n.Attempt, false, endpoints.Load{})
		w.gateway.HandleDelivery(next, n.Attempt, Delivery{Status: 200})
	}
	w.wantSend(w.arrive("/order/", func(a *CallerRequest) { a.Digest = poison }))
}
