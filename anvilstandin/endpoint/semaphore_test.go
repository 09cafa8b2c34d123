package endpoint

import (
	"context"
	"testing"
	"time"
)

func TestHigherPriorityIsServedFirst(t *testing.T) {
	s := newPrioritySemaphore(1)
	s.acquire(context.Background(), 0)
	order := make(chan int, 2)
	for _, priority := range []int{1, 5} {
		go func() {
			if s.acquire(context.Background(), priority) {
				order <- priority
				s.release()
			}
		}()
		s.waitForWaiters(t, 1)
	}
	s.waitForWaiters(t, 2)
	s.release()
	if first := <-order; first != 5 {
		t.Errorf("priority %d was served first, want 5", first)
	}
}

// waitForWaiters waits until n calls are queued.
func (s *prioritySemaphore) waitForWaiters(t *testing.T, n int) {
	t.Helper()
	for range 1000 {
		s.mutex.Lock()
		waiting := len(s.waiters)
		s.mutex.Unlock()
		if waiting >= n {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("fewer than %d calls are queued after 1000 checks", n)
}

func TestCancelledWaiterKeepsNoSlot(t *testing.T) {
	s := newPrioritySemaphore(1)
	s.acquire(context.Background(), 0)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if s.acquire(ctx, 9) {
		t.Error("a call whose context has ended got a slot")
	}
	s.release()
	if !s.acquire(context.Background(), 0) || s.free != 0 {
		t.Errorf("the released slot cannot be acquired, or %d slots are free instead of 0", s.free)
	}
}
