package gateway

import (
	"testing"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
)

// newReleasedInputs returns a gateway with a request whose second stage is at the batcher "two"
// and has fetched its inputs, which were freed early.
func newReleasedInputs(t *testing.T) (*testGateway, *request) {
	t.Helper()
	tg := newConfigured(t)
	tg.gateway.HandleMessage(message.Envelope{From: "two", Ping: &message.Ping{Member: testMember("two")}})
	tg.gateway.batcherCache[ident.Pool{Service: "planning"}] = "two"
	h := tg.sendRequest("/verse/", func(c *CallerRequest) { c.PieceCounts = []int{1, 2} })
	r := tg.gateway.requests[h]
	tg.advance(200 * time.Millisecond)
	tg.finishCalls(1)
	r.stages[0].CapacityLow = true
	tg.advance(200 * time.Millisecond)
	if r.stages[1].Batcher != "two" {
		t.Fatalf("the second stage is at %q, want two", r.stages[1].Batcher)
	}
	fetched := message.StageInputsFetched{}
	for piece := range 2 {
		fetched.Pieces = append(fetched.Pieces, message.PieceID{Request: r.incoming.ID, Stage: 1, Piece: piece})
	}
	tg.gateway.HandleMessage(message.Envelope{From: "two", StageInputsFetched: &fetched})
	if !r.stages[0].Released {
		t.Fatal("the results of the first stage are not freed")
	}
	tg.peers = nil
	return tg, r
}

// worksWith returns the submissions of a stage that name an input.
func (tg *testGateway) worksWith(stage int, input message.ResultHandle) (works []message.StageWork) {
	for _, p := range tg.peers {
		if w := p.message.StageWork; w != nil && w.Stage == stage && w.Inputs[0] == input {
			works = append(works, *w)
		}
	}
	return works
}

// A stage whose batcher is lost is submitted with inputs that were freed for it.
func TestInputsThatWereFreedAreNotSubmitted(t *testing.T) {
	t.Run("the batcher is lost", func(t *testing.T) {
		tg, r := newReleasedInputs(t)
		freed := r.stages[0].Handles[0]
		tg.advance(signOutdated)
		tg.gateway.HandlePeerFailure("two", "silent")
		tg.advance(300 * time.Millisecond)
		if works := tg.worksWith(1, freed); len(works) > 0 {
			t.Fatalf("submitted %+v, whose input was freed", works)
		}
		for _, c := range tg.calls {
			if c.Items[0].ID.Stage == 1 {
				t.Fatalf("called %+v before its inputs exist again", c)
			}
		}
		tg.finishCalls(1)
		tg.advance(300 * time.Millisecond)
		if len(tg.calls) != 1 || tg.calls[0].Items[0].ID.Stage != 1 || tg.calls[0].Items[0].Inputs[0] == freed {
			t.Fatalf("called %+v, want the second stage with new inputs", tg.calls)
		}
	})
	t.Run("the batcher does not report", func(t *testing.T) {
		tg, r := newReleasedInputs(t)
		for range 25 {
			tg.gateway.HandleMessage(message.Envelope{From: "two", Ping: &message.Ping{Member: testMember("two")}})
			tg.gateway.batcherCache[ident.Pool{Service: "planning"}] = "two"
			tg.advance(100 * time.Millisecond)
		}
		works := tg.worksWith(1, r.stages[0].Handles[0])
		if len(works) != 1 || !works[0].InputsReleased {
			t.Fatalf("submitted %+v, want one submission that says that its inputs were freed", works)
		}
	})
}
