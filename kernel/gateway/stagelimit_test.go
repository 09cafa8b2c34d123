package gateway

import (
	"fmt"
	"testing"
	"time"

	"anvilcross/kernel/batching"
	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/ratelimit"
	"anvilcross/kernel/replica"
)

// stageFleet is a fleet that runs requests with one stage, whose endpoints and model
// endpoints may name rate limits.
type stageFleet struct {
	*testFleet
	// rates holds the limits by address, arrivals the calls and requests.
	rates    map[string]ratelimit.Rate
	arrivals map[string][]time.Time
	last     RequestHandle
	pieces   int
	sent     int
}

// newStageFleet starts a fleet with three endpoints of each service and requests at an
// interval.
func newStageFleet(t *testing.T, interval time.Duration, rates map[string]ratelimit.Rate) *stageFleet {
	t.Helper()
	f := &stageFleet{testFleet: newIdleFleet(t), rates: rates, arrivals: map[string][]time.Time{}}
	f.freeResults = func(name ident.Instance, address string, handles []message.ResultHandle) {
		f.reach(name, address)
		f.timers.After(2*linkDelay, func() { f.gateways[name].Batcher().HandleFreed(handles) })
	}
	f.startCall = f.runCall
	f.nextStep = f.takeStep
	f.start(6, 0, []ident.DataCentre{"east", "west", "north"})
	records := []replica.Record{testRecord(t, "catalog", 1, testCatalog(1))}
	for _, s := range []ident.Service{"models", "registry"} {
		for n := range 3 {
			l := testListing(s, n)
			records = append(records, testRecord(t, string(l.Name), 1, l))
		}
	}
	f.publish(records)
	f.advance(3 * time.Second)
	f.timers.Every(interval, f.arrive)
	return f
}

// reach lets an instance's call or request reach an endpoint, whose answer names its
// limit.
func (f *stageFleet) reach(name ident.Instance, address string) {
	f.arrivals[address] = append(f.arrivals[address], f.timers.Now())
	rate, limited := f.rates[address]
	if !limited {
		rate = ratelimit.Unlimited
	}
	f.timers.After(2*linkDelay, func() { f.gateways[name].HandleNoticeAt(address, endpoints.Notice{RateLimit: &rate}, 2*linkDelay) })
}

// runCall lets a stage endpoint compute pieces.
func (f *stageFleet) runCall(name ident.Instance, c batching.Call) {
	f.reach(name, c.Address)
	f.pieces += len(c.Items)
	f.timers.After(270*time.Millisecond, func() {
		var r batching.Reply
		for n := range c.Items {
			r.Items = append(r.Items, batching.ReplyItem{Handle: message.ResultHandle(fmt.Sprintf("%s/%s-%d-%d", c.Address, name, c.ID, n))})
		}
		f.gateways[name].Batcher().HandleReply(c.ID, r)
	})
}

// takeStep lets a model endpoint answer.
func (f *stageFleet) takeStep(name ident.Instance, h RequestHandle, s Step) {
	if s.Send == nil {
		return
	}
	f.sent++
	f.timers.After(20*linkDelay, func() {
		g := f.gateways[name]
		if g.BeginWrite(h, s.Send.Attempt) {
			f.reach(name, s.Send.Address)
			g.HandleResponseHead(h, s.Send.Attempt, false, endpoints.Load{})
			g.HandleDelivery(h, s.Send.Attempt, Delivery{Status: 200, Delimited: true})
		}
	})
}

func (f *stageFleet) arrive() {
	f.last++
	name := f.names[int(f.last)%len(f.names)]
	f.gateways[name].HandleRequest(f.last, CallerRequest{ID: ident.RequestID(fmt.Sprint(f.last)), Host: "h", Path: "/draft/", Key: "key", Timeout: 6 * time.Second, PieceCounts: []int{1}, PieceKey: "piece", Prompt: []PromptPart{{ID: "own", Tokens: 10}}})
}

// Calls to a stage endpoint, and those that free results there, add up to more than its
// limit.
func TestStageEndpointGetsNoMoreThanItsLimit(t *testing.T) {
	const limited = "registry-0:80"
	f := newStageFleet(t, 40*time.Millisecond, map[string]ratelimit.Rate{limited: 1})
	since := f.timers.Now()
	f.advance(20 * time.Second)
	lf := &limitFleet{testFleet: f.testFleet}
	lf.wantWithinLimit(&limitedEndpoint{listing: testListing("registry", 0), arrivals: f.arrivals[limited]}, 1, since)
	if others := len(f.arrivals["registry-1:80"]); others < 40 {
		t.Errorf("an endpoint without a limit got %d calls", others)
	}
}

// Stages run for requests that find all model endpoints at their limits afterwards.
func TestStagesOfRequestsBeyondAllLimits(t *testing.T) {
	f := newStageFleet(t, 50*time.Millisecond, map[string]ratelimit.Rate{"models-0:80": 1, "models-1:80": 1, "models-2:80": 1})
	f.advance(2 * ratelimit.ThrottleWindow)
	f.pieces, f.sent = 0, 0
	f.advance(20 * time.Second)
	t.Logf("%d pieces for %d requests that were sent", f.pieces, f.sent)
	if f.sent < 30 {
		t.Errorf("%d requests were sent in 20 s, the limits allow 60", f.sent)
	}
	if f.pieces > 2*f.sent {
		t.Errorf("%d pieces were computed for %d requests", f.pieces, f.sent)
	}
}
