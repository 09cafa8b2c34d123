package gateway

import "testing"

// The crash of one endpoint makes a request compute results again several times, since reports
// about the lost ones arrive after they have been replaced.
func TestOneCrashOneRecompute(t *testing.T) {
	t.Parallel()
	crashInShapes(t, (*shapeFleet).wantOneLoss)
}

// The same in random acyclic shapes, with an endpoint of any stage.
func TestOneCrashOneRecomputeInAnyShape(t *testing.T) {
	t.Parallel()
	crashInRandomShapes(t, (*shapeFleet).wantOneLoss)
}

// wantOneLoss checks that one crash made no request compute lost results again more than once.
func (f *shapeFleet) wantOneLoss() {
	f.t.Helper()
	repeated, most := 0, 0
	for _, count := range f.losses {
		most = max(most, count)
		if count > 1 {
			repeated++
		}
	}
	if repeated > 0 {
		f.t.Errorf("of %d requests that lost results %d had them computed again more than once, %d times at most", len(f.losses), repeated, most)
	}
}
