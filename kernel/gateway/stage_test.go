package gateway

import (
	"testing"
	"time"

	"anvilcross/kernel/batching"
	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/membership"
	"anvilcross/kernel/message"
)

// A process that is paused and wakes up late drops expired pieces of its own
// requests. The answers to these requests cancel further pieces in the
// queue while it is being iterated (pelletier-jars scale-1, seed
// 1061399667863).
func TestExpiredPiecesAfterLateWakeUp(t *testing.T) {
	tg := newConfigured(t)
	for range 3 {
		tg.sendRequest("/draft/", func(c *CallerRequest) { c.PieceCounts = []int{4}; c.Timeout = time.Second })
	}
	tg.advance(200 * time.Millisecond)
	callCount := len(tg.calls)
	var handles []RequestHandle
	for range 20 {
		handles = append(handles, tg.sendRequest("/draft/", func(c *CallerRequest) { c.PieceCounts = []int{8}; c.Timeout = time.Second }))
	}
	tg.timers.Advance(tg.timers.Now().Add(3 * time.Second))
	tg.advance(time.Second)
	if callCount == 0 {
		t.Fatal("no stage call was made")
	}
	for _, h := range handles {
		tg.wantAnswer(h, NotRun)
	}
}

func TestStagesRunInOrderAndResultsAreFreed(t *testing.T) {
	tg := newConfigured(t)
	h := tg.sendRequest("/verse/", func(c *CallerRequest) { c.PieceCounts = []int{1, 4} })
	tg.advance(200 * time.Millisecond)
	tg.finishCalls(1)
	tg.advance(200 * time.Millisecond)
	tg.finishCalls(1)
	tg.advance(time.Millisecond)
	s := tg.wantSend(h)
	if len(s.Inputs) != 4 {
		t.Fatalf("the model endpoint gets %d inputs, want the 4 of the last stage", len(s.Inputs))
	}
	tg.mustBeginWrite(h, s)
	tg.gateway.HandleFirstEvent(h, s.Attempt)
	tg.advance(time.Millisecond)
	if len(tg.freed) != 5 {
		t.Fatalf("%d results freed, want all 5", len(tg.freed))
	}
}

func TestPiecesOfCallerThatLeftAreCancelled(t *testing.T) {
	tg := newConfigured(t)
	h := tg.sendRequest("/draft/", func(c *CallerRequest) { c.PieceCounts = []int{4} })
	tg.advance(200 * time.Millisecond)
	tg.gateway.HandleCallerLeft(h)
	tg.advance(time.Millisecond)
	tg.finishCalls(1)
	tg.advance(time.Millisecond)
	if len(tg.freed) != 4 {
		t.Fatalf("%d results freed, want the 4 of the cancelled pieces", len(tg.freed))
	}
	tg.wantSteps(h, 0)
}

// A process that shut down cut off a request that was still waiting for its
// stages (pelletier-jars mix, seed 870572553863). Such a request must be
// answered NotRun in time.
func TestGracefulShutdown(t *testing.T) {
	t.Run("a caller that waits is told in time", func(t *testing.T) {
		tg := newConfigured(t)
		tg.gateway.config.StopLimit = 7 * time.Second
		h := tg.sendRequest("/verse/", func(c *CallerRequest) { c.PieceCounts = []int{1, 4} })
		tg.gateway.BeginShutdown()
		tg.advance(5 * time.Second)
		tg.wantAnswer(h, NotRun)
	})
	t.Run("a request that runs goes on", func(t *testing.T) {
		tg := newConfigured(t)
		h := tg.sendRequest("/verse/", nil)
		s := tg.wantSend(h)
		tg.gateway.config.StopLimit = 7 * time.Second
		tg.mustBeginWrite(h, s)
		tg.gateway.HandleResponseHead(h, s.Attempt, false, endpoints.Load{})
		tg.gateway.BeginShutdown()
		tg.advance(7 * time.Second)
		tg.wantSteps(h, 1)
	})
	t.Run("a long request that comes late is refused at once", func(t *testing.T) {
		tg := newConfigured(t)
		tg.gateway.BeginShutdown()
		tg.advance(3 * time.Second)
		tg.wantAnswer(tg.sendRequest("/verse/", nil), NotRun)
	})
	t.Run("a short request is still served", func(t *testing.T) {
		tg := newConfigured(t)
		tg.gateway.BeginShutdown()
		tg.advance(3 * time.Second)
		tg.wantSend(tg.sendRequest("/order/", nil))
	})
}

// When results are lost (faults zone_cut and srv_crash), only these are
// computed again, and their own inputs only if those have been freed.
func TestLostInputsAreRecomputed(t *testing.T) {
	t.Run("at the model endpoint", func(t *testing.T) {
		tg := newConfigured(t)
		h := tg.sendRequest("/verse/", func(c *CallerRequest) { c.PieceCounts = []int{1, 4} })
		tg.advance(200 * time.Millisecond)
		tg.finishCalls(1)
		tg.advance(200 * time.Millisecond)
		tg.finishCalls(1)
		tg.advance(time.Millisecond)
		s := tg.wantSend(h)
		tg.mustBeginWrite(h, s)
		tg.gateway.HandleFailure(h, s.Attempt, InputsGone, "", "conflict")
		tg.wantSteps(h, 1)
		tg.advance(300 * time.Millisecond)
		tg.finishCalls(1)
		tg.advance(300 * time.Millisecond)
		tg.finishCalls(1)
		tg.advance(time.Millisecond)
		tg.wantSteps(h, 2)
		if s := tg.wantSend(h); len(s.Inputs) != 4 {
			t.Fatalf("the second attempt gets %d inputs, want 4", len(s.Inputs))
		}
	})
	t.Run("the batcher knows that the request has got further", func(t *testing.T) {
		tg := newConfigured(t)
		var work []message.StageWork
		tg.gateway.members.RecordPing(tg.timers.Now(), membership.Member{Name: "two", Address: "two:1", DataCentre: "east", Incarnation: 1}, false)
		h := tg.sendRequest("/verse/", func(c *CallerRequest) { c.PieceCounts = []int{1, 4} })
		r := tg.gateway.requests[h]
		tg.gateway.recomputeResults(r, []int{0})
		tg.peers = nil
		r.stages[0].Batcher, r.stages[0].Submitted = "two", false
		tg.gateway.batcherCache[ident.Pool{Service: "registry"}] = "two"
		tg.gateway.advance(r)
		for _, p := range tg.peers {
			if p.message.StageWork != nil {
				work = append(work, *p.message.StageWork)
			}
		}
		if len(work) != 1 || !work[0].Recovering {
			t.Fatalf("submitted %+v, want one submission that is marked as recovering", work)
		}
	})
	t.Run("several pieces of one loss count once", func(t *testing.T) {
		tg := newConfigured(t)
		tg.sendRequest("/verse/", func(c *CallerRequest) { c.PieceCounts = []int{1, 4} })
		tg.advance(200 * time.Millisecond)
		tg.finishCalls(1)
		tg.advance(200 * time.Millisecond)
		c := tg.calls[0]
		tg.calls = nil
		gone := batching.Reply{}
		for range c.Items {
			gone.Items = append(gone.Items, batching.ReplyItem{Outcome: batching.ItemInputGone})
		}
		tg.gateway.Batcher().HandleReply(c.ID, gone)
		tg.advance(time.Millisecond)
		if got := tg.gateway.Counters().Recomputes; got != 1 {
			t.Fatalf("results were recomputed %d times, want once", got)
		}
	})
}
