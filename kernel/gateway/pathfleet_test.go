package gateway

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"anvilcross/kernel/batching"
	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/paths"
	"anvilcross/kernel/replica"
)

const (
	// pathContactTime is the time from the loss of paths from which on callers have to be
	// served, and pathLossTime how long paths are lost.
	pathContactTime = 3 * time.Second
	pathLossTime    = 12 * time.Second
	// The users allow maxPathFailures failed first tries and one in maxPathFailureShare of
	// all, else those at instances without a path are served minPathShare as often as
	// the others.
	maxPathFailures     = 10
	maxPathFailureShare = 50
	minPathShare        = 2.0 / 3
	// minSoundShare is the share of first tries that sound instances serve at least.
	minSoundShare = 0.9
	// dialTime is how long a client waits for a connection, and silenceTime how long for
	// an answer on a connection that has gone silent.
	dialTime        = 350 * time.Millisecond
	pathSilenceTime = 2500 * time.Millisecond
	// keptTime is how long connections of before the loss are used.
	keptTime = 700 * time.Millisecond
)

// pathLoss says how an instance has lost its paths to endpoints.
type pathLoss int

const (
	// noLoss means that all endpoints are within reach.
	noLoss pathLoss = iota
	// hangingLoss means that connections hang, new and old.
	hangingLoss
	// resetLoss means that connections are reset and new ones refused.
	resetLoss
	// newRefusedLoss means that new connections are refused and old ones live on.
	newRefusedLoss
)

// pathRequest is a caller's first try.
type pathRequest struct {
	at       time.Time
	instance ident.Instance
	answer   string
}

// pathFleet is a fleet whose instances may lose their paths to endpoints.
type pathFleet struct {
	*testFleet
	random   *rand.Rand
	lossOf   func(ident.Instance, ident.Service) pathLoss
	lostAt   time.Time
	last     RequestHandle
	requests map[RequestHandle]*pathRequest
	incoming map[RequestHandle]CallerRequest
	paths    []string
	// hops holds where forwarded requests come from, forwarded how many each instance got.
	hops      map[RequestHandle]*pathHop
	forwarded map[ident.Instance]int
}

// newPathFleet starts a fleet that gets the given number of requests per second.
func newPathFleet(t *testing.T, size, rate int, routes ...string) *pathFleet {
	t.Helper()
	f := &pathFleet{testFleet: newIdleFleet(t), random: rand.New(rand.NewPCG(uint64(size), 11)), requests: map[RequestHandle]*pathRequest{}, incoming: map[RequestHandle]CallerRequest{}, hops: map[RequestHandle]*pathHop{}, forwarded: map[ident.Instance]int{}, paths: routes}
	f.lossOf = func(ident.Instance, ident.Service) pathLoss { return noLoss }
	f.nextStep = f.takeStep
	f.startCall = f.runCall
	f.checkEndpoint = f.check
	f.freeResults = func(name ident.Instance, _ string, handles []message.ResultHandle) {
		f.timers.After(2*linkDelay, func() { f.gateways[name].Batcher().HandleFreed(handles) })
	}
	f.start(min(size, 6), max(size-6, 0), []ident.DataCentre{"east", "west", "north"})
	records := []replica.Record{testRecord(t, "catalog", 1, testCatalog(1))}
	for _, s := range []struct {
		name  ident.Service
		count int
	}{{"orders", 3}, {"models", 9}, {"registry", 5}, {"planning", 5}} {
		for n := range s.count {
			l := testListing(s.name, n)
			l.Slots = 64
			records = append(records, testRecord(t, string(l.Name), 1, l))
		}
	}
	f.publish(records)
	f.advance(4 * time.Second)
	f.timers.Every(time.Second/time.Duration(rate), f.arrive)
	return f
}

func (f *pathFleet) arrive() {
	f.last++
	name := f.names[f.random.IntN(len(f.names))]
	path := f.paths[f.random.IntN(len(f.paths))]
	f.requests[f.last] = &pathRequest{at: f.timers.Now(), instance: name}
	pieces := []int{1}
	if path == "/verse/" {
		pieces = []int{1, 1}
	}
	f.incoming[f.last] = CallerRequest{ID: ident.RequestID(fmt.Sprint(f.last)), Host: "h", Path: path, Key: "key", Timeout: 8 * time.Second, PieceCounts: pieces, PieceKey: "piece", Digest: ident.Digest(f.last),
		Prompt: []PromptPart{{ID: fmt.Sprint("shared-", f.random.IntN(5)), Tokens: 300}, {ID: fmt.Sprint(f.last), Tokens: 50}}}
	f.gateways[name].HandleRequest(f.last, f.incoming[f.last])
}

func serviceOf(e ident.Endpoint) ident.Service {
	service, _, _ := strings.Cut(string(e), "-")
	return ident.Service(service)
}

// loss returns how an instance has lost its path to an endpoint.
func (f *pathFleet) loss(name ident.Instance, e ident.Endpoint) pathLoss {
	return f.lossOf(name, serviceOf(e))
}

// takeStep carries out what an instance decides for a request.
func (f *pathFleet) takeStep(name ident.Instance, h RequestHandle, s Step) {
	hop := f.hops[h]
	switch {
	case s.Send != nil && s.Send.Member != "":
		f.forward(name, h, *s.Send)
	case s.Send != nil:
		f.send(name, h, *s.Send)
	case hop != nil:
		a := s.ForwardAnswer()
		f.timers.After(linkDelay, func() { f.gateways[hop.by].HandleForwardAnswer(hop.handle, hop.attempt, a) })
	default:
		f.requests[h].answer = s.Answer.String()
	}
}

// pathHop is where a forwarded request comes from.
type pathHop struct {
	by      ident.Instance
	handle  RequestHandle
	attempt AttemptID
}

// forward hands a request to the instance to which it is forwarded.
func (f *pathFleet) forward(name ident.Instance, h RequestHandle, s Send) {
	if f.hops[h] != nil {
		f.t.Errorf("%s hands the forwarded request %d on", name, h)
	}
	f.timers.After(linkDelay, func() {
		if !f.gateways[name].BeginWrite(h, s.Attempt) {
			return
		}
		f.last++
		f.forwarded[s.Member]++
		f.hops[f.last] = &pathHop{by: name, handle: h, attempt: s.Attempt}
		c := f.incoming[h]
		c.Forwarded, c.Timeout = &s.Forwarding, s.Remaining
		f.incoming[f.last] = c
		f.gateways[s.Member].HandleRequest(f.last, c)
	})
}

// relay hands the answer to a forwarded request to the instance that forwarded it.
func (f *pathFleet) relay(h RequestHandle, s Send) {
	hop := f.hops[h]
	if hop == nil {
		f.requests[h].answer = "relayed"
		return
	}
	f.timers.After(linkDelay, func() {
		g := f.gateways[hop.by]
		g.HandleResponseHead(hop.handle, hop.attempt, false, endpoints.Load{})
		if s.Stream {
			g.HandleFirstEvent(hop.handle, hop.attempt)
		}
		g.HandleDelivery(hop.handle, hop.attempt, Delivery{Status: 200, Delimited: true})
		f.relay(hop.handle, s)
	})
}

// send sends an attempt to an endpoint.
func (f *pathFleet) send(name ident.Instance, h RequestHandle, s Send) {
	g := f.gateways[name]
	fail := func(after time.Duration, failure AttemptFailure) {
		f.timers.After(after, func() { g.HandleFailure(h, s.Attempt, failure, "", "path lost") })
	}
	kept := f.timers.Now().Sub(f.lostAt) < keptTime
	switch loss := f.loss(name, s.Endpoint); {
	case loss == hangingLoss && kept:
		if g.BeginWrite(h, s.Attempt) {
			fail(pathSilenceTime, Broken)
		}
	case loss == hangingLoss:
		fail(dialTime, NotSent)
	case loss == resetLoss && kept && f.random.IntN(2) == 0:
		if g.BeginWrite(h, s.Attempt) {
			fail(time.Millisecond, Broken)
		}
	case loss == resetLoss, loss == newRefusedLoss && f.random.IntN(2) == 0:
		fail(time.Millisecond, NotSent)
	default:
		f.timers.After(linkDelay, func() {
			if g.BeginWrite(h, s.Attempt) {
				f.timers.After(limitServiceTime, func() { f.answer(name, h, s) })
			}
		})
	}
}

// answer hands an instance the answer of an endpoint, unless the path is lost by then.
func (f *pathFleet) answer(name ident.Instance, h RequestHandle, s Send) {
	g := f.gateways[name]
	switch f.loss(name, s.Endpoint) {
	case hangingLoss:
		f.timers.After(pathSilenceTime, func() { g.HandleFailure(h, s.Attempt, Broken, "", "silent") })
	case resetLoss:
		g.HandleFailure(h, s.Attempt, Broken, "", "reset")
	default:
		g.HandleResponseHead(h, s.Attempt, false, endpoints.Load{})
		if s.Stream {
			g.HandleFirstEvent(h, s.Attempt)
		}
		g.HandleDelivery(h, s.Attempt, Delivery{Status: 200, Delimited: true})
		f.relay(h, s)
	}
}

// runCall lets a stage endpoint compute pieces.
func (f *pathFleet) runCall(name ident.Instance, c batching.Call) {
	b := f.gateways[name].Batcher()
	fail := func(after time.Duration, failure batching.CallFailure) {
		f.timers.After(after, func() { b.HandleCallFailure(c.ID, failure, "path lost") })
	}
	switch f.loss(name, c.Endpoint) {
	case hangingLoss:
		fail(dialTime, batching.NotSent)
		return
	case resetLoss, newRefusedLoss:
		fail(time.Millisecond, batching.NotSent)
		return
	}
	f.timers.After(240*time.Millisecond+time.Duration(len(c.Items))*26*time.Millisecond, func() {
		switch f.loss(name, c.Endpoint) {
		case hangingLoss:
			fail(c.Timeout, batching.Broken)
			return
		case resetLoss:
			fail(0, batching.Broken)
			return
		}
		var r batching.Reply
		for n := range c.Items {
			r.Items = append(r.Items, batching.ReplyItem{Handle: message.ResultHandle(fmt.Sprintf("%s/%s-%d-%d", c.Address, name, c.ID, n))})
		}
		b.HandleReply(c.ID, r)
	})
}

// check lets an instance connect to an endpoint.
func (f *pathFleet) check(name ident.Instance, e ident.Endpoint) {
	result, after := paths.Accepted, 2*linkDelay
	switch f.loss(name, e) {
	case hangingLoss:
		result, after = paths.Silent, dialTime
	case resetLoss, newRefusedLoss:
		result, after = paths.Refused, time.Millisecond
	}
	f.timers.After(after, func() { f.gateways[name].HandleEndpointChecked(e, result) })
}

// lose cuts instances off from the endpoints of services, of all if there are none.
func (f *pathFleet) lose(how pathLoss, instances []ident.Instance, services ...ident.Service) {
	f.lostAt = f.timers.Now()
	cut := map[ident.Instance]bool{}
	for _, name := range instances {
		cut[name] = true
	}
	f.lossOf = func(name ident.Instance, s ident.Service) pathLoss {
		if !cut[name] {
			return noLoss
		}
		for _, lost := range services {
			if lost == s {
				return how
			}
		}
		if len(services) == 0 {
			return how
		}
		return noLoss
	}
}

// wantServedWithoutPath checks the users' bound on the first tries at instances without a
// path, between pathContactTime after the loss and a time, and that the others serve theirs.
func (f *pathFleet) wantServedWithoutPath(instances []ident.Instance, until time.Time) {
	f.t.Helper()
	cut := map[ident.Instance]bool{}
	for _, name := range instances {
		cut[name] = true
	}
	var cutAll, cutServed, otherAll, otherServed int
	for _, r := range f.requests {
		if r.at.Before(f.lostAt.Add(pathContactTime)) || !r.at.Before(until) {
			continue
		}
		served := 0
		if r.answer == "relayed" {
			served = 1
		}
		if cut[r.instance] {
			cutAll, cutServed = cutAll+1, cutServed+served
		} else {
			otherAll, otherServed = otherAll+1, otherServed+served
		}
	}
	f.t.Logf("instances without a path served %d of %d, the others %d of %d", cutServed, cutAll, otherServed, otherAll)
	if float64(otherServed) < minSoundShare*float64(otherAll) {
		f.t.Errorf("the sound instances served %d of %d", otherServed, otherAll)
	}
	failures := cutAll - cutServed
	if failures > maxPathFailures+(cutAll+otherAll)/maxPathFailureShare && float64(cutServed)*float64(otherAll) < minPathShare*float64(otherServed)*float64(cutAll) {
		f.t.Errorf("instances without a path served %d of %d, the others %d of %d", cutServed, cutAll, otherServed, otherAll)
	}
}

// wantNoCrashes checks that no instance takes an endpoint for crashed.
func (f *pathFleet) wantNoCrashes() {
	f.t.Helper()
	for _, name := range f.names {
		if reports := f.gateways[name].crashes.latestReports(f.timers.Now()); len(reports) > 0 {
			f.t.Errorf("%s takes %s for crashed", name, reports[0].Endpoint)
			return
		}
	}
}

// everyNth returns each nth instance.
func (f *pathFleet) everyNth(n int) []ident.Instance {
	var chosen []ident.Instance
	for at, name := range f.names {
		if at%n == 0 {
			chosen = append(chosen, name)
		}
	}
	return chosen
}

// servedSince returns how many first tries since a time were served, and how many there were
// that are answered or older than a second.
func (f *pathFleet) servedSince(since time.Time) (served, all int) {
	for _, r := range f.requests {
		if r.at.Before(since) || r.answer == "" && f.timers.Now().Sub(r.at) < time.Second {
			continue
		}
		all++
		if r.answer == "relayed" {
			served++
		}
	}
	return served, all
}

// wantServedSince checks the share of the first tries since a time that were served.
func (f *pathFleet) wantServedSince(since time.Time, share float64) {
	f.t.Helper()
	if served, all := f.servedSince(since); float64(served) < share*float64(all) {
		f.t.Errorf("%d of %d were served, want %.2f of them", served, all, share)
	}
}

// forwardedSum returns how many requests have been forwarded.
func (f *pathFleet) forwardedSum() int {
	sum := 0
	for _, n := range f.forwarded {
		sum += n
	}
	return sum
}
