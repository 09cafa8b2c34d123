package endpoint

import (
	"context"
	"testing"
	"time"
)

func TestHigherPriorityIsServedFirst(t *testing.T) {
	s := newSlots(1)
	s.enter(context.Background(), 0)
	order := make(chan int, 2)
	for _, priority := range []int{1, 5} {
		go func() {
			if s.enter(context.Background(), priority) {
				order <- priority
				s.leave()
			}
		}()
		s.await(t, 1)
	}
	s.await(t, 2)
	s.leave()
	if first := <-order; first != 5 {
		t.Errorf("priority %d was served first", first)
	}
}

// await waits until a number of calls wait.
func (s *slots) await(t *testing.T, n int) {
	t.Helper()
	for range 1000 {
		s.mutex.Lock()
		waiting := len(s.waiting)
		s.mutex.Unlock()
		if waiting >= n {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("%d calls never waited", n)
}

func TestWaiterThatGoesKeepsNoSlot(t *testing.T) {
	s := newSlots(1)
	s.enter(context.Background(), 0)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if s.enter(ctx, 9) {
		t.Error("a call whose caller is gone got a slot")
	}
	s.leave()
	if !s.enter(context.Background(), 0) || s.free != 0 {
		t.Errorf("%d slots are free", s.free)
	}
}
