package gateway

import (
	"fmt"
	"testing"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
)

// wantOneCore checks that all instances have the same view of the core.
func (f *testFleet) wantOneCore() {
	f.t.Helper()
	views := map[uint16]int{}
	for _, name := range f.names {
		views[f.gateways[name].members.CoreDigest(f.timers.Now())]++
	}
	if len(views) != 1 {
		f.t.Fatalf("%d views of the core", len(views))
	}
}

// All instances lose power and start at once. Until they agree on the core, several
// batch for one pool.
func TestAgreementAfterCommonStart(t *testing.T) {
	centres := []ident.DataCentre{"east", "west", "north", "south", "middle"}
	t.Run("all agree on the core three seconds after the last start", func(t *testing.T) {
		f := startTestFleet(t, 10, 190, centres)
		f.advance(3 * time.Second)
		f.wantOneCore()
	})
	t.Run("an instance that has met no other claims no pool", func(t *testing.T) {
		tg := newConfigured(t)
		tg.advance(2 * time.Second)
		if claims := len(tg.gateway.batchingSince); claims != 0 {
			t.Fatalf("%d pools are claimed after two seconds, want none", claims)
		}
		tg.advance(2 * time.Second)
		if claims := len(tg.gateway.batchingSince); claims != 2 {
			t.Fatalf("%d pools are claimed after four seconds, want 2", claims)
		}
	})
}

// Another instance names a batcher that this one has not heard of lately. The
// pieces must not be submitted again at every tick.
func TestRedirectedPiecesAreSubmittedOnce(t *testing.T) {
	tg := newConfigured(t)
	tg.receivePing("three", "west", 0)
	tg.advance(5 * time.Second)
	tg.receivePing("two", "west", 0)
	tg.gateway.batcherCache[ident.Pool{Service: "registry"}] = "two"
	h := tg.sendRequest("/draft/", func(c *CallerRequest) { c.PieceCounts = []int{1} })
	moved := message.StageResults{Service: "registry", Batcher: "three", Results: []message.PieceResult{{ID: message.PieceID{Request: tg.gateway.requests[h].incoming.ID}, Outcome: message.PieceMoved}}}
	tg.peers = nil
	tg.gateway.HandleMessage(message.Envelope{From: "two", Incarnation: 1, StageResults: &moved})
	tg.advance(700 * time.Millisecond)
	submissions := 0
	for _, p := range tg.peers {
		if p.message.StageWork != nil && p.to.Name == "three" {
			submissions++
			if p.message.StageWork.AcceptsRedirect {
				t.Error("the submission to the named batcher may be redirected again")
			}
		}
	}
	if submissions != 1 {
		t.Fatalf("%d submissions to the named batcher, want 1", submissions)
	}
}

// Instances of an earlier version send returned pieces back at once. While some of
// them run, their pieces are accepted by whoever gets them.
func TestOnlyThoseWhoAcceptItAreRedirected(t *testing.T) {
	for _, accepts := range []bool{true, false} {
		t.Run(fmt.Sprint(accepts), func(t *testing.T) {
			tg := newConfigured(t)
			tg.receivePing("two", "west", 0)
			tg.gateway.batcherCache[ident.Pool{Service: "registry"}] = "two"
			tg.gateway.HandleMessage(message.Envelope{From: "three", Incarnation: 1, StageWork: &message.StageWork{Request: "r", Service: "registry", Pieces: []int{0}, ResultBytes: 1, TimeToDue: time.Second, TimeToDeadline: time.Second, Weight: 1, AcceptsRedirect: accepts}})
			if redirected := tg.gateway.Counters().PiecesRedirected == 1; redirected != accepts {
				t.Fatalf("the pieces were redirected: %v, want %v", redirected, accepts)
			}
		})
	}
}
