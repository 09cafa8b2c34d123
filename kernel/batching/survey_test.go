package batching

import (
	"fmt"
	"testing"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
)

// All instances have restarted. Results of before fill most endpoints until their
// retention ends, and nobody knows of them. The new batcher must not send calls
// there, each of which would waste a turn of the endpoint.
func TestNewBatcherFindsCapacityTakenBefore(t *testing.T) {
	const endpointCount, fullCount = 8, 6
	s := newSimulation(t, endpointCount)
	expiry := s.timers.Now().Add(s.profile.ResultRetention)
	takenBefore := func(name ident.Endpoint) bool {
		for n := range fullCount {
			if name == ident.Endpoint(fmt.Sprintf("maker-%d", n)) {
				return s.timers.Now().Before(expiry)
			}
		}
		return false
	}
	s.batcher.config.Output.InspectEndpoint = func(name ident.Endpoint, _ string) {
		free := s.profile.ResultCapacityBytes - s.reservedBytes[name]
		if takenBefore(name) {
			free = 0
		}
		s.timers.After(8*time.Millisecond, func() { s.batcher.HandleInspection(name, free) })
	}
	wasted := 0
	s.batcher.config.Output.StartCall = func(c Call) {
		if !takenBefore(c.Endpoint) {
			s.run(c)
			return
		}
		wasted++
		s.timers.After(s.profile.CallOverhead, func() {
			r := Reply{Items: make([]ReplyItem, len(c.Items))}
			for i := range r.Items {
				r.Items[i].Outcome = ItemNoCapacity
			}
			s.batcher.HandleReply(c.ID, r)
		})
	}
	s.batcher.Survey(registryPool)
	s.advance(20 * time.Millisecond)
	for n := range 100 {
		s.batcher.Submit("one", message.StageWork{Request: ident.RequestID(fmt.Sprint(n)), Service: "registry", Pieces: []int{0}, ResultBytes: 200_000, Consumers: 1, TimeToDue: 3 * time.Second, TimeToDeadline: 5 * time.Second, Weight: 1})
		s.advance(30 * time.Millisecond)
	}
	if wasted > 0 {
		t.Errorf("%d calls went to endpoints without capacity", wasted)
	}
	if len(s.doneAt) < 80 {
		t.Errorf("%d pieces are done, want 80 at least", len(s.doneAt))
	}
}
