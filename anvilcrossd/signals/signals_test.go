package signals

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// A signal that comes before the process has done anything ends it.
func TestSignalsAreTakenOverFromTheStart(t *testing.T) {
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatal(err)
		}
		select {
		case got := <-Incoming:
			if got != s {
				t.Fatalf("got %v, want %v", got, s)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("%v did not arrive", s)
		}
	}
}
