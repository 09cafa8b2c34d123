package gateway

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/evacuation"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/published"
	"anvilcross/kernel/ratelimit"
	"anvilcross/kernel/replica"
	"anvilcross/kernel/survey"
)

var allTestCentres = []ident.DataCentre{"east", "west", "north"}

// evacuate has the operator request the evacuation of data centres.
func (tg *testGateway) evacuate(dataCentres ...ident.DataCentre) {
	for _, d := range dataCentres {
		tg.changeEvacuation(d, false)
	}
}

// endEvacuation removes the record of an evacuation.
func (tg *testGateway) endEvacuation(dataCentre ident.DataCentre) {
	tg.changeEvacuation(dataCentre, true)
}

func (tg *testGateway) changeEvacuation(dataCentre ident.DataCentre, removed bool) {
	revision := tg.gateway.AsOf() + 1
	tg.gateway.HandleChanges([]replica.Record{{Key: evacuationTestKey + string(dataCentre), Revision: revision, Removed: removed}}, revision)
}

// centreOfEndpoint returns the data centre of a listed endpoint.
func (tg *testGateway) centreOfEndpoint(e ident.Endpoint) ident.DataCentre {
	return tg.gateway.directory.Lookup(e).DataCentre
}

// addStageEndpoints lists 24 endpoints of each stage service, so that each data centre gets
// pools of its own, and makes members in the given data centres known.
func (tg *testGateway) addStageEndpoints(centres ...ident.DataCentre) {
	tg.t.Helper()
	var records []replica.Record
	for _, s := range []ident.Service{"registry", "planning"} {
		for n := range 24 {
			l := testListing(s, n)
			records = append(records, testRecord(tg.t, string(l.Name), tg.gateway.AsOf()+1, l))
		}
	}
	tg.gateway.HandleChanges(records, tg.gateway.AsOf()+1)
	tg.meet(centres...)
	tg.advance(50 * time.Millisecond)
	if !tg.gateway.pools().Divided {
		tg.t.Fatal("the endpoints are not divided into pools")
	}
}

// meet receives a ping of a member in each of the given data centres.
func (tg *testGateway) meet(centres ...ident.DataCentre) {
	for _, c := range centres {
		tg.receivePing("far-"+ident.Instance(c), c, 0)
	}
}

// sentWork returns the stage work that has been sent to other members.
func (tg *testGateway) sentWork() []message.StageWork {
	var work []message.StageWork
	for _, p := range tg.peers {
		if p.message.StageWork != nil {
			work = append(work, *p.message.StageWork)
		}
	}
	return work
}

// A request that was chosen an endpoint for, but not written, when the evacuation arrives
// reaches the evacuated data centre.
func TestChosenRequestIsNotWrittenAfterEvacuation(t *testing.T) {
	for _, path := range []string{"/order/", "/lookup/", "/verse/"} {
		for _, unlisted := range []bool{false, true} {
			t.Run(fmt.Sprint(path, unlisted), func(t *testing.T) {
				tg := newConfigured(t)
				h := tg.sendRequest(path, nil)
				s := tg.wantSend(h)
				from := tg.centreOfEndpoint(s.Endpoint)
				tg.evacuate(from)
				if unlisted {
					tg.gateway.HandleChanges([]replica.Record{{Key: string(s.Endpoint), Revision: 9, Removed: true}}, 9)
				}
				if tg.gateway.BeginWrite(h, s.Attempt) {
					t.Fatal("a request may be written to an evacuated data centre")
				}
				tg.gateway.HandleFailure(h, s.Attempt, NotSent, "", "withheld")
				s = tg.wantSend(h)
				if to := tg.centreOfEndpoint(s.Endpoint); to == from {
					t.Fatalf("the request is sent to %s again", to)
				}
				tg.mustBeginWrite(h, s)
			})
		}
	}
}

// A request that has a permit for an endpoint, or gets it later, uses it after the evacuation
// of the endpoint's data centre.
func TestPermitForEvacuatedEndpointIsNotUsed(t *testing.T) {
	tg := newConfigured(t)
	h := tg.sendRequest("/lookup/", nil)
	e := tg.gateway.directory.Lookup(tg.wantSend(h).Endpoint)
	r := tg.gateway.requests[h]
	tg.gateway.endAttempt(r)
	r.awaitsPermit = true
	tg.evacuate(e.DataCentre)
	tg.wantSteps(h, 1)
	tg.gateway.resumeDispatch(r, e.Process(), true)
	if s := tg.wantSend(h); len(tg.steps[h]) != 2 || tg.centreOfEndpoint(s.Endpoint) == e.DataCentre {
		t.Fatalf("the request is sent to %s in an evacuated data centre", s.Endpoint)
	}
}

// Pieces that wait when the evacuation arrives are sent to the evacuated data centre, or are
// refused although another data centre can compute them.
func TestWaitingPiecesLeaveEvacuatedDataCentre(t *testing.T) {
	tg := newConfigured(t)
	tg.addStageEndpoints("west")
	var handles []RequestHandle
	for n := range 30 {
		handles = append(handles, tg.sendRequest("/draft/", func(c *CallerRequest) {
			c.PieceCounts = []int{8}
			c.Prompt = []PromptPart{{ID: fmt.Sprint(n), Tokens: 100}, {ID: "own", Tokens: 10}}
		}))
	}
	// The calls of as many requests as east has endpoints run, and those of a few others wait.
	handles = slices.DeleteFunc(handles, func(h RequestHandle) bool {
		r := tg.gateway.requests[h]
		left := r.preferredDataCentre == "west" || h > 18
		if left {
			tg.gateway.finish(r)
		}
		return left
	})
	tg.advance(200 * time.Millisecond)
	running := len(tg.calls)
	if running == 0 || tg.gateway.batcher.WaitingCount(ident.Pool{Service: "registry", DataCentre: "east"}) == 0 {
		t.Fatalf("%d calls run, none waits", running)
	}
	tg.peers = nil
	tg.meet("west")
	tg.evacuate("east")
	tg.advance(10 * time.Millisecond)
	for _, c := range tg.calls[:running] {
		tg.replyTo(c)
	}
	tg.advance(200 * time.Millisecond)
	if len(tg.calls) != running {
		t.Fatalf("%d calls are sent to the evacuated data centre", len(tg.calls)-running)
	}
	pools := map[ident.DataCentre]int{}
	for _, w := range tg.sentWork() {
		pools[w.PoolDataCentre]++
	}
	if pools["west"] == 0 || len(pools) != 1 {
		t.Fatalf("pieces are submitted to the pools %v, want west", pools)
	}
	for _, h := range handles {
		if r := tg.gateway.requests[h]; r == nil && len(tg.steps[h]) > 0 && tg.steps[h][0].Send == nil {
			t.Fatalf("request %d is refused: %s", h, tg.steps[h][0].Reason)
		}
	}
}

// A stage call that runs in the evacuated data centre is lost, its result is not used, or the
// next stage runs there too.
func TestRunningStageCallDrainsAndItsResultIsUsed(t *testing.T) {
	tg := newConfigured(t)
	tg.addStageEndpoints("west")
	h := tg.sendRequest("/verse/", func(c *CallerRequest) { c.PieceCounts = []int{1, 4} })
	r := tg.gateway.requests[h]
	if r.preferredDataCentre != "east" {
		t.Fatalf("the stages run in %q", r.preferredDataCentre)
	}
	tg.advance(200 * time.Millisecond)
	tg.meet("west")
	tg.peers = nil
	if _, running := tg.gateway.EvacuationCounts(); running != 0 {
		t.Fatalf("%d requests run in evacuated data centres before any is", running)
	}
	tg.evacuate("east")
	if centres, running := tg.gateway.EvacuationCounts(); centres != 1 || running != 1 {
		t.Fatalf("%d data centres are evacuated and %d calls run there, want 1 and 1", centres, running)
	}
	tg.advance(100 * time.Millisecond)
	tg.finishCalls(1)
	tg.advance(time.Millisecond)
	work := tg.sentWork()
	if len(work) != 1 || work[0].Service != "planning" || work[0].PoolDataCentre != "west" {
		t.Fatalf("submitted %+v, want the second stage in west", work)
	}
	if e := tg.gateway.directory.ByAddress(work[0].Inputs[0].Address()); e == nil || e.DataCentre != "east" {
		t.Fatalf("the second stage gets the input %s, want the result in east", work[0].Inputs[0])
	}
	if _, running := tg.gateway.EvacuationCounts(); running != 0 {
		t.Fatalf("%d requests count as running in the evacuated data centre", running)
	}
	if !slices.Contains(tg.events, "evacuationBegun") || !slices.Contains(tg.events, "stagesMoved") {
		t.Fatalf("logged %v", tg.events)
	}
}

// A batcher of a data centre that hears of the evacuation before a request's instance holds
// the request's pieces until they are late, or sends them back without a pause.
func TestPiecesForEvacuatedPoolAreReturned(t *testing.T) {
	tg := newConfigured(t)
	tg.addStageEndpoints("west")
	tg.evacuate("east")
	if b := tg.gateway.batcherOf(ident.Pool{Service: "registry", DataCentre: "east"}); b != "" {
		t.Fatalf("%s batches for an evacuated data centre", b)
	}
	for _, pool := range tg.gateway.pools().List() {
		if pool.DataCentre == "east" {
			t.Fatalf("%s is a pool", pool)
		}
	}
	tg.peers = nil
	tg.gateway.HandleMessage(message.Envelope{From: "far-west", StageWork: &message.StageWork{Request: "theirs", Service: "registry", PoolDataCentre: "east", Pieces: []int{0}, ResultBytes: 10, TimeToDue: time.Second, TimeToDeadline: 5 * time.Second, AcceptsRedirect: true}})
	returned := func() int {
		count := 0
		for _, p := range tg.peers {
			if p.message.StageResults != nil && p.message.StageResults.Results[0].Outcome == message.PieceMoved {
				count++
			}
		}
		return count
	}
	if returned() != 0 {
		t.Fatal("the piece came back at once: it would go back and forth without a pause")
	}
	tg.advance(2 * tickPeriod)
	if returned() != 1 || len(tg.calls) != 0 {
		t.Fatalf("the piece was returned %d times and there are %d calls, want 1 and none", returned(), len(tg.calls))
	}
}

// A pool of all data centres sends calls to the endpoints of the evacuated one.
func TestPoolOfAllDataCentresSkipsEvacuatedOne(t *testing.T) {
	tg := newConfigured(t)
	tg.evacuate("west")
	for range 12 {
		tg.sendRequest("/draft/", func(c *CallerRequest) { c.PieceCounts = []int{8} })
	}
	total := 0
	for range 5 {
		tg.advance(200 * time.Millisecond)
		for _, c := range tg.calls {
			if tg.centreOfEndpoint(c.Endpoint) == "west" {
				t.Fatalf("%s gets a call", c.Endpoint)
			}
		}
		total += len(tg.calls)
		tg.finishCalls(len(tg.calls))
	}
	if total < 4 {
		t.Fatalf("the other data centres get %d calls", total)
	}
}

// Pieces wait for endpoints that will never take calls again, because those of an evacuated data
// centre look as if they would.
func TestPiecesAreRefusedIfOnlyLeavingEndpointsAreNotEvacuated(t *testing.T) {
	tg := newConfigured(t)
	h := tg.sendRequest("/verse/", func(c *CallerRequest) { c.PieceCounts = []int{1, 4} })
	tg.evacuate("west")
	for _, n := range []int{0, 2} {
		l := testListing("planning", n)
		l.Leaving = true
		tg.gateway.HandleChanges([]replica.Record{testRecord(t, string(l.Name), tg.gateway.AsOf()+1, l)}, tg.gateway.AsOf()+1)
	}
	tg.advance(200 * time.Millisecond)
	tg.finishCalls(1)
	tg.advance(100 * time.Millisecond)
	tg.wantAnswer(h, NotRun)
}

// A stream that runs in the evacuated data centre is cut, or goes on there after it broke.
func TestStreamIsResumedOutsideEvacuatedDataCentre(t *testing.T) {
	tg := newConfigured(t)
	h := tg.sendRequest("/verse/", nil)
	s := tg.wantSend(h)
	from := tg.centreOfEndpoint(s.Endpoint)
	tg.mustBeginWrite(h, s)
	tg.gateway.HandleResponseHead(h, s.Attempt, false, endpoints.Load{})
	tg.gateway.HandleFirstEvent(h, s.Attempt)
	tg.evacuate(from)
	tg.advance(500 * time.Millisecond)
	tg.wantSteps(h, 1)
	if len(tg.cancels) != 0 {
		t.Fatal("the stream was cut")
	}
	tg.gateway.HandleFailure(h, s.Attempt, Broken, "7", "reset")
	if s = tg.wantSend(h); s.LastEventID != "7" || tg.centreOfEndpoint(s.Endpoint) == from {
		t.Fatalf("the stream goes on at %s after event %q", s.Endpoint, s.LastEventID)
	}
	later := tg.sendRequest("/verse/", func(c *CallerRequest) { c.LastEventID = "9"; c.Resumes = "request-1" })
	tg.advance(100 * time.Millisecond)
	if s = tg.wantSend(later); tg.centreOfEndpoint(s.Endpoint) == from {
		t.Fatalf("the stream that is taken up goes on at %s", s.Endpoint)
	}
	third := tg.sendRequest("/verse/", nil)
	s = tg.wantSend(third)
	tg.mustBeginWrite(third, s)
	tg.gateway.HandleFirstEvent(third, s.Attempt)
	tg.evacuate(allTestCentres...)
	resumed := tg.gateway.Counters().Resumed
	tg.gateway.HandleFailure(third, s.Attempt, Broken, "8", "reset")
	tg.wantAnswer(third, BrokenOff)
	if got := tg.gateway.Counters().Resumed; got != resumed {
		t.Fatal("a retry was spent on a stream that nothing can go on with")
	}
}

// Inspections, prompt lists and releases of results go to the evacuated data centre.
func TestNoOtherCallsToEvacuatedDataCentre(t *testing.T) {
	tg := newConfigured(t)
	var inspected, listed []ident.Endpoint
	tg.gateway.out.InspectEndpoint = func(e ident.Endpoint, _ string) { inspected = append(inspected, e) }
	tg.gateway.out.ListPrompts = func(e ident.Endpoint, _ string) { listed = append(listed, e) }
	limit := ratelimit.Rate(2)
	held := tg.gateway.directory.Lookup("registry-1")
	tg.gateway.HandleNotice(held.Process(), endpoints.Notice{RateLimit: &limit}, 0)
	tg.gateway.freeResults(held.Address, []message.ResultHandle{"registry-1:80/held"})
	tg.evacuate("west")
	tg.gateway.freeResults("planning-1:80", []message.ResultHandle{"planning-1:80/x"})
	tg.gateway.inspectEndpoint("planning-1", "planning-1:80")
	tg.gateway.survey.Ask(&survey.Question{Services: []ident.Service{"models"}, Reply: func(survey.Result) {}})
	tg.advance(3 * time.Second)
	if len(tg.freed) != 0 || slices.ContainsFunc(inspected, func(e ident.Endpoint) bool { return tg.centreOfEndpoint(e) == "west" }) || !slices.Equal(listed, []ident.Endpoint{"models-0", "models-2"}) {
		t.Fatalf("freed %v, inspected %v, asked %v for prompts", tg.freed, inspected, listed)
	}
	if sample := tg.gateway.sampleEndpoints("models", nil, 9); slices.Contains(sample, "models-1") {
		t.Fatalf("the path is checked at %v", sample)
	}
}

// With all data centres evacuated, a request waits, goes to one of them all the same, or its
// caller is not told when to come back.
func TestAllDataCentresEvacuated(t *testing.T) {
	tg := newConfigured(t)
	waiting := tg.sendRequest("/verse/", func(c *CallerRequest) { c.PieceCounts = []int{4, 4} })
	tg.advance(20 * time.Millisecond)
	tg.wantSteps(waiting, 0)
	running := tg.sendRequest("/order/", nil)
	s := tg.wantSend(running)
	tg.mustBeginWrite(running, s)
	tg.evacuate(allTestCentres...)
	tg.advance(time.Millisecond)
	if centres, there := tg.gateway.EvacuationCounts(); centres != 3 || there != 1+len(tg.calls) {
		t.Fatalf("%d data centres are evacuated and %d requests and calls run there, want 3 and %d", centres, there, 1+len(tg.calls))
	}
	tg.wantAnswer(waiting, NotRun)
	tg.wantSteps(running, 1)
	for _, path := range []string{"/order/", "/lookup/", "/draft/", "/verse/"} {
		for _, pieces := range [][]int{nil, {3, 2}} {
			h := tg.sendRequest(path, func(c *CallerRequest) { c.PieceCounts = pieces })
			tg.wantAnswer(h, NotRun)
			if s := tg.lastStep(h); s.RetryAfter <= 0 || !strings.Contains(s.Reason, "evacuated") {
				t.Fatalf("%s: answered with Retry-After %v: %s", path, s.RetryAfter, s.Reason)
			}
		}
	}
	calls := len(tg.calls)
	tg.endEvacuation("north")
	h := tg.sendRequest("/lookup/", nil)
	if got := tg.centreOfEndpoint(tg.wantSend(h).Endpoint); got != "north" {
		t.Fatalf("the request is sent to %s", got)
	}
	tg.advance(time.Second)
	if len(tg.calls) != calls {
		t.Fatal("a piece of a request that was answered is computed")
	}
}

// The first stages of a request run although all endpoints of a later one are evacuated.
func TestStagesDoNotRunIfALaterOneIsEvacuated(t *testing.T) {
	tg := newConfigured(t)
	for _, name := range []string{"planning-0", "planning-2"} {
		tg.gateway.HandleChanges([]replica.Record{{Key: name, Revision: tg.gateway.AsOf() + 1, Removed: true}}, tg.gateway.AsOf()+1)
	}
	tg.evacuate("west")
	tg.wantAnswer(tg.sendRequest("/verse/", func(c *CallerRequest) { c.PieceCounts = []int{1, 4} }), NotRun)
	h := tg.sendRequest("/verse/", func(c *CallerRequest) { c.PieceCounts = []int{1} })
	tg.wantSteps(h, 0)
}

// A caller is told to come back before any endpoint takes requests, because an evacuated one
// seems to.
func TestRetryAfterIgnoresEvacuatedEndpoints(t *testing.T) {
	tg := newConfigured(t)
	tg.evacuate("west")
	for _, name := range []ident.Endpoint{"orders-0", "orders-2"} {
		tg.gateway.HandleNotice(tg.gateway.directory.Lookup(name).Process(), endpoints.Notice{Rest: 5 * time.Second}, 0)
	}
	h := tg.sendRequest("/lookup/", nil)
	tg.wantAnswer(h, NotRun)
	if after := tg.lastStep(h).RetryAfter; after < 5*time.Second {
		t.Fatalf("the caller may come back after %v", after)
	}
}

// A request is refused while the path to its service is being checked, because an evacuated
// endpoint seems to be reachable; another instance could serve it.
func TestRequestWaitsForThePathInSpiteOfEvacuatedEndpoints(t *testing.T) {
	tg := newConfigured(t)
	tg.evacuate("west")
	for _, name := range []ident.Endpoint{"orders-0", "orders-2"} {
		e := tg.gateway.directory.Lookup(name)
		e.MarkUnreachable(tg.timers.Now())
		tg.gateway.suspectPath(e)
	}
	tg.wantSteps(tg.sendRequest("/lookup/", nil), 0)
}

// Records that arrive late or out of order end an evacuation that is in force, or begin one
// that has ended.
func TestEvacuationRecordsOutOfOrder(t *testing.T) {
	begin := func(revision replica.Revision) replica.Record {
		return replica.Record{Key: evacuationTestKey + "west", Revision: revision}
	}
	end := func(revision replica.Revision) replica.Record {
		return replica.Record{Key: evacuationTestKey + "west", Revision: revision, Removed: true}
	}
	for _, c := range []struct {
		name     string
		messages []replica.Record
		want     bool
	}{
		{"a late removal", []replica.Record{begin(2), begin(4), end(3)}, true},
		{"a removal before its beginning", []replica.Record{end(3), begin(2)}, false},
		{"a late beginning", []replica.Record{begin(2), end(5), begin(4)}, false},
		{"in order", []replica.Record{begin(2), end(3), begin(4)}, true},
		{"the same again", []replica.Record{begin(2), end(3), begin(2), end(3)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			tg := newConfigured(t)
			for _, r := range c.messages {
				m := message.Records{Delta: replica.Delta{Records: []replica.Record{r}, Base: 1, AsOf: 1}}
				tg.gateway.HandleMessage(message.Envelope{From: "two", Records: &m})
			}
			if got := tg.gateway.evacuations.InForce("west"); got != c.want {
				t.Fatalf("evacuated: %v, want %v", got, c.want)
			}
			if got := len(tg.gateway.directory.Candidates(tg.timers.Now(), "orders", nil)); got != 3 && !c.want || got != 2 && c.want {
				t.Fatalf("%d endpoints are used", got)
			}
		})
	}
}

// A removal that was read in an outage ends an evacuation at once, or never.
func TestUnconfirmedRemovalOfEvacuation(t *testing.T) {
	unconfirmed := func(t *testing.T) *testGateway {
		tg := newConfigured(t)
		tg.evacuate("west")
		tg.gateway.HandlePlatformUnavailable()
		tg.endEvacuation("west")
		tg.gateway.HandlePlatformAvailable()
		tg.advance(unconfirmedRemovalTime - 200*time.Millisecond)
		if !tg.gateway.directory.Evacuated(tg.gateway.directory.Lookup("orders-1")) {
			t.Fatal("the evacuation ended although its removal is not confirmed")
		}
		return tg
	}
	t.Run("it ends after a while", func(t *testing.T) {
		tg := unconfirmed(t)
		tg.advance(400 * time.Millisecond)
		if tg.gateway.directory.Evacuated(tg.gateway.directory.Lookup("orders-1")) || !slices.Contains(tg.events, "evacuationEnded") {
			t.Fatal("the evacuation does not end")
		}
	})
	t.Run("it waits for the end of a longer outage", func(t *testing.T) {
		tg := newConfigured(t)
		tg.evacuate("west")
		tg.gateway.HandlePlatformUnavailable()
		tg.endEvacuation("west")
		tg.advance(5 * time.Second)
		tg.gateway.HandlePlatformAvailable()
		tg.advance(unconfirmedRemovalTime - 500*time.Millisecond)
		if !tg.gateway.directory.Evacuated(tg.gateway.directory.Lookup("orders-1")) {
			t.Fatal("the evacuation ended before its record could be written again")
		}
		tg.advance(700 * time.Millisecond)
		if tg.gateway.directory.Evacuated(tg.gateway.directory.Lookup("orders-1")) {
			t.Fatal("the evacuation does not end")
		}
	})
	t.Run("another instance confirms it", func(t *testing.T) {
		tg := unconfirmed(t)
		record := replica.Record{Key: evacuationTestKey + "west", Revision: tg.gateway.AsOf(), Removed: true}
		m := message.Records{Delta: replica.Delta{Records: []replica.Record{record}, Base: 1, AsOf: record.Revision}}
		tg.gateway.HandleMessage(message.Envelope{From: "two", Records: &m})
		if tg.gateway.directory.Evacuated(tg.gateway.directory.Lookup("orders-1")) {
			t.Fatal("the evacuation goes on")
		}
	})
	t.Run("the operator writes the record again", func(t *testing.T) {
		tg := unconfirmed(t)
		tg.evacuate("west")
		tg.advance(3 * time.Second)
		if !tg.gateway.directory.Evacuated(tg.gateway.directory.Lookup("orders-1")) {
			t.Fatal("the evacuation ended")
		}
	})
}

// All requests go to a data centre at once whose evacuation has just ended, or none do.
func TestLoadReturnsGradually(t *testing.T) {
	tg := newConfigured(t)
	tg.addStageEndpoints("west")
	share := func(path string, centre func(RequestHandle) ident.DataCentre) float64 {
		const requests = 400
		there := 0
		for n := range requests {
			h := tg.sendRequest(path, func(c *CallerRequest) {
				c.PieceCounts = []int{1}
				c.Prompt = []PromptPart{{ID: fmt.Sprint(n), Tokens: 100}, {ID: "own", Tokens: 10}}
			})
			if centre(h) == "east" {
				there++
			}
			tg.gateway.HandleCallerLeft(h)
		}
		return float64(there) / requests
	}
	sent := func(h RequestHandle) ident.DataCentre { return tg.centreOfEndpoint(tg.wantSend(h).Endpoint) }
	placed := func(h RequestHandle) ident.DataCentre { return tg.gateway.requests[h].preferredDataCentre }
	sentBefore, placedBefore := share("/lookup/", sent), share("/draft/", placed)
	tg.evacuate("east")
	tg.advance(10 * time.Millisecond)
	if s, p := share("/lookup/", sent), share("/draft/", placed); s != 0 || p != 0 {
		t.Fatalf("shares of %.2f and %.2f go to the evacuated data centre", s, p)
	}
	tg.endEvacuation("east")
	sentFirst, placedFirst := share("/lookup/", sent), share("/draft/", placed)
	tg.meet("west")
	tg.advance(4 * time.Second)
	tg.meet("west")
	tg.advance(10 * time.Millisecond)
	sentLast, placedLast := share("/lookup/", sent), share("/draft/", placed)
	t.Logf("before %.2f and %.2f, at first %.2f and %.2f, at last %.2f and %.2f", sentBefore, placedBefore, sentFirst, placedFirst, sentLast, placedLast)
	if sentFirst == 0 || sentFirst > 0.2*sentBefore || placedFirst == 0 || placedFirst > 0.3*placedBefore {
		t.Errorf("at first, shares of %.2f and %.2f go there, before %.2f and %.2f", sentFirst, placedFirst, sentBefore, placedBefore)
	}
	if sentLast < 0.8*sentBefore || placedLast < 0.8*placedBefore {
		t.Errorf("at last, shares of %.2f and %.2f go there, before %.2f and %.2f", sentLast, placedLast, sentBefore, placedBefore)
	}
}

// In a pool of all data centres, all stage endpoints get full calls at once when the evacuation
// ends.
func TestStageEndpointsReturnOneAfterTheOther(t *testing.T) {
	tg := newConfigured(t)
	var names []ident.Endpoint
	for n := range 60 {
		l := testListing("planning", n)
		tg.gateway.directory.Upsert(l)
		if l.DataCentre == "west" {
			names = append(names, l.Name)
		}
	}
	usable := func(pool ident.Pool) int {
		count := 0
		for _, name := range names {
			if tg.gateway.mayCall(tg.gateway.directory.Lookup(name), pool) {
				count++
			}
		}
		return count
	}
	all := ident.Pool{Service: "planning"}
	tg.evacuate("west")
	tg.endEvacuation("west")
	first := usable(all)
	if own := usable(ident.Pool{Service: "planning", DataCentre: "west"}); own != len(names) {
		t.Errorf("%d of %d endpoints get calls of their own data centre's pool, whose requests are drawn", own, len(names))
	}
	tg.advance(1500 * time.Millisecond)
	later := usable(all)
	tg.advance(2 * time.Second)
	if last := usable(all); first > len(names)/4 || later <= first || later >= last || last != len(names) {
		t.Errorf("%d, %d and %d of %d endpoints get calls", first, later, last, len(names))
	}
}

// boundCatalog returns a configuration whose routes and workspace allow only some regions.
func boundCatalog(version int64, route, workspace []ident.Region) *published.Catalog {
	c := testCatalog(version)
	for i := range c.Routes {
		c.Routes[i].AllowedRegions = route
	}
	c.Workspaces[0].AllowedRegions = workspace
	return c
}

var testRegions = evacuation.Regions{"east": "eu", "north": "eu", "west": "us"}

// newBound returns a test gateway in east with members in all data centres and a configuration
// with allowed regions.
func newBound(t *testing.T, route, workspace []ident.Region) *testGateway {
	tg := newConfigured(t)
	tg.gateway.SetRegions(testRegions)
	tg.gateway.HandleChanges([]replica.Record{testRecord(t, "catalog", 2, boundCatalog(2, route, workspace))}, 2)
	tg.meet(allTestCentres...)
	tg.advance(10 * time.Millisecond)
	tg.peers = nil
	return tg
}

// A request reaches an endpoint outside the regions that its route and workspace allow, at
// first or when it is tried again.
func TestRequestsStayInAllowedRegions(t *testing.T) {
	for _, c := range []struct {
		route, workspace []ident.Region
		want             string
	}{
		{[]ident.Region{"eu"}, nil, "east north"},
		{nil, []ident.Region{"us"}, "west"},
		{[]ident.Region{"eu", "us"}, []ident.Region{"us", "asia"}, "west"},
		{nil, nil, "east north west"},
	} {
		t.Run(fmt.Sprint(c.route, c.workspace), func(t *testing.T) {
			tg := newBound(t, c.route, c.workspace)
			seen := map[string]bool{}
			for n := range 60 {
				path := []string{"/lookup/", "/draft/", "/verse/", "/order/"}[n%4]
				h := tg.sendRequest(path, func(c *CallerRequest) {
					c.Prompt = []PromptPart{{ID: fmt.Sprint(n), Tokens: 5000}, {ID: "own", Tokens: 10}}
				})
				if r := tg.gateway.requests[h]; r != nil && !r.bound.Permits(testRegions, tg.gateway.homeDataCentre(r)) && r.route.CarriesPrompts {
					t.Errorf("the stages of request %d are to run in %s", h, tg.gateway.homeDataCentre(r))
				}
				for range 4 {
					step := tg.lastStep(h)
					if step.Send == nil {
						break
					}
					seen[string(tg.centreOfEndpoint(step.Send.Endpoint))] = true
					tg.gateway.HandleFailure(h, step.Send.Attempt, NotSent, "", "refused")
				}
				tg.advance(400 * time.Millisecond)
				tg.meet(allTestCentres...)
			}
			var got []string
			for _, centre := range []string{"east", "north", "west"} {
				if seen[centre] {
					got = append(got, centre)
				}
			}
			if strings.Join(got, " ") != c.want {
				t.Errorf("requests reach %v, want %s", got, c.want)
			}
		})
	}
}

// A request that no endpoint may serve waits, or is served outside its regions.
func TestRequestsOutsideAllRegionsAreRefused(t *testing.T) {
	wantRefused := func(t *testing.T, tg *testGateway) {
		t.Helper()
		for _, path := range []string{"/order/", "/lookup/", "/draft/", "/verse/"} {
			for _, pieces := range [][]int{nil, {3, 2}} {
				h := tg.sendRequest(path, func(c *CallerRequest) { c.PieceCounts = pieces })
				tg.wantAnswer(h, NotRun)
				if tg.lastStep(h).RetryAfter <= 0 {
					t.Errorf("%s: no Retry-After", path)
				}
			}
		}
		if len(tg.sentWork()) != 0 || len(tg.calls) != 0 {
			t.Error("a piece is submitted")
		}
	}
	t.Run("no region is allowed by both", func(t *testing.T) {
		wantRefused(t, newBound(t, []ident.Region{"eu"}, []ident.Region{"us"}))
	})
	t.Run("the regions are not known", func(t *testing.T) {
		tg := newBound(t, []ident.Region{"eu"}, nil)
		tg.gateway.SetRegions(nil)
		wantRefused(t, tg)
	})
	t.Run("the region is evacuated", func(t *testing.T) {
		tg := newBound(t, []ident.Region{"us"}, nil)
		tg.evacuate("west")
		wantRefused(t, tg)
	})
}

// The pieces of a request are computed outside its regions, in pools of all data centres or of
// one.
func TestPiecesStayInAllowedRegions(t *testing.T) {
	for _, divided := range []bool{false, true} {
		t.Run(fmt.Sprintf("divided %v", divided), func(t *testing.T) {
			tg := newBound(t, []ident.Region{"us"}, nil)
			if divided {
				tg.addStageEndpoints(allTestCentres...)
			}
			tg.peers = nil
			for _, path := range []string{"/draft/", "/verse/"} {
				tg.sendRequest(path, func(c *CallerRequest) { c.PieceCounts = []int{2, 2} })
			}
			tg.advance(100 * time.Millisecond)
			work := tg.sentWork()
			if len(work) != 2 || len(tg.calls) != 0 {
				t.Fatalf("%d stages are submitted elsewhere and %d called from here, want 2 and none", len(work), len(tg.calls))
			}
			for _, p := range tg.peers {
				if w := p.message.StageWork; w != nil && (w.PoolDataCentre != "west" || divided && w.PreferredDataCentre != "west" || p.to.Name != "far-west") {
					t.Errorf("pieces are submitted to %s for the pool of %q", p.to.Name, w.PoolDataCentre)
				}
			}
		})
	}
	t.Run("no instance is alive in the home", func(t *testing.T) {
		tg := newConfigured(t)
		tg.gateway.SetRegions(testRegions)
		tg.gateway.HandleChanges([]replica.Record{testRecord(t, "catalog", 2, boundCatalog(2, []ident.Region{"eu"}, nil))}, 2)
		tg.addStageEndpoints("west")
		for n := range 30 {
			h := tg.sendRequest("/draft/", func(c *CallerRequest) {
				c.PieceCounts = []int{1}
				c.Prompt = []PromptPart{{ID: fmt.Sprint(n), Tokens: 100}, {ID: "own", Tokens: 10}}
			})
			if r := tg.gateway.requests[h]; r == nil || r.preferredDataCentre != "east" {
				t.Fatalf("the stages of request %d are not to run in east", h)
			}
		}
	})
	t.Run("no instance is alive in the region", func(t *testing.T) {
		tg := newBound(t, []ident.Region{"us"}, nil)
		for range 4 {
			tg.advance(signOutdated)
			tg.gateway.HandlePeerFailure("far-west", "silent")
		}
		h := tg.sendRequest("/draft/", func(c *CallerRequest) { c.PieceCounts = []int{2} })
		tg.advance(100 * time.Millisecond)
		tg.wantAnswer(h, NotRun)
		if len(tg.calls) != 0 {
			t.Fatal("the pieces are computed in another region")
		}
	})
}

// The body of a request is forwarded to an instance outside its regions and the caller's own.
func TestForwardsStayInAllowedRegions(t *testing.T) {
	for _, c := range []struct {
		allowed []ident.Region
		want    string
	}{
		{[]ident.Region{"eu"}, "near north"},
		{[]ident.Region{"us"}, "near north west"},
	} {
		tg := newBound(t, c.allowed, nil)
		tg.gateway.SetRegions(evacuation.Regions{"east": "eu", "north": "eu", "west": "us", "south": "asia"})
		for name, centre := range map[ident.Instance]ident.DataCentre{"near": "east", "north": "north", "west": "west", "south": "south"} {
			p := message.Ping{}
			p.Member.Name, p.Member.Address, p.Member.DataCentre, p.Member.Incarnation, p.Member.AcceptsForwards = name, string(name)+":1", centre, 1, true
			tg.gateway.HandleMessage(message.Envelope{From: name, Ping: &p})
		}
		h := tg.sendRequest("/lookup/", nil)
		r := tg.gateway.requests[h]
		var got []string
		for range 200 {
			name := tg.gateway.chooseForwardMember(r)
			if name == "" {
				break
			}
			r.triedMembers.Add(name)
			got = append(got, string(name))
		}
		slices.Sort(got)
		if strings.Join(got, " ") != c.want {
			t.Errorf("%v: the request may be forwarded to %v, want %s", c.allowed, got, c.want)
		}
	}
}
