package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"anvilcross/kernel/batching"
	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/published"
	"anvilcross/kernel/replica"
	"anvilcross/kernel/value"
)

const (
	// shapeEndpoints is the number of endpoints of each stage service.
	shapeEndpoints = 5
	// crashedFor is how long a crashed endpoint is away, unlistedAfter the time until it is
	// listed no more.
	crashedFor    = 4500 * time.Millisecond
	unlistedAfter = 1500 * time.Millisecond
)

// shapeStage is a stage of a shape.
type shapeStage struct {
	dependsOn []int
	pieces    int
	// call is the fixed part of the time of a call, piece what each piece adds.
	call, piece time.Duration
	// sharesWith is the index of an earlier stage whose service this one uses, if sharesService is set.
	sharesWith    int
	sharesService bool
}

// heldResult is a result of a piece.
type heldResult struct {
	id      message.PieceID
	process ident.Endpoint
	until   time.Time
}

// shapeEndpoint is an endpoint of a stage. Each of its processes has another name.
type shapeEndpoint struct {
	service ident.Service
	address string
	centre  ident.DataCentre
	process ident.Endpoint
	starts  int
	up      bool
	// freeAt is when the calls that it has accepted end.
	freeAt []time.Time
	made   int
}

// shapeFleet is three instances whose route has stages in a given shape, and endpoints that
// hold the results until they crash.
type shapeFleet struct {
	*testFleet
	stages    []shapeStage
	services  []ident.Service
	endpoints map[string]*shapeEndpoint
	results   map[message.ResultHandle]heldResult
	freed     value.Set[message.ResultHandle]
	revision  replica.Revision
	// mixed holds the calls and requests that were given wrong inputs, losses how often results
	// of a request were found to be lost, answers what became of the requests.
	mixed      []string
	losses     map[ident.RequestID]int
	answers    map[RequestHandle]string
	sent       map[RequestHandle]ident.RequestID
	lastHandle RequestHandle
	retention  time.Duration
}

func newShapeFleet(t *testing.T, stages []shapeStage) *shapeFleet {
	t.Helper()
	centres := []ident.DataCentre{"east", "west", "north"}
	f := &shapeFleet{testFleet: startTestFleet(t, 3, 0, centres), stages: stages, endpoints: map[string]*shapeEndpoint{}, results: map[message.ResultHandle]heldResult{}, freed: value.NewSet[message.ResultHandle](), revision: 1, losses: map[ident.RequestID]int{}, answers: map[RequestHandle]string{}, sent: map[RequestHandle]ident.RequestID{}, retention: 8 * time.Second}
	f.startCall, f.nextStep, f.logEvent = f.runCall, f.takeStep, f.countLosses
	f.freeResults = func(name ident.Instance, _ string, handles []message.ResultHandle) {
		for _, h := range handles {
			f.freed.Add(h)
		}
		f.timers.After(2*linkDelay, func() { f.gateways[name].Batcher().HandleFreed(handles) })
	}
	catalog := testCatalog(1)
	route := published.Route{Name: "shape", Host: "h", Prefix: "/shape/", Kind: published.Stream, CarriesPrompts: true, Targets: []published.Target{{Service: "models", Weight: 1}}, Timeout: 30 * time.Second, LatencyObjective: 6 * time.Second, MaxAttempts: 1}
	for i, s := range stages {
		service := ident.Service(fmt.Sprintf("stage%d", i))
		if s.sharesService {
			service = f.services[s.sharesWith]
		}
		f.services = append(f.services, service)
		route.Stages = append(route.Stages, published.Stage{Service: service, DependsOn: s.dependsOn, ResultBytes: 8_000})
		catalog.Services[service] = &published.Service{Name: service, BatchProfile: &published.BatchProfile{Slots: 1, MaxPiecesPerCall: 8, CallOverhead: s.call, TimePerPiece: s.piece, ResultCapacityBytes: 9_600_000, ResultRetention: f.retention}}
	}
	catalog.Routes = append(catalog.Routes, route)
	records := []replica.Record{testRecord(t, "catalog", 1, catalog)}
	for n := range 3 {
		l := testListing("models", n)
		records = append(records, testRecord(t, string(l.Name), 1, l))
	}
	for _, service := range f.services {
		for n := range shapeEndpoints {
			e := &shapeEndpoint{service: service, address: fmt.Sprintf("%s-%d:80", service, n), centre: centres[n%len(centres)], up: true}
			if f.endpoints[e.address] == nil {
				e.process = ident.Endpoint(fmt.Sprintf("%s-%d-0", service, n))
				f.endpoints[e.address] = e
				records = append(records, testRecord(t, string(e.process), 1, e.listing()))
			}
		}
	}
	f.publish(records)
	f.advance(4 * time.Second)
	return f
}

func (e *shapeEndpoint) listing() endpoints.Listing {
	return endpoints.Listing{Name: e.process, Service: e.service, DataCentre: e.centre, Address: e.address, Slots: 1, Version: "v1"}
}

// change gives all instances a change of the platform's records.
func (f *shapeFleet) change(r replica.Record) {
	f.revision++
	r.Revision = f.revision
	for _, name := range f.names {
		f.gateways[name].HandleChanges([]replica.Record{r}, f.revision)
	}
}

// crash ends the process of an endpoint, with all of its results. Another one starts later.
func (f *shapeFleet) crash(e *shapeEndpoint) {
	gone := e.process
	e.up = false
	f.timers.After(unlistedAfter, func() { f.change(replica.Record{Key: string(gone), Removed: true}) })
	f.timers.After(crashedFor, func() {
		e.starts++
		e.process, e.up, e.freeAt, e.made = ident.Endpoint(fmt.Sprintf("%s+%d", gone, e.starts)), true, nil, 0
		f.change(testRecord(f.t, string(e.process), 0, e.listing()))
	})
}

// fullest returns the endpoint of a service that has made the most results.
func (f *shapeFleet) fullest(service ident.Service) *shapeEndpoint {
	var most *shapeEndpoint
	for _, address := range value.SortedKeys(f.endpoints) {
		if e := f.endpoints[address]; e.service == service && (most == nil || e.made > most.made) {
			most = e
		}
	}
	return most
}

// clump hands requests to the instances at once.
func (f *shapeFleet) clump(count int) {
	pieces := []int{}
	for _, s := range f.stages {
		pieces = append(pieces, s.pieces)
	}
	for range count {
		f.lastHandle++
		h := f.lastHandle
		f.sent[h] = ident.RequestID(fmt.Sprintf("request-%d", h))
		f.gateways[f.names[int(h)%len(f.names)]].HandleRequest(h, CallerRequest{ID: f.sent[h], Host: "h", Path: "/shape/", Key: "key", PieceKey: "piece", Timeout: 30 * time.Second, PieceCounts: pieces, Prompt: []PromptPart{{ID: "shared", Tokens: 500}, {ID: fmt.Sprint(h), Tokens: 100}}})
	}
}

// exists reports whether a result can be fetched.
func (f *shapeFleet) exists(h message.ResultHandle) bool {
	r, known := f.results[h]
	e := f.endpoints[h.Address()]
	return known && !f.freed.Has(h) && e.up && e.process == r.process && f.timers.Now().Before(r.until)
}

// checkInputs records it if inputs are not those of all pieces of some stages, each once.
func (f *shapeFleet) checkInputs(what string, request ident.RequestID, after []int, inputs []message.ResultHandle) {
	want := map[message.PieceID]bool{}
	for _, stage := range after {
		for piece := range f.stages[stage].pieces {
			want[message.PieceID{Request: request, Stage: stage, Piece: piece}] = true
		}
	}
	for _, h := range inputs {
		r, known := f.results[h]
		if !known || !want[r.id] {
			f.mixed = append(f.mixed, fmt.Sprintf("%s of %s is given %q", what, request, inputs))
			return
		}
		delete(want, r.id)
	}
	if len(want) > 0 {
		f.mixed = append(f.mixed, fmt.Sprintf("%s of %s is given %q, %d are missing", what, request, inputs, len(want)))
	}
}

// runCall runs a call at a stage endpoint, which works on one at a time and queues two more.
func (f *shapeFleet) runCall(name ident.Instance, c batching.Call) {
	b := f.gateways[name].Batcher()
	e := f.endpoints[c.Address]
	now := f.timers.Now()
	if !e.up || e.process != c.Endpoint {
		f.timers.After(2*linkDelay, func() { b.HandleCallFailure(c.ID, batching.NotSent, "refused") })
		return
	}
	e.freeAt = slices.DeleteFunc(e.freeAt, func(at time.Time) bool { return !at.After(now) })
	if len(e.freeAt) > 2 {
		f.timers.After(2*linkDelay, func() { b.HandleCallFailure(c.ID, batching.Declined, "full") })
		return
	}
	begin := now
	if len(e.freeAt) > 0 {
		begin = e.freeAt[len(e.freeAt)-1]
	}
	profile := f.gateways[name].catalog.BatchProfile(e.service)
	end := begin.Add(profile.CallOverhead + time.Duration(len(c.Items))*profile.TimePerPiece)
	e.freeAt = append(e.freeAt, end)
	process := e.process
	crashed := func() bool { return !e.up || e.process != process }
	var reply batching.Reply
	f.timers.After(begin.Sub(now)+linkDelay, func() {
		for _, item := range c.Items {
			outcome := batching.ItemDone
			if after := f.stages[item.ID.Stage].dependsOn; len(after) > 0 && !crashed() {
				f.checkInputs(fmt.Sprintf("piece %d of stage %d", item.ID.Piece, item.ID.Stage), item.ID.Request, after, item.Inputs)
			}
			if slices.ContainsFunc(item.Inputs, func(h message.ResultHandle) bool { return !f.exists(h) }) {
				outcome = batching.ItemInputGone
			}
			reply.Items = append(reply.Items, batching.ReplyItem{Outcome: outcome})
		}
	})
	f.timers.After(end.Sub(now)+2*linkDelay, func() {
		if crashed() {
			b.HandleCallFailure(c.ID, batching.Broken, "reset")
			return
		}
		for i, item := range c.Items {
			if reply.Items[i].Outcome != batching.ItemDone {
				continue
			}
			e.made++
			h := message.ResultHandle(fmt.Sprintf("%s/%s-%d-%d-%s-%d", c.Address, item.ID.Request, item.ID.Stage, item.ID.Piece, name, c.ID))
			f.results[h] = heldResult{id: item.ID, process: process, until: f.timers.Now().Add(f.retention)}
			reply.Items[i].Handle = h
		}
		b.HandleReply(c.ID, reply)
	})
}

// takeStep serves a request that a gateway sends to a model endpoint.
func (f *shapeFleet) takeStep(name ident.Instance, h RequestHandle, s Step) {
	g := f.gateways[name]
	if s.Send == nil {
		f.answers[h] = s.Reason
		return
	}
	final := []int{}
	for i := range f.stages {
		if !slices.ContainsFunc(f.stages, func(o shapeStage) bool { return slices.Contains(o.dependsOn, i) }) {
			final = append(final, i)
		}
	}
	f.timers.After(0, func() {
		if !g.BeginWrite(h, s.Send.Attempt) {
			return
		}
		f.checkInputs("the prompt", f.sent[h], final, s.Send.Inputs)
		if slices.ContainsFunc(s.Send.Inputs, func(h message.ResultHandle) bool { return !f.exists(h) }) {
			f.timers.After(2*linkDelay, func() { g.HandleFailure(h, s.Send.Attempt, InputsGone, "", "conflict") })
			return
		}
		f.timers.After(modelTime, func() {
			g.HandleResponseHead(h, s.Send.Attempt, false, endpoints.Load{})
			g.HandleFirstEvent(h, s.Send.Attempt)
			f.answers[h] = served
			f.timers.After(streamTime, func() { g.HandleDelivery(h, s.Send.Attempt, Delivery{Status: 200, Events: 2}) })
		})
	})
}

// served is the answer to a request that was served.
const served = "served"

// countLosses counts how often results of a request are found to be lost.
func (f *shapeFleet) countLosses(name string, fields ...any) {
	if name != "resultsLost" {
		return
	}
	for i := 0; i+1 < len(fields); i += 2 {
		if fields[i] == "request" {
			f.losses[fields[i+1].(ident.RequestID)]++
		}
	}
}

// wantNoneMixed checks that nothing was given wrong inputs.
func (f *shapeFleet) wantNoneMixed() {
	f.t.Helper()
	if len(f.mixed) > 0 {
		f.t.Errorf("%d pieces and prompts are given wrong inputs; the first: %s", len(f.mixed), f.mixed[0])
	}
}

// randomShape returns an acyclic shape with three to eight stages.
func randomShape(seed uint64) []shapeStage {
	random := rand.New(rand.NewPCG(seed, 7))
	var stages []shapeStage
	for i := range 3 + random.IntN(6) {
		s := shapeStage{pieces: 1 + random.IntN(4), call: time.Duration(300+random.IntN(900)) * time.Millisecond, piece: time.Duration(10+random.IntN(80)) * time.Millisecond}
		for dependency := range i {
			if random.IntN(3) == 0 {
				s.dependsOn = append(s.dependsOn, dependency)
			}
		}
		if i > 0 && random.IntN(4) == 0 {
			s.sharesWith, s.sharesService = random.IntN(i), true
		}
		stages = append(stages, s)
	}
	return stages
}
