package batching

import (
	"testing"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
)

// The calls of another pool are given up, or the pieces of abandoned calls are lost.
func TestAbandonCalls(t *testing.T) {
	s := newSimulation(t, 2)
	moved := 0
	s.batcher.config.Output.SendResults = func(_ ident.Instance, r message.StageResults) {
		for _, p := range r.Results {
			if p.Outcome == message.PieceMoved {
				moved++
			}
		}
	}
	s.batcher.config.Output.StartCall = func(Call) {}
	s.batcher.Submit("one", message.StageWork{Request: "r", Service: "registry", Pieces: []int{0, 1}, ResultBytes: 1000, Consumers: 1, TimeToDue: 3 * time.Second, TimeToDeadline: 5 * time.Second, Weight: 1})
	s.timers.Advance(s.timers.Now().Add(200 * time.Millisecond))
	running := len(s.batcher.calls)
	s.batcher.AbandonCalls(ident.Pool{Service: "planning"})
	if running == 0 || len(s.batcher.calls) != running {
		t.Fatalf("%d calls run, %d before the calls of another pool were abandoned", len(s.batcher.calls), running)
	}
	s.batcher.AbandonCalls(registryPool)
	s.batcher.HandOver(registryPool)
	if len(s.batcher.calls) > 0 || moved != 2 {
		t.Fatalf("%d calls run, %d pieces are returned, want 2", len(s.batcher.calls), moved)
	}
}
