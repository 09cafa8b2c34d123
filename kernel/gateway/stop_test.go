package gateway

import (
	"testing"
	"time"

	"anvilcross/kernel/endpoints"
)

// newStopping returns a gateway whose shutdown, which may take seven seconds, began a while ago.
func newStopping(t *testing.T, ago time.Duration) *testGateway {
	t.Helper()
	tg := newConfigured(t)
	tg.gateway.config.StopLimit = 7 * time.Second
	tg.gateway.BeginShutdown()
	tg.advance(ago)
	return tg
}

// A request that has less time left than it needs is sent late in a planned stop, and is cut
// off without an answer; an unsafe one may have run then.
func TestNothingIsSentThatTheStopWouldCutOff(t *testing.T) {
	for _, path := range []string{"/order/", "/lookup/"} {
		t.Run(path+" that comes in time", func(t *testing.T) {
			tg := newStopping(t, 5500*time.Millisecond)
			tg.wantSend(tg.sendRequest(path, nil))
		})
		t.Run(path+" that comes late", func(t *testing.T) {
			tg := newStopping(t, 6*time.Second)
			tg.wantAnswer(tg.sendRequest(path, nil), NotRun)
		})
		t.Run(path+" with little patience that comes late", func(t *testing.T) {
			tg := newStopping(t, 6*time.Second)
			tg.wantSend(tg.sendRequest(path, func(c *CallerRequest) { c.Timeout = 500 * time.Millisecond }))
		})
	}
	t.Run("a stream that is connected late", func(t *testing.T) {
		tg := newStopping(t, 2*time.Second)
		h := tg.sendRequest("/draft/", nil)
		s := tg.wantSend(h)
		tg.advance(2 * time.Second)
		if tg.gateway.BeginWrite(h, s.Attempt) {
			t.Error("the attempt may be written")
		}
		tg.wantAnswer(h, NotRun)
	})
	t.Run("a stream whose stages end late", func(t *testing.T) {
		tg := newStopping(t, 2*time.Second)
		h := tg.sendRequest("/draft/", func(c *CallerRequest) { c.PieceCounts = []int{1} })
		tg.advance(2 * time.Second)
		tg.replyTo(tg.calls[0])
		tg.advance(time.Millisecond)
		tg.wantAnswer(h, NotRun)
	})
	t.Run("a stream that is gone on with late", func(t *testing.T) {
		tg := newConfigured(t)
		tg.gateway.config.StopLimit = 7 * time.Second
		h := tg.sendRequest("/verse/", nil)
		s := tg.wantSend(h)
		tg.mustBeginWrite(h, s)
		tg.gateway.HandleResponseHead(h, s.Attempt, false, endpoints.Load{})
		tg.gateway.HandleFirstEvent(h, s.Attempt)
		tg.gateway.BeginShutdown()
		tg.advance(6500 * time.Millisecond)
		tg.gateway.HandleFailure(h, s.Attempt, Broken, "5", "unexpected EOF")
		tg.wantAnswer(h, BrokenOff)
	})
	t.Run("a stream is not sent again late", func(t *testing.T) {
		tg := newStopping(t, 2*time.Second)
		h := tg.sendRequest("/verse/", nil)
		s := tg.wantSend(h)
		tg.mustBeginWrite(h, s)
		tg.advance(2 * time.Second)
		tg.gateway.HandleFailure(h, s.Attempt, Broken, "", "unexpected EOF")
		tg.wantAnswer(h, MayHaveRun)
	})
}

// A request that an endpoint has when the time for a planned stop is over is cut off without
// an answer.
func TestUnfinishedRequestsAreAnsweredAtTheEndOfAStop(t *testing.T) {
	tg := newStopping(t, 0)
	order, waiting, stream := tg.sendRequest("/order/", nil), tg.sendRequest("/order/", nil), tg.sendRequest("/verse/", nil)
	tg.mustBeginWrite(order, tg.wantSend(order))
	s := tg.wantSend(stream)
	tg.mustBeginWrite(stream, s)
	tg.gateway.HandleResponseHead(stream, s.Attempt, false, endpoints.Load{})
	tg.gateway.HandleFirstEvent(stream, s.Attempt)
	tg.gateway.EndUnfinished()
	tg.wantAnswer(order, MayHaveRun)
	tg.wantAnswer(waiting, NotRun)
	tg.wantSteps(stream, 1)
}
