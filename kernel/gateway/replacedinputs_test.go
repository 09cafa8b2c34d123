package gateway

import (
	"testing"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/replica"
)

// replacedInputs is a gateway with a request whose second stage is at the batcher "two" with
// inputs that have been computed again, since the first ones were lost.
type replacedInputs struct {
	*testGateway
	request *request
	// revision is that of the first inputs, and lost one of them.
	revision int
	lost     message.ResultHandle
}

func newReplacedInputs(t *testing.T) *replacedInputs {
	t.Helper()
	g := &replacedInputs{testGateway: newConfigured(t)}
	g.gateway.HandleMessage(message.Envelope{From: "two", Ping: &message.Ping{Member: testMember("two")}})
	g.gateway.batcherCache[ident.Pool{Service: "planning"}] = "two"
	h := g.sendRequest("/verse/", func(c *CallerRequest) { c.PieceCounts = []int{1, 2} })
	g.request = g.gateway.requests[h]
	g.advance(200 * time.Millisecond)
	g.finishCalls(1)
	g.advance(10 * time.Millisecond)
	g.lost, g.revision = g.request.stages[0].Handles[0], g.request.stages.InputsRevision(1)
	g.reportGone(g.revision)
	g.wantRecomputes(1)
	g.gateway.batcherCache[ident.Pool{Service: "planning"}] = "two"
	g.advance(200 * time.Millisecond)
	g.finishCalls(1)
	g.advance(10 * time.Millisecond)
	if s := &g.request.stages[1]; !s.Submitted || s.Batcher != "two" {
		t.Fatalf("the second stage is at %q", s.Batcher)
	}
	return g
}

// reportGone lets the batcher report that an input of the second stage is gone.
func (g *replacedInputs) reportGone(revision int) {
	g.gateway.HandleMessage(message.Envelope{From: "two", StageResults: &message.StageResults{Service: "planning", Results: []message.PieceResult{
		{ID: message.PieceID{Request: g.request.incoming.ID, Stage: 1}, Outcome: message.PieceInputGone, InputsRevision: revision},
	}}})
}

// reportFetched lets the batcher report that the inputs of a piece have been fetched.
func (g *replacedInputs) reportFetched(revision int) {
	g.gateway.HandleMessage(message.Envelope{From: "two", StageInputsFetched: &message.StageInputsFetched{Pieces: []message.PieceID{{Request: g.request.incoming.ID, Stage: 1}}, InputsRevisions: []int{revision}}})
}

func (g *replacedInputs) wantRecomputes(want int) {
	g.t.Helper()
	if got := g.request.recomputes; got != want {
		g.t.Fatalf("results were computed again %d times, want %d", got, want)
	}
}

// Reports about inputs that have been replaced since count as another loss, and end the request
// after the fifth.
func TestReportsAboutReplacedInputs(t *testing.T) {
	t.Run("an input is gone", func(t *testing.T) {
		g := newReplacedInputs(t)
		for range maxRecomputes + 1 {
			g.reportGone(g.revision)
		}
		g.wantRecomputes(1)
		if g.request.finished || !g.request.stages.InputsReady(1) {
			t.Fatal("the request has lost its inputs")
		}
	})
	t.Run("a present input is gone", func(t *testing.T) {
		g := newReplacedInputs(t)
		g.reportGone(g.request.stages.InputsRevision(1))
		g.wantRecomputes(2)
	})
	t.Run("a batcher of an earlier version reports", func(t *testing.T) {
		g := newReplacedInputs(t)
		g.reportGone(0)
		g.wantRecomputes(2)
	})
	t.Run("inputs were fetched", func(t *testing.T) {
		g := newReplacedInputs(t)
		g.reportFetched(g.revision)
		if g.request.stages[1].InputsFetched.Has(0) {
			t.Error("a report on the first inputs counts")
		}
		g.reportFetched(g.request.stages.InputsRevision(1))
		if !g.request.stages[1].InputsFetched.Has(0) {
			t.Error("a report on the present inputs does not count")
		}
	})
	t.Run("a lost result is reported once more", func(t *testing.T) {
		g := newReplacedInputs(t)
		g.reportGone(g.request.stages.InputsRevision(1))
		g.gateway.HandleMessage(message.Envelope{From: "one", StageResults: &message.StageResults{Service: "registry", Results: []message.PieceResult{
			{ID: message.PieceID{Request: g.request.incoming.ID}, Outcome: message.PieceDone, Handle: g.lost},
		}}})
		if got := g.request.stages[0].Handles[0]; got == g.lost {
			t.Fatal("the stage has its lost result")
		}
	})
}

// A result of a process that has been replaced at its address counts as existing, so that a
// sound result is taken for the lost one.
func TestResultsOfReplacedProcessesAreLost(t *testing.T) {
	tg := newConfigured(t)
	h := tg.sendRequest("/verse/", func(c *CallerRequest) { c.PieceCounts = []int{1, 1} })
	r := tg.gateway.requests[h]
	tg.advance(200 * time.Millisecond)
	tg.finishCalls(1)
	tg.advance(time.Millisecond)
	result, holder := r.stages[0].Handles[0], r.stages[0].Holders[0]
	if tg.gateway.isLost(result, holder) {
		t.Fatal("a result counts as lost")
	}
	e := tg.gateway.directory.ByAddress(result.Address())
	l := e.Listing
	l.StartedUnixMillis++
	tg.gateway.HandleChanges([]replica.Record{testRecord(t, string(l.Name), 2, l)}, 2)
	if !tg.gateway.isLost(result, holder) {
		t.Fatal("the result of a replaced process does not count as lost")
	}
}
