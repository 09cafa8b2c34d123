package endpoint

import (
	"container/heap"
	"context"
	"sync"
)

// slots admits a bounded number of calls at once, those with the highest
// priority first and equal ones in the order of their arrival.
type slots struct {
	mutex    sync.Mutex
	free     int
	sequence int
	waiting  placeHeap
}

// place is one waiting call.
type place struct {
	priority int
	sequence int
	ready    chan struct{}
	left     bool
}

func newSlots(n int) *slots { return &slots{free: n} }

// enter waits for a slot; it reports false when the context ended first.
func (s *slots) enter(ctx context.Context, priority int) bool {
	s.mutex.Lock()
	if s.free > 0 {
		s.free--
		s.mutex.Unlock()
		return true
	}
	s.sequence++
	p := &place{priority: priority, sequence: s.sequence, ready: make(chan struct{})}
	heap.Push(&s.waiting, p)
	s.mutex.Unlock()
	select {
	case <-p.ready:
		return true
	case <-ctx.Done():
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	select {
	case <-p.ready:
		s.handOn()
	default:
		p.left = true
	}
	return false
}

// leave gives a slot back.
func (s *slots) leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.handOn()
}

func (s *slots) handOn() {
	for len(s.waiting) > 0 {
		p := heap.Pop(&s.waiting).(*place)
		if !p.left {
			close(p.ready)
			return
		}
	}
	s.free++
}

type placeHeap []*place

func (h placeHeap) Len() int { return len(h) }

func (h placeHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority > h[j].priority
	}
	return h[i].sequence < h[j].sequence
}

func (h placeHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *placeHeap) Push(x any) { *h = append(*h, x.(*place)) }

func (h *placeHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
