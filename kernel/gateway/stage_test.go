package gateway

import (
	"testing"
	"time"

	"anvilcross/kernel/batching"
	"anvilcross/kernel/membership"
	"anvilcross/kernel/message"
)

// Seen on pelletier-jars scale-1 --seed 1061399667863: a process that woke up
// late dropped expired pieces of its own requests, which withdrew others from
// the queue that was being walked.
func TestWakingLateWithExpiredPieces(t *testing.T) {
	w := configured(t)
	for range 3 {
		w.arrive("/draft/", func(a *CallerRequest) { a.PieceCounts = []int{4}; a.Timeout = time.Second })
	}
	w.pass(200 * time.Millisecond)
	busy := len(w.calls)
	var handles []RequestHandle
	for range 20 {
		handles = append(handles, w.arrive("/draft/", func(a *CallerRequest) { a.PieceCounts = []int{8}; a.Timeout = time.Second }))
	}
	w.timers.Advance(w.timers.Now().Add(3 * time.Second))
	w.pass(time.Second)
	if busy == 0 {
		t.Fatal("no stage call was made")
	}
	for _, h := range handles {
		w.wantAnswer(h, NotRun)
	}
}

func TestStagesRunInOrderAndResultsAreFreed(t *testing.T) {
	w := configured(t)
	h := w.arrive("/verse/", func(a *CallerRequest) { a.PieceCounts = []int{1, 4} })
	w.pass(200 * time.Millisecond)
	w.finishCalls(1)
	w.pass(200 * time.Millisecond)
	w.finishCalls(1)
	w.pass(time.Millisecond)
	s := w.wantSend(h)
	if len(s.Inputs) != 4 {
		t.Fatalf("the model endpoint gets %d inputs, want the 4 of the last stage", len(s.Inputs))
	}
	w.mayWrite(h, s)
	w.gateway.HandleFirstEvent(h, s.Attempt)
	w.pass(time.Millisecond)
	if len(w.freed) != 5 {
		t.Fatalf("%d results freed, want all 5", len(w.freed))
	}
}

func TestCallerThatLeavesWithdrawsItsPieces(t *testing.T) {
	w := configured(t)
	h := w.arrive("/draft/", func(a *CallerRequest) { a.PieceCounts = []int{4} })
	w.pass(200 * time.Millisecond)
	w.gateway.HandleCallerLeft(h)
	w.pass(time.Millisecond)
	w.finishCalls(1)
	w.pass(time.Millisecond)
	if len(w.freed) != 4 {
		t.Fatalf("%d results freed, want the 4 that nobody needs", len(w.freed))
	}
	w.wantSteps(h, 0)
}

// Seen on pelletier-jars mix --seed 870572553863: a stopping process cut a
// request off that still waited for its stages.
func TestPlannedStop(t *testing.T) {
	t.Run("a caller that waits is told in time", func(t *testing.T) {
		w := configured(t)
		h := w.arrive("/verse/", func(a *CallerRequest) { a.PieceCounts = []int{1, 4} })
		w.gateway.BeginShutdown()
		w.pass(time.Second)
		w.gateway.RefuseUnsent()
		w.wantAnswer(h, NotRun)
	})
	t.Run("a request that runs goes on", func(t *testing.T) {
		w := configured(t)
		h := w.arrive("/verse/", nil)
		s := w.wantSend(h)
		w.mayWrite(h, s)
		w.gateway.BeginShutdown()
		w.gateway.RefuseUnsent()
		w.wantSteps(h, 1)
	})
	t.Run("a long request that comes late is refused at once", func(t *testing.T) {
		w := configured(t)
		w.gateway.BeginShutdown()
		w.pass(3 * time.Second)
		w.wantAnswer(w.arrive("/verse/", nil), NotRun)
	})
	t.Run("a short request is still served", func(t *testing.T) {
		w := configured(t)
		w.gateway.BeginShutdown()
		w.pass(3 * time.Second)
		w.wantSend(w.arrive("/order/", nil))
	})
}

// Lost inputs (zone_cut, srv_crash): only what is gone is made again, and what
// it was made from only if that was given back.
func TestLostInputsAreMadeAgain(t *testing.T) {
	t.Run("at the model endpoint", func(t *testing.T) {
		w := configured(t)
		h := w.arrive("/verse/", func(a *CallerRequest) { a.PieceCounts = []int{1, 4} })
		w.pass(200 * time.Millisecond)
		w.finishCalls(1)
		w.pass(200 * time.Millisecond)
		w.finishCalls(1)
		w.pass(time.Millisecond)
		s := w.wantSend(h)
		w.mayWrite(h, s)
		w.gateway.HandleFailure(h, s.Attempt, InputsGone, "", "conflict")
		w.wantSteps(h, 1)
		w.pass(300 * time.Millisecond)
		w.finishCalls(1)
		w.pass(300 * time.Millisecond)
		w.finishCalls(1)
		w.pass(time.Millisecond)
		w.wantSteps(h, 2)
		if s := w.wantSend(h); len(s.Inputs) != 4 {
			t.Fatalf("%d inputs the second time, want 4", len(s.Inputs))
		}
	})
	t.Run("the batcher knows that the request has got further", func(t *testing.T) {
		w := configured(t)
		var work []message.StageWork
		w.gateway.members.Heard(w.timers.Now(), membership.Member{Name: "two", Address: "two:1", DataCentre: "east", Incarnation: 1}, false)
		h := w.arrive("/verse/", func(a *CallerRequest) { a.PieceCounts = []int{1, 4} })
		r := w.gateway.requests[h]
		w.gateway.recomputeResults(r, []int{0})
		w.peers = nil
		r.stages[0].batcher, r.stages[0].submitted = "two", false
		w.gateway.batcherCache["registry"] = "two"
		w.gateway.advance(r)
		for _, p := range w.peers {
			if p.message.StageWork != nil {
				work = append(work, *p.message.StageWork)
			}
		}
		if len(work) != 1 || !work[0].Begun {
			t.Fatalf("%+v", work)
		}
	})
	t.Run("several pieces of one loss count once", func(t *testing.T) {
		w := configured(t)
		w.arrive("/verse/", func(a *CallerRequest) { a.PieceCounts = []int{1, 4} })
		w.pass(200 * time.Millisecond)
		w.finishCalls(1)
		w.pass(200 * time.Millisecond)
		c := w.calls[0]
		w.calls = nil
		gone := batching.Reply{}
		for range c.Items {
			gone.Items = append(gone.Items, batching.ReplyItem{Reason: batching.InputGone})
		}
		w.gateway.Batcher().Replied(c.ID, gone)
		w.pass(time.Millisecond)
		if got := w.gateway.Counters().InputsRemade; got != 1 {
			t.Fatalf("%d remakes, want 1", got)
		}
	})
}
