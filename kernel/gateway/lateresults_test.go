package gateway

import (
	"testing"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
)

// lateBatcher is a gateway whose stage work went to the batcher "two", which did not report for so
// long that the work was submitted to this instance.
type lateBatcher struct {
	*testGateway
	handle  RequestHandle
	request *request
}

func newLateBatcher(t *testing.T, path string, pieces ...int) *lateBatcher {
	t.Helper()
	b := &lateBatcher{testGateway: newConfigured(t)}
	b.gateway.HandleMessage(message.Envelope{From: "two", Ping: &message.Ping{Member: testMember("two")}})
	b.gateway.batcherCache[ident.Pool{Service: "registry"}] = "two"
	b.handle = b.sendRequest(path, func(c *CallerRequest) { c.PieceCounts = pieces })
	b.request = b.gateway.requests[b.handle]
	if got := b.request.stages[0].Batcher; got != "two" {
		t.Fatalf("the first stage is at batcher %q, want two", got)
	}
	for range 20 {
		b.advance(100 * time.Millisecond)
		if b.request.stages[0].Batcher == "one" {
			b.advance(200 * time.Millisecond)
			return b
		}
	}
	t.Fatal("the work was not submitted again")
	return b
}

// report lets a batcher report the outcome of all pieces of the first stage.
func (b *lateBatcher) report(from ident.Instance, outcome message.PieceOutcome) {
	m := message.StageResults{Service: "registry"}
	for piece := range b.request.stages[0].PieceCount {
		m.Results = append(m.Results, message.PieceResult{ID: message.PieceID{Request: b.request.incoming.ID, Piece: piece}, Outcome: outcome})
	}
	b.gateway.HandleMessage(message.Envelope{From: from, StageResults: &m})
	b.advance(10 * time.Millisecond)
}

// wantUnchanged checks that a report changes nothing for the request and the results that it has.
func (b *lateBatcher) wantUnchanged(steps int) {
	b.t.Helper()
	b.wantSteps(b.handle, steps)
	if len(b.freed) > 0 {
		b.t.Fatalf("%d results are freed", len(b.freed))
	}
	if r := b.request; r.finished || r.stages[0].MissingCount > 0 || r.recomputes > 0 {
		b.t.Fatalf("finished: %v, %d results are missing, recomputed %d times", r.finished, r.stages[0].MissingCount, r.recomputes)
	}
}

var lateOutcomes = []message.PieceOutcome{message.PieceRefused, message.PieceFailed, message.PieceExpired, message.PieceInputGone, message.PieceMoved}

// A late report on a stage tells a caller that its request has not run while an endpoint runs it,
// or frees the results that the endpoint still has to fetch, or stops the request's timer.
func TestLateReportsOnPiecesDoNotEndRequestsThatRun(t *testing.T) {
	for _, outcome := range lateOutcomes {
		t.Run(string(outcome), func(t *testing.T) {
			b := newLateBatcher(t, "/draft/", 4)
			b.finishCalls(1)
			b.advance(time.Millisecond)
			s := b.wantSend(b.handle)
			b.mustBeginWrite(b.handle, s)
			b.report("two", outcome)
			b.report("one", outcome)
			b.wantUnchanged(1)
			b.advance(15 * time.Second)
			b.wantAnswer(b.handle, TimedOut)
		})
	}
}

// A late report on a piece that has its result ends a request whose next stage runs.
func TestLateReportsOnPiecesWithResults(t *testing.T) {
	for _, outcome := range lateOutcomes {
		t.Run(string(outcome), func(t *testing.T) {
			b := newLateBatcher(t, "/verse/", 1, 4)
			b.finishCalls(1)
			b.advance(time.Millisecond)
			b.report("two", outcome)
			b.report("one", outcome)
			b.wantUnchanged(0)
		})
	}
}

// A report of a batcher on work that another one has since ends the request, or has the other
// one's work done twice.
func TestReportsOnPiecesThatAnotherBatcherHas(t *testing.T) {
	for _, outcome := range lateOutcomes {
		t.Run(string(outcome), func(t *testing.T) {
			b := newLateBatcher(t, "/draft/", 4)
			b.report("two", outcome)
			b.wantSteps(b.handle, 0)
			if got := b.request.stages[0].Batcher; got != "one" {
				t.Fatalf("the stage is at batcher %q, want one", got)
			}
			b.finishCalls(1)
			b.advance(time.Millisecond)
			b.wantSend(b.handle)
		})
	}
	t.Run("the batcher that has them refuses", func(t *testing.T) {
		b := newLateBatcher(t, "/draft/", 4)
		b.report("one", message.PieceRefused)
		b.wantAnswer(b.handle, NotRun)
	})
}

// Stage work that is lost while an endpoint runs the request is submitted again, and the request
// ends if that cannot be done.
func TestLostStageWorkDoesNotEndRequestsThatRun(t *testing.T) {
	b := newLateBatcher(t, "/verse/", 1, 4)
	b.finishCalls(1)
	b.advance(200 * time.Millisecond)
	b.finishCalls(1)
	b.advance(time.Millisecond)
	s := b.wantSend(b.handle)
	b.mustBeginWrite(b.handle, s)
	b.request.recomputes = maxRecomputes
	b.gateway.recomputeResults(b.request, []int{1})
	b.advance(time.Millisecond)
	b.wantSteps(b.handle, 1)
	if b.request.finished {
		t.Fatal("the request is answered while it runs")
	}
}
