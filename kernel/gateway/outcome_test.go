package gateway

import (
	"testing"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/origin"
)

// A request with 17 ms left was answered NotRun by its timeout while the entry
// server was about to write its attempt, which must then be refused
// (pelletier-jars trouble-1).
func TestNoWriteAfterNotRun(t *testing.T) {
	tg := newConfigured(t)
	h := tg.sendRequest("/order/", func(c *CallerRequest) { c.Timeout = 17 * time.Millisecond })
	s := tg.wantSend(h)
	tg.advance(20 * time.Millisecond)
	tg.wantAnswer(h, NotRun)
	if tg.gateway.BeginWrite(h, s.Attempt) {
		t.Fatal("the attempt may be written although the caller was told that the request has not run")
	}
}

func TestOutcomeOfFailedAttempts(t *testing.T) {
	cases := []struct {
		name       string
		path       string
		written    bool
		failure    AttemptFailure
		wantRetry  bool
		wantAnswer Answer
	}{
		{"unreached unsafe goes elsewhere", "/order/", false, NotSent, true, 0},
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
			tg := newConfigured(t)
			h := tg.sendRequest(c.path, nil)
			first := tg.wantSend(h)
			if c.written {
				tg.mustBeginWrite(h, first)
			}
			tg.gateway.HandleFailure(h, first.Attempt, c.failure, "", "test")
			if !c.wantRetry {
				tg.wantAnswer(h, c.wantAnswer)
				return
			}
			if second := tg.wantSend(h); second.Endpoint == first.Endpoint {
				t.Fatalf("the retry was sent to %s again", first.Endpoint)
			}
		})
	}
}

func TestAnswerAfterTimeout(t *testing.T) {
	t.Run("written", func(t *testing.T) {
		tg := newConfigured(t)
		h := tg.sendRequest("/order/", nil)
		tg.mustBeginWrite(h, tg.wantSend(h))
		tg.advance(1200 * time.Millisecond)
		tg.wantAnswer(h, TimedOut)
	})
	t.Run("not written", func(t *testing.T) {
		tg := newConfigured(t)
		h := tg.sendRequest("/order/", nil)
		tg.wantSend(h)
		tg.advance(1200 * time.Millisecond)
		tg.wantAnswer(h, NotRun)
	})
	t.Run("written at an endpoint that declined", func(t *testing.T) {
		tg := newConfigured(t)
		h := tg.sendRequest("/order/", nil)
		for range 2 {
			s := tg.wantSend(h)
			tg.mustBeginWrite(h, s)
			tg.gateway.HandleFailure(h, s.Attempt, Declined, "", "full")
		}
		tg.advance(1200 * time.Millisecond)
		tg.wantAnswer(h, NotRun)
	})
}

func TestLateReportOfAnEarlierAttemptIsIgnored(t *testing.T) {
	tg := newConfigured(t)
	h := tg.sendRequest("/lookup/", nil)
	first := tg.wantSend(h)
	tg.mustBeginWrite(h, first)
	tg.gateway.HandleFailure(h, first.Attempt, Broken, "", "reset")
	second := tg.wantSend(h)
	tg.mustBeginWrite(h, second)
	tg.gateway.HandleFailure(h, first.Attempt, Broken, "", "cancelled")
	tg.gateway.HandleResponseHead(h, second.Attempt, false, endpoints.Load{})
	tg.gateway.HandleDelivery(h, second.Attempt, Delivery{Status: 200})
	tg.wantSteps(h, 2)
}

func TestBrokenStreamResumesAfterLastEvent(t *testing.T) {
	tg := newConfigured(t)
	h := tg.sendRequest("/verse/", nil)
	first := tg.wantSend(h)
	tg.mustBeginWrite(h, first)
	tg.gateway.HandleResponseHead(h, first.Attempt, false, endpoints.Load{})
	tg.gateway.HandleFirstEvent(h, first.Attempt)
	tg.gateway.HandleFailure(h, first.Attempt, Broken, "7", "reset")
	second := tg.wantSend(h)
	if second.LastEventID != "7" || !second.HeadSent {
		t.Fatalf("got LastEventID %q and HeadSent %v, want 7 and true", second.LastEventID, second.HeadSent)
	}
}

func TestAdmissionAnswers(t *testing.T) {
	t.Run("no configuration", func(t *testing.T) {
		tg := newTestGateway(t)
		h := tg.sendRequest("/order/", nil)
		tg.wantAnswer(h, NotRun)
		if tg.lastStep(h).RetryAfter <= 0 {
			t.Fatal("the answer has no RetryAfter")
		}
	})
	t.Run("unknown route", func(t *testing.T) {
		tg := newConfigured(t)
		tg.wantAnswer(tg.sendRequest("/nothing/", nil), UnknownRoute)
	})
	t.Run("unknown key", func(t *testing.T) {
		tg := newConfigured(t)
		tg.wantAnswer(tg.sendRequest("/order/", func(c *CallerRequest) { c.Key = "other" }), UnknownKey)
	})
}

// A response that breaks off after a part of it has reached the caller must not
// be followed by that of another endpoint.
func TestPartlyRelayedResponseIsNotRetried(t *testing.T) {
	tg := newConfigured(t)
	h := tg.sendRequest("/lookup/", nil)
	s := tg.wantSend(h)
	tg.mustBeginWrite(h, s)
	tg.gateway.HandleResponseHead(h, s.Attempt, false, endpoints.Load{})
	tg.gateway.HandlePartialRelay(h, s.Attempt)
	tg.gateway.HandleFailure(h, s.Attempt, Broken, "", "reset")
	tg.wantAnswer(h, BrokenOff)
	tg.wantSteps(h, 2)
}

// A body other than a stream, in answer to a request that takes up a stream, breaks off after
// its beginning was relayed, and the events of another endpoint follow it in the same answer.
func TestPartlyRelayedBodyIsNotGoneOnWith(t *testing.T) {
	tg := newConfigured(t)
	tg.gateway.recordOrigins([]origin.Entry{{Stream: "first", Origin: origin.Origin{Service: "models", Version: "v1"}}})
	h := tg.sendRequest("/verse/", func(c *CallerRequest) { c.Resumes, c.LastEventID = "first", "5" })
	s := tg.wantSend(h)
	tg.mustBeginWrite(h, s)
	tg.gateway.HandleResponseHead(h, s.Attempt, true, endpoints.Load{})
	tg.gateway.HandlePartialRelay(h, s.Attempt)
	tg.gateway.HandleFailure(h, s.Attempt, Broken, "", "unexpected EOF")
	tg.wantAnswer(h, BrokenOff)
}
