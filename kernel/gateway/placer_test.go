package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/placement"
)

// placementFleet is a fleet that serves prompts. sends holds the endpoints of the sends of each
// instance, with the time of the latest.
type placementFleet struct {
	*testFleet
	handle RequestHandle
	sends  map[ident.Instance][]Send
	sentAt time.Time
}

func newPlacementFleet(t *testing.T, strong, weak, models int) *placementFleet {
	t.Helper()
	f := &placementFleet{testFleet: startTestFleet(t, strong, weak, []ident.DataCentre{"east", "west", "north"}), sends: map[ident.Instance][]Send{}}
	f.nextStep = func(name ident.Instance, _ RequestHandle, s Step) {
		if s.Send != nil {
			f.sends[name], f.sentAt = append(f.sends[name], *s.Send), f.timers.Now()
		}
	}
	f.publish(placementRecords(t, placementCatalog(true), models))
	f.advance(5 * time.Second)
	return f
}

// send lets an instance serve a request with a long prompt.
func (f *placementFleet) send(name ident.Instance) RequestHandle {
	f.handle++
	c := CallerRequest{ID: ident.RequestID(fmt.Sprint(f.handle)), Host: "h", Path: "/draft/x"}
	longPrompt(&c)
	f.gateways[name].HandleRequest(f.handle, c)
	return f.handle
}

// others returns the instances except the placer and the placer.
func (f *placementFleet) others() ([]ident.Instance, ident.Instance) {
	up := slices.IndexFunc(f.names, func(name ident.Instance) bool { return !f.down[name] })
	placer := f.gateways[f.names[up]].placerOf("models")
	var others []ident.Instance
	for _, name := range f.names {
		if name != placer && !f.down[name] {
			others = append(others, name)
		}
	}
	return others, placer
}

// Guards against long prompts from different instances that meet on one endpoint because none knows
// of the others'.
func TestPlacerKeepsLongPromptsApart(t *testing.T) {
	f := newPlacementFleet(t, 6, 0, 24)
	others, placer := f.others()
	for n := range 20 {
		f.send(others[n%len(others)])
	}
	f.advance(30 * time.Millisecond)
	counts := map[ident.Endpoint]int{}
	for _, name := range others {
		for _, s := range f.sends[name] {
			counts[s.Endpoint]++
		}
	}
	if len(counts) != 20 {
		t.Errorf("20 long prompts went to %d of 24 endpoints", len(counts))
	}
	if made := f.gateways[placer].placement.Counters().Made; made != 20 {
		t.Errorf("the placer made %d placements, want 20", made)
	}
}

// Guards against requests that depend on the placer: a killed one costs 40 ms once.
func TestKilledPlacerCostsOneTimeout(t *testing.T) {
	f := newPlacementFleet(t, 6, 0, 24)
	others, placer := f.others()
	f.down[placer] = true
	name := others[0]
	sent := f.timers.Now()
	f.send(name)
	f.advance(39 * time.Millisecond)
	if len(f.sends[name]) != 0 {
		t.Fatal("the request was sent before the placer could reply")
	}
	f.advance(time.Millisecond)
	if len(f.sends[name]) != 1 || f.sentAt.Sub(sent) != 40*time.Millisecond {
		t.Fatalf("%d requests sent, the last after %v", len(f.sends[name]), f.sentAt.Sub(sent))
	}
	f.send(name)
	if len(f.sends[name]) != 2 {
		t.Error("the second request waits for the placer too")
	}
	f.advance(390 * time.Millisecond)
	f.send(name)
	if len(f.sends[name]) != 3 {
		t.Error("the placer is asked again within 0.4 s")
	}
	f.advance(3 * time.Second)
	if _, next := f.others(); next == placer {
		t.Error("the killed instance is still the placer")
	}
	before := f.gateways[name].placement.Counters().TimedOut
	f.send(name)
	f.advance(30 * time.Millisecond)
	if len(f.sends[name]) != 4 || f.gateways[name].placement.Counters().TimedOut != before {
		t.Errorf("%d requests sent, %d timed out", len(f.sends[name]), f.gateways[name].placement.Counters().TimedOut-before)
	}
}

// Guards against a request that goes where the placer says although it may not, against one that
// waits for ever for a placer that names no endpoint, and against a late reply.
func TestUselessReplyOfPlacer(t *testing.T) {
	for _, reply := range []placement.Reply{{}, {Endpoint: "gone"}, {Endpoint: "models-0", StartedUnixMillis: 7}, {Endpoint: "models-1"}} {
		t.Run(string(reply.Endpoint), func(t *testing.T) {
			f := newPlacementFleet(t, 6, 0, 3)
			others, placer := f.others()
			g := f.gateways[others[0]]
			f.down[placer] = true
			h := f.send(others[0])
			g.requests[h].excluded.Add("models-1")
			reply.ID = 1
			g.HandleMessage(message.Envelope{From: placer, Incarnation: 1, PlacementReply: &reply})
			sends := f.sends[others[0]]
			if len(sends) != 1 || sends[0].Endpoint == reply.Endpoint && reply.Endpoint != "models-0" {
				t.Fatalf("sends: %+v", sends)
			}
			if named := g.placement.Counters().Named; named != 0 {
				t.Errorf("%d requests were sent as the reply says", named)
			}
			g.HandleMessage(message.Envelope{From: placer, Incarnation: 1, PlacementReply: &reply})
			f.advance(100 * time.Millisecond)
			if len(f.sends[others[0]]) != 1 {
				t.Errorf("a late reply had an effect")
			}
		})
	}
}

// Guards against a request that is finished while the placer is asked and is sent afterwards.
func TestCallerLeavesWhilePlacerIsAsked(t *testing.T) {
	f := newPlacementFleet(t, 6, 0, 3)
	others, _ := f.others()
	f.gateways[others[0]].HandleCallerLeft(f.send(others[0]))
	f.advance(100 * time.Millisecond)
	if len(f.sends[others[0]]) != 0 {
		t.Error("the request was sent")
	}
}

// Guards against speeds that each instance learns only from its own few exchanges, and against
// members outside the core of a large fleet that do not learn them at all.
func TestSpeedsAreShared(t *testing.T) {
	for _, size := range []struct{ strong, weak int }{{6, 0}, {6, 71}} {
		t.Run(fmt.Sprint(size.strong+size.weak), func(t *testing.T) {
			f := newPlacementFleet(t, size.strong, size.weak, 6)
			observe := func(n int) {
				name := f.names[n%len(f.names)]
				h := f.send(name)
				f.advance(60 * time.Millisecond)
				sends := f.sends[name]
				s := sends[len(sends)-1]
				took := 200 * time.Millisecond
				if s.Endpoint == "models-0" {
					took = 1200 * time.Millisecond
				}
				g := f.gateways[name]
				g.requests[h].attempt.startedAt = f.timers.Now().Add(-took)
				g.HandleResponseHead(h, s.Attempt, false, endpoints.Load{})
				g.HandleFirstEvent(h, s.Attempt)
				g.HandleDelivery(h, s.Attempt, Delivery{Status: 200, Events: 1, Delimited: true})
			}
			for n := range 250 {
				observe(n)
			}
			f.advance(6 * time.Second)
			for _, name := range f.names {
				if ratio := f.gateways[name].placement.Ratios(f.timers.Now())["models-0"]; ratio < 1.19 {
					t.Errorf("%s takes the slow endpoint for %.2f times as slow as the others", name, ratio)
				}
			}
		})
	}
}
