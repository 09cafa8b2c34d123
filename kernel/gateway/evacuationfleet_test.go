package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"anvilcross/kernel/batching"
	"anvilcross/kernel/evacuation"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/replica"
	"anvilcross/kernel/value"
)

const (
	// evacuationBound is the users' bound: the time from the store's acknowledgement of the
	// record on which nothing may reach the evacuated data centre.
	evacuationBound = 5 * time.Second
	// messageLoss is the share of the messages between instances that are lost, and
	// maxExtraDelay the longest extra time of one, so that they overtake each other.
	messageLoss   = 0.05
	maxExtraDelay = 60 * time.Millisecond
	// maxVariedSize is the largest fleet in which all variants of a test run: a fleet of 295
	// takes a minute of processor time.
	maxVariedSize = 85
)

// evacuationSizes are the numbers of instances of the fleets.
func evacuationSizes() []int { return []int{6, 85, 295} }

// evacuationFleet is a loaded fleet whose platform has evacuations.
type evacuationFleet struct {
	*loadedFleet
	store *testStore
	// reached holds what reached endpoints: requests, stage calls and releases of results.
	reached []reach
}

// reach is something that reached an endpoint of a data centre.
type reach struct {
	at     time.Time
	centre ident.DataCentre
	what   string
}

func newEvacuationFleet(t *testing.T, size, perSecond int) *evacuationFleet {
	t.Helper()
	f := &evacuationFleet{loadedFleet: newLoadedFleet(t, size, perSecond)}
	f.store = newTestStore(f.testFleet, f.records)
	for _, name := range f.names {
		f.store.follow(name)
	}
	f.nextStep = func(name ident.Instance, h RequestHandle, s Step) {
		if s.Send != nil {
			f.reach(f.endpointCentre[s.Send.Endpoint], "request")
		}
		f.takeStep(name, h, s)
	}
	f.startCall = func(name ident.Instance, c batching.Call) {
		f.reach(f.endpointCentre[c.Endpoint], "stage call")
		f.runCall(name, c)
	}
	f.freeResults = func(_ ident.Instance, address string, _ []message.ResultHandle) {
		f.reach(f.addressCentre[address], "release")
	}
	f.advance(2 * time.Second)
	return f
}

func (f *evacuationFleet) reach(centre ident.DataCentre, what string) {
	f.reached = append(f.reached, reach{at: f.timers.Now(), centre: centre, what: what})
}

// disturbMessages makes messages between instances late, lost and out of order.
func (f *evacuationFleet) disturbMessages() {
	random := rand.New(rand.NewPCG(7, 7))
	f.path = func(_, _ ident.Instance) pathState {
		if random.Float64() < messageLoss {
			return pathSilent
		}
		return pathOpen
	}
	f.extraDelay = func() time.Duration { return time.Duration(random.Int64N(int64(maxExtraDelay))) }
}

// setEvacuation writes or removes the record of an evacuation.
func (f *evacuationFleet) setEvacuation(centre ident.DataCentre, removed bool) {
	f.store.put(replica.Record{Key: evacuationTestKey + string(centre), Removed: removed})
}

// countReached returns how much reached a data centre in a time span.
func (f *evacuationFleet) countReached(centre ident.DataCentre, from, to time.Time) map[string]int {
	counts := map[string]int{}
	for _, r := range f.reached {
		if r.centre == centre && !r.at.Before(from) && r.at.Before(to) {
			counts[r.what]++
		}
	}
	return counts
}

// evacuationTimes are when the record of an evacuation was written and removed.
type evacuationTimes struct{ begun, ended time.Time }

// playEvacuation plays the evacuation of south, or the same without it. If disturbed is set,
// messages are late, lost and out of order.
func playEvacuation(t *testing.T, size int, evacuated, disturbed bool) (*evacuationFleet, evacuationTimes) {
	t.Helper()
	f := newEvacuationFleet(t, size, 60)
	if disturbed {
		f.disturbMessages()
	}
	f.advance(2 * time.Second)
	times := evacuationTimes{begun: f.timers.Now()}
	if evacuated {
		f.setEvacuation("south", false)
	}
	f.advance(evacuationBound + time.Second)
	times.ended = f.timers.Now()
	if evacuated {
		f.setEvacuation("south", true)
	}
	f.advance(5 * time.Second)
	return f, times
}

// Requests, stage calls or releases reach an evacuated data centre later than the bound, when
// messages between instances are late, lost or out of order.
func TestNothingReachesEvacuatedDataCentre(t *testing.T) {
	t.Parallel()
	for _, size := range evacuationSizes() {
		t.Run(fmt.Sprintf("%d instances", size), func(t *testing.T) {
			t.Parallel()
			f, times := playEvacuation(t, size, true, true)
			if got := f.countReached("south", times.begun.Add(-time.Second), times.begun); got["request"] == 0 || got["stage call"] == 0 {
				t.Fatalf("before the evacuation, %v reach south", got)
			}
			if got := f.countReached("south", times.begun.Add(evacuationBound), times.ended); len(got) != 0 {
				t.Errorf("%v reach the evacuated data centre", got)
			}
			back := times.ended.Add(3 * time.Second)
			if got := f.countReached("south", back, back.Add(time.Second)); got["request"] == 0 || got["stage call"] == 0 {
				t.Errorf("after the evacuation, %v reach south", got)
			}
		})
	}
}

// Callers pay for an evacuation or its end.
func TestCallersDoNotPayForAnEvacuation(t *testing.T) {
	t.Parallel()
	wantCallersServed(t, false)
}

// Callers pay for an evacuation or its end while messages between instances are lost.
func TestCallersDoNotPayForAnEvacuationWithLostMessages(t *testing.T) {
	t.Parallel()
	wantCallersServed(t, true)
}

// wantCallersServed checks that the share of requests that is served in time during an evacuation
// and after it is that without the evacuation: lost messages alone make requests late.
func wantCallersServed(t *testing.T, disturbed bool) {
	anywhere := func(ident.DataCentre) bool { return true }
	for _, size := range []int{6, maxVariedSize} {
		t.Run(fmt.Sprintf("%d instances", size), func(t *testing.T) {
			t.Parallel()
			f, times := playEvacuation(t, size, true, disturbed)
			control, _ := playEvacuation(t, size, false, disturbed)
			usual := control.servedShare(times.begun, times.ended, anywhere)
			t.Logf("without the evacuation: %.3f served in time", usual)
			f.wantServed("from the evacuation to its end", times.begun, times.ended, 0.95*usual, anywhere)
			usual = control.servedShare(times.ended, times.ended.Add(3*time.Second), anywhere)
			t.Logf("without the evacuation: %.3f served in time", usual)
			f.wantServed("from then on", times.ended, times.ended.Add(3*time.Second), 0.95*usual, anywhere)
		})
	}
}

// With all data centres evacuated, requests reach endpoints or wait for nothing.
func TestFleetWithAllDataCentresEvacuated(t *testing.T) {
	t.Parallel()
	for _, size := range evacuationSizes() {
		t.Run(fmt.Sprintf("%d instances", size), func(t *testing.T) {
			t.Parallel()
			f := newEvacuationFleet(t, size, 50)
			for _, centre := range f.centres {
				f.setEvacuation(centre, false)
			}
			f.advance(evacuationBound)
			from := f.timers.Now()
			f.advance(2 * time.Second)
			for _, centre := range f.centres {
				if got := f.countReached(centre, from, f.timers.Now()); len(got) != 0 {
					t.Errorf("%v reach %s", got, centre)
				}
			}
			refused := 0
			for _, a := range f.arrivals {
				if !a.at.Before(from) && a.answer != "" {
					refused++
				}
			}
			if refused < 99 {
				t.Errorf("%d requests are refused, want about 100", refused)
			}
			for _, centre := range f.centres {
				f.setEvacuation(centre, true)
			}
			f.advance(4 * time.Second)
			back := f.timers.Now()
			f.advance(4 * time.Second)
			f.wantServed("from 4 s after the end", back, back.Add(time.Second), 0.95, func(ident.DataCentre) bool { return true })
		})
	}
}

// After a restore of the store from a copy, an evacuation that the copy lacks ends before the
// operator has written its record again, or goes on for ever if that is not written.
func TestEvacuationSurvivesARestore(t *testing.T) {
	t.Parallel()
	for _, size := range evacuationSizes() {
		for _, rewritten := range []bool{true, false} {
			if size > maxVariedSize && !rewritten {
				continue
			}
			t.Run(fmt.Sprintf("%d instances, rewritten %v", size, rewritten), func(t *testing.T) {
				t.Parallel()
				f := newRestoredFleet(t, size)
				copied := f.store.copy()
				f.store.put(replica.Record{Key: evacuationTestKey + "west"})
				f.advance(changeTime)
				count := func(want bool) int {
					wrong := 0
					for _, name := range f.names {
						if g := f.gateways[name]; g.directory.Evacuated(g.directory.Lookup("orders-1")) != want {
							wrong++
						}
					}
					return wrong
				}
				if wrong := count(true); wrong != 0 {
					t.Fatalf("%d instances do not know of the evacuation", wrong)
				}
				gaps := 0
				checking := true
				f.timers.Every(20*time.Millisecond, func() {
					if checking {
						gaps += count(true)
					}
				})
				f.store.restore(copied)
				f.advance(rewriteTime)
				if rewritten {
					f.store.put(replica.Record{Key: evacuationTestKey + "west"})
					f.advance(5 * time.Second)
				}
				checking = false
				if gaps != 0 {
					t.Errorf("the evacuation had ended at an instance in %d checks", gaps)
				}
				if rewritten {
					return
				}
				f.advance(changeTime + 2*time.Second)
				if wrong := count(false); wrong != 0 {
					t.Errorf("%d instances keep the evacuation", wrong)
				}
			})
		}
	}
}

// An instance that starts during an evacuation, or is cut off from the others and the store,
// uses the evacuated data centre.
func TestEvacuationAtInstancesThatStartOrAreCutOff(t *testing.T) {
	t.Parallel()
	for _, size := range evacuationSizes() {
		t.Run(fmt.Sprintf("%d instances", size), func(t *testing.T) {
			t.Parallel()
			f := newRestoredFleet(t, size)
			f.store.put(replica.Record{Key: evacuationTestKey + "west"})
			f.advance(changeTime)
			f.restart(f.names[1], restartTime, func() { f.store.follow(f.names[1]) })
			f.cutOff = "north"
			for _, name := range f.names {
				if f.centreOf(name) == "north" {
					f.store.paths[name] = pathSilent
				}
			}
			f.advance(6 * time.Second)
			for _, name := range f.names {
				g := f.gateways[name]
				if e := g.directory.Lookup("orders-1"); e == nil || !g.directory.Evacuated(e) {
					t.Fatalf("%s uses the evacuated data centre", name)
				}
			}
			f.store.put(replica.Record{Key: evacuationTestKey + "west", Removed: true})
			f.advance(changeTime)
			f.cutOff = ""
			clear(f.store.paths)
			f.advance(changeTime + time.Second)
			for _, name := range f.names {
				if g := f.gateways[name]; g.directory.Evacuated(g.directory.Lookup("orders-1")) {
					t.Fatalf("%s keeps the evacuation", name)
				}
			}
		})
	}
}

// Requests or pieces of a deployment with two regions reach endpoints of the other region, with
// pools of one data centre and of all.
func TestFleetWithTwoRegions(t *testing.T) {
	t.Parallel()
	regions := evacuation.Regions{"east": "eu", "west": "eu", "north": "us", "south": "us", "middle": "eu"}
	for _, size := range evacuationSizes() {
		for _, divided := range []bool{true, false} {
			if size > maxVariedSize && divided {
				continue
			}
			t.Run(fmt.Sprintf("%d instances, divided %v", size, divided), func(t *testing.T) {
				t.Parallel()
				f := newEvacuationFleet(t, size, 40)
				for _, name := range f.names {
					f.gateways[name].SetRegions(regions)
				}
				if !divided {
					for _, s := range []ident.Service{"registry", "planning"} {
						for n := 4 * len(f.centres); n < stageEndpointsPerCentre*len(f.centres); n++ {
							f.store.put(replica.Record{Key: fmt.Sprintf("%s-%d", s, n), Removed: true})
						}
					}
				}
				f.store.put(testRecord(t, "catalog", 0, boundCatalog(2, nil, []ident.Region{"eu"})))
				f.advance(3 * time.Second)
				if got := f.gateways[f.names[0]].pools().Divided; got != divided {
					t.Fatalf("pools are divided: %v, want %v", got, divided)
				}
				from := f.timers.Now()
				f.advance(4 * time.Second)
				total := 0
				for _, centre := range value.SortedKeys(regions) {
					got := f.countReached(centre, from, f.timers.Now())
					total += got["request"]
					if regions[centre] == "us" && len(got) != 0 {
						t.Errorf("%v reach %s", got, centre)
					}
				}
				if total < 100 {
					t.Errorf("%d requests were sent, want at least 100", total)
				}
				f.wantServed("bound requests", from, from.Add(2*time.Second), 0.9, func(ident.DataCentre) bool { return true })
			})
		}
	}
}
