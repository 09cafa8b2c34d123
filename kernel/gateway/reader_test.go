package gateway

import (
	"testing"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/membership"
	"anvilcross/kernel/message"
	"anvilcross/kernel/replica"
)

// member returns a member of the own data centre.
func member(name ident.Instance) membership.Member {
	return membership.Member{Name: name, Address: string(name) + ":1", DataCentre: "east", Incarnation: 1}
}

// hear lets a member's ping arrive.
func (w *world) hear(name ident.Instance, centre ident.DataCentre, platformAge time.Duration) {
	p := message.Ping{Member: membership.Member{Name: name, Address: string(name) + ":1", DataCentre: centre, Incarnation: 1}, AsOf: w.gateway.AsOf()}
	if platformAge >= 0 {
		p.PlatformAge = &platformAge
	}
	w.gateway.HandleMessage(message.Envelope{From: name, Ping: &p})
}

// Tests of who reads the platform: calls to it are counted for the whole fleet.
func TestReaders(t *testing.T) {
	many := func(w *world, age time.Duration) {
		for _, name := range []ident.Instance{"two", "three", "four", "five", "six", "seven", "eight"} {
			w.hear(name, "east", age)
		}
	}
	t.Run("an instance without a configuration reads unless others send it at once", func(t *testing.T) {
		w := newWorld(t)
		many(w, 0)
		w.pass(maxFirstReadDelay)
		if !w.gateway.ReadsPlatform() {
			t.Fatal("does not read")
		}
	})
	t.Run("an outage turns few instances into readers at a time", func(t *testing.T) {
		for _, c := range []struct {
			age         time.Duration
			least, most int
		}{{maxContactAge + extraReaderInterval, 2, 5}, {maxContactAge + 10*extraReaderInterval, 8, 8}} {
			reading := 0
			for _, self := range []ident.Instance{"one", "two", "three", "four", "five", "six", "seven", "eight"} {
				w := configuredAs(t, self)
				many(w, c.age)
				if w.gateway.ReadsPlatform() {
					reading++
				}
			}
			if reading < c.least || reading > c.most {
				t.Fatalf("%d of 8 instances read after %v, want %d to %d", reading, c.age, c.least, c.most)
			}
		}
	})
	t.Run("a data centre has few readers", func(t *testing.T) {
		readers := 0
		for _, self := range []ident.Instance{"one", "two", "three", "four", "five", "six", "seven", "eight"} {
			w := configuredAs(t, self)
			many(w, 0)
			if w.gateway.platformReaders(w.timers.Now()).Has(self) {
				readers++
			}
		}
		if readers < minReaders || readers > minReaders+1 {
			t.Fatalf("%d readers", readers)
		}
	})
	t.Run("others read when the readers are out of touch", func(t *testing.T) {
		w := configured(t)
		many(w, 5*time.Second)
		if !w.gateway.ReadsPlatform() {
			t.Fatal("does not read although no reader is in touch")
		}
	})
}

func TestRecordsOfMembers(t *testing.T) {
	t.Run("a change reaches an instance that does not read", func(t *testing.T) {
		w := configured(t)
		l := listing("orders", 0)
		l.Leaving = true
		w.gateway.HandleMessage(message.Envelope{From: "two", Records: &message.Records{Records: []replica.Record{record(t, string(l.Name), 5, l)}, Base: 1, AsOf: 5}})
		if e := w.gateway.directory.Lookup(l.Name); !e.Leaving || w.gateway.AsOf() != 5 {
			t.Fatalf("leaving %v, as of %d", e.Leaving, w.gateway.AsOf())
		}
	})
	t.Run("what a reader knew already is passed on with the news", func(t *testing.T) {
		// Seen on pelletier-jars-grown, hunt-ead6-3: a leaving endpoint got a
		// request after 3.3 s. Another data centre's reader had sent its record.
		w := configured(t)
		w.hear("two", "east", 0)
		first, second, third := listing("orders", 0), listing("orders", 1), listing("orders", 2)
		second.Leaving = true
		known := record(t, string(second.Name), 3, second)
		w.gateway.HandleMessage(message.Envelope{From: "far", Records: &message.Records{Records: []replica.Record{known}, Base: 2, AsOf: 3}})
		w.peers = nil
		w.gateway.HandleChanges([]replica.Record{record(t, string(first.Name), 2, first), known, record(t, string(third.Name), 4, third)}, 4)
		for _, p := range w.peers {
			if m := p.message.Records; m != nil && p.to.Name == "two" {
				if len(m.Records) != 3 || m.Base != 1 || m.AsOf != 4 {
					t.Fatalf("%d records from %d to %d, want all 3 from 1 to 4", len(m.Records), m.Base, m.AsOf)
				}
				return
			}
		}
		t.Fatal("nothing was passed on")
	})
	t.Run("an older record changes nothing", func(t *testing.T) {
		w := configured(t)
		old := testCatalog(0)
		old.Routes = nil
		w.gateway.HandleMessage(message.Envelope{From: "two", Records: &message.Records{Records: []replica.Record{record(t, "catalog", 1, old)}, Base: 0, AsOf: 1}})
		if len(w.gateway.Catalog().Routes) == 0 {
			t.Fatal("an older configuration is in force")
		}
	})
	t.Run("a gap does not count as complete", func(t *testing.T) {
		w := configured(t)
		w.gateway.HandleMessage(message.Envelope{From: "two", Records: &message.Records{Base: 7, AsOf: 9}})
		if w.gateway.AsOf() != 1 {
			t.Fatalf("as of %d", w.gateway.AsOf())
		}
	})
	t.Run("an entry that lapsed in an outage is kept until it is surely gone", func(t *testing.T) {
		w := configured(t)
		gone := replica.Record{Key: "orders-0", Revision: 6, Removed: true}
		w.gateway.HandleMessage(message.Envelope{From: "two", Records: &message.Records{Records: []replica.Record{gone}, Base: 1, AsOf: 6, Doubt: 2 * time.Second}})
		w.wantListed("orders-0", true)
		w.pass(3 * time.Second)
		w.wantListed("orders-0", false)
	})
	// Seen on pelletier-jars scale-2 --seed 7001: the platform refused one
	// instance only, whose doubt spread to those that could read it.
	t.Run("a removal by a member in touch is believed without the platform", func(t *testing.T) {
		w := configured(t)
		w.gateway.HandlePlatformUnavailable()
		gone := replica.Record{Key: "orders-0", Revision: 6, Removed: true}
		w.gateway.HandleMessage(message.Envelope{From: "two", Records: &message.Records{Records: []replica.Record{gone}, Base: 1, AsOf: 6}})
		w.wantListed("orders-0", false)
	})
	t.Run("an instance that cannot read the platform spreads no doubt", func(t *testing.T) {
		w := configured(t)
		w.gateway.HandlePlatformUnavailable()
		w.peers = nil
		p := message.Ping{Member: membership.Member{Name: "two", Address: "two:1", DataCentre: "east", Incarnation: 1}}
		w.gateway.HandleMessage(message.Envelope{From: "two", Ping: &p})
		for _, sent := range w.peers {
			if sent.message.Records != nil && sent.message.Records.Doubt > 0 {
				t.Fatal("records of a member in touch are called doubtful")
			}
		}
	})
	// Seen on pelletier-jars trouble-1 --seed 521553483152: two readers kept
	// each other in doubt long after the outage.
	t.Run("doubt is not passed on by those who only heard of it", func(t *testing.T) {
		w := configured(t)
		w.hear("two", "east", 0)
		w.gateway.HandleMessage(message.Envelope{From: "two", Records: &message.Records{Base: 1, AsOf: 1, Doubt: 2 * time.Second}})
		w.peers = nil
		l := listing("orders", 1)
		l.Leaving = true
		w.gateway.HandleChanges([]replica.Record{record(t, string(l.Name), 4, l)}, 4)
		w.wantSpread(false)
	})
	t.Run("a reader that went through an outage passes its doubt on", func(t *testing.T) {
		w := configured(t)
		w.hear("two", "east", 0)
		w.gateway.HandlePlatformUnavailable()
		w.peers = nil
		gone := replica.Record{Key: "orders-0", Revision: 6, Removed: true}
		w.gateway.HandleChanges([]replica.Record{gone}, 6)
		w.wantSpread(true)
	})
	// Seen on pelletier-jars hunt-a516-15: the platform had refused one reader
	// until four seconds before; its doubt outlasted the time in which lapsed
	// entries come back, and the word of a reader in touch did not end it.
	t.Run("doubt ends two seconds after the platform's return", func(t *testing.T) {
		w := configured(t)
		w.gateway.HandlePlatformUnavailable()
		w.gateway.HandleChanges(nil, 2)
		w.gateway.HandlePlatformAvailable()
		w.pass(1900 * time.Millisecond)
		w.gateway.HandleChanges(nil, 3)
		w.pass(200 * time.Millisecond)
		w.gateway.HandleChanges([]replica.Record{{Key: "orders-0", Revision: 6, Removed: true}}, 6)
		w.wantListed("orders-0", false)
	})
	t.Run("the word of a member in touch ends a doubt", func(t *testing.T) {
		w := configured(t)
		gone := []replica.Record{{Key: "orders-0", Revision: 6, Removed: true}}
		w.gateway.HandleMessage(message.Envelope{From: "two", Records: &message.Records{Records: gone, Base: 1, AsOf: 6, Doubt: time.Second}})
		w.wantListed("orders-0", true)
		w.gateway.HandleMessage(message.Envelope{From: "three", Records: &message.Records{Records: gone, Base: 1, AsOf: 6}})
		w.wantListed("orders-0", false)
	})
	t.Run("an entry that was removed in calm is gone at once", func(t *testing.T) {
		w := configured(t)
		gone := replica.Record{Key: "orders-0", Revision: 6, Removed: true}
		w.gateway.HandleChanges([]replica.Record{gone}, 6)
		w.wantListed("orders-0", false)
	})
}

// wantSpread checks that records were passed on, with doubt or without.
func (w *world) wantSpread(doubtful bool) {
	w.t.Helper()
	for _, sent := range w.peers {
		if r := sent.message.Records; r != nil && len(r.Records) > 0 {
			if (r.Doubt > 0) != doubtful {
				w.t.Fatalf("records passed on with doubt: %v, want %v", r.Doubt, doubtful)
			}
			return
		}
	}
	w.t.Fatal("no records were passed on")
}

func (w *world) wantListed(name ident.Endpoint, want bool) {
	w.t.Helper()
	if got := w.gateway.directory.Lookup(name) != (*endpoints.Endpoint)(nil); got != want {
		w.t.Fatalf("%s listed: %v, want %v", name, got, want)
	}
}
