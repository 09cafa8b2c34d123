// Package timer is the kernel's only source of time. Parts of the kernel
// subscribe to it; the daemon advances it by the wall clock and the tests
// advance it by a virtual one.
package timer

import (
	"container/heap"
	"time"
)

// Scheduler orders subscriptions by their due time. It is not safe for
// concurrent use: its owner serializes the calls.
type Scheduler struct {
	now      time.Time
	queue    queue
	sequence uint64
}

// Config sets up a Service.
type Config struct {
	// Start is the first time that Now returns.
	Start time.Time
}

// Timer is one pending call.
type Timer struct {
	due      time.Time
	sequence uint64
	index    int
	call     func()
}

const notQueued = -1

// NewScheduler returns a timer service that stands at the configured time.
func NewScheduler(c Config) *Scheduler { return &Scheduler{now: c.Start} }

// Now returns the time of the latest Advance.
func (s *Scheduler) Now() time.Time { return s.now }

// After subscribes a call to the moment that lies the delay ahead.
func (s *Scheduler) After(delay time.Duration, call func()) *Timer {
	s.sequence++
	sub := &Timer{due: s.now.Add(max(delay, 0)), sequence: s.sequence, call: call}
	heap.Push(&s.queue, sub)
	return sub
}

// Every subscribes a call that repeats with the period until the service is
// dropped. A late Advance makes one call, not one for each missed period.
func (s *Scheduler) Every(period time.Duration, call func()) {
	s.After(period, func() {
		call()
		s.Every(period, call)
	})
}

// Stop withdraws a subscription. Stopping nil or a finished one does nothing.
func (s *Scheduler) Stop(sub *Timer) {
	if sub == nil || sub.index == notQueued {
		return
	}
	heap.Remove(&s.queue, sub.index)
}

// NextDue returns the due time of the earliest subscription.
func (s *Scheduler) NextDue() (time.Time, bool) {
	if len(s.queue) == 0 {
		return time.Time{}, false
	}
	return s.queue[0].due, true
}

// Advance moves the time forward and makes all calls that are due by then.
// They see the new time, as a process does that was paused past their due
// times. A time in the past is ignored.
func (s *Scheduler) Advance(to time.Time) {
	if to.After(s.now) {
		s.now = to
	}
	for len(s.queue) > 0 && !s.queue[0].due.After(s.now) {
		sub := heap.Pop(&s.queue).(*Timer)
		sub.call()
	}
}

type queue []*Timer

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].due.Equal(q[j].due) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].due.Before(q[j].due)
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

func (q *queue) Push(x any) {
	sub := x.(*Timer)
	sub.index = len(*q)
	*q = append(*q, sub)
}

func (q *queue) Pop() any {
	last := len(*q) - 1
	sub := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	sub.index = notQueued
	return sub
}
