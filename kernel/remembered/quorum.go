package remembered

import (
	"anvilcross/kernel/claim"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/outcome"
)

// Quorum counts the replies to one ballot.
type Quorum struct {
	// Consistent decides whether two replies may be counted together.
	Consistent func(a, b *claim.Stamp) bool
	// Size is the number of seats.
	Size      int
	promises  map[ident.Instance]Promise
	accepteds map[ident.Instance]Accepted
}

// NewQuorum returns a count without replies.
func NewQuorum(size int, consistent func(a, b *claim.Stamp) bool) *Quorum {
	return &Quorum{Size: size, Consistent: consistent, promises: map[ident.Instance]Promise{}, accepteds: map[ident.Instance]Accepted{}}
}

// AddPromise counts a promise, or what a refusal tells.
func (q *Quorum) AddPromise(p Promise) {
	if old, ok := q.promises[p.Seat]; !ok || old.Epoch <= p.Epoch {
		q.promises[p.Seat] = p
	}
}

// AddAccepted counts an acceptance.
func (q *Quorum) AddAccepted(a Accepted) {
	if old, ok := q.accepteds[a.Seat]; !ok || old.Epoch <= a.Epoch {
		q.accepteds[a.Seat] = a
	}
}

func (q *Quorum) majority() int { return min(claim.Majority, q.Size) }

// Chosen returns the answer that a majority holds under one ballot, or nil.
func (q *Quorum) Chosen() *outcome.Answer {
	for _, p := range q.promises {
		if p.Answer == nil {
			continue
		}
		n := 0
		for _, o := range q.promises {
			if o.Answer != nil && o.Accepted == p.Accepted && (o.Seat == p.Seat || q.Consistent(&o.Stamp, &p.Stamp)) {
				n++
			}
		}
		if n >= q.majority() {
			return p.Answer
		}
	}
	return nil
}

// Promised reports whether a majority promised, and returns the answer that
// has to be written then: the one accepted under the highest ballot, or nil.
func (q *Quorum) Promised() (bool, *outcome.Answer) {
	for _, p := range q.promises {
		n := 0
		var highest Promise
		for _, o := range q.promises {
			if !o.Granted || !p.Granted || o.Seat != p.Seat && !q.Consistent(&o.Stamp, &p.Stamp) {
				continue
			}
			n++
			if o.Answer != nil && o.Accepted.Compare(highest.Accepted) > 0 {
				highest = o
			}
		}
		if n >= q.majority() {
			return true, highest.Answer
		}
	}
	return false, nil
}

// Written reports whether a majority holds the ballot's answer.
func (q *Quorum) Written() bool {
	for _, a := range q.accepteds {
		n := 0
		for _, o := range q.accepteds {
			if o.Granted && a.Granted && (o.Seat == a.Seat || q.Consistent(&o.Stamp, &a.Stamp)) {
				n++
			}
		}
		if n >= q.majority() {
			return true
		}
	}
	return false
}

// Highest returns the highest ballot number that any seat is bound to.
func (q *Quorum) Highest() uint64 {
	highest := uint64(0)
	for _, p := range q.promises {
		highest = max(highest, p.Promised.Number)
	}
	for _, a := range q.accepteds {
		highest = max(highest, a.Promised.Number)
	}
	return highest
}

// Blocked reports whether so many seats are bound to a higher ballot that
// this one cannot get its majority any more.
func (q *Quorum) Blocked() bool {
	unprepared, unwritten := 0, 0
	for _, p := range q.promises {
		if !p.Granted {
			unprepared++
		}
	}
	for _, a := range q.accepteds {
		if !a.Granted {
			unwritten++
		}
	}
	return max(unprepared, unwritten) > q.Size-q.majority()
}
