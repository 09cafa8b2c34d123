package batching

import (
	"testing"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
)

// Pieces wait until their deadline for endpoints that want no calls until then, or are
// refused though one takes them in time.
func TestPiecesOfPoolThatWantsNoCalls(t *testing.T) {
	cases := []struct {
		name       string
		rest       time.Duration
		leaving    bool
		inputs     []message.ResultHandle
		wantRefuse bool
	}{
		{name: "all rest beyond the deadline", rest: 8 * time.Second, wantRefuse: true},
		{name: "all rest beyond the deadline of a piece with inputs", rest: 8 * time.Second, inputs: []message.ResultHandle{"a:1/x"}, wantRefuse: true},
		{name: "all leave", leaving: true, wantRefuse: true},
		{name: "all rest for a moment", rest: 300 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(t, 3)
			var outcomes []message.PieceResult
			s.batcher.config.Output.SendResults = func(_ ident.Instance, r message.StageResults) { outcomes = append(outcomes, r.Results...) }
			calls := 0
			s.batcher.config.Output.StartCall = func(Call) { calls++ }
			directory := s.batcher.config.Directory
			for _, e := range directory.ByService("registry") {
				if c.leaving {
					directory.RecordLeaving(s.timers.Now(), e.Process())
				} else {
					directory.RecordRest(s.timers.Now(), e.Process(), c.rest)
				}
			}
			s.batcher.Submit("one", message.StageWork{Request: "r", Service: "registry", Pieces: []int{0}, Inputs: c.inputs, ResultBytes: 1000, Consumers: 1, TimeToDue: 3 * time.Second, TimeToDeadline: 5 * time.Second, Weight: 1})
			if c.wantRefuse {
				if len(outcomes) != 1 || outcomes[0].Outcome != message.PieceRefused || outcomes[0].RetryAfter < c.rest {
					t.Fatalf("got %+v, want a refusal at once for %v at least", outcomes, c.rest)
				}
				return
			}
			s.timers.Advance(s.timers.Now().Add(c.rest - time.Millisecond))
			s.batcher.DispatchAll()
			if calls > 0 || len(outcomes) > 0 {
				t.Fatalf("%d calls and %+v while all endpoints rest", calls, outcomes)
			}
			s.timers.Advance(s.timers.Now().Add(100 * time.Millisecond))
			s.batcher.DispatchAll()
			s.timers.Advance(s.timers.Now().Add(100 * time.Millisecond))
			if calls != 1 {
				t.Fatalf("%d calls after the rest, want 1", calls)
			}
		})
	}
}
