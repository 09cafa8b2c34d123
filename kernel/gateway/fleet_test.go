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
	"anvilcross/kernel/paths"
	"anvilcross/kernel/replica"
	"anvilcross/kernel/timer"
)

const (
	// linkDelay is the one-way delay between two gateways of a test fleet.
	linkDelay = 4 * time.Millisecond
	// linkTimeout is the time after which a message to a gateway that is down
	// is reported as undeliverable.
	linkTimeout = 600 * time.Millisecond
	// maxBytesPerSecond is the users' limit on the control traffic that an
	// instance of a fleet of 500 sends.
	maxBytesPerSecond = 5_000
)

// testFleet is a fleet of gateways under virtual time. They exchange messages
// over lossless links with a fixed delay.
type testFleet struct {
	t         *testing.T
	timers    *timer.Scheduler
	gateways  map[ident.Instance]*Gateway
	byAddress map[string]ident.Instance
	names     []ident.Instance
	down      map[ident.Instance]bool
	sent      map[ident.Instance]int
	received  map[ident.Instance]int
	// measuring is set while the bytes sent are counted.
	measuring bool
	calls     map[ident.Instance]int
	// cutOff is the data centre that is partitioned from the others; empty if none is.
	cutOff ident.DataCentre
	// nextStep and startCall carry out the gateways' effects.
	nextStep  func(ident.Instance, RequestHandle, Step)
	startCall func(ident.Instance, batching.Call)
	// freeResults carries out the freeing of results at the endpoint with an address.
	freeResults func(ident.Instance, string, []message.ResultHandle)
	// checkEndpoint carries out an instance's check of an endpoint.
	checkEndpoint func(ident.Instance, ident.Endpoint)
	// listPrompts carries out an instance's question for the prompts of an endpoint.
	listPrompts func(ident.Instance, ident.Endpoint)
	// history returns the changes that the platform's history has; nil if it cannot be read.
	history func() []replica.Change
	// queryHealth carries out an instance's question whether a process is cold.
	queryHealth func(ident.Instance, ident.EndpointProcess)
	// onStart is called for each instance that start starts.
	onStart func(ident.Instance)
	// path returns what happens to messages between two instances that are up;
	// nil if all arrive.
	path func(from, to ident.Instance) pathState
	// extraDelay returns what a message takes longer than linkDelay, so that messages can
	// overtake each other; nil if none does.
	extraDelay func() time.Duration
	// slowness holds what messages from and to an instance take longer than linkDelay.
	slowness map[ident.Instance]time.Duration
	// logEvent receives the instances' log events.
	logEvent func(name string, fields ...any)
	// loses reports whether a message that is no ping is lost without a failure; nil if none is.
	loses func(from, to ident.Instance, e message.Envelope) bool
}

// delay returns how long a message between two instances takes.
func (f *testFleet) delay(from, to ident.Instance) time.Duration {
	return linkDelay + f.slowness[from] + f.slowness[to]
}

// pathTo returns what happens to messages between two instances.
func (f *testFleet) pathTo(from, to ident.Instance) pathState {
	switch {
	case f.down[to] || f.gateways[to] == nil || f.partitioned(f.centreOf(from), f.centreOf(to)):
		return pathSilent
	case f.path != nil:
		return f.path(from, to)
	}
	return pathOpen
}

// restart ends an instance's process and starts another one after a while.
func (f *testFleet) restart(name ident.Instance, after time.Duration, started func()) {
	if f.down[name] {
		return
	}
	f.down[name] = true
	f.timers.After(after, func() {
		m := f.gateways[name].config.Self
		m.Incarnation++
		f.down[name] = false
		f.gateways[name] = f.newGateway(m, uint64(m.Incarnation))
		started()
	})
}

// newTestFleet starts the given numbers of instances with a strong link
// (capacity 4) and with a weak one (capacity 1), spread over three data
// centres.
func newTestFleet(t *testing.T, strong, weak int) *testFleet {
	t.Helper()
	f := startTestFleet(t, strong, weak, []ident.DataCentre{"east", "west", "north"})
	records := []replica.Record{testRecord(t, "catalog", 1, testCatalog(1))}
	for _, s := range []ident.Service{"orders", "models", "registry", "planning"} {
		for n := range 3 {
			l := testListing(s, n)
			records = append(records, testRecord(t, string(l.Name), 1, l))
		}
	}
	f.publish(records)
	return f
}

// publish gives all instances the platform's records.
func (f *testFleet) publish(records []replica.Record) {
	for _, name := range f.names {
		f.gateways[name].HandleFullList(records, 1)
	}
}

// centreOf returns the data centre of an instance.
func (f *testFleet) centreOf(name ident.Instance) ident.DataCentre {
	if g := f.gateways[name]; g != nil {
		return g.config.Self.DataCentre
	}
	return ""
}

// partitioned reports whether two data centres are cut off from each other.
func (f *testFleet) partitioned(x, y ident.DataCentre) bool {
	return f.cutOff != "" && x != y && (x == f.cutOff || y == f.cutOff)
}

// startTestFleet starts instances without a configuration, spread over the given
// data centres.
func startTestFleet(t *testing.T, strong, weak int, centres []ident.DataCentre) *testFleet {
	t.Helper()
	f := newIdleFleet(t)
	f.start(strong, weak, centres)
	return f
}

// newIdleFleet returns a fleet without instances.
func newIdleFleet(t *testing.T) *testFleet {
	t.Helper()
	f := &testFleet{t: t, timers: timer.NewScheduler(timer.Config{Start: testStart}), gateways: map[ident.Instance]*Gateway{}, byAddress: map[string]ident.Instance{}, down: map[ident.Instance]bool{}, sent: map[ident.Instance]int{}, received: map[ident.Instance]int{}, calls: map[ident.Instance]int{}, slowness: map[ident.Instance]time.Duration{}}
	f.nextStep = func(ident.Instance, RequestHandle, Step) {}
	f.logEvent = func(string, ...any) {}
	f.startCall = func(name ident.Instance, _ batching.Call) { f.calls[name]++ }
	f.freeResults = func(ident.Instance, string, []message.ResultHandle) {}
	f.onStart = func(ident.Instance) {}
	f.checkEndpoint = func(name ident.Instance, e ident.Endpoint) {
		f.timers.After(2*linkDelay, func() { f.gateways[name].HandleEndpointChecked(e, paths.Accepted) })
	}
	f.listPrompts = func(ident.Instance, ident.Endpoint) {}
	f.history = func() []replica.Change { return []replica.Change{} }
	f.queryHealth = func(ident.Instance, ident.EndpointProcess) {}
	return f
}

// start starts instances, spread over the given data centres.
func (f *testFleet) start(strong, weak int, centres []ident.DataCentre) {
	for n := range strong + weak {
		name := ident.Instance(fmt.Sprintf("weak-%03d", n))
		capacity := 1.0
		if n < strong {
			name, capacity = ident.Instance(fmt.Sprintf("strong-%03d", n)), 4.0
		}
		m := membership.Member{Name: name, Address: string(name) + ":1", DataCentre: centres[n%len(centres)], Incarnation: 1, Capacity: capacity, AcceptsForwards: true}
		f.names = append(f.names, name)
		f.byAddress[m.Address] = name
		f.gateways[name] = f.newGateway(m, uint64(n))
		f.onStart(name)
		// Instances do not start at exactly the same time.
		f.advance(time.Millisecond)
	}
}

func (f *testFleet) newGateway(m membership.Member, seed uint64) *Gateway {
	return NewGateway(Config{
		Self:         m,
		Seeds:        []string{"strong-000:1", "weak-010:1"},
		Retry:        RetryLimits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		Random:       rand.New(rand.NewPCG(seed, 1)),
		Timers:       f.timers,
		DecodeRecord: decodeTestRecord,
		HistorySpan:  20 * time.Second,
		Output: Output{
			NextStep:      func(h RequestHandle, s Step) { f.nextStep(m.Name, h, s) },
			CancelAttempt: func(RequestHandle) {},
			SendToPeer: func(to membership.PeerAddress, e message.Envelope) {
				// The timers of an ended process go on.
				if f.gateways[m.Name].config.Self.Incarnation == m.Incarnation {
					f.send(m.Name, f.byAddress[to.Address], e)
				}
			},
			LogEvent:        func(name string, fields ...any) { f.logEvent(name, fields...) },
			StartCall:       func(c batching.Call) { f.startCall(m.Name, c) },
			InspectEndpoint: func(ident.Endpoint, string) {},
			CheckEndpoint:   func(e ident.Endpoint, _ string) { f.checkEndpoint(m.Name, e) },
			ListPrompts:     func(e ident.Endpoint, _ string) { f.listPrompts(m.Name, e) },
			ReadHistory: func(replica.Revision) {
				g := f.gateways[m.Name]
				f.timers.After(4*linkDelay, func() { changes := f.history(); g.HandleHistory(changes, changes != nil) })
			},
			QueryHealth: func(p ident.EndpointProcess, _, _ string) { f.queryHealth(m.Name, p) },
			FreeResults: func(address string, handles []message.ResultHandle) { f.freeResults(m.Name, address, handles) },
		},
	})
}

// send delivers a message and, for a ping, the answer to it. With measuring
// set, it counts the bytes.
func (f *testFleet) send(from, to ident.Instance, e message.Envelope) {
	if f.down[from] || f.gateways[from] == nil {
		return
	}
	f.sent[from] += f.messageBytes(e)
	switch f.pathTo(from, to) {
	case pathSilent:
		f.timers.After(linkTimeout, func() { f.gateways[from].HandlePeerFailure(to, "silent") })
		return
	case pathResetting:
		f.timers.After(linkDelay, func() { f.gateways[from].HandlePeerFailure(to, "reset") })
		return
	}
	delay := f.delay(from, to)
	if f.extraDelay != nil {
		delay += f.extraDelay()
	}
	if f.loses != nil && e.Ping == nil && f.loses(from, to, e) {
		return
	}
	f.timers.After(delay, func() {
		f.received[to]++
		f.gateways[to].HandleMessage(e)
		if e.Ping == nil {
			return
		}
		pong := f.gateways[to].AnswerPing(*e.Ping)
		f.sent[to] += f.messageBytes(pong)
		f.timers.After(f.delay(to, from), func() { f.gateways[from].HandleMessage(pong) })
	})
}

// messageBytes returns the encoded size of a message, or 0 unless measuring is
// set.
func (f *testFleet) messageBytes(e message.Envelope) int {
	if !f.measuring {
		return 0
	}
	text, err := json.Marshal(e)
	if err != nil {
		f.t.Fatal(err)
	}
	return len(text)
}

// refuseForward lets the instance to which a request is forwarded refuse it, because it does
// not reach the endpoints either.
func (f *testFleet) refuseForward(name ident.Instance, h RequestHandle, id AttemptID) {
	f.timers.After(2*linkDelay, func() {
		f.gateways[name].HandleForwardAnswer(h, id, ForwardAnswer{Answer: NotRun, RetryAfter: busyRetryAfter, Reason: "no path", Elsewhere: true, NoPath: true})
	})
}

// advance runs all timers that are due within d.
func (f *testFleet) advance(d time.Duration) {
	end := f.timers.Now().Add(d)
	for {
		next, ok := f.timers.NextDue()
		if !ok || next.After(end) {
			break
		}
		f.timers.Advance(next)
	}
	f.timers.Advance(end)
}

// batcherViews returns which instances the running instances take for the
// batcher of a service, each with the number of instances that do.
func (f *testFleet) batcherViews(s ident.Service) map[ident.Instance]int {
	views := map[ident.Instance]int{}
	for _, name := range f.names {
		if !f.down[name] {
			views[f.gateways[name].batcherOf(ident.Pool{Service: s})]++
		}
	}
	return views
}

// wantOneBatcher checks that all running instances agree on the batcher of a
// service and that it is running, and returns it.
func (f *testFleet) wantOneBatcher(s ident.Service) ident.Instance {
	f.t.Helper()
	views := f.batcherViews(s)
	if len(views) != 1 {
		f.t.Fatalf("instances disagree on who batches for %s: %v", s, views)
	}
	for name := range views {
		if f.down[name] {
			f.t.Fatalf("%s batches for %s, but is down", name, s)
		}
		return name
	}
	return ""
}

// In a fleet of many instances with weak links, the few with strong links form
// the core. The instances outside it learn from the core what they need to
// know.
func TestFleetOfWeakLinks(t *testing.T) {
	t.Run("a strong instance batches, and all agree on it", func(t *testing.T) {
		f := newTestFleet(t, 6, 60)
		f.advance(5 * time.Second)
		for _, s := range []ident.Service{"registry", "planning"} {
			if name := f.wantOneBatcher(s); f.gateways[name].config.Self.Capacity < 2 {
				t.Fatalf("%s batches for %s, want an instance with a strong link", name, s)
			}
		}
	})
	t.Run("all know the size of the fleet", func(t *testing.T) {
		f := newTestFleet(t, 6, 60)
		f.advance(5 * time.Second)
		for _, name := range f.names {
			if alive := f.gateways[name].AliveCount(); alive < 63 || alive > 66 {
				t.Fatalf("%s counts %d alive members, want 63 to 66", name, alive)
			}
		}
	})
	t.Run("a killed batcher is replaced within two seconds", func(t *testing.T) {
		f := newTestFleet(t, 6, 60)
		f.advance(5 * time.Second)
		f.down[f.wantOneBatcher("registry")] = true
		f.advance(2 * time.Second)
		f.wantOneBatcher("registry")
	})
	t.Run("weak instances batch when no strong one is left", func(t *testing.T) {
		f := newTestFleet(t, 3, 30)
		f.advance(5 * time.Second)
		for _, name := range f.names[:3] {
			f.down[name] = true
		}
		f.advance(4 * time.Second)
		f.wantOneBatcher("registry")
	})
	t.Run("a change that one instance reads is known everywhere", func(t *testing.T) {
		f := newTestFleet(t, 6, 60)
		f.advance(5 * time.Second)
		f.gateways["strong-000"].HandleChanges([]replica.Record{testRecord(t, "catalog", 2, testCatalog(2))}, 2)
		f.advance(1500 * time.Millisecond)
		for _, name := range f.names {
			if v := f.gateways[name].Catalog().Version; v != 2 {
				t.Fatalf("%s has configuration version %d, want 2", name, v)
			}
		}
	})
	t.Run("running requests elsewhere are known", func(t *testing.T) {
		f := newTestFleet(t, 6, 60)
		f.advance(5 * time.Second)
		f.gateways["weak-020"].HandleRequest(1, CallerRequest{ID: "request", Host: "h", Path: "/order/x", Key: "key"})
		f.advance(time.Second)
		inFlight := 0
		for _, e := range f.gateways["weak-040"].directory.ByService("orders") {
			inFlight += e.EstimatedInFlight(f.timers.Now())
		}
		if inFlight != 1 {
			t.Fatalf("weak-040 sees %d running requests, want 1", inFlight)
		}
	})
}

// The bytes that an instance sends for pings must not grow with the fleet.
func TestPingBytesOfLargeFleets(t *testing.T) {
	t.Parallel()
	for _, size := range []int{9, 66, 500} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newTestFleet(t, 6, size-6)
			f.advance(4 * time.Second)
			f.measuring = true
			clear(f.sent)
			clear(f.received)
			const seconds = 3
			f.advance(seconds * time.Second)
			sent, most, received := 0, 0, 0
			for _, name := range f.names {
				if f.gateways[name].config.Self.Capacity < 2 {
					sent += f.sent[name]
					most = max(most, f.sent[name])
				}
				received = max(received, f.received[name])
			}
			t.Logf("an instance with a weak link sends %d bytes/s on average and %d at most; an instance receives %d messages/s at most", sent/seconds/(size-6), most/seconds, received/seconds)
			if size == 500 && most/seconds > maxBytesPerSecond {
				t.Errorf("an instance with a weak link sends %d bytes/s, above the limit", most/seconds)
			}
		})
	}
}
