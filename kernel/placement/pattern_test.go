package placement

import (
	"fmt"
	"testing"
	"time"
)

// mostMissed returns the share of streams that may miss an objective if share of them do with the
// usual choice: half of it or, in a small fleet, whose instances know almost all, the same. Up to a
// hundredth is chance.
func mostMissed(instances int, share float64) float64 {
	if instances < 12 {
		return max(share, 0.01)
	}
	return max(share/2, 0.01)
}

// Guards against long prompts that meet each other, or many running streams, on one endpoint while
// others are nearly empty.
func TestLongTailedPromptsAmongNinetyEndpoints(t *testing.T) {
	for _, instances := range []int{6, 77, 295} {
		for _, rate := range []float64{50, 160} {
			t.Run(fmt.Sprintf("%d instances, %v a second", instances, rate), func(t *testing.T) {
				t.Parallel()
				usual, estimated := compare(t, simConfig{instances: instances, endpoints: 90, perSecond: rate, longShare: 0.5, longMean: 6600, slowShare: 0.25, hiccups: 0.15, reportsWork: true, placer: true, duration: time.Duration(18*160/rate) * time.Second})
				if most := mostMissed(instances, usual.missedShare()); estimated.missedShare() > most {
					t.Errorf("%.3f of the streams missed an objective, at most %.3f may", estimated.missedShare(), most)
				}
			})
		}
	}
}

// Guards against slow endpoints that get as many and as long prompts as the others.
func TestQuarterOfEndpointsAtHalfSpeed(t *testing.T) {
	for _, instances := range []int{6, 77, 295} {
		t.Run(fmt.Sprintf("%d instances", instances), func(t *testing.T) {
			t.Parallel()
			c := simConfig{instances: instances, endpoints: 40, perSecond: 60, longShare: 0.5, longMean: 6600, slowShare: 0.25, placer: true, duration: 24 * time.Second}
			usual, estimated := compare(t, c)
			if most := mostMissed(instances, usual.missedShare()); estimated.missedShare() > most {
				t.Errorf("%.3f of the streams missed an objective, at most %.3f may", estimated.missedShare(), most)
			}
			c.mode, c.seed, c.unshared = Always, 1, true
			alone := simulate(c)
			t.Logf("not shared:   %v", alone)
			if instances > 12 && estimated.slowShare > 0.9*alone.slowShare {
				t.Errorf("slow endpoints get %.2f of the streams, %.2f if speeds are not shared", estimated.slowShare, alone.slowShare)
			}
			if estimated.slowShare > 0.16 || estimated.slowTokens > 0.13 {
				t.Errorf("slow endpoints, a quarter, get %.2f of the streams and %.2f of the tokens", estimated.slowShare, estimated.slowTokens)
			}
		})
	}
}

// Guards against prompts that are sent to endpoints in a slow spell, and against harm from spells
// that are not known.
func TestSlowSpellsOfSixHundredMilliseconds(t *testing.T) {
	c := simConfig{instances: 77, endpoints: 90, perSecond: 110, longShare: 0.5, longMean: 6600, hiccups: 0.15, reportsWork: true, placer: true, duration: 24 * time.Second}
	usual, estimated := compare(t, c)
	if most := mostMissed(c.instances, usual.missedShare()); estimated.missedShare() > most {
		t.Errorf("%.3f of the streams missed an objective, at most %.3f may", estimated.missedShare(), most)
	}
}

// Guards against all instances sending to an endpoint that has just joined, since it is empty.
func TestEndpointThatJoinsUnderFlood(t *testing.T) {
	for _, instances := range []int{6, 77, 295} {
		t.Run(fmt.Sprintf("%d instances", instances), func(t *testing.T) {
			t.Parallel()
			_, estimated := compare(t, simConfig{instances: instances, endpoints: 30, perSecond: 100, longShare: 0.3, longMean: 6600, placer: true, joinAt: 9 * time.Second, duration: 15 * time.Second})
			if estimated.joinedMost > 16 {
				t.Errorf("the endpoint that joined had %d streams at once", estimated.joinedMost)
			}
		})
	}
}

// Guards against instances that all send to the few endpoints that were least busy a second ago.
func TestLoadFiguresOneSecondOld(t *testing.T) {
	for _, instances := range []int{77, 295} {
		t.Run(fmt.Sprintf("%d instances", instances), func(t *testing.T) {
			t.Parallel()
			usual, estimated := compare(t, simConfig{instances: instances, endpoints: 40, perSecond: 120, longShare: 0.2, longMean: 6600, slowShare: 0.25, placer: true, duration: 15 * time.Second})
			t.Logf("most streams at one endpoint: %d and %d", usual.most, estimated.most)
			if estimated.most > usual.most/2 || estimated.missedShare() > mostMissed(instances, usual.missedShare()) {
				t.Errorf("an endpoint had %d streams at once, %d with the usual choice", estimated.most, usual.most)
			}
		})
	}
}

// Guards against figures that are false making the choice worse than without any.
func TestFalseLoadFigures(t *testing.T) {
	c := simConfig{instances: 77, endpoints: 90, perSecond: 110, longShare: 0.5, longMean: 6600, slowShare: 0.25, lies: true, placer: true, duration: 24 * time.Second}
	usual, estimated := compare(t, c)
	if most := mostMissed(c.instances, usual.missedShare()); estimated.missedShare() > most {
		t.Errorf("%.3f of the streams missed an objective, at most %.3f may", estimated.missedShare(), most)
	}
}

// Guards against a choice that depends on the placer.
func TestPlacerKilled(t *testing.T) {
	c := simConfig{instances: 77, endpoints: 90, perSecond: 110, longShare: 0.5, longMean: 6600, slowShare: 0.25, hiccups: 0.15, reportsWork: true, placer: true, killedAt: 8 * time.Second, duration: 24 * time.Second}
	usual, estimated := compare(t, c)
	if most := mostMissed(c.instances, usual.missedShare()); estimated.missedShare() > most {
		t.Errorf("%.3f of the streams missed an objective, at most %.3f may", estimated.missedShare(), most)
	}
}
