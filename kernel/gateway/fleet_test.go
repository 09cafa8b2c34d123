package gateway

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"anvilcross/kernel/batching"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/membership"
	"anvilcross/kernel/message"
	"anvilcross/kernel/replica"
	"anvilcross/kernel/timer"
)

const (
	// linkDelay is the one-way delay between two gateways of a test fleet.
	linkDelay = 4 * time.Millisecond
	// linkTimeout is when a message to a silent gateway counts as lost.
	linkTimeout = 600 * time.Millisecond
	// instanceBytes is the users' bound for what an instance sends for control
	// in a second, at 500 instances.
	instanceBytes = 5_000
)

// testFleet is a fleet of gateways under virtual time that exchange messages
// over links without loss.
type testFleet struct {
	t        *testing.T
	timers   *timer.Service
	gateways map[ident.Instance]*Gateway
	byPlace  map[string]ident.Instance
	names    []ident.Instance
	down     map[ident.Instance]bool
	sent     map[ident.Instance]int
	received map[ident.Instance]int
	// measuring is set while the bytes sent are counted.
	measuring bool
	calls     map[ident.Instance]int
}

// newTestFleet starts strong instances and weak ones in three data centres.
func newTestFleet(t *testing.T, strong, weak int) *testFleet {
	t.Helper()
	f := &testFleet{t: t, timers: timer.NewService(timer.Config{Start: testStart}), gateways: map[ident.Instance]*Gateway{}, byPlace: map[string]ident.Instance{}, down: map[ident.Instance]bool{}, sent: map[ident.Instance]int{}, received: map[ident.Instance]int{}, calls: map[ident.Instance]int{}}
	centres := []ident.DataCentre{"east", "west", "north"}
	for n := range strong + weak {
		name := ident.Instance(fmt.Sprintf("weak-%03d", n))
		capacity := 1.0
		if n < strong {
			name, capacity = ident.Instance(fmt.Sprintf("strong-%03d", n)), 4.0
		}
		m := membership.Member{Name: name, Address: string(name) + ":1", DataCentre: centres[n%3], Incarnation: 1, Capacity: capacity}
		f.names = append(f.names, name)
		f.byPlace[m.Address] = name
		f.gateways[name] = f.newGateway(m, uint64(n))
		// Instances do not start in the same moment.
		f.pass(time.Millisecond)
	}
	records := []replica.Record{record(t, "catalog", 1, testCatalog(1))}
	for _, s := range []ident.Service{"orders", "models", "registry", "planning"} {
		for n := range 3 {
			l := listing(s, n)
			records = append(records, record(t, string(l.Name), 1, l))
		}
	}
	for _, name := range f.names {
		f.gateways[name].HandleListing(records, 1)
	}
	return f
}

func (f *testFleet) newGateway(m membership.Member, seed uint64) *Gateway {
	return NewGateway(Config{
		Self:         m,
		Seeds:        []string{"strong-000:1", "weak-010:1"},
		Retry:        RetryLimits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		Random:       rand.New(rand.NewPCG(seed, 1)),
		Timers:       f.timers,
		DecodeRecord: decodeTestRecord,
		Output: Output{
			NextStep:        func(RequestHandle, Step) {},
			CancelAttempt:   func(RequestHandle) {},
			SendToPeer:      func(to membership.Address, e message.Envelope) { f.send(m.Name, f.byPlace[to.Address], e) },
			LogEvent:        func(string, ...any) {},
			StartCall:       func(batching.Call) { f.calls[m.Name]++ },
			InspectEndpoint: func(ident.Endpoint, string) {},
			FreeResults:     func(string, []message.ResultHandle) {},
		},
	})
}

// send carries a message and, for a ping, the answer to it.
func (f *testFleet) send(from, to ident.Instance, e message.Envelope) {
	if f.down[from] || f.gateways[from] == nil {
		return
	}
	f.sent[from] += f.size(e)
	if f.down[to] || f.gateways[to] == nil {
		f.timers.After(linkTimeout, func() { f.gateways[from].HandlePeerFailure(to, "silent") })
		return
	}
	f.timers.After(linkDelay, func() {
		f.received[to]++
		f.gateways[to].HandleMessage(e)
		if e.Ping == nil {
			return
		}
		pong := f.gateways[to].AnswerPing(*e.Ping)
		f.sent[to] += f.size(pong)
		f.timers.After(linkDelay, func() { f.gateways[from].HandleMessage(pong) })
	})
}

func (f *testFleet) size(e message.Envelope) int {
	if !f.measuring {
		return 0
	}
	text, err := json.Marshal(e)
	if err != nil {
		f.t.Fatal(err)
	}
	return len(text)
}

func (f *testFleet) pass(d time.Duration) {
	end := f.timers.Now().Add(d)
	for {
		next, ok := f.timers.Next()
		if !ok || next.After(end) {
			break
		}
		f.timers.Advance(next)
	}
	f.timers.Advance(end)
}

// batchers returns who batches for a service in the view of each instance that
// is up, with the number of instances that see it so.
func (f *testFleet) batchers(s ident.Service) map[ident.Instance]int {
	views := map[ident.Instance]int{}
	for _, name := range f.names {
		if !f.down[name] {
			views[f.gateways[name].batcherOf(s)]++
		}
	}
	return views
}

func (f *testFleet) wantOneBatcher(s ident.Service) ident.Instance {
	f.t.Helper()
	views := f.batchers(s)
	if len(views) != 1 {
		f.t.Fatalf("instances disagree on who batches for %s: %v", s, views)
	}
	for name := range views {
		if f.down[name] {
			f.t.Fatalf("%s batches for %s and is down", name, s)
		}
		return name
	}
	return ""
}

// Tests of a fleet whose instances have weak links, but for a few.
func TestFleetOfWeakLinks(t *testing.T) {
	t.Run("a strong instance batches, and all agree on it", func(t *testing.T) {
		f := newTestFleet(t, 6, 60)
		f.pass(5 * time.Second)
		for _, s := range []ident.Service{"registry", "planning"} {
			if name := f.wantOneBatcher(s); f.gateways[name].config.Self.Capacity < 2 {
				t.Fatalf("%s batches for %s", name, s)
			}
		}
	})
	t.Run("all know the size of the fleet", func(t *testing.T) {
		f := newTestFleet(t, 6, 60)
		f.pass(5 * time.Second)
		for _, name := range f.names {
			if living := f.gateways[name].AliveCount(); living < 63 || living > 66 {
				t.Fatalf("%s sees %d living members", name, living)
			}
		}
	})
	t.Run("a killed batcher is replaced within two seconds", func(t *testing.T) {
		f := newTestFleet(t, 6, 60)
		f.pass(5 * time.Second)
		f.down[f.wantOneBatcher("registry")] = true
		f.pass(2 * time.Second)
		f.wantOneBatcher("registry")
	})
	t.Run("weak instances batch when no strong one is left", func(t *testing.T) {
		f := newTestFleet(t, 3, 30)
		f.pass(5 * time.Second)
		for _, name := range f.names[:3] {
			f.down[name] = true
		}
		f.pass(4 * time.Second)
		f.wantOneBatcher("registry")
	})
	t.Run("a change that one instance reads is known everywhere", func(t *testing.T) {
		f := newTestFleet(t, 6, 60)
		f.pass(5 * time.Second)
		f.gateways["strong-000"].HandleChanges([]replica.Record{record(t, "catalog", 2, testCatalog(2))}, 2)
		f.pass(1500 * time.Millisecond)
		for _, name := range f.names {
			if v := f.gateways[name].Catalog().Version; v != 2 {
				t.Fatalf("%s has version %d", name, v)
			}
		}
	})
	t.Run("running requests elsewhere are known", func(t *testing.T) {
		f := newTestFleet(t, 6, 60)
		f.pass(5 * time.Second)
		f.gateways["weak-020"].HandleRequest(1, CallerRequest{ID: "request", Host: "h", Path: "/order/x", Key: "key"})
		f.pass(time.Second)
		busy := 0
		for _, e := range f.gateways["weak-040"].directory.Listed("orders") {
			busy += e.Busy(f.timers.Now())
		}
		if busy != 1 {
			t.Fatalf("weak-040 sees %d running requests", busy)
		}
	})
}

// What pings cost an instance must not grow with the fleet.
func TestPingsOfLargeFleets(t *testing.T) {
	for _, size := range []int{9, 66, 500} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newTestFleet(t, 6, size-6)
			f.pass(4 * time.Second)
			f.measuring = true
			clear(f.sent)
			clear(f.received)
			const seconds = 3
			f.pass(seconds * time.Second)
			sent, most, received := 0, 0, 0
			for _, name := range f.names {
				if f.gateways[name].config.Self.Capacity < 2 {
					sent += f.sent[name]
					most = max(most, f.sent[name])
				}
				received = max(received, f.received[name])
			}
			t.Logf("weak instances send %d bytes/s, at most %d; at most %d messages/s reach one", sent/seconds/(size-6), most/seconds, received/seconds)
			if size == 500 && most/seconds > instanceBytes {
				t.Errorf("a weak instance sends %d bytes/s", most/seconds)
			}
		})
	}
}
