package caller

import (
	"sync"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/outcome"
)

// waiters holds the connections that wait for an answer.
type waiters struct {
	mutex sync.Mutex
	last  ident.WaiterID
	all   map[ident.WaiterID]*waiter
}

// waiter collects what the kernel sends until its connection takes it. The
// kernel never blocks on a slow caller; the size of an answer bounds the
// collection.
type waiter struct {
	id     ident.WaiterID
	mutex  sync.Mutex
	tokens []string
	answer *outcome.Answer
	signal chan struct{}
}

func newWaiters() *waiters { return &waiters{all: map[ident.WaiterID]*waiter{}} }

func (s *waiters) add() *waiter {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.last++
	w := &waiter{id: s.last, signal: make(chan struct{}, 1)}
	s.all[w.id] = w
	return w
}

func (s *waiters) remove(id ident.WaiterID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.all, id)
}

func (s *waiters) find(id ident.WaiterID) *waiter {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.all[id]
}

func (s *waiters) token(id ident.WaiterID, token string) {
	if w := s.find(id); w != nil {
		w.put(func() { w.tokens = append(w.tokens, token) })
	}
}

func (s *waiters) reply(id ident.WaiterID, a outcome.Answer) {
	if w := s.find(id); w != nil {
		w.put(func() { w.answer = &a })
	}
}

func (w *waiter) put(change func()) {
	w.mutex.Lock()
	change()
	w.mutex.Unlock()
	select {
	case w.signal <- struct{}{}:
	default:
	}
}

// next waits for tokens or the answer, or for the caller to go.
func (w *waiter) next(gone <-chan struct{}) ([]string, *outcome.Answer) {
	select {
	case <-w.signal:
	case <-gone:
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	tokens := w.tokens
	w.tokens = nil
	return tokens, w.answer
}
