package owner

import (
	"testing"
	"time"

	"anvilcross/kernel/timer"
)

// A panic while one request is served ends that request only.
func TestPanicReleasesTheLock(t *testing.T) {
	kernel := 0
	o := NewOwner(Config[int]{Kernel: &kernel, Timers: timer.NewScheduler(timer.Config{Start: time.Now()})})
	func() {
		defer func() {
			if recover() == nil {
				t.Error("the panic did not reach the caller")
			}
		}()
		o.WithKernel(func(*int) { panic("unexpected") })
	}()
	done := make(chan struct{})
	go func() {
		o.WithKernel(func(k *int) { *k++ })
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the lock is still held after the panic")
	}
}
