// Package owner serializes access to the kernel and drives its timer service
// by the wall clock.
package owner

import (
	"sync"
	"time"

	"anvilcross/kernel/timer"
)

// Owner holds a kernel of type T and its timers under one lock.
type Owner[T any] struct {
	mutex  sync.Mutex
	kernel *T
	timers *timer.Scheduler
	wake   chan struct{}
	due    time.Time
}

// Config sets up an Owner.
type Config[T any] struct {
	Kernel *T
	Timers *timer.Scheduler
}

// idleWait is how long the clock sleeps when nothing is due.
const idleWait = time.Second

// NewOwner returns an owner whose clock does not run yet.
func NewOwner[T any](c Config[T]) *Owner[T] {
	return &Owner[T]{kernel: c.Kernel, timers: c.Timers, wake: make(chan struct{}, 1)}
}

// WithKernel advances the time and lets the function use the kernel. The function must
// not block.
func (o *Owner[T]) WithKernel(f func(*T)) {
	o.mutex.Lock()
	o.timers.Advance(time.Now())
	f(o.kernel)
	next, ok := o.timers.NextDue()
	earlier := ok && next.Before(o.due)
	o.mutex.Unlock()
	if earlier {
		select {
		case o.wake <- struct{}{}:
		default:
		}
	}
}

// Run advances the timers until the stop channel is closed.
func (o *Owner[T]) Run(stop <-chan struct{}) {
	for {
		wait := o.advance()
		sleep := time.NewTimer(wait)
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

func (o *Owner[T]) advance() time.Duration {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := time.Now()
	o.timers.Advance(now)
	next, ok := o.timers.NextDue()
	if !ok {
		next = now.Add(idleWait)
	}
	o.due = next
	return max(time.Until(next), 0)
}
