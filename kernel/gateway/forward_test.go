package gateway

import (
	"testing"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/paths"
)

// cutOffGateway is a gateway whose connections to endpoints are refused, with other members
// that accept forwarded requests.
type cutOffGateway struct {
	*testGateway
	result paths.Result
}

func newCutOffGateway(t *testing.T) *cutOffGateway {
	t.Helper()
	c := &cutOffGateway{testGateway: newConfigured(t), result: paths.Refused}
	c.gateway.out.CheckEndpoint = func(e ident.Endpoint, _ string) {
		c.timers.After(time.Millisecond, func() { c.gateway.HandleEndpointChecked(e, c.result) })
	}
	c.meetMembers()
	return c
}

// meetMembers lets the gateway hear from the other members.
func (c *cutOffGateway) meetMembers() {
	for _, name := range []ident.Instance{"two", "three", "four", "five", "six"} {
		m := testMember(name)
		m.AcceptsForwards = true
		c.gateway.HandleMessage(message.Envelope{From: name, Ping: &message.Ping{Member: m}})
	}
}

// losePath lets a request fail at all endpoints, so that the path is known to be lost.
func (c *cutOffGateway) losePath() {
	c.t.Helper()
	h := c.sendRequest("/order/x", nil)
	c.failEverywhere(h)
	c.gateway.HandleCallerLeft(h)
	c.advance(10 * time.Millisecond)
	if !c.gateway.paths.Lost("orders") {
		c.t.Fatal("the path is not lost")
	}
}

// failEverywhere lets a request's attempts at endpoints fail unsent.
func (c *cutOffGateway) failEverywhere(h RequestHandle) {
	for range 3 {
		if s := c.lastStep(h).Send; s != nil && s.Member == "" {
			c.gateway.HandleFailure(h, s.Attempt, NotSent, "", "connection refused")
		}
	}
	c.advance(10 * time.Millisecond)
}

func (c *cutOffGateway) wantForward(h RequestHandle) *Send {
	c.t.Helper()
	s := c.wantSend(h)
	if s.Member == "" {
		c.t.Fatalf("request %d: sent to the endpoint %s, want it to be forwarded", h, s.Endpoint)
	}
	return s
}

// A request that was under way when the path was lost is refused.
func TestRequestsUnderWayAreForwarded(t *testing.T) {
	t.Run("not sent", func(t *testing.T) {
		c := newCutOffGateway(t)
		h := c.sendRequest("/order/x", nil)
		c.failEverywhere(h)
		if s := c.wantForward(h); s.Forwarding.Sends != 0 || s.Forwarding.By != "one" {
			t.Fatalf("got %+v", s.Forwarding)
		}
	})
	t.Run("broken", func(t *testing.T) {
		c := newCutOffGateway(t)
		h := c.sendRequest("/lookup/x", nil)
		s := c.wantSend(h)
		c.mustBeginWrite(h, s)
		c.gateway.HandleFailure(h, s.Attempt, Broken, "", "reset")
		c.failEverywhere(h)
		if s := c.wantForward(h); s.Forwarding.Sends != 1 {
			t.Fatalf("got %+v, want one send", s.Forwarding)
		}
	})
	t.Run("its stages are done", func(t *testing.T) {
		c := newCutOffGateway(t)
		h := c.sendRequest("/draft/x", func(r *CallerRequest) { r.Timeout, r.PieceCounts = 15*time.Second, []int{0} })
		c.failEverywhere(h)
		c.wantForward(h)
	})
}

// Stages run at an instance that cannot send the request afterwards.
func TestRequestsAreForwardedBeforeTheirStages(t *testing.T) {
	c := newCutOffGateway(t)
	c.losePath()
	c.advance(20 * time.Millisecond)
	h := c.sendRequest("/draft/x", func(r *CallerRequest) { r.Timeout, r.PieceCounts = 15*time.Second, []int{1} })
	c.wantForward(h)
	c.advance(100 * time.Millisecond)
	if len(c.calls) > 0 {
		t.Fatalf("%d stage calls for a forwarded request", len(c.calls))
	}
}

// A refusal by a member ends the request though another one may serve it, or goes round.
func TestMembersAreTriedInTurn(t *testing.T) {
	elsewhere := ForwardAnswer{Answer: NotRun, RetryAfter: time.Second, Reason: "stopping", Elsewhere: true}
	t.Run("three members", func(t *testing.T) {
		c := newCutOffGateway(t)
		c.losePath()
		h := c.sendRequest("/order/x", nil)
		tried := map[ident.Instance]bool{}
		for range maxForwardTries {
			s := c.wantForward(h)
			tried[s.Member] = true
			c.gateway.HandleForwardAnswer(h, s.Attempt, elsewhere)
		}
		c.wantAnswer(h, NotRun)
		if len(tried) != maxForwardTries {
			t.Fatalf("tried %v", tried)
		}
	})
	t.Run("one that was not reached", func(t *testing.T) {
		c := newCutOffGateway(t)
		c.losePath()
		h := c.sendRequest("/order/x", nil)
		first := c.wantForward(h)
		c.gateway.HandleFailure(h, first.Attempt, NotSent, "", "refused")
		if second := c.wantForward(h); second.Member == first.Member {
			t.Fatalf("%s is tried twice", second.Member)
		}
	})
	t.Run("a hop that breaks", func(t *testing.T) {
		for _, path := range []string{"/order/x", "/lookup/x"} {
			c := newCutOffGateway(t)
			c.losePath()
			h := c.sendRequest(path, nil)
			s := c.wantForward(h)
			c.mustBeginWrite(h, s)
			c.gateway.HandleFailure(h, s.Attempt, Broken, "", "reset")
			c.wantAnswer(h, MayHaveRun)
		}
	})
	t.Run("a refusal of its own", func(t *testing.T) {
		c := newCutOffGateway(t)
		c.losePath()
		h := c.sendRequest("/order/x", nil)
		c.gateway.HandleForwardAnswer(h, c.wantForward(h).Attempt, ForwardAnswer{Answer: NotRun, RetryAfter: 7 * time.Second, Reason: "full"})
		c.wantAnswer(h, NotRun)
		if got := c.lastStep(h).RetryAfter; got != 7*time.Second {
			t.Fatalf("Retry-After is %v, want the member's", got)
		}
	})
	t.Run("members that report a loss are left out", func(t *testing.T) {
		c := newCutOffGateway(t)
		c.losePath()
		for _, name := range []ident.Instance{"two", "three", "four", "five"} {
			m := testMember(name)
			m.AcceptsForwards = true
			c.gateway.HandleMessage(message.Envelope{From: name, Ping: &message.Ping{Member: m, LostServices: []ident.Service{"orders"}}})
		}
		if s := c.wantForward(c.sendRequest("/order/x", nil)); s.Member != "six" {
			t.Fatalf("forwarded to %s, which has no path", s.Member)
		}
	})
}

// A member hands a forwarded request on, counts it as a request of its own callers although
// it has been sent before, or does not say that another one may serve it.
func TestForwardedRequests(t *testing.T) {
	forwarded := func(sends int) func(*CallerRequest) {
		return func(r *CallerRequest) { r.Forwarded = &Forwarding{By: "two", Sends: sends} }
	}
	t.Run("without a path", func(t *testing.T) {
		c := newCutOffGateway(t)
		c.losePath()
		h := c.sendRequest("/order/x", forwarded(0))
		c.wantAnswer(h, NotRun)
		if s := c.lastStep(h); !s.Elsewhere || !s.NoPath {
			t.Fatalf("got %+v", s)
		}
	})
	t.Run("in a shutdown", func(t *testing.T) {
		tg := newConfigured(t)
		tg.gateway.BeginShutdown()
		h := tg.sendRequest("/order/x", forwarded(0))
		tg.wantAnswer(h, NotRun)
		if s := tg.lastStep(h); !s.Elsewhere || s.NoPath {
			t.Fatalf("got %+v", s)
		}
	})
	t.Run("sent before", func(t *testing.T) {
		tg := newConfigured(t)
		h := tg.sendRequest("/lookup/x", forwarded(1))
		s := tg.wantSend(h)
		if n := tg.gateway.retryBudget.Requests(tg.timers.Now(), "orders"); n != 0 {
			t.Fatalf("%d requests count for the retry budget", n)
		}
		tg.mustBeginWrite(h, s)
		tg.gateway.HandleFailure(h, s.Attempt, Broken, "", "reset")
		tg.wantAnswer(h, MayHaveRun)
	})
	t.Run("too many", func(t *testing.T) {
		tg := newConfigured(t)
		for range maxForwardedIn {
			tg.wantSend(tg.sendRequest("/order/x", forwarded(0)))
		}
		h := tg.sendRequest("/order/x", forwarded(0))
		tg.wantAnswer(h, NotRun)
		if !tg.lastStep(h).Elsewhere {
			t.Fatal("no other member is tried")
		}
		tg.gateway.HandleCallerLeft(1)
		tg.wantSend(tg.sendRequest("/order/x", forwarded(0)))
	})
}

// Endpoints stay ejected after the path to them is back.
func TestEndpointsAreUsedWhenThePathIsBack(t *testing.T) {
	c := newCutOffGateway(t)
	for range 4 {
		c.losePath()
		c.result = paths.Accepted
		for n := 0; c.gateway.paths.Lost("orders"); n++ {
			if n > 2*8 {
				t.Fatal("the path is not back")
			}
			c.advance(pathProbePeriod)
		}
		c.result = paths.Refused
		c.meetMembers()
		if n := len(c.gateway.directory.Candidates(c.timers.Now(), "orders", nil)); n != 3 {
			t.Fatalf("%d endpoints are used after the path was back, want 3", n)
		}
		if s := c.wantSend(c.sendRequest("/order/x", nil)); s.Member != "" {
			t.Fatalf("forwarded to %s after the path was back", s.Member)
		}
	}
}
