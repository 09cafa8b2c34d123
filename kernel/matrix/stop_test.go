package matrix

import (
	"testing"
	"time"

	"anvilcross/kernel/node"
)

// TestAllStopAtOnce stops a whole fleet together: nobody is left to take
// over, and everybody still has to come to an end.
func TestAllStopAtOnce(t *testing.T) {
	w := newWorld(documents["wroclaw"], 1, node.SafetyRules{}, false)
	w.run(epoch.Add(bootTime))
	ended := 0
	for _, seat := range w.document.Seats() {
		p := w.seats[seat]
		p.do(func() { p.node.Stop(func() { ended++ }) })
	}
	w.run(epoch.Add(bootTime + 10*time.Second))
	if want := len(w.document.Seats()); ended != want {
		t.Errorf("%d of %d instances ended", ended, want)
	}
}
