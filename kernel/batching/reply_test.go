package batching

import (
	"testing"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
)

// An endpoint sends a second copy of a reply, which arrives where the reply to its
// next call is expected. Its results belong to other requests.
func TestSecondCopyOfAReplyIsNotUsed(t *testing.T) {
	for name, pieces := range map[string][]int{"a call of the same size": {0}, "a call of another size": {0, 1}} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, 1)
			var calls []Call
			s.batcher.config.Output.StartCall = func(c Call) { calls = append(calls, c) }
			results := map[ident.RequestID]int{}
			s.batcher.config.Output.SendResults = func(_ ident.Instance, r message.StageResults) {
				for _, p := range r.Results {
					if p.Outcome == message.PieceDone {
						results[p.ID.Request]++
					}
				}
			}
			submit := func(id ident.RequestID, pieces []int) {
				s.batcher.Submit("one", message.StageWork{Request: id, Service: "registry", Pieces: pieces, ResultBytes: 1000, Consumers: 1, TimeToDue: 3 * time.Second, TimeToDeadline: 5 * time.Second, Weight: 1})
				s.advance(300 * time.Millisecond)
			}
			submit("first", []int{0})
			first := Reply{Items: []ReplyItem{{Handle: "maker-0/1"}}}
			s.batcher.HandleReply(calls[0].ID, first)
			submit("second", pieces)
			if len(calls) != 2 {
				t.Fatalf("%d calls were started, want 2", len(calls))
			}
			s.batcher.HandleReply(calls[1].ID, first)
			if results["first"] != 1 || results["second"] != 0 {
				t.Fatalf("results reported: %v, want one for the first request only", results)
			}
		})
	}
}
