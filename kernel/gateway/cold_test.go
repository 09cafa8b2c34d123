package gateway

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/membership"
	"anvilcross/kernel/message"
	"anvilcross/kernel/paths"
	"anvilcross/kernel/permits"
	"anvilcross/kernel/published"
	"anvilcross/kernel/ratelimit"
	"anvilcross/kernel/replica"
	"anvilcross/kernel/warmup"
)

const (
	// coldRate, coldTime and coldSlack are the users' bound: a cold endpoint gets at most
	// coldFactor times coldRate requests in any second, and coldSlack more.
	coldRate   = 7.7
	coldFactor = 1.5
	coldSlack  = 5
	coldTime   = 3 * time.Second
	// recordPeriod is the period of an endpoint's record, recordDelay the longest time until it
	// arrives at an instance.
	recordPeriod = 1200 * time.Millisecond
	recordDelay  = time.Second
	// manyPrefixes is a number of prompt prefixes of which each endpoint serves some.
	manyPrefixes = 40
)

// coldCatalog returns a configuration whose endpoints become cold. The prompts of its route chat
// are served by the endpoints of orders.
func coldCatalog() *published.Catalog {
	c := testCatalog(1)
	for _, s := range c.Services {
		s.ColdTime, s.ColdPerSecond, s.HealthPath = coldTime, coldRate, "/health"
	}
	c.Routes = append(c.Routes, published.Route{Name: "chat", Host: "h", Prefix: "/chat/", Kind: published.Safe, CarriesPrompts: true, Targets: []published.Target{{Service: "orders", Weight: 1}}, Timeout: 1200 * time.Millisecond, LatencyObjective: 200 * time.Millisecond, MaxAttempts: 2})
	c.BuildIndex()
	return c
}

// coldEndpoint is an endpoint that may be cold.
type coldEndpoint struct {
	listing endpoints.Listing
	down    bool
	// coldUntil is when it is warm, and knownAt from when on the bound holds.
	coldUntil, knownAt time.Time
	// cold holds the requests that reached it while it was cold, and served their number.
	cold   []time.Time
	served int
}

// coldFleet is a fleet whose orders service has endpoints that become cold.
type coldFleet struct {
	*testFleet
	random    *rand.Rand
	endpoints []*coldEndpoint
	byName    map[ident.Endpoint]*coldEndpoint
	// delays holds how late each instance gets records, and delivered up to which revision.
	delays    map[ident.Instance]time.Duration
	delivered map[ident.Instance]replica.Revision
	latest    map[string]replica.Record
	revision  replica.Revision
	// renewsAll is set if the endpoints that are always warm write their records again too.
	renewsAll bool
	// paused are the instances that get no requests.
	paused  map[ident.Instance]bool
	queries int
	last    RequestHandle
	arrived map[RequestHandle]time.Time
	outcome map[RequestHandle]string
	steps   map[RequestHandle]Step
	// took is how long the requests were held.
	took map[RequestHandle]time.Duration
}

// newColdFleet starts a fleet in which all endpoints are warm.
func newColdFleet(t *testing.T, size, servers int) *coldFleet {
	t.Helper()
	f := &coldFleet{testFleet: startTestFleet(t, min(size, 6), max(size-6, 0), []ident.DataCentre{"east", "west", "north"}), random: rand.New(rand.NewPCG(uint64(size), 11)), byName: map[ident.Endpoint]*coldEndpoint{}, delays: map[ident.Instance]time.Duration{}, delivered: map[ident.Instance]replica.Revision{}, latest: map[string]replica.Record{}, revision: 1, paused: map[ident.Instance]bool{}, arrived: map[RequestHandle]time.Time{}, outcome: map[RequestHandle]string{}, steps: map[RequestHandle]Step{}, took: map[RequestHandle]time.Duration{}}
	f.nextStep = f.takeStep
	f.queryHealth = f.answerHealth
	f.checkEndpoint = func(name ident.Instance, e ident.Endpoint) {
		g := f.gateways[name]
		f.timers.After(2*linkDelay, func() {
			result := paths.Accepted
			if f.byName[e].down {
				result = paths.Refused
			}
			g.HandleEndpointChecked(e, result)
		})
	}
	records := []replica.Record{testRecord(t, "catalog", 1, coldCatalog())}
	for n := range servers {
		e := &coldEndpoint{listing: testListing("orders", n)}
		e.listing.StartedUnixMillis, e.listing.ColdFor = 1, new(time.Duration)
		f.endpoints = append(f.endpoints, e)
		f.byName[e.listing.Name] = e
		records = append(records, testRecord(t, string(e.listing.Name), 1, e.listing))
	}
	for _, r := range records {
		f.latest[r.Key] = r
	}
	f.publish(records)
	for _, name := range f.names {
		f.delays[name] = time.Duration(f.random.Int64N(int64(recordDelay)))
		f.delivered[name] = 1
	}
	// Leases begin four ping periods after the start.
	f.advance(6 * time.Second)
	for n, e := range f.endpoints {
		f.timers.After(time.Duration(n)*recordPeriod/time.Duration(servers), func() { f.renew(e) })
	}
	f.advance(recordPeriod)
	return f
}

// renew writes the record of an endpoint that is or was cold, and does so again after a while.
// That of one that has always been warm never changes.
func (f *coldFleet) renew(e *coldEndpoint) {
	if !e.down && (f.renewsAll || !e.coldUntil.IsZero()) {
		f.write(e)
	}
	f.timers.After(recordPeriod, func() { f.renew(e) })
}

// write writes the record of an endpoint.
func (f *coldFleet) write(e *coldEndpoint) {
	left := max(e.coldUntil.Sub(f.timers.Now()), 0)
	e.listing.ColdFor = &left
	f.change(testRecord(f.t, string(e.listing.Name), 0, e.listing))
}

// change writes a record to the store, from where it reaches each instance after its delay.
func (f *coldFleet) change(r replica.Record) {
	f.revision++
	r.Revision = f.revision
	f.latest[r.Key] = r
	for _, name := range f.names {
		f.timers.After(f.delays[name], func() {
			if g := f.gateways[name]; !f.down[name] && f.delivered[name] < r.Revision {
				base := f.delivered[name]
				f.delivered[name] = r.Revision
				g.HandleMessage(message.Envelope{From: "reader", Records: &message.Records{Delta: replica.Delta{Records: []replica.Record{r}, Base: base, AsOf: r.Revision}}})
			}
		})
	}
}

// chill makes an endpoint cold at any moment. The bound holds once the record has arrived.
func (f *coldFleet) chill(e *coldEndpoint, d time.Duration) {
	now := f.timers.Now()
	e.coldUntil, e.knownAt = now.Add(d), now.Add(recordDelay+2*linkDelay)
	f.write(e)
}

// replace lets an endpoint leave, end and start again as a cold process.
func (f *coldFleet) replace(e *coldEndpoint) {
	e.listing.Leaving = true
	f.write(e)
	f.timers.After(recordDelay+300*time.Millisecond, func() {
		e.down = true
		f.change(replica.Record{Key: string(e.listing.Name), Removed: true})
	})
	f.timers.After(recordDelay+600*time.Millisecond, func() { f.startCold(e) })
}

// startCold starts another process of an endpoint, which is cold.
func (f *coldFleet) startCold(e *coldEndpoint) {
	e.down, e.listing.Leaving = false, false
	e.listing.StartedUnixMillis++
	e.coldUntil = f.timers.Now().Add(coldTime)
	f.write(e)
}

// answerHealth lets an endpoint answer an instance that asks whether it is cold.
func (f *coldFleet) answerHealth(name ident.Instance, p ident.EndpointProcess) {
	g, e := f.gateways[name], f.byName[p.Endpoint]
	f.queries++
	f.timers.After(linkDelay, func() {
		if e.down {
			return
		}
		f.arrive(e)
		left := max(e.coldUntil.Sub(f.timers.Now()), 0)
		f.timers.After(linkDelay, func() { g.HandleNotice(p, endpoints.Notice{ColdFor: &left}, 2*linkDelay) })
	})
}

// arrive records that something that needs a slot has reached an endpoint.
func (f *coldFleet) arrive(e *coldEndpoint) {
	if now := f.timers.Now(); now.Before(e.coldUntil) {
		e.cold = append(e.cold, now)
	}
}

// takeStep lets an endpoint serve an attempt.
func (f *coldFleet) takeStep(name ident.Instance, h RequestHandle, s Step) {
	g := f.gateways[name]
	f.steps[h] = s
	if s.Send == nil {
		f.outcome[h], f.took[h] = s.Answer.String(), f.timers.Now().Sub(f.arrived[h])
		return
	}
	id, e, sentAt := s.Send.Attempt, f.byName[s.Send.Endpoint], f.timers.Now()
	f.timers.After(linkDelay, func() {
		switch {
		case f.down[name] || f.gateways[name] != g:
			return
		case e.down || !g.BeginWrite(h, id):
			g.HandleFailure(h, id, NotSent, "", "refused")
			return
		}
		e.served++
		f.arrive(e)
		f.timers.After(limitServiceTime, func() {
			rate := ratelimit.Unlimited
			g.HandleNotice(s.Send.Process(), endpoints.Notice{RateLimit: &rate}, f.timers.Now().Sub(sentAt))
			g.HandleResponseHead(h, id, false, endpoints.Load{})
			g.HandleDelivery(h, id, Delivery{Status: 200, Delimited: true})
			f.outcome[h], f.took[h] = "relayed", f.timers.Now().Sub(f.arrived[h])
		})
	})
}

// demand sends requests a second to random instances, on the route chat with a number of long
// prompt prefixes: each endpoint is that of the lowest cost for some, cold or not.
func (f *coldFleet) demand(perSecond float64, path string, prefixes int) {
	f.timers.Every(time.Duration(float64(time.Second)/perSecond), func() {
		name := f.names[f.random.IntN(len(f.names))]
		if !f.down[name] && !f.paused[name] {
			f.request(name, path, prefixes)
		}
	})
}

// request hands a request to an instance.
func (f *coldFleet) request(name ident.Instance, path string, prefixes int) {
	f.last++
	f.arrived[f.last] = f.timers.Now()
	f.gateways[name].HandleRequest(f.last, CallerRequest{ID: ident.RequestID(fmt.Sprint(f.last)), Host: "h", Path: path, Key: "key", Timeout: time.Second, Prompt: []PromptPart{{ID: fmt.Sprintf("prefix-%d", f.random.IntN(prefixes)), Tokens: 20_000}, {ID: fmt.Sprint(f.last), Tokens: 100}}})
}

// hottest returns the endpoint that served most.
func (f *coldFleet) hottest() *coldEndpoint {
	return slices.MaxFunc(f.endpoints, func(x, y *coldEndpoint) int { return cmp.Compare(x.served, y.served) })
}

// mostWithin returns the largest number of times within a second.
func mostWithin(times []time.Time) int {
	most, begin := 0, 0
	for n, at := range times {
		for at.Sub(times[begin]) >= time.Second {
			begin++
		}
		most = max(most, n-begin+1)
	}
	return most
}

// wantBound checks that no cold endpoint got more than the bound once it was known to be cold.
func (f *coldFleet) wantBound() {
	f.t.Helper()
	most, mostBefore, total, queries := 0, 0, 0, f.queries
	for _, e := range f.endpoints {
		slices.SortFunc(e.cold, time.Time.Compare)
		known := slices.IndexFunc(e.cold, func(at time.Time) bool { return !at.Before(e.knownAt) })
		if known < 0 {
			known = len(e.cold)
		}
		got := mostWithin(e.cold[known:])
		most, mostBefore, total = max(most, got), max(mostBefore, mostWithin(e.cold[:known])), total+len(e.cold)
		if bound := coldFactor*coldRate + coldSlack; float64(got) > bound {
			f.t.Errorf("%s got %d requests in a second while it was cold, allowed %.1f", e.listing.Name, got, bound)
		}
	}
	f.t.Logf("at most %d requests in a second at a cold endpoint, %d before it was known; %d in all, %d health queries", most, mostBefore, total, queries)
}

// wantServed checks which share of the requests since a handle was served, and that the others
// were refused at once.
func (f *coldFleet) wantServed(since RequestHandle, least float64) {
	f.t.Helper()
	served, total := 0, 0
	for h := since + 1; h <= f.last; h++ {
		if f.outcome[h] == "" {
			continue
		}
		total++
		switch {
		case f.outcome[h] == "relayed":
			served++
		case f.outcome[h] != "notRun" || f.steps[h].RetryAfter <= 0 || f.took[h] > 3*permits.Timeout:
			f.t.Errorf("request %d: %s after %v, to come back after %v", h, f.outcome[h], f.took[h], f.steps[h].RetryAfter)
		}
	}
	f.t.Logf("%d of %d requests were served", served, total)
	if float64(served) < least*float64(total) {
		f.t.Errorf("%d of %d requests were served, want a share of %v", served, total, least)
	}
}

// eachSize runs a test at the sizes of fleets.
func eachSize(t *testing.T, run func(t *testing.T, size int)) {
	t.Parallel()
	for _, size := range []int{6, 85, 295} {
		t.Run(fmt.Sprintf("%d instances", size), func(t *testing.T) {
			t.Parallel()
			run(t, size)
		})
	}
}

// The requests with a prompt prefix that the endpoint had cached all go on to it while it is
// cold, from many instances, of which each sends few.
func TestHotPromptPrefixOverloadsAColdEndpoint(t *testing.T) {
	eachSize(t, func(t *testing.T, size int) {
		f := newColdFleet(t, size, 6)
		f.demand(80, "/chat/x", 1)
		f.advance(time.Second)
		begin, hot := f.last, f.hottest()
		f.chill(hot, coldTime+2*time.Second)
		f.advance(coldTime + 3*time.Second)
		f.wantBound()
		f.wantServed(begin, 0.98)
		if len(hot.cold) == 0 {
			t.Error("the endpoint got nothing")
		}
	})
}

// All endpoints of a data centre become cold at once, and get the share of the load that they
// had, or those of a service, and requests wait for them or are sent in excess.
func TestAllEndpointsOfADataCentreColdAtOnce(t *testing.T) {
	eachSize(t, func(t *testing.T, size int) {
		for _, all := range []bool{false, true} {
			f := newColdFleet(t, size, 6)
			f.demand(120, "/chat/x", manyPrefixes)
			f.advance(time.Second)
			cold := 0
			for _, e := range f.endpoints {
				if all || e.listing.DataCentre == "east" {
					f.chill(e, 2*coldTime)
					cold++
				}
			}
			f.advance(recordDelay + 100*time.Millisecond)
			begin := f.last
			f.advance(2*coldTime - recordDelay - 500*time.Millisecond)
			f.wantBound()
			least := 0.98
			if all {
				// Most of what the endpoints sustain is used.
				least = 0.7 * float64(cold) * coldRate / 120
			}
			f.wantServed(begin, least)
		}
	})
}

// An instance that is cut off from all others sends to cold endpoints what it takes for the
// whole limit, or no longer serves requests at warm ones.
func TestPartitionedInstanceOverloadsAColdEndpoint(t *testing.T) {
	eachSize(t, func(t *testing.T, size int) {
		f := newColdFleet(t, size, 6)
		f.demand(80, "/chat/x", manyPrefixes)
		f.advance(time.Second)
		alone := f.names[len(f.names)-1]
		f.path = func(from, to ident.Instance) pathState {
			if from == alone || to == alone {
				return pathSilent
			}
			return pathOpen
		}
		f.timers.Every(12*time.Millisecond, func() { f.request(alone, "/chat/x", manyPrefixes) })
		begin := f.last
		for _, e := range f.endpoints[:3] {
			f.chill(e, 3*coldTime)
		}
		f.advance(2 * coldTime)
		f.path = nil
		f.advance(coldTime)
		f.wantBound()
		f.wantServed(begin, 0.98)
	})
}

// While the issuer of permits is killed, does not reply or is replaced, the endpoints get the
// permits of two issuers, or requests to warm endpoints wait.
func TestIssuerIsLostWhileEndpointsAreCold(t *testing.T) {
	for name, lose := range map[string]func(f *coldFleet, issuer ident.Instance){
		"killed": func(f *coldFleet, issuer ident.Instance) {
			f.restart(issuer, 1500*time.Millisecond, func() { f.relist(issuer) })
		},
		"paused": func(f *coldFleet, issuer ident.Instance) {
			f.paused[issuer] = true
			f.path = func(from, to ident.Instance) pathState {
				if from == issuer || to == issuer {
					return pathSilent
				}
				return pathOpen
			}
			f.timers.After(3*time.Second, func() { f.path, f.paused[issuer] = nil, false })
		},
		"replaced": func(f *coldFleet, issuer ident.Instance) {
			f.gateways[issuer].BeginShutdown()
			f.paused[issuer] = true
			f.timers.After(time.Second, func() {
				f.restart(issuer, 500*time.Millisecond, func() {
					f.paused[issuer] = false
					f.relist(issuer)
				})
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			eachSize(t, func(t *testing.T, size int) {
				f := newColdFleet(t, size, 6)
				f.demand(80, "/chat/x", manyPrefixes)
				f.advance(time.Second)
				for _, e := range f.endpoints[:3] {
					f.chill(e, 3*coldTime)
				}
				f.advance(recordDelay + 500*time.Millisecond)
				begin := f.last
				lose(f, f.gateways[f.names[0]].lender.Issuer(f.timers.Now()))
				f.advance(6 * time.Second)
				f.wantBound()
				f.wantServed(begin, 0.95)
			})
		})
	}
}

// relist gives a process of an instance that has started the records of the store.
func (f *coldFleet) relist(name ident.Instance) {
	var records []replica.Record
	for _, r := range f.latest {
		if !r.Removed {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(x, y replica.Record) int { return cmp.Compare(x.Key, y.Key) })
	f.delivered[name] = f.revision
	f.gateways[name].HandleFullList(records, f.revision)
}

// Endpoints are replaced by cold processes one after the other during a burst, and each new one,
// which looks the least busy, gets what its predecessor got.
func TestRollingReleaseOfColdEndpointsUnderABurst(t *testing.T) {
	eachSize(t, func(t *testing.T, size int) {
		f := newColdFleet(t, size, 8)
		f.demand(60, "/lookup/x", 1)
		f.advance(time.Second)
		begin := f.last
		for n, e := range f.endpoints[:5] {
			f.timers.After(time.Duration(n)*700*time.Millisecond, func() { f.replace(e) })
		}
		f.timers.After(time.Second, func() { f.demand(120, "/chat/x", manyPrefixes) })
		f.advance(8 * time.Second)
		f.wantBound()
		f.wantServed(begin, 0.97)
	})
}

// An endpoint crashes and starts again under its name before its record tells it, and the
// instances that have not noticed send it the load of a warm one.
func TestCrashedEndpointStartsAgainCold(t *testing.T) {
	eachSize(t, func(t *testing.T, size int) {
		f := newColdFleet(t, size, 6)
		f.demand(150, "/chat/x", manyPrefixes)
		f.advance(time.Second)
		begin, e := f.last, f.endpoints[0]
		e.down = true
		f.advance(700 * time.Millisecond)
		e.down = false
		e.coldUntil = f.timers.Now().Add(coldTime)
		e.listing.StartedUnixMillis++
		f.timers.After(200*time.Millisecond, func() { f.write(e) })
		f.advance(coldTime + time.Second)
		f.wantBound()
		f.wantServed(begin, 0.97)
	})
}

// A suspicion that is wrong limits a warm endpoint for long, or every instance asks it.
func TestWrongSuspicionEndsSoon(t *testing.T) {
	eachSize(t, func(t *testing.T, size int) {
		f := newColdFleet(t, size, 6)
		f.renewsAll = true
		f.advance(recordPeriod)
		g, e := f.gateways[f.names[len(f.names)-1]], f.endpoints[0]
		g.warmup.HandleUnreachable(f.timers.Now(), e.listing.Process())
		if !g.isLimited(g.directory.Lookup(e.listing.Name)) {
			t.Fatal("the endpoint is not limited")
		}
		limiting := func() int {
			count := 0
			for _, name := range f.names {
				if o := f.gateways[name]; o.isLimited(o.directory.Lookup(e.listing.Name)) {
					count++
				}
			}
			return count
		}
		f.advance(2 * time.Second)
		early := limiting()
		// A record that is surely later than the suspicion ends it everywhere.
		f.advance(recordPeriod + recordDelay)
		late := limiting()
		t.Logf("%d instances limit it after 2 s, %d after %v", early, late, 2*time.Second+recordPeriod+recordDelay)
		if early > len(f.names)/3 || late > 0 {
			t.Errorf("%d and %d instances limit it", early, late)
		}
		t.Logf("%d health queries", f.queries)
		if f.queries == 0 || f.queries > 3 {
			t.Errorf("%d health queries, want 1 to 3", f.queries)
		}
	})
}

// The news of cold endpoints and the leases exceed the control traffic of an instance.
func TestTrafficWhileManyEndpointsAreCold(t *testing.T) {
	t.Parallel()
	f := newColdFleet(t, 500, 47)
	now := f.timers.Now()
	for _, e := range f.endpoints {
		f.chill(e, 2*coldTime)
		for _, name := range f.names[:12] {
			f.gateways[name].warmup.HandleUnreachable(now, e.listing.Process())
		}
	}
	f.measuring = true
	clear(f.sent)
	const seconds = 3
	f.advance(seconds * time.Second)
	sent, most := 0, 0
	for _, name := range f.names {
		if f.gateways[name].config.Self.Capacity < 2 {
			sent += f.sent[name]
			most = max(most, f.sent[name])
		}
	}
	t.Logf("an instance with a weak link sends %d bytes/s on average and %d at most", sent/seconds/(len(f.names)-6), most/seconds)
	if most/seconds > maxBytesPerSecond {
		t.Errorf("an instance with a weak link sends %d bytes/s, above the limit", most/seconds)
	}
}

// newColdGateway returns an instance whose endpoints of orders are cold where wanted.
func newColdGateway(t *testing.T, cold func(n int) bool) *testGateway {
	t.Helper()
	tg := newTestGateway(t)
	records := []replica.Record{testRecord(t, "catalog", 1, coldCatalog())}
	for n := range 3 {
		l := testListing("orders", n)
		if cold(n) {
			left := time.Minute
			l.ColdFor = &left
		}
		records = append(records, testRecord(t, string(l.Name), 1, l))
	}
	tg.gateway.HandleFullList(records, 1)
	tg.advance(3 * time.Second)
	// The bucket of each endpoint is empty at first.
	for _, e := range tg.gateway.directory.ByService("orders") {
		tg.gateway.acquirePermit(e, func(bool) {})
	}
	tg.advance(500 * time.Millisecond)
	return tg
}

// A request that must not be repeated goes to a cold endpoint, which may crash with it, although
// there are others, or is refused although there are only such ones.
func TestUnsafeRequestsGoToColdEndpointsLast(t *testing.T) {
	for _, c := range []struct {
		name string
		cold func(n int) bool
	}{{"one is warm", func(n int) bool { return n != 2 }}, {"all are cold", func(int) bool { return true }}} {
		t.Run(c.name, func(t *testing.T) {
			tg := newColdGateway(t, c.cold)
			// Every permit would be issued, and the warm endpoint has the worst costs.
			warm := tg.gateway.directory.Lookup("orders-2")
			warm.OwnRequests, warm.LatencyMillis, warm.FailureShare = 100, 500, 1
			if e := tg.wantSend(tg.sendRequest("/order/x", nil)).Endpoint; !c.cold(2) && e != "orders-2" {
				t.Errorf("sent to %s", e)
			}
			if e := tg.wantSend(tg.sendRequest("/lookup/x", nil)).Endpoint; e == "orders-2" && !c.cold(2) {
				t.Error("a request that may be repeated goes to the endpoint with the worst costs")
			}
		})
	}
}

// Requests wait for the permits of a cold endpoint although others have room.
func TestWarmEndpointsArePreferred(t *testing.T) {
	tg := newColdGateway(t, func(n int) bool { return n == 0 })
	for _, e := range tg.gateway.directory.ByService("orders") {
		e.LatencyMillis = 40
	}
	for range 4 {
		if s := tg.wantSend(tg.sendRequest("/lookup/x", nil)); s.Endpoint == "orders-0" {
			t.Error("a request goes to the cold endpoint")
		}
	}
}

// An endpoint that could not be reached, or that another one has replaced, counts as warm, since
// a check of the path finds one that accepts again, or none is due so soon.
func TestFailedAttemptsMakeEndpointsSuspects(t *testing.T) {
	for _, failure := range []AttemptFailure{NotSent, Replaced, Declined, Broken} {
		t.Run(failure.String(), func(t *testing.T) {
			tg := newColdGateway(t, func(int) bool { return false })
			h := tg.sendRequest("/lookup/x", nil)
			s := tg.wantSend(h)
			if failure != NotSent {
				tg.mustBeginWrite(h, s)
			}
			tg.gateway.HandleFailure(h, s.Attempt, failure, "", "test")
			if limited := tg.gateway.isLimited(tg.gateway.directory.Lookup(s.Endpoint)); limited != (failure == NotSent || failure == Replaced) {
				t.Errorf("limited: %v", limited)
			}
		})
	}
	t.Run("a check is refused", func(t *testing.T) {
		tg := newColdGateway(t, func(int) bool { return false })
		tg.gateway.HandleEndpointChecked("orders-0", paths.Refused)
		tg.gateway.HandleEndpointChecked("orders-1", paths.Silent)
		if !tg.gateway.isLimited(tg.gateway.directory.Lookup("orders-0")) || tg.gateway.isLimited(tg.gateway.directory.Lookup("orders-1")) {
			t.Error("only the endpoint that refuses connections should be limited")
		}
	})
}

// A request that was chosen before its endpoint became cold, or whose connection took long, is
// written to it without a permit or long after that.
func TestWriteToAnEndpointThatHasBecomeCold(t *testing.T) {
	cold := 2 * time.Second
	t.Run("sent while it was warm", func(t *testing.T) {
		tg := newColdGateway(t, func(int) bool { return false })
		h := tg.sendRequest("/order/x", nil)
		s := tg.wantSend(h)
		tg.gateway.HandleNotice(s.Process(), endpoints.Notice{ColdFor: &cold}, 0)
		if tg.gateway.BeginWrite(h, s.Attempt) {
			t.Fatal("it was written")
		}
		tg.gateway.HandleFailure(h, s.Attempt, NotSent, "", "withheld")
		if again := tg.wantSend(h); again.Endpoint == s.Endpoint {
			t.Error("it goes to the same endpoint again")
		}
	})
	for _, took := range []time.Duration{permitUseTime, permitUseTime + time.Millisecond} {
		t.Run(fmt.Sprintf("the connection took %v", took), func(t *testing.T) {
			tg := newColdGateway(t, func(int) bool { return true })
			h := tg.sendRequest("/order/x", nil)
			s := tg.wantSend(h)
			tg.advance(took)
			if written := tg.gateway.BeginWrite(h, s.Attempt); written != (took <= permitUseTime) {
				t.Errorf("written: %v", written)
			}
		})
	}
}

// A permit of an issuer that does not count it against the limit of cold endpoints, since it is
// of an earlier build or takes the endpoint for warm, lets a request through.
func TestPermitThatIsNotCountedForTheColdLimit(t *testing.T) {
	p := ident.EndpointProcess{Endpoint: "orders-0"}
	for _, c := range []struct {
		name  string
		reply message.PermitReply
		sent  bool
	}{
		{"an earlier build", message.PermitReply{Issued: true}, false},
		{"counted", message.PermitReply{Issued: true, Cold: true}, true},
		{"denied", message.PermitReply{Cold: true, RetryAfter: 100 * time.Millisecond}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			tg := newColdGateway(t, func(int) bool { return true })
			issued := false
			e := tg.gateway.directory.Lookup(p.Endpoint)
			tg.gateway.permits.Ask("two", p, message.PermitRequest{Endpoint: p.Endpoint}, func(i bool) { issued = i })
			c.reply.ID = 1
			tg.gateway.HandleMessage(message.Envelope{From: "two", PermitReply: &c.reply})
			if issued != c.sent || c.sent == (tg.gateway.permits.BlockedFor(tg.timers.Now(), e.Process()) > 0) {
				t.Errorf("issued: %v", issued)
			}
		})
	}
	t.Run("the issuer knows that it is warm", func(t *testing.T) {
		tg := newColdGateway(t, func(int) bool { return true })
		issued := false
		tg.advance(3 * time.Second)
		tg.gateway.permits.Ask("two", p, message.PermitRequest{Endpoint: p.Endpoint}, func(i bool) { issued = i })
		warm := tg.gateway.warmup.Report(tg.timers.Now(), p)
		warm.Left, warm.AskedAgo, warm.ToldAgo = 0, 0, 0
		tg.gateway.HandleMessage(message.Envelope{From: "two", PermitReply: &message.PermitReply{ID: 1, Issued: true, Warm: warm}})
		if !issued || tg.gateway.isLimited(tg.gateway.directory.Lookup(p.Endpoint)) {
			t.Error("the endpoint still counts as cold")
		}
	})
}

// An issuer that has not heard yet that an endpoint is cold issues permits without limit.
func TestIssuerLearnsOfAColdEndpointFromARequest(t *testing.T) {
	tg := newColdGateway(t, func(int) bool { return false })
	issued := 0
	for id := range 50 {
		tg.peers = nil
		tg.gateway.members.RecordPing(tg.timers.Now(), membership.Member{Name: "two", Address: "two:1", DataCentre: "east", Incarnation: 1}, false)
		tg.gateway.HandleMessage(message.Envelope{From: "two", PermitRequest: &message.PermitRequest{ID: message.PermitID(id), Endpoint: "orders-0", Limit: ratelimit.Report{Rate: ratelimit.Unlimited}, Cold: &warmup.Report{Service: "orders", Left: time.Second}}})
		for _, m := range tg.peers {
			if r := m.message.PermitReply; r != nil && r.Issued {
				issued++
			}
		}
	}
	if issued > 2 {
		t.Errorf("%d permits were issued at once", issued)
	}
}

// Requests wait for the leases when the first endpoint becomes cold.
func TestFirstColdEndpointWaitsForNoLeases(t *testing.T) {
	eachSize(t, func(t *testing.T, size int) {
		f := newColdFleet(t, size, 2)
		issuers := map[ident.Instance]int{}
		for _, name := range f.names {
			issuers[f.gateways[name].lender.Issuer(f.timers.Now())]++
		}
		if issuers[""] > 0 || len(issuers) != 1 {
			t.Errorf("the issuers are %v", issuers)
		}
	})
}

// A deployment without cold endpoints pays for them in its messages.
func TestNoColdEndpointsNoMessages(t *testing.T) {
	tg := newConfigured(t)
	left := time.Second
	tg.gateway.HandleNotice(ident.EndpointProcess{Endpoint: "orders-0"}, endpoints.Notice{ColdFor: &left}, 0)
	tg.gateway.suspectCold(tg.gateway.directory.Lookup("orders-1"))
	tg.advance(3 * time.Second)
	p := tg.gateway.newPing(tg.timers.Now())
	if p.Cold != nil || p.PermitLease != nil || p.PermitClock != 0 {
		t.Errorf("a ping has %+v", p)
	}
	if e := tg.gateway.directory.Lookup("orders-0"); tg.gateway.isLimited(e) {
		t.Error("an endpoint is limited")
	}
}

// A suspicion of another instance that arrives before the configuration ends the process, or has
// endpoints asked that are never cold.
func TestSuspicionBeforeTheConfiguration(t *testing.T) {
	for _, catalog := range []bool{false, true} {
		tg := newTestGateway(t)
		l := testListing("orders", 0)
		records := []replica.Record{testRecord(t, string(l.Name), 1, l)}
		if catalog {
			records = append(records, testRecord(t, "catalog", 1, testCatalog(1)))
		}
		tg.gateway.HandleFullList(records, 1)
		tg.advance(300 * time.Millisecond)
		tg.gateway.HandleMessage(message.Envelope{From: "two", Ping: &message.Ping{Member: membership.Member{Name: "two", Address: "two:1", DataCentre: "east", Incarnation: 1}, KnownCount: 2, Cold: map[ident.Endpoint]warmup.Report{l.Name: {Service: "orders", Left: time.Minute, Open: true}}}})
		tg.advance(time.Second)
		if cold, _ := tg.gateway.ColdCounts(); cold != 0 || tg.gateway.counters.HealthQueries != 0 {
			t.Errorf("%d are cold, %d were asked", cold, tg.gateway.counters.HealthQueries)
		}
	}
}

// A message with a value that no instance sends, or a field of a later build, breaks others.
func TestUnknownOrMalformedColdReports(t *testing.T) {
	for _, text := range []string{
		`{"from":"two","ping":{"member":{"name":"two"},"known":1,"asOf":0,"cold":{"orders-0":{"left":-1,"asked":0,"told":0}}}}`,
		`{"from":"two","ping":{"member":{"name":"two"},"known":1,"asOf":0,"cold":{"orders-0":{"left":600000000001,"asked":0,"told":0}}}}`,
		`{"from":"two","permitRequest":{"id":1,"endpoint":"orders-0","limit":{"rate":-1,"asked":0,"told":0},"cold":{"left":1,"asked":-5,"told":0}}}`,
		`{"from":"two","permitReply":{"id":1,"issued":true,"warm":{"asked":0,"told":5}}}`,
	} {
		tg := newColdGateway(t, func(int) bool { return false })
		var m message.Envelope
		if err := json.Unmarshal([]byte(text), &m); err != nil {
			t.Fatal(err)
		}
		tg.gateway.HandleMessage(m)
		if tg.gateway.counters.MessagesRejected != 1 || tg.gateway.isLimited(tg.gateway.directory.Lookup("orders-0")) {
			t.Errorf("%s was taken in", text)
		}
	}
	tg := newColdGateway(t, func(int) bool { return false })
	var m message.Envelope
	if err := json.Unmarshal([]byte(`{"from":"two","ping":{"member":{"name":"two"},"known":1,"asOf":0,"cold":{"orders-0":{"service":"orders","left":1000000000,"asked":0,"told":0,"later":{"x":1}},"unknown-9":{"service":"unknown","left":1,"asked":0,"told":0}}}}`), &m); err != nil {
		t.Fatal(err)
	}
	tg.gateway.HandleMessage(m)
	if tg.gateway.counters.MessagesRejected != 0 || !tg.gateway.isLimited(tg.gateway.directory.Lookup("orders-0")) {
		t.Error("a report with a field of a later build was not taken in")
	}
}

// Calls to a cold stage endpoint, and those that free results there, are sent as to a warm one.
func TestCallsToAColdStageEndpoint(t *testing.T) {
	f := newStageFleet(t, 40*time.Millisecond, nil)
	c := coldCatalog()
	c.Version = 2
	for _, s := range c.Services {
		s.ColdPerSecond = 1
	}
	const cold = 10 * time.Second
	l := testListing("registry", 0)
	l.ColdFor = new(time.Duration)
	*l.ColdFor = cold
	for _, name := range f.names {
		f.gateways[name].HandleChanges([]replica.Record{testRecord(t, "catalog", 2, c), testRecord(t, string(l.Name), 2, l)}, 2)
	}
	since := f.timers.Now()
	f.advance(cold)
	got := countAfter(f.arrivals[l.Address], since)
	t.Logf("%d calls in %v, most in a second: %d", got, cold, mostWithin(f.arrivals[l.Address]))
	if allowed := coldFactor*cold.Seconds() + coldSlack; float64(got) > allowed || got < 3 {
		t.Errorf("a cold stage endpoint got %d calls in %v, allowed %.0f", got, cold, allowed)
	}
}

// An operator cannot see which endpoints are cold, for how long and why.
func TestColdEndpointsAreLogged(t *testing.T) {
	tg := newColdGateway(t, func(int) bool { return false })
	cold := 400 * time.Millisecond
	tg.events = nil
	tg.gateway.HandleNotice(ident.EndpointProcess{Endpoint: "orders-0"}, endpoints.Notice{ColdFor: &cold}, 0)
	tg.advance(200 * time.Millisecond)
	if n, suspected := tg.gateway.ColdCounts(); n != 1 || suspected != 0 || !slices.Equal(tg.events, []string{"endpointCold"}) {
		t.Errorf("%d cold, %d suspected; logged %v", n, suspected, tg.events)
	}
	tg.advance(time.Second)
	if n, _ := tg.gateway.ColdCounts(); n != 0 || !slices.Equal(tg.events, []string{"endpointCold", "endpointWarm"}) {
		t.Errorf("%d cold; logged %v", n, tg.events)
	}
}

// The end of an evacuation lets all of its load go to endpoints that have become cold meanwhile.
func TestEndOfAnEvacuation(t *testing.T) {
	tg := newColdGateway(t, func(int) bool { return false })
	tg.gateway.HandleEvacuationEnded("east")
	for _, e := range tg.gateway.directory.ByService("orders") {
		if tg.gateway.isLimited(e) != (e.DataCentre == "east") {
			t.Errorf("%s in %s is limited: %v", e.Name, e.DataCentre, tg.gateway.isLimited(e))
		}
	}
}

// An instance that has lost its path to a service, or to a data centre, takes the endpoints there
// for cold and has others do so.
func TestLostPathIsNoSuspicion(t *testing.T) {
	tg := newColdGateway(t, func(int) bool { return false })
	e := tg.gateway.directory.Lookup("orders-1")
	tg.gateway.directory.SetPartitioned(map[ident.DataCentre]struct{}{e.DataCentre: {}})
	tg.gateway.suspectCold(e)
	if tg.gateway.isLimited(e) {
		t.Error("an endpoint in a lost data centre is limited")
	}
	tg.gateway.directory.SetPartitioned(nil)
	tg.gateway.suspectCold(e)
	if !tg.gateway.isLimited(e) {
		t.Error("an endpoint that cannot be reached is not limited")
	}
}

// An instance that starts takes all endpoints for cold, or a process that starts later for warm.
func TestStartOfAnInstanceIsNoStartOfEndpoints(t *testing.T) {
	tg := newTestGateway(t)
	records := []replica.Record{testRecord(t, "catalog", 1, coldCatalog())}
	for n := range 3 {
		l := testListing("orders", n)
		records = append(records, testRecord(t, string(l.Name), replica.Revision(n+2), l))
	}
	// Another instance sends its records in several messages.
	for n, r := range records {
		tg.gateway.HandleMessage(message.Envelope{From: "two", Records: &message.Records{Delta: replica.Delta{Records: []replica.Record{r}, Base: replica.Revision(n), AsOf: replica.Revision(n + 1)}}})
		tg.advance(10 * time.Millisecond)
	}
	if n, _ := tg.gateway.ColdCounts(); n != 0 {
		t.Errorf("%d endpoints are cold", n)
	}
	tg.advance(2 * firstListTime)
	l := testListing("orders", 3)
	tg.gateway.HandleChanges([]replica.Record{testRecord(t, string(l.Name), 9, l)}, 9)
	if n, _ := tg.gateway.ColdCounts(); n != 1 {
		t.Errorf("%d endpoints are cold, want the one that has started", n)
	}
	// The choice leaves out the cold endpoint without a permit, and prefers the others.
	for range 10 {
		if s := tg.wantSend(tg.sendRequest("/lookup/x", nil)); s.Endpoint == l.Name {
			t.Error("a request was sent to the cold endpoint without a permit")
		}
	}
}
