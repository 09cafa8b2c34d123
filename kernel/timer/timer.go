// Package timer is the kernel's only source of time. The kernel schedules its
// callbacks here; the daemon advances the time by the wall clock, and tests
// advance it by a virtual one.
package timer

import (
	"container/heap"
	"time"
)

// Scheduler calls functions in the order of their due times. It is not safe for
// concurrent use: its owner serializes the calls.
type Scheduler struct {
	now          time.Time
	queue        timerQueue
	lastSequence uint64
}

// Config configures a Scheduler.
type Config struct {
	// Start is the first time that Now returns.
	Start time.Time
}

// Timer is one scheduled call. Timers with the same due time are called in the
// order of their sequence numbers.
type Timer struct {
	due      time.Time
	sequence uint64
	index    int // in the queue, or notQueued
	callback func()
}

const notQueued = -1

// NewScheduler returns a scheduler whose time is the configured start.
func NewScheduler(c Config) *Scheduler { return &Scheduler{now: c.Start} }

// Now returns the current time, which only Advance changes.
func (s *Scheduler) Now() time.Time { return s.now }

// After schedules a call after the delay. A negative delay counts as zero.
func (s *Scheduler) After(delay time.Duration, callback func()) *Timer {
	s.lastSequence++
	t := &Timer{due: s.now.Add(max(delay, 0)), sequence: s.lastSequence, callback: callback}
	heap.Push(&s.queue, t)
	return t
}

// Every schedules a call that repeats with the period and cannot be stopped. An
// Advance over several periods makes one call, not one for each period.
func (s *Scheduler) Every(period time.Duration, callback func()) {
	s.After(period, func() {
		callback()
		s.Every(period, callback)
	})
}

// Stop cancels a timer. It does nothing if the timer is nil, or was called or
// stopped before.
func (s *Scheduler) Stop(t *Timer) {
	if t == nil || t.index == notQueued {
		return
	}
	heap.Remove(&s.queue, t.index)
}

// NextDue returns the due time of the earliest timer, or false if there is none.
func (s *Scheduler) NextDue() (time.Time, bool) {
	if len(s.queue) == 0 {
		return time.Time{}, false
	}
	return s.queue[0].due, true
}

// Advance moves the time forward and makes all calls that are due by then. The
// calls see the new time, as they would in a process that was paused past their
// due times. The time never moves backwards.
func (s *Scheduler) Advance(to time.Time) {
	if to.After(s.now) {
		s.now = to
	}
	for len(s.queue) > 0 && !s.queue[0].due.After(s.now) {
		t := heap.Pop(&s.queue).(*Timer)
		t.callback()
	}
}

// timerQueue is a heap of timers by due time; it implements heap.Interface.
type timerQueue []*Timer

func (q timerQueue) Len() int { return len(q) }

func (q timerQueue) Less(i, j int) bool {
	if q[i].due.Equal(q[j].due) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].due.Before(q[j].due)
}

func (q timerQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

func (q *timerQueue) Push(x any) {
	t := x.(*Timer)
	t.index = len(*q)
	*q = append(*q, t)
}

func (q *timerQueue) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	t.index = notQueued
	return t
}
