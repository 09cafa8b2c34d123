package gateway

import (
	"testing"
	"time"

	"anvilcross/kernel/endpoints"
)

func (tg *testGateway) wantRelay(h RequestHandle, s *Send, response Response, want bool) {
	tg.t.Helper()
	if got := tg.gateway.BeginRelay(h, s.Attempt, response); got != want {
		tg.t.Fatalf("request %d: attempt %d may be relayed: %v, want %v", h, s.Attempt, got, want)
	}
}

// sendSilent sends a request whose first attempt gets no response in time, and returns both
// attempts.
func (tg *testGateway) sendSilent(path string) (h RequestHandle, first, second *Send) {
	tg.t.Helper()
	h = tg.sendRequest(path, nil)
	first = tg.wantSend(h)
	tg.mustBeginWrite(h, first)
	for range 40 {
		if second = tg.wantSend(h); second != first {
			return h, first, second
		}
		tg.advance(100 * time.Millisecond)
	}
	tg.t.Fatal("no second attempt")
	return h, first, second
}

// Two attempts of a request write to its caller.
func TestOneAttemptWritesToTheCaller(t *testing.T) {
	events, whole, failed := Response{}, Response{Complete: true}, Response{Complete: true, Error: true}
	t.Run("events of an attempt that was given up", func(t *testing.T) {
		tg := newConfigured(t)
		h, first, second := tg.sendSilent("/verse/")
		tg.wantRelay(h, first, events, false)
		tg.mustBeginWrite(h, second)
		tg.wantRelay(h, second, events, true)
		tg.wantRelay(h, first, whole, false)
	})
	t.Run("an attempt is given up while it is relayed", func(t *testing.T) {
		tg := newConfigured(t)
		h := tg.sendRequest("/verse/", nil)
		s := tg.wantSend(h)
		tg.mustBeginWrite(h, s)
		tg.wantRelay(h, s, events, true)
		tg.advance(10 * time.Second)
		tg.wantSteps(h, 1)
	})
	t.Run("a whole response before the next attempt is written", func(t *testing.T) {
		tg := newConfigured(t)
		h, first, second := tg.sendSilent("/lookup/")
		tg.wantRelay(h, first, failed, false)
		tg.wantRelay(h, first, whole, true)
		if tg.gateway.BeginWrite(h, second.Attempt) || tg.gateway.InFlight() != 0 {
			t.Fatal("the request goes on")
		}
	})
	t.Run("a request that may not be repeated and has been answered", func(t *testing.T) {
		tg := newConfigured(t)
		h := tg.sendRequest("/draft/", nil)
		s := tg.wantSend(h)
		tg.mustBeginWrite(h, s)
		tg.advance(15 * time.Second)
		tg.wantAnswer(h, TimedOut)
		tg.wantRelay(h, s, events, false)
		tg.wantRelay(h, s, whole, true)
	})
	t.Run("a forwarded request that has been answered", func(t *testing.T) {
		c := newCutOffGateway(t)
		c.losePath()
		h := c.sendRequest("/order/x", nil)
		s := c.wantForward(h)
		c.mustBeginWrite(h, s)
		c.wantRelay(h, s, events, true)
		c.advance(2 * time.Second)
		c.wantRelay(h, s, events, false)
	})
}

// After a pause of the process, an attempt is given up although its response has arrived, and the
// endpoint's work is done again elsewhere.
func TestAttemptsOutliveAPauseInWhichTheirResponseArrived(t *testing.T) {
	pause := func(t *testing.T) (*testGateway, RequestHandle, *Send) {
		tg := newConfigured(t)
		h := tg.sendRequest("/verse/", nil)
		s := tg.wantSend(h)
		tg.mustBeginWrite(h, s)
		tg.timers.Advance(tg.timers.Now().Add(4 * time.Second))
		tg.wantSteps(h, 1)
		return tg, h, s
	}
	t.Run("it arrived", func(t *testing.T) {
		tg, h, s := pause(t)
		tg.gateway.HandleResponseHead(h, s.Attempt, false, endpoints.Load{})
		tg.advance(time.Second)
		tg.wantSteps(h, 1)
	})
	t.Run("it did not", func(t *testing.T) {
		tg, h, _ := pause(t)
		tg.advance(pauseReadTime)
		tg.wantSteps(h, 2)
	})
}
