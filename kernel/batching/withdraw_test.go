package batching

import (
	"fmt"
	"testing"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
)

// withdrawal is a batcher whose endpoints answer when the test says so.
type withdrawal struct {
	*simulation
	open     []Call
	outcomes []message.PieceOutcome
}

func newWithdrawal(t *testing.T, endpointCount int) *withdrawal {
	t.Helper()
	w := &withdrawal{simulation: newSimulation(t, endpointCount)}
	w.batcher.config.Output.StartCall = func(c Call) { w.open = append(w.open, c) }
	w.batcher.config.Output.SendResults = func(_ ident.Instance, r message.StageResults) {
		for _, p := range r.Results {
			w.outcomes = append(w.outcomes, p.Outcome)
		}
	}
	return w
}

// submitStage submits the pieces of a later stage with an input of the given name.
func (w *withdrawal) submitStage(input string, pieces ...int) {
	w.batcher.Submit("one", message.StageWork{Request: "r", Service: "registry", Stage: 1, Pieces: pieces, Inputs: []message.ResultHandle{message.ResultHandle("maker:80/" + input)}, ResultBytes: 1000, Consumers: 1, TimeToDue: 5 * time.Second, TimeToDeadline: 9 * time.Second, Weight: 1})
	w.advance(200 * time.Millisecond)
}

// withdraw withdraws the pieces of the stage.
func (w *withdrawal) withdraw(stage int, origin ident.Instance) {
	w.batcher.Withdraw(origin, message.StageWithdrawal{Service: "registry", Request: "r", Stage: stage})
}

// reply answers the only open call with the same outcome for all items.
func (w *withdrawal) reply(outcome ItemOutcome) {
	w.t.Helper()
	c := w.wantCall(len(w.open))
	w.open = nil
	var r Reply
	for i := range c.Items {
		item := ReplyItem{Outcome: outcome}
		if outcome == ItemDone {
			item.Handle = message.ResultHandle(fmt.Sprintf("%s/%d-%d", c.Address, c.ID, i))
		}
		r.Items = append(r.Items, item)
	}
	w.batcher.HandleReply(c.ID, r)
	w.advance(200 * time.Millisecond)
}

// wantCall checks that one call is open and that it has at least one item, and returns it.
func (w *withdrawal) wantCall(open int) Call {
	w.t.Helper()
	if open != 1 || len(w.open[0].Items) == 0 {
		w.t.Fatalf("%d calls are open, want one", open)
	}
	return w.open[0]
}

func (w *withdrawal) wantOutcomes(want ...message.PieceOutcome) {
	w.t.Helper()
	if fmt.Sprint(w.outcomes) != fmt.Sprint(want) {
		w.t.Fatalf("reported %v, want %v", w.outcomes, want)
	}
}

// An endpoint is given inputs that are being computed again.
func TestWithdrawnPiecesAreNotSent(t *testing.T) {
	t.Run("a waiting piece is dropped", func(t *testing.T) {
		w := newWithdrawal(t, 0)
		w.submitStage("a", 0, 1)
		w.withdraw(1, "one")
		if got := w.batcher.WaitingCount(registryPool); got != 0 {
			t.Fatalf("%d pieces wait, want none", got)
		}
		w.wantOutcomes()
	})
	t.Run("pieces of other stages and origins wait on", func(t *testing.T) {
		w := newWithdrawal(t, 0)
		w.submitStage("a", 0, 1)
		w.withdraw(2, "one")
		w.withdraw(1, "two")
		if got := w.batcher.WaitingCount(registryPool); got != 2 {
			t.Fatalf("%d pieces wait, want 2", got)
		}
	})
	t.Run("a running piece is not sent again", func(t *testing.T) {
		w := newWithdrawal(t, 2)
		w.submitStage("a", 0)
		c := w.wantCall(len(w.open))
		w.open = nil
		w.withdraw(1, "one")
		w.batcher.HandleCallFailure(c.ID, Broken, "reset")
		w.advance(time.Second)
		if len(w.open) > 0 || w.batcher.WaitingCount(registryPool) > 0 {
			t.Fatalf("%d calls are open, %d pieces wait, want none", len(w.open), w.batcher.WaitingCount(registryPool))
		}
	})
	t.Run("a running piece that fetched its inputs is done", func(t *testing.T) {
		w := newWithdrawal(t, 1)
		w.submitStage("a", 0)
		w.withdraw(1, "one")
		w.reply(ItemDone)
		w.wantOutcomes(message.PieceDone)
	})
	t.Run("submitted again it is sent with its new inputs", func(t *testing.T) {
		w := newWithdrawal(t, 2)
		w.submitStage("a", 0)
		c := w.wantCall(len(w.open))
		w.open = nil
		w.withdraw(1, "one")
		w.submitStage("b", 0)
		w.batcher.HandleCallFailure(c.ID, Broken, "reset")
		w.advance(200 * time.Millisecond)
		if got := w.wantCall(len(w.open)).Items[0].Inputs[0]; got != "maker:80/b" {
			t.Fatalf("the piece is given %q, want the new input", got)
		}
	})
}

// A call is made for a piece whose inputs have been freed, and fails.
func TestPiecesWithReleasedInputs(t *testing.T) {
	released := message.StageWork{Request: "r", Service: "registry", Stage: 1, Pieces: []int{0}, Inputs: []message.ResultHandle{"maker:80/a"}, InputsReleased: true, ResultBytes: 1000, Consumers: 1, TimeToDue: 5 * time.Second, TimeToDeadline: 9 * time.Second, Weight: 1}
	t.Run("a piece that the batcher does not have", func(t *testing.T) {
		w := newWithdrawal(t, 2)
		w.batcher.Submit("one", released)
		w.advance(time.Second)
		w.wantOutcomes(message.PieceInputGone)
		if len(w.open) > 0 {
			t.Fatalf("%d calls are open, want none", len(w.open))
		}
	})
	t.Run("a piece that runs", func(t *testing.T) {
		w := newWithdrawal(t, 2)
		w.submitStage("a", 0)
		w.batcher.Submit("one", released)
		w.reply(ItemDone)
		w.wantOutcomes(message.PieceDone)
	})
}

// A piece that runs with old inputs while new ones are submitted is reported as having lost the new ones.
func TestInputsReplacedWhileAPieceRuns(t *testing.T) {
	w := newWithdrawal(t, 2)
	w.submitStage("a", 0)
	w.submitStage("b", 0)
	w.reply(ItemInputGone)
	w.wantOutcomes()
	if got := w.wantCall(len(w.open)).Items[0].Inputs[0]; got != "maker:80/b" {
		t.Fatalf("the piece is given %q, want the new input", got)
	}
	w.reply(ItemInputGone)
	w.wantOutcomes(message.PieceInputGone)
}

// A report on inputs does not say which ones it is about.
func TestReportsNameTheRevisionOfTheInputs(t *testing.T) {
	w := newWithdrawal(t, 1)
	var gone []message.PieceResult
	var fetched []message.StageInputsFetched
	w.batcher.config.Output.SendResults = func(_ ident.Instance, r message.StageResults) { gone = append(gone, r.Results...) }
	w.batcher.config.Output.SendInputsFetched = func(_ ident.Instance, f message.StageInputsFetched) { fetched = append(fetched, f) }
	w.batcher.Submit("one", message.StageWork{Request: "r", Service: "registry", Stage: 1, Pieces: []int{0}, Inputs: []message.ResultHandle{"maker:80/a"}, InputsRevision: 3, InputCapacityLow: true, ResultBytes: 1000, Consumers: 1, TimeToDue: 5 * time.Second, TimeToDeadline: 9 * time.Second, Weight: 1})
	w.advance(200 * time.Millisecond)
	w.reply(ItemInputGone)
	if len(gone) != 1 || gone[0].InputsRevision != 3 {
		t.Errorf("reported %+v, want one piece with the revision 3", gone)
	}
	if len(fetched) != 1 || fmt.Sprint(fetched[0].InputsRevisions) != "[3]" {
		t.Errorf("reported %+v as fetched, want the revision 3", fetched)
	}
}

// A batcher answers with a lost result, because the submission that said so did not arrive.
func TestLostResultsAreComputedAgain(t *testing.T) {
	w := newWithdrawal(t, 1)
	work := message.StageWork{Request: "r", Service: "registry", Pieces: []int{0}, PieceKey: "key", ResultBytes: 1000, Consumers: 1, TimeToDue: 5 * time.Second, TimeToDeadline: 9 * time.Second, Weight: 1}
	w.batcher.Submit("one", work)
	w.advance(200 * time.Millisecond)
	w.reply(ItemDone)
	work.Lost = []message.ResultHandle{w.batcher.requests["r"][0].handle}
	w.batcher.Submit("one", work)
	w.advance(200 * time.Millisecond)
	w.wantOutcomes(message.PieceDone)
	w.reply(ItemDone)
	w.batcher.Submit("one", work)
	w.wantOutcomes(message.PieceDone, message.PieceDone, message.PieceDone)
}

// Lost results are computed again only once later stages have room, and the request's other results expire.
func TestLostResultsAreNotHeldBack(t *testing.T) {
	for _, recovering := range []bool{false, true} {
		w := newWithdrawal(t, 1)
		w.downstreamWait = 5 * time.Second
		w.batcher.Submit("one", message.StageWork{Request: "r", Service: "registry", Pieces: []int{0}, PieceKey: "key", Recovering: recovering, DownstreamServices: []ident.Service{"planning"}, ResultBytes: 1000, Consumers: 1, TimeToDue: 5 * time.Second, TimeToDeadline: 9 * time.Second, Weight: 1})
		w.advance(300 * time.Millisecond)
		if called := len(w.open) > 0; called != recovering {
			t.Errorf("recovering %v: called %v", recovering, called)
		}
	}
}
