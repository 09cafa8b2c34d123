package gateway

import (
	"fmt"
	"testing"
	"time"

	"anvilcross/kernel/value"
)

// shapes are routes of which several stages need the results of one. The calls of the last
// stage take so long that its pieces wait for more than resubmitAfter.
var shapes = map[string][]shapeStage{
	"two after one": {
		{pieces: 3, call: 600 * time.Millisecond, piece: 26 * time.Millisecond},
		{dependsOn: []int{0}, pieces: 4, call: 600 * time.Millisecond, piece: 50 * time.Millisecond},
		{dependsOn: []int{0}, pieces: 7, call: 1600 * time.Millisecond, piece: 100 * time.Millisecond},
	},
	"three after one": {
		{pieces: 3, call: 600 * time.Millisecond, piece: 26 * time.Millisecond},
		{dependsOn: []int{0}, pieces: 4, call: 600 * time.Millisecond, piece: 50 * time.Millisecond},
		{dependsOn: []int{0}, pieces: 7, call: 1600 * time.Millisecond, piece: 100 * time.Millisecond},
		{dependsOn: []int{0}, pieces: 7, call: 1600 * time.Millisecond, piece: 100 * time.Millisecond},
	},
	"joined": {
		{pieces: 3, call: 600 * time.Millisecond, piece: 26 * time.Millisecond},
		{dependsOn: []int{0}, pieces: 4, call: 600 * time.Millisecond, piece: 50 * time.Millisecond},
		{dependsOn: []int{0}, pieces: 7, call: 1600 * time.Millisecond, piece: 100 * time.Millisecond},
		{dependsOn: []int{1, 2}, pieces: 2, call: 600 * time.Millisecond, piece: 50 * time.Millisecond},
	},
	"chain": {
		{pieces: 3, call: 600 * time.Millisecond, piece: 26 * time.Millisecond},
		{dependsOn: []int{0}, pieces: 4, call: 600 * time.Millisecond, piece: 50 * time.Millisecond},
		{dependsOn: []int{1}, pieces: 7, call: 1600 * time.Millisecond, piece: 100 * time.Millisecond},
	},
}

// crashDelays holds the times from a clump of requests to the crash of an endpoint.
var crashDelays = []time.Duration{1400 * time.Millisecond, 1600 * time.Millisecond, 1800 * time.Millisecond, 2 * time.Second}

// crashInShapes checks each shape after an endpoint of its first stage has crashed.
func crashInShapes(t *testing.T, check func(*shapeFleet)) {
	t.Helper()
	for _, name := range value.SortedKeys(shapes) {
		for _, delay := range crashDelays {
			t.Run(fmt.Sprintf("%s, after %v", name, delay), func(t *testing.T) {
				f := newShapeFleet(t, shapes[name])
				f.clump(20)
				f.advance(delay)
				f.crash(f.fullest(f.services[0]))
				f.advance(26 * time.Second)
				check(f)
			})
		}
	}
}

// crashInRandomShapes checks acyclic shapes after an endpoint of one of their stages has crashed.
func crashInRandomShapes(t *testing.T, check func(*shapeFleet)) {
	t.Helper()
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			stages := randomShape(seed)
			f := newShapeFleet(t, stages)
			f.clump(20)
			f.advance(time.Second + time.Duration(seed%10)*300*time.Millisecond)
			f.crash(f.fullest(f.services[int(seed)%len(stages)]))
			f.advance(26 * time.Second)
			check(f)
		})
	}
}

// A stage is given inputs that do not exist any more, after an endpoint of a stage before it has
// crashed and while its results are computed again.
func TestCrashOfAStageEndpointMixesNoInputs(t *testing.T) {
	t.Parallel()
	crashInShapes(t, (*shapeFleet).wantNoneMixed)
}

// The same in random acyclic shapes, with an endpoint of any stage.
func TestCrashInAnyShapeMixesNoInputs(t *testing.T) {
	t.Parallel()
	crashInRandomShapes(t, (*shapeFleet).wantNoneMixed)
}
