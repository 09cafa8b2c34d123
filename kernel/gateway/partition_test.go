package gateway

import (
	"fmt"
	"testing"
	"time"

	"anvilcross/kernel/batching"
	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/published"
	"anvilcross/kernel/replica"
)

const (
	// dialTimeout is the time after which a call to an endpoint behind a
	// partition fails.
	dialTimeout = 350 * time.Millisecond
	// modelTime is the time of a model endpoint from a request to its first event,
	// streamTime that from there to the end of the stream.
	modelTime  = 60 * time.Millisecond
	streamTime = 200 * time.Millisecond
	// stageEndpointsPerCentre is the number of endpoints of each stage service in
	// a data centre, modelEndpointsPerCentre that of model endpoints.
	stageEndpointsPerCentre = 8
	modelEndpointsPerCentre = 20
)

// loadedFleet is a fleet in five data centres with simulated endpoints and a
// steady load of requests with two stages.
type loadedFleet struct {
	*testFleet
	centres []ident.DataCentre
	// endpointCentre is the data centre of each endpoint.
	endpointCentre map[ident.Endpoint]ident.DataCentre
	addressCentre  map[string]ident.DataCentre
	busyUntil      map[ident.Endpoint]time.Time
	declined       int
	lastHandle     RequestHandle
	// records are those of the platform.
	records  []replica.Record
	arrivals []*arrival
	byHandle map[RequestHandle]*arrival
}

// arrival is a caller's request and what became of it.
type arrival struct {
	at     time.Time
	centre ident.DataCentre
	served time.Time
	answer string
}

// newLoadedFleet starts a fleet of the given size and its load, in requests per
// second.
func newLoadedFleet(t *testing.T, size, perSecond int) *loadedFleet {
	t.Helper()
	centres := []ident.DataCentre{"east", "west", "north", "south", "middle"}
	f := &loadedFleet{
		testFleet:      startTestFleet(t, 10, size-10, centres),
		centres:        centres,
		endpointCentre: map[ident.Endpoint]ident.DataCentre{},
		addressCentre:  map[string]ident.DataCentre{},
		busyUntil:      map[ident.Endpoint]time.Time{},
		byHandle:       map[RequestHandle]*arrival{},
	}
	f.nextStep = f.takeStep
	f.startCall = f.runCall
	records := []replica.Record{testRecord(t, "catalog", 1, testCatalog(1))}
	for service, count := range map[ident.Service]int{"registry": stageEndpointsPerCentre, "planning": stageEndpointsPerCentre, "models": modelEndpointsPerCentre, "orders": 1} {
		for n := range count * len(centres) {
			l := endpoints.Listing{Name: ident.Endpoint(fmt.Sprintf("%s-%d", service, n)), Service: service, DataCentre: centres[n%len(centres)], Address: fmt.Sprintf("%s-%d:80", service, n), Slots: 12}
			f.endpointCentre[l.Name], f.addressCentre[l.Address] = l.DataCentre, l.DataCentre
			records = append(records, testRecord(t, string(l.Name), 1, l))
		}
	}
	f.records = records
	f.publish(records)
	f.advance(4 * time.Second)
	f.timers.Every(time.Second/time.Duration(perSecond), f.arrive)
	return f
}

// arrive hands the next request to an instance that is up, in rotation.
func (f *loadedFleet) arrive() {
	f.lastHandle++
	name := f.names[int(f.lastHandle)*7%len(f.names)]
	a := &arrival{at: f.timers.Now(), centre: f.centreOf(name)}
	f.arrivals = append(f.arrivals, a)
	f.byHandle[f.lastHandle] = a
	f.gateways[name].HandleRequest(f.lastHandle, CallerRequest{
		ID: ident.RequestID(fmt.Sprintf("request-%d", f.lastHandle)), Host: "h", Path: "/verse/", Key: "key", PieceKey: "piece",
		Timeout: 12 * time.Second, PieceCounts: []int{1, 3},
		Prompt: []PromptPart{{ID: fmt.Sprintf("shared-%d", f.lastHandle%97), Tokens: 500}, {ID: fmt.Sprint(f.lastHandle), Tokens: 100}},
	})
}

// takeStep serves a request that a gateway sends to a model endpoint.
func (f *loadedFleet) takeStep(name ident.Instance, h RequestHandle, s Step) {
	g, a := f.gateways[name], f.byHandle[h]
	if s.Send == nil {
		a.answer = s.Reason
		return
	}
	id := s.Send.Attempt
	centre := f.endpointCentre[s.Send.Endpoint]
	if f.partitioned(f.centreOf(name), centre) {
		f.timers.After(dialTimeout, func() { g.HandleFailure(h, id, NotSent, "", "silent") })
		return
	}
	f.timers.After(0, func() {
		if !g.BeginWrite(h, id) {
			return
		}
		if f.unreachableInput(s.Send.Inputs, centre) {
			f.timers.After(dialTimeout, func() { g.HandleFailure(h, id, InputsGone, "", "input gone") })
			return
		}
		f.timers.After(modelTime, func() {
			g.HandleResponseHead(h, id, false, endpoints.Load{})
			g.HandleFirstEvent(h, id)
			a.served = f.timers.Now()
			f.timers.After(streamTime, func() { g.HandleDelivery(h, id, Delivery{Status: 200, Events: 2}) })
		})
	})
}

// unreachableInput reports whether an endpoint cannot fetch one of its inputs.
func (f *loadedFleet) unreachableInput(inputs []message.ResultHandle, centre ident.DataCentre) bool {
	for _, h := range inputs {
		if f.partitioned(f.addressCentre[h.Address()], centre) {
			return true
		}
	}
	return false
}

// runCall runs a call at a stage endpoint, which works on one at a time.
func (f *loadedFleet) runCall(name ident.Instance, c batching.Call) {
	b := f.gateways[name].Batcher()
	centre := f.endpointCentre[c.Endpoint]
	if f.partitioned(f.centreOf(name), centre) {
		f.timers.After(dialTimeout, func() { b.HandleCallFailure(c.ID, batching.NotSent, "silent") })
		return
	}
	now := f.timers.Now()
	if now.Before(f.busyUntil[c.Endpoint]) {
		f.declined++
		f.timers.After(2*linkDelay, func() { b.HandleCallFailure(c.ID, batching.Declined, "full") })
		return
	}
	profile := f.profile()
	took := profile.CallOverhead + time.Duration(len(c.Items))*profile.TimePerPiece
	f.busyUntil[c.Endpoint] = now.Add(took)
	var r batching.Reply
	for _, item := range c.Items {
		reply := batching.ReplyItem{Handle: message.ResultHandle(fmt.Sprintf("%s/%s-%d-%d-%d", c.Address, item.ID.Request, item.ID.Stage, item.ID.Piece, c.ID))}
		if f.unreachableInput(item.Inputs, centre) {
			reply = batching.ReplyItem{Outcome: batching.ItemInputGone}
		}
		r.Items = append(r.Items, reply)
	}
	f.timers.After(took, func() {
		if !f.partitioned(f.centreOf(name), centre) {
			b.HandleReply(c.ID, r)
		}
	})
	f.timers.After(c.Timeout, func() { b.HandleCallFailure(c.ID, batching.Broken, "time-out") })
}

func (f *loadedFleet) profile() *published.BatchProfile {
	return testCatalog(1).Services["registry"].BatchProfile
}

// servedShare returns the share of the requests that arrived in a time span, at
// instances that match, whose first event came within their latency objective.
func (f *loadedFleet) servedShare(from, to time.Time, matches func(ident.DataCentre) bool) float64 {
	objective := testCatalog(1).Routes[3].LatencyObjective
	total, served := 0, 0
	for _, a := range f.arrivals {
		if a.at.Before(from) || !a.at.Before(to) || !matches(a.centre) {
			continue
		}
		total++
		if !a.served.IsZero() && a.served.Sub(a.at) <= objective {
			served++
		}
	}
	return float64(served) / float64(max(total, 1))
}

// wantServed checks that at least the given share of the requests that arrived
// in the last span before now was served in time.
func (f *loadedFleet) wantServed(what string, from, to time.Time, least float64, matches func(ident.DataCentre) bool) {
	f.t.Helper()
	share := f.servedShare(from, to, matches)
	f.t.Logf("%s: %.3f served in time", what, share)
	if share < least {
		f.t.Errorf("%s: %.3f served in time, want %.3f", what, share, least)
	}
}

// One of five data centres is cut off from the others under a steady load, and
// comes back. The other four lose only what was there; the one that is cut off
// serves its own callers.
func TestDataCentreCutOff(t *testing.T) {
	t.Parallel()
	anywhere := func(ident.DataCentre) bool { return true }
	for _, size := range []int{50, 120} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newLoadedFleet(t, size, 160)
			start := f.timers.Now()
			f.advance(4 * time.Second)
			f.cutOff = "south"
			cutAt := f.timers.Now()
			f.advance(5 * time.Second)
			f.cutOff = ""
			repairedAt := f.timers.Now()
			f.advance(9 * time.Second)
			before := f.servedShare(start.Add(time.Second), cutAt.Add(-2500*time.Millisecond), anywhere)
			t.Logf("before the cut: %.3f served in time; %d calls declined", before, f.declined)
			if before < 0.95 {
				t.Errorf("before the cut: %.3f served in time, want 0.95", before)
			}
			others := func(c ident.DataCentre) bool { return c != "south" }
			own := func(c ident.DataCentre) bool { return c == "south" }
			f.wantServed("the others, from 1 s after the cut", cutAt.Add(time.Second), repairedAt, 0.95*before, others)
			f.wantServed("the one cut off, from 1 s after the cut", cutAt.Add(time.Second), repairedAt, 0.95*before, own)
			f.wantServed("all, from 2 s after the repair", repairedAt.Add(2*time.Second), repairedAt.Add(6*time.Second), before, anywhere)
		})
	}
}

// The data centre in which a request's stages run is cut off after the results of
// the first stage have been freed. Both stages must run elsewhere.
func TestStagesMoveWithFreedResults(t *testing.T) {
	tg := newConfigured(t)
	var records []replica.Record
	for _, s := range []ident.Service{"registry", "planning"} {
		for n := range 24 {
			l := testListing(s, n)
			records = append(records, testRecord(t, string(l.Name), 2, l))
		}
	}
	tg.gateway.HandleChanges(records, 2)
	tg.advance(100 * time.Millisecond)
	h := tg.sendRequest("/verse/", func(c *CallerRequest) { c.PieceCounts = []int{1, 2} })
	r := tg.gateway.requests[h]
	if !tg.gateway.pools().Divided || r.preferredDataCentre != "east" {
		t.Fatalf("the stages run in %q, want this instance's own data centre", r.preferredDataCentre)
	}
	tg.advance(200 * time.Millisecond)
	tg.finishCalls(1)
	tg.advance(200 * time.Millisecond)
	tg.finishCalls(1)
	tg.advance(time.Millisecond)
	for _, name := range []ident.Instance{"far-1", "far-2", "far-3"} {
		tg.receivePing(name, "west", 0)
	}
	r.preferredDataCentre = "west"
	first, second := &r.stages[0], &r.stages[1]
	first.Handles[0], first.MissingCount, first.Released, first.Submitted = "registry-1:80/x", 0, true, true
	second.Handles[0], second.Handles[1], second.MissingCount, second.Submitted = "planning-1:80/y", "", 1, true
	r.attempt = nil
	second.Batcher, second.BatcherIncarnation, second.SubmittedAt = "far-1", 1, tg.timers.Now()
	tg.advance(signOutdated)
	tg.calls = nil
	for _, name := range []ident.Instance{"far-1", "far-2"} {
		tg.gateway.HandlePeerFailure(name, "silent")
	}
	sends := len(tg.steps[h])
	tg.advance(300 * time.Millisecond)
	tg.finishCalls(1)
	tg.advance(300 * time.Millisecond)
	tg.finishCalls(1)
	tg.advance(time.Millisecond)
	if s := tg.wantSend(h); len(tg.steps[h]) != sends+1 || len(s.Inputs) != 2 {
		t.Fatalf("the model endpoint gets %d inputs, want 2", len(s.Inputs))
	}
}

// signOutdated is longer than the time for which a sign of life outweighs
// failed deliveries.
const signOutdated = 700 * time.Millisecond
