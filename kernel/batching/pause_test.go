package batching

import (
	"fmt"
	"testing"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
)

// A batcher that was paused takes calls whose replies it has not read yet for overdue, so
// that all endpoints count as slow and get one piece a call.
func TestPausedBatcherReadsRepliesFirst(t *testing.T) {
	s := newSimulation(t, 3)
	var calls []Call
	s.batcher.config.Output.StartCall = func(c Call) { calls = append(calls, c) }
	for n := range 3 {
		s.submit(ident.RequestID(fmt.Sprint(n)), urgent(1))
		s.advance(20 * time.Millisecond)
	}
	s.advance(100 * time.Millisecond)
	started := len(calls)
	s.timers.Advance(s.timers.Now().Add(1500 * time.Millisecond))
	for _, c := range calls[:started] {
		var r Reply
		for i := range c.Items {
			r.Items = append(r.Items, ReplyItem{Handle: message.ResultHandle(fmt.Sprintf("%s/%d-%d", c.Address, c.ID, i))})
		}
		s.batcher.HandleReply(c.ID, r)
	}
	s.advance(200 * time.Millisecond)
	if stats := s.batcher.Stats(); started == 0 || stats.Overdue != 0 || stats.Duplicates != 0 {
		t.Errorf("%d calls: %+v, want none overdue or repeated", started, stats)
	}
	t.Run("a call without a reply is overdue all the same", func(t *testing.T) {
		s.submit("later", urgent(1))
		s.advance(300 * time.Millisecond)
		s.timers.Advance(s.timers.Now().Add(1500 * time.Millisecond))
		s.advance(2 * unreadReplyTime)
		if s.batcher.Stats().Overdue == 0 {
			t.Error("it does not count as overdue")
		}
	})
}
