package gateway

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/paths"
	"anvilcross/kernel/replica"
)

const (
	// crashingPart is the prompt part under which endpoints crash.
	crashingPart = "crashing"
	// poisonousDigest is that of the content that crashes endpoints, and alikeDigest that of
	// all sound requests that are alike.
	poisonousDigest = ident.Digest(1 << 40)
	alikeDigest     = ident.Digest(1 << 41)
	// crashDelay is the time from the first token of such a request to the crash.
	crashDelay = 100 * time.Millisecond
	// listingTTL is the time from a crash to the end of the endpoint's listing, and
	// crashDowntime that to its start under another name.
	listingTTL    = 3 * time.Second
	crashDowntime = 3500 * time.Millisecond
	// soundPerSecond and crashingPerSecond are the rates of requests.
	soundPerSecond    = 30
	crashingPerSecond = 3
	// partContactTime is the users' contact time on the small deployments.
	// maxAfterFive is how many requests with the part may reach endpoints later
	// than that after the fifth crash.
	partContactTime = 3 * time.Second
	maxAfterFive    = 3
)

// crashable is a model endpoint that may crash.
type crashable struct {
	listing   endpoints.Listing
	up        bool
	starts    int
	crashes   int
	exchanges map[*partRequest]bool
}

// partRequest is a request of a partFleet and its present attempt.
type partRequest struct {
	at       time.Time
	instance ident.Instance
	handle   RequestHandle
	crashing bool
	root     string
	attempt  AttemptID
	endpoint *crashable
	begun    bool
	// firstEventFrom is the number of starts of the endpoint after the first event came.
	firstEventFrom int
	answer         string
}

// partFleet is a fleet with model endpoints, some of whose requests have a prompt
// part that crashes them.
type partFleet struct {
	*testFleet
	random     *rand.Rand
	models     []*crashable
	byName     map[ident.Endpoint]*crashable
	revision   replica.Revision
	requests   []*partRequest
	byHandle   map[RequestHandle]*partRequest
	crashTimes []time.Time
	// arrivals holds when requests with the crashing part reached endpoints.
	arrivals []time.Time
	crashing bool
	// common are the parts that all prompts begin with.
	common []PromptPart
	// alike is set if all sound requests have the same content, and poison if those that
	// crash endpoints do so by their content, which is the same each time, not by a part.
	alike, poison bool
	// idSuffix ends the id of the crashing part.
	idSuffix string
	// undelimited is set if the answers that a crash cuts off look complete, and
	// noneDelimited if no answer has a mark at its end.
	undelimited, noneDelimited bool
	// answerTime is how long answers take, if they do not depend on the route. downtime is the
	// time from a crash to the start of the next process.
	answerTime, downtime time.Duration
	// twin is a part that comes with the crashing one; it also comes alone if twinAlone is set.
	twin      string
	twinAlone bool
	// crashAfter is the time from the first event of a request that crashes endpoints to the
	// crash; zero if they crash before the first event.
	crashAfter time.Duration
}

// records returns all records of the platform.
func (f *partFleet) records() []replica.Record {
	records := []replica.Record{testRecord(f.t, "catalog", 1, testCatalog(1))}
	for _, m := range f.models {
		records = append(records, testRecord(f.t, string(m.listing.Name), f.revision, m.listing))
	}
	return records
}

func newPartFleet(t *testing.T, size, models int, seed uint64) *partFleet {
	t.Helper()
	f := &partFleet{testFleet: startTestFleet(t, min(size, 6), max(size-6, 0), []ident.DataCentre{"east", "west", "north"}), random: rand.New(rand.NewPCG(seed, 5)), byName: map[ident.Endpoint]*crashable{}, byHandle: map[RequestHandle]*partRequest{}, revision: 1, downtime: crashDowntime}
	f.nextStep = f.takeStep
	f.checkEndpoint = f.check
	for n := range models {
		m := &crashable{listing: testListing("models", n), up: true, exchanges: map[*partRequest]bool{}}
		m.listing.Slots = 128
		f.models = append(f.models, m)
		f.byName[m.listing.Name] = m
	}
	f.publish(f.records())
	f.advance(3 * time.Second)
	f.timers.Every(time.Second/soundPerSecond, func() { f.arrive(false) })
	f.timers.Every(time.Second/crashingPerSecond, func() {
		if f.crashing {
			f.arrive(true)
		}
	})
	return f
}

// publishChange gives all instances a change of the platform's records.
func (f *partFleet) publishChange(r replica.Record) {
	f.revision++
	r.Revision = f.revision
	for _, name := range f.names {
		f.gateways[name].HandleChanges([]replica.Record{r}, f.revision)
	}
}

// arrive hands a request to an instance. Requests share their first part and, with
// those of the same session, the second one; one in three is a long draft.
func (f *partFleet) arrive(crashing bool) {
	name := f.names[f.random.IntN(len(f.names))]
	h := RequestHandle(len(f.requests) + 1)
	r := &partRequest{at: f.timers.Now(), instance: name, handle: h, crashing: crashing, root: fmt.Sprintf("root-%d", f.random.IntN(4))}
	path, pieces, session := "/verse/", []int{0, 0}, fmt.Sprintf("session-%d", f.random.IntN(40))
	prompt := []PromptPart{{ID: r.root, Tokens: 200}, {ID: session, Tokens: 300}}
	digest, own := ident.Digest(h), fmt.Sprint("own-", h)
	switch {
	case crashing && f.poison:
		digest, own = poisonousDigest, "own-poison"
	case !crashing && f.alike:
		digest, own = alikeDigest, "own-alike"
	}
	if f.twin != "" && (crashing || f.twinAlone && f.random.IntN(4) == 0) {
		prompt = append(prompt, PromptPart{ID: f.twin, Tokens: 100})
	}
	if crashing && !f.poison {
		prompt = append(prompt, PromptPart{ID: crashingPart + f.idSuffix, Tokens: 100})
	} else if !crashing && !f.alike && f.random.IntN(3) == 0 {
		path, pieces, prompt[0].ID, r.root = "/draft/", []int{0}, "draft-root", "draft-root"
	}
	f.requests = append(f.requests, r)
	f.byHandle[h] = r
	f.gateways[name].HandleRequest(h, CallerRequest{ID: ident.RequestID(fmt.Sprint(h)), Host: "h", Path: path, Key: "key", Timeout: 6 * time.Second, PieceCounts: pieces, Prompt: slices.Concat(f.common, prompt, []PromptPart{{ID: own, Tokens: 50}}), Digest: digest})
}

// takeStep lets an endpoint serve an attempt.
func (f *partFleet) takeStep(name ident.Instance, h RequestHandle, s Step) {
	r, g := f.byHandle[h], f.gateways[name]
	if s.Send != nil && s.Send.Member != "" {
		f.refuseForward(name, h, s.Send.Attempt)
		return
	}
	if s.Send == nil {
		r.answer = s.Answer.String()
		return
	}
	r.attempt = s.Send.Attempt
	id, m := s.Send.Attempt, f.byName[s.Send.Endpoint]
	f.timers.After(linkDelay, func() {
		if !m.up || m.listing.Name != s.Send.Endpoint {
			g.HandleFailure(h, id, NotSent, "", "connection refused")
			return
		}
		if !g.BeginWrite(h, id) {
			return
		}
		r.endpoint = m
		m.exchanges[r] = true
		if r.crashing {
			f.arrivals = append(f.arrivals, f.timers.Now())
		}
		start := m.starts
		f.timers.After(time.Duration(50+f.random.IntN(600))*time.Millisecond, func() { f.begin(m, start, r, id) })
	})
}

// check lets an instance connect to an endpoint.
func (f *partFleet) check(name ident.Instance, e ident.Endpoint) {
	f.timers.After(2*linkDelay, func() {
		result := paths.Refused
		if f.byName[e].up {
			result = paths.Accepted
		}
		f.gateways[name].HandleEndpointChecked(e, result)
	})
}

// begin lets an endpoint begin to answer an attempt.
func (f *partFleet) begin(m *crashable, start int, r *partRequest, id AttemptID) {
	g := f.gateways[r.instance]
	running := func() bool {
		return m.up && m.starts == start && r.attempt == id && g.requestOfAttempt(r.handle, id) != nil
	}
	if !running() {
		return
	}
	r.begun = r.begun || id == 1
	g.HandleResponseHead(r.handle, id, false, endpoints.Load{})
	if r.crashing {
		f.timers.After(cmp.Or(f.crashAfter, crashDelay), func() {
			if running() {
				f.crash(m)
			}
		})
		if f.crashAfter == 0 {
			return
		}
	}
	g.HandleFirstEvent(r.handle, id)
	r.firstEventFrom = m.starts + 1
	length := 300 * time.Millisecond
	if r.root == "draft-root" {
		length = 3 * time.Second
	}
	length = cmp.Or(f.answerTime, length)
	if r.crashing {
		length = time.Minute
	}
	for at := ProgressInterval; at < length; at += ProgressInterval {
		f.timers.After(at, func() {
			if running() {
				g.HandleProgress(r.handle, id)
			}
		})
	}
	f.timers.After(length, func() {
		if running() {
			delete(m.exchanges, r)
			r.answer = "relayed"
			g.HandleDelivery(r.handle, id, Delivery{Status: 200, Events: 5, Delimited: !f.noneDelimited})
		}
	})
}

// crash ends an endpoint; another one starts at its address later.
func (f *partFleet) crash(m *crashable) {
	f.crashTimes = append(f.crashTimes, f.timers.Now())
	m.up = false
	m.starts++
	m.crashes++
	broken := m.exchanges
	m.exchanges = map[*partRequest]bool{}
	for _, r := range f.requests {
		if broken[r] {
			id := r.attempt
			if r.crashing && f.undelimited || f.noneDelimited && r.firstEventFrom == m.starts {
				f.timers.After(linkDelay, func() {
					if r.crashing && f.crashAfter == 0 {
						f.gateways[r.instance].HandleFirstEvent(r.handle, id)
					}
					f.gateways[r.instance].HandleDelivery(r.handle, id, Delivery{Status: 200, Events: 1})
				})
				continue
			}
			f.timers.After(linkDelay, func() { f.gateways[r.instance].HandleFailure(r.handle, id, Broken, "", "unexpected EOF") })
		}
	}
	old := m.listing.Name
	f.timers.After(min(listingTTL, f.downtime), func() { f.publishChange(replica.Record{Key: string(old), Removed: true}) })
	f.timers.After(f.downtime, func() {
		m.listing.Name = ident.Endpoint(fmt.Sprintf("%s-%d", m.listing.Address, m.crashes))
		f.byName[m.listing.Name] = m
		m.up = true
		f.publishChange(testRecord(f.t, string(m.listing.Name), 0, m.listing))
	})
}

// replace lets an endpoint say that it leaves and end when its requests have; another one starts
// at its address later.
func (f *partFleet) replace(m *crashable) {
	leaving := m.listing
	leaving.Leaving = true
	f.publishChange(testRecord(f.t, string(m.listing.Name), 0, leaving))
	f.timers.After(2500*time.Millisecond, func() {
		m.up = false
		m.starts++
		f.publishChange(replica.Record{Key: string(leaving.Name), Removed: true})
	})
	f.timers.After(3*time.Second, func() {
		m.crashes++
		m.listing.Name = ident.Endpoint(fmt.Sprintf("%s-%d", m.listing.Address, m.crashes))
		f.byName[m.listing.Name] = m
		m.up = true
		f.publishChange(testRecord(f.t, string(m.listing.Name), 0, m.listing))
	})
}

// wantNoneQuarantined checks that no sound request was quarantined.
func (f *partFleet) wantNoneQuarantined() {
	f.t.Helper()
	if n := f.quarantinedSound(testStart); n > 0 {
		f.t.Errorf("%d of %d sound requests were quarantined", n, len(f.requests))
	}
}

// countAfter counts the times that are later than t.
func countAfter(times []time.Time, t time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(t) {
			count++
		}
	}
	return count
}

// begunShare returns the share of sound requests with a root that arrived from one
// time to another and began at their first attempt.
func (f *partFleet) begunShare(isRoot func(string) bool, from, to time.Time) float64 {
	begun, all := 0, 0
	for _, r := range f.requests {
		if r.crashing || !isRoot(r.root) || r.at.Before(from) || !r.at.Before(to) {
			continue
		}
		all++
		if r.begun {
			begun++
		}
	}
	return float64(begun) / float64(max(all, 1))
}

// quarantinedSound counts the sound requests that were quarantined after a time.
func (f *partFleet) quarantinedSound(after time.Time) int {
	count := 0
	for _, r := range f.requests {
		if !r.crashing && r.at.After(after) && r.answer == Quarantined.String() {
			count++
		}
	}
	return count
}

// wantLateArrivals checks that few requests with the crashing part reach endpoints after the
// fifth crash, or the last one, and returns when that was.
func (f *partFleet) wantLateArrivals() time.Time {
	f.t.Helper()
	last := f.crashTimes[min(5, len(f.crashTimes))-1]
	reached := countAfter(f.arrivals, last.Add(partContactTime))
	f.t.Logf("%d crashes; %d requests with the part reached endpoints later than %v after the fifth", len(f.crashTimes), reached, partContactTime)
	if reached > maxAfterFive {
		f.t.Errorf("want %d at most", maxAfterFive)
	}
	return last
}

// wantPartQuarantined lets endpoints crash for a while. It checks that requests with the
// crashing part stop to reach endpoints, and that sound ones go on.
func (f *partFleet) wantPartQuarantined() {
	f.t.Helper()
	before := f.timers.Now()
	f.advance(8 * time.Second)
	f.crashing = true
	begin := f.timers.Now()
	f.advance(30 * time.Second)
	if len(f.crashTimes) < 3 {
		f.t.Fatalf("only %d crashes", len(f.crashTimes))
	}
	last := f.wantLateArrivals()
	isShared := func(root string) bool { return root != "draft-root" }
	from := last.Add(2 * partContactTime)
	usual, now := f.begunShare(isShared, before, begin), f.begunShare(isShared, from, f.timers.Now().Add(-time.Second))
	f.t.Logf("sound requests that begin at once: %.3f before, %.3f later", usual, now)
	if now < usual/2 {
		f.t.Error("want half as often as before at least")
	}
	if n := f.quarantinedSound(from); n > 0 {
		f.t.Errorf("%d sound requests were quarantined", n)
	}
}

// wantPoisonQuarantined checks that requests with a content that crashes endpoints stop to
// reach them after the third crash, and that no sound one is refused.
func (f *partFleet) wantPoisonQuarantined() {
	f.t.Helper()
	f.wantLatePoison()
	f.wantNoneQuarantined()
}

// wantLatePoison checks that few requests with a content that crashes endpoints reach them after
// the third crash.
func (f *partFleet) wantLatePoison() {
	f.t.Helper()
	if len(f.crashTimes) < 3 {
		f.t.Fatalf("only %d crashes", len(f.crashTimes))
	}
	late := countAfter(f.arrivals, f.crashTimes[2].Add(partContactTime))
	f.t.Logf("%d crashes; the request reached endpoints %d times later than %v after the third", len(f.crashTimes), late, partContactTime)
	if late > maxAfterFive {
		f.t.Errorf("want %d at most", maxAfterFive)
	}
}
