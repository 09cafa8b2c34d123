package endpoint

import (
	"container/heap"
	"context"
	"sync"
)

// prioritySemaphore limits the number of calls that run at a time. Waiting calls
// get a slot by descending priority, and by arrival within a priority.
type prioritySemaphore struct {
	mutex        sync.Mutex
	free         int
	lastSequence int
	waiters      waiterHeap
}

// waiter is one waiting call.
type waiter struct {
	priority int
	sequence int
	// granted is closed when the call gets a slot.
	granted chan struct{}
	// cancelled marks a waiter in the heap that no longer wants a slot.
	cancelled bool
}

func newPrioritySemaphore(n int) *prioritySemaphore { return &prioritySemaphore{free: n} }

// acquire waits for a slot and reports whether it got one before the context
// ended.
func (s *prioritySemaphore) acquire(ctx context.Context, priority int) bool {
	s.mutex.Lock()
	if s.free > 0 {
		s.free--
		s.mutex.Unlock()
		return true
	}
	s.lastSequence++
	w := &waiter{priority: priority, sequence: s.lastSequence, granted: make(chan struct{})}
	heap.Push(&s.waiters, w)
	s.mutex.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	select {
	case <-w.granted:
		s.passOnSlot()
	default:
		w.cancelled = true
	}
	return false
}

// release returns a slot.
func (s *prioritySemaphore) release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.passOnSlot()
}

// passOnSlot gives a returned slot to the next waiter, or frees it if there is
// none. The caller holds the mutex.
func (s *prioritySemaphore) passOnSlot() {
	for len(s.waiters) > 0 {
		w := heap.Pop(&s.waiters).(*waiter)
		if !w.cancelled {
			close(w.granted)
			return
		}
	}
	s.free++
}

// waiterHeap implements heap.Interface with the next waiter to serve on top.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority > h[j].priority
	}
	return h[i].sequence < h[j].sequence
}

func (h waiterHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *waiterHeap) Push(x any) { *h = append(*h, x.(*waiter)) }

func (h *waiterHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
