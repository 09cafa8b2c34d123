package gateway

import (
	"testing"
	"time"

	"anvilcross/kernel/endpoints"
)

// Seen on pelletier-jars trouble-1: a request with 17 ms left was answered
// "not run" by its time-out while its attempt was about to be written.
func TestNotRunForbidsLaterWriting(t *testing.T) {
	w := configured(t)
	h := w.arrive("/order/", func(a *CallerRequest) { a.Timeout = 17 * time.Millisecond })
	s := w.wantSend(h)
	w.pass(20 * time.Millisecond)
	w.wantAnswer(h, NotRun)
	if w.gateway.BeginWrite(h, s.Attempt) {
		t.Fatal("an attempt may be written after the caller was told that nothing ran")
	}
}

func TestOutcomeOfFailedAttempts(t *testing.T) {
	cases := []struct {
		name    string
		path    string
		written bool
		failure AttemptFailure
		again   bool
		answer  Answer
	}{
		{"unreached unsafe goes elsewhere", "/order/", false, Unreached, true, 0},
		{"declined unsafe goes elsewhere", "/order/", true, Declined, true, 0},
		{"replaced unsafe goes elsewhere", "/order/", true, Replaced, true, 0},
		{"broken unsafe may have run", "/order/", true, Broken, false, MayHaveRun},
		{"spoiled unsafe may have run", "/order/", true, InvalidResponse, false, MayHaveRun},
		{"broken safe goes elsewhere", "/lookup/", true, Broken, true, 0},
		{"spoiled safe goes elsewhere", "/lookup/", true, InvalidResponse, true, 0},
		{"broken stream may have run", "/draft/", true, Broken, false, MayHaveRun},
		{"broken resumable stream goes elsewhere", "/verse/", true, Broken, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := configured(t)
			h := w.arrive(c.path, nil)
			first := w.wantSend(h)
			if c.written {
				w.mayWrite(h, first)
			}
			w.gateway.HandleFailure(h, first.Attempt, c.failure, "", "test")
			if !c.again {
				w.wantAnswer(h, c.answer)
				return
			}
			if second := w.wantSend(h); second.Endpoint == first.Endpoint {
				t.Fatalf("sent to %s again", first.Endpoint)
			}
		})
	}
}

func TestTimeoutTellsWhatIsKnown(t *testing.T) {
	t.Run("written", func(t *testing.T) {
		w := configured(t)
		h := w.arrive("/order/", nil)
		w.mayWrite(h, w.wantSend(h))
		w.pass(1200 * time.Millisecond)
		w.wantAnswer(h, TimedOut)
	})
	t.Run("not written", func(t *testing.T) {
		w := configured(t)
		h := w.arrive("/order/", nil)
		w.wantSend(h)
		w.pass(1200 * time.Millisecond)
		w.wantAnswer(h, NotRun)
	})
	t.Run("written at an endpoint that declined", func(t *testing.T) {
		w := configured(t)
		h := w.arrive("/order/", nil)
		for range 2 {
			s := w.wantSend(h)
			w.mayWrite(h, s)
			w.gateway.HandleFailure(h, s.Attempt, Declined, "", "full")
		}
		w.pass(1200 * time.Millisecond)
		w.wantAnswer(h, NotRun)
	})
}

func TestLateReportOfAnEarlierAttemptIsIgnored(t *testing.T) {
	w := configured(t)
	h := w.arrive("/lookup/", nil)
	first := w.wantSend(h)
	w.mayWrite(h, first)
	w.gateway.HandleFailure(h, first.Attempt, Broken, "", "reset")
	second := w.wantSend(h)
	w.mayWrite(h, second)
	w.gateway.HandleFailure(h, first.Attempt, Broken, "", "cancelled")
	w.gateway.HandleResponseHead(h, second.Attempt, false, endpoints.Load{})
	w.gateway.HandleDelivery(h, second.Attempt, Delivery{Status: 200})
	w.wantSteps(h, 2)
}

func TestBrokenStreamGoesOnAfterTheLastEvent(t *testing.T) {
	w := configured(t)
	h := w.arrive("/verse/", nil)
	first := w.wantSend(h)
	w.mayWrite(h, first)
	w.gateway.HandleResponseHead(h, first.Attempt, false, endpoints.Load{})
	w.gateway.HandleFirstEvent(h, first.Attempt)
	w.gateway.HandleFailure(h, first.Attempt, Broken, "7", "reset")
	second := w.wantSend(h)
	if second.LastEventID != "7" || !second.HeadSent {
		t.Fatalf("got resume %q continued %v", second.LastEventID, second.HeadSent)
	}
}

func TestDoorAnswers(t *testing.T) {
	t.Run("no configuration", func(t *testing.T) {
		w := newWorld(t)
		h := w.arrive("/order/", nil)
		w.wantAnswer(h, NotRun)
		if w.last(h).RetryAfter <= 0 {
			t.Fatal("no time to come back is given")
		}
	})
	t.Run("unknown route", func(t *testing.T) {
		w := configured(t)
		w.wantAnswer(w.arrive("/nothing/", nil), UnknownRoute)
	})
	t.Run("unknown key", func(t *testing.T) {
		w := configured(t)
		w.wantAnswer(w.arrive("/order/", func(a *CallerRequest) { a.Key = "other" }), UnknownKey)
	})
}
