package matrix

import (
	"testing"
	"time"

	"anvilcross/kernel/node"
)

// TestAllStopAtOnce stops all instances together. No instance is left to take
// over their work, and every shutdown still has to complete.
func TestAllStopAtOnce(t *testing.T) {
	sm := newSimulation(documents["wroclaw"], 1, node.SafetyRules{}, false)
	sm.advanceTo(simulationStart.Add(startupTime))
	stopped := 0
	for _, seat := range sm.document.Seats() {
		p := sm.seats[seat]
		p.handle(func() { p.node.BeginShutdown(func() { stopped++ }) })
	}
	sm.advanceTo(simulationStart.Add(startupTime + 10*time.Second))
	if want := len(sm.document.Seats()); stopped != want {
		t.Errorf("%d of %d instances stopped", stopped, want)
	}
}
