// Package owner serializes access to a kernel, which has no locks of its own,
// and advances its timers by the wall clock.
package owner

import (
	"sync"
	"time"

	"anvilcross/kernel/timer"
)

// Owner protects a kernel of type T and its timers with one lock.
type Owner[T any] struct {
	mutex  sync.Mutex
	kernel *T
	timers *timer.Scheduler
	wake   chan struct{}
	// wakeAt is when Run wakes up next.
	wakeAt time.Time
}

// Config sets up an Owner.
type Config[T any] struct {
	Kernel *T
	Timers *timer.Scheduler
}

// idleSleep is how long Run sleeps when no timer is set.
const idleSleep = time.Second

// NewOwner returns an owner. Its timers advance on their own only while Run
// runs.
func NewOwner[T any](c Config[T]) *Owner[T] {
	return &Owner[T]{kernel: c.Kernel, timers: c.Timers, wake: make(chan struct{}, 1)}
}

// WithKernel advances the timers and calls f with the kernel, under the lock. f
// must neither block nor call WithKernel. The lock is released also if f panics,
// since the HTTP server recovers panics of its handlers.
func (o *Owner[T]) WithKernel(f func(*T)) {
	if !o.callLocked(f) {
		return
	}
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// callLocked calls f under the lock. It returns true if a timer is due before Run
// wakes up.
func (o *Owner[T]) callLocked(f func(*T)) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.timers.Advance(time.Now())
	f(o.kernel)
	next, ok := o.timers.NextDue()
	return ok && next.Before(o.wakeAt)
}

// Run advances the timers until the stop channel is closed.
func (o *Owner[T]) Run(stop <-chan struct{}) {
	for {
		untilNext := o.advanceTimers()
		sleep := time.NewTimer(untilNext)
		select {
		case <-stop:
			sleep.Stop()
			return
		case <-o.wake:
			sleep.Stop()
		case <-sleep.C:
		}
	}
}

// advanceTimers advances the timers and returns the time until the next one is
// due.
func (o *Owner[T]) advanceTimers() time.Duration {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := time.Now()
	o.timers.Advance(now)
	next, ok := o.timers.NextDue()
	if !ok {
		next = now.Add(idleSleep)
	}
	o.wakeAt = next
	return max(time.Until(next), 0)
}
