package caller

import (
	"sync"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/outcome"
)

// waiters holds the waiter of each connection that waits for an answer.
type waiters struct {
	mutex  sync.Mutex
	lastID ident.WaiterID
	byID   map[ident.WaiterID]*waiter
}

// waiter buffers tokens and the answer until its connection writes them, so
// that the kernel never blocks on a slow caller. The size of an answer bounds
// the buffer.
type waiter struct {
	id     ident.WaiterID
	mutex  sync.Mutex
	tokens []string
	answer *outcome.Answer
	// changed has capacity 1 and signals new tokens or an answer.
	changed chan struct{}
}

func newWaiters() *waiters { return &waiters{byID: map[ident.WaiterID]*waiter{}} }

func (s *waiters) add() *waiter {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastID++
	w := &waiter{id: s.lastID, changed: make(chan struct{}, 1)}
	s.byID[w.id] = w
	return w
}

func (s *waiters) remove(id ident.WaiterID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.byID, id)
}

func (s *waiters) find(id ident.WaiterID) *waiter {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.byID[id]
}

func (s *waiters) addToken(id ident.WaiterID, token string) {
	if w := s.find(id); w != nil {
		w.update(func() { w.tokens = append(w.tokens, token) })
	}
}

func (s *waiters) setAnswer(id ident.WaiterID, a outcome.Answer) {
	if w := s.find(id); w != nil {
		w.update(func() { w.answer = &a })
	}
}

func (w *waiter) update(change func()) {
	w.mutex.Lock()
	change()
	w.mutex.Unlock()
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// wait blocks until there are new tokens or an answer, or the caller has
// disconnected. It returns the tokens since the last call, and the answer or
// nil.
func (w *waiter) wait(disconnected <-chan struct{}) ([]string, *outcome.Answer) {
	select {
	case <-w.changed:
	case <-disconnected:
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	tokens := w.tokens
	w.tokens = nil
	return tokens, w.answer
}
