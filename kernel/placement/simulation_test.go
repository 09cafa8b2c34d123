package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/published"
)

var start = time.Unix(1_700_000_000, 0)

// stepTime is the time between two steps of the simulation, and gapLimit and firstLimit the
// objectives of its streams.
const (
	stepTime   = 5 * time.Millisecond
	gapLimit   = 400 * time.Millisecond
	firstLimit = 1400 * time.Millisecond
)

// simStream is a request at an endpoint of a simulation.
type simStream struct {
	choice             Choice
	teller             int
	sentAt, lastAt     time.Time
	prefill, decode    float64
	output, sinceEvent float64
	begun              bool
	longest            time.Duration
	firstAfter         time.Duration
}

// simEndpoint runs a chunk of prefill and a decode step of all its streams in turn.
type simEndpoint struct {
	listing  endpoints.Listing
	slow     float64
	slowTill time.Time
	streams  []*simStream
	cached   []string
	// debt is the time that the step in progress still takes.
	debt     float64
	prefills int
}

func (e *simEndpoint) factor(now time.Time) float64 {
	if now.Before(e.slowTill) {
		return e.slow * 2.5
	}
	return e.slow
}

// advance runs the endpoint for a while and calls done for each stream that ends.
func (e *simEndpoint) advance(now time.Time, first, done func(*simStream)) {
	e.debt -= float64(stepTime) / float64(time.Millisecond)
	for e.debt <= 0 && len(e.streams) > 0 {
		running := e.streams[:min(len(e.streams), e.listing.Slots)]
		chunk := 0.0
		for _, s := range running {
			if s.prefill > 0 {
				chunk = min(s.prefill, prefillChunkTokens)
				s.prefill -= chunk
				break
			}
		}
		e.debt += (chunk/usualTokensPerMilli + usualStepMillis) * e.factor(now)
		at := now.Add(time.Duration(e.debt * float64(time.Millisecond)))
		for _, s := range running {
			if s.prefill > 0 {
				continue
			}
			s.decode++
			if s.sinceEvent++; s.sinceEvent == defaultStride {
				s.sinceEvent = 0
				if s.begun {
					s.longest = max(s.longest, at.Sub(s.lastAt))
				} else {
					s.begun = true
					s.lastAt = at
					first(s)
				}
				s.lastAt = at
			}
		}
		e.streams = slices.DeleteFunc(e.streams, func(s *simStream) bool {
			if s.decode < s.output {
				return false
			}
			done(s)
			return true
		})
	}
	e.debt = max(e.debt, 0)
}

// simConfig describes a load pattern.
type simConfig struct {
	instances, endpoints int
	perSecond            float64
	// longShare is the share of prompts with a log-normal length of longMean tokens on average;
	// the others have up to 300.
	longShare, longMean float64
	slowShare, hiccups  float64
	reportsWork, lies   bool
	// placer is set while instance 0 places long prompts, until it is killed at killedAt, and
	// unshared if instances do not share what they learn of speeds.
	placer, unshared bool
	killedAt         time.Duration
	// joinAt is when one more endpoint is listed.
	joinAt   time.Duration
	duration time.Duration
	mode     Mode
	seed     uint64
}

// simResult counts the streams of a simulation after its first third.
type simResult struct {
	streams, overGap, late int
	// missed counts the streams that were over the gap objective or late.
	missed int
	firsts []float64
	// slowShare and slowTokens are the shares of streams and prompt tokens at slow endpoints.
	slowShare, slowTokens float64
	// most is the largest number of streams at one endpoint, joinedMost that at the one that joined.
	most, joinedMost int
	tables           []*Table
	endpoints        []*simEndpoint
}

func (r simResult) String() string {
	slices.Sort(r.firsts)
	q := func(p float64) float64 { return r.firsts[int(p*float64(len(r.firsts)-1))] }
	return fmt.Sprintf("%d streams, %.2f%% missed an objective, %.2f%% over the gap objective, %.2f%% late, first event %.0f/%.0f/%.0f ms (50/90/99%%), slow endpoints: %.1f%% of streams, %.1f%% of tokens", r.streams, 100*r.missedShare(), 100*r.gapShare(), 100*float64(r.late)/float64(r.streams), q(0.5), q(0.9), q(0.99), 100*r.slowShare, 100*r.slowTokens)
}

func (r simResult) gapShare() float64 { return float64(r.overGap) / float64(r.streams) }

func (r simResult) missedShare() float64 { return float64(r.missed) / float64(r.streams) }

func simulate(c simConfig) simResult {
	random := rand.New(rand.NewPCG(c.seed, 7))
	catalog := &published.Catalog{Routes: []published.Route{{Kind: published.Stream, CarriesPrompts: true, GapObjective: gapLimit, LatencyObjective: firstLimit, Targets: []published.Target{{Service: "models", Weight: 1}}}}, Services: map[ident.Service]*published.Service{"models": {Name: "models", Engine: published.Engine{Slots: 16, Stride: defaultStride}, ColdPerSecond: 7}}}
	var fleet []*simEndpoint
	add := func(n int, slow float64) {
		fleet = append(fleet, &simEndpoint{slow: slow, listing: endpoints.Listing{Name: ident.Endpoint(fmt.Sprintf("m-%03d", n)), Service: "models", DataCentre: "east", Address: fmt.Sprintf("m-%03d:1", n), Slots: 16}})
	}
	for n := range c.endpoints {
		slow := 1 / 1.2
		if float64(n%4) < 4*c.slowShare {
			slow = 1 / 0.55
		}
		add(n, slow)
	}
	directories := make([]*endpoints.Directory, c.instances)
	tables := make([]*Table, c.instances)
	for i := range tables {
		directories[i] = endpoints.NewDirectory()
		for _, e := range fleet {
			directories[i].Upsert(e.listing)
		}
		tables[i] = NewTable(Config{Mode: c.mode, Random: rand.New(rand.NewPCG(c.seed, uint64(i))), Directory: directories[i]})
	}
	var result simResult
	now, end, next := start, start.Add(c.duration), start
	warm := start.Add(c.duration / 3)
	slowStreams, allTokens, slowTokens := 0, 0.0, 0.0
	for ; now.Before(end); now = now.Add(stepTime) {
		if c.joinAt > 0 && now.Sub(start) == c.joinAt {
			add(len(fleet), 1/1.2)
			for _, d := range directories {
				d.Upsert(fleet[len(fleet)-1].listing)
			}
		}
		// Counts of running requests arrive with pings, one second old.
		if now.Sub(start)%time.Second == 0 {
			for _, e := range fleet {
				for _, d := range directories {
					d.Lookup(e.listing.Name).PeerRequests = len(e.streams)
				}
			}
			if !c.unshared {
				shareSpeeds(now, tables)
			}
		}
		for _, e := range fleet {
			if c.hiccups > 0 && now.After(e.slowTill) && random.Float64() < c.hiccups/(1-c.hiccups)*float64(stepTime)/float64(600*time.Millisecond) {
				e.slowTill = now.Add(600 * time.Millisecond)
			}
			first := func(s *simStream) {
				took := now.Sub(s.sentAt)
				s.firstAfter = took
				work := 0
				if c.reportsWork {
					work = int(100 * e.factor(now) / e.slow)
				}
				if c.lies {
					work = []int{20, 100, 500}[random.IntN(3)]
				}
				listed := directories[s.teller].Lookup(e.listing.Name)
				listed.RecordResponse(now, false, took, endpoints.Load{Running: len(e.streams), Slots: 16, WorkPercent: work})
				if s.choice.Estimate != (Estimate{}) {
					tables[s.teller].RecordFirstEvent(now, s.choice, took, work)
				}
				if s.sentAt.After(warm) {
					result.firsts = append(result.firsts, float64(took/time.Millisecond))
					if took > firstLimit {
						result.late++
					}
				}
			}
			done := func(s *simStream) {
				directories[s.teller].Lookup(e.listing.Name).OwnRequests--
				if !s.sentAt.After(warm) {
					return
				}
				result.streams++
				if s.longest > gapLimit {
					result.overGap++
				}
				if s.longest > gapLimit || s.firstAfter > firstLimit {
					result.missed++
				}
			}
			e.advance(now, first, done)
		}
		for ; !next.After(now); next = next.Add(time.Duration(random.ExpFloat64() / c.perSecond * float64(time.Second))) {
			i := random.IntN(c.instances)
			own := 100 + random.IntN(200)
			prefix := fmt.Sprintf("p%d", min(int(random.ExpFloat64()*12), 60))
			p := Prompt{Service: "models", Prefix: prefix, Tokens: own, From: "east", Objective: firstLimit, Left: firstLimit, GapObjective: gapLimit, OutputTokens: 100}
			if random.Float64() < c.longShare {
				length := math.Exp(math.Log(c.longMean) - 0.32 + 0.8*random.NormFloat64())
				p.Tokens = int(min(max(length, 400), 54_600))
				p.PrefixTokens = min(p.Tokens*6/10, 5400)
			}
			candidates := directories[i].Candidates(now, "models", nil)
			choice := Choice{}
			if c.mode == Off {
				choice.Endpoint = UsualModelChoice(now, p, candidates)
			} else {
				named := ident.EndpointProcess{}
				if c.placer && p.IsLong() && i != 0 && (c.killedAt == 0 || now.Sub(start) < c.killedAt) {
					reply := tables[0].Place(now, catalog, Request{Prompt: p, Works: tables[i].Works(now)}, directories[0].Candidates(now, "models", nil))
					named = ident.EndpointProcess{Endpoint: reply.Endpoint}
				}
				choice = tables[i].ChooseModel(now, catalog, p, candidates, named)
				tables[i].RecordSent(now, choice)
			}
			directories[i].Lookup(choice.Endpoint.Name).OwnRequests++
			e := fleet[slices.IndexFunc(fleet, func(e *simEndpoint) bool { return e.listing.Name == choice.Endpoint.Name })]
			uncached := float64(p.Tokens)
			if slices.Contains(e.cached, prefix) {
				uncached -= float64(p.PrefixTokens)
			} else if p.PrefixTokens > 0 {
				e.cached = append(e.cached[max(len(e.cached)-5, 0):], prefix)
			}
			e.streams = append(e.streams, &simStream{choice: choice, teller: i, sentAt: now, prefill: uncached, output: 60 + float64(random.IntN(240))})
			if c.joinAt > 0 && len(fleet) > c.endpoints {
				result.joinedMost = max(result.joinedMost, len(fleet[c.endpoints].streams))
			}
			result.most = max(result.most, len(e.streams))
			allTokens += float64(p.Tokens)
			if e.slow > 1 {
				slowStreams++
				slowTokens += float64(p.Tokens)
			}
			e.prefills++
		}
	}
	total := 0
	for _, e := range fleet {
		total += e.prefills
	}
	result.slowShare, result.slowTokens = float64(slowStreams)/float64(total), slowTokens/allTokens
	result.tables, result.endpoints = tables, fleet
	return result
}

// compare runs a load pattern with the usual choice and with the estimate.
func compare(t *testing.T, c simConfig) (usual, estimated simResult) {
	t.Helper()
	c.mode, c.seed = Off, 1
	usual = simulate(c)
	c.mode = Always
	estimated = simulate(c)
	t.Logf("usual choice: %v", usual)
	t.Logf("estimate:     %v", estimated)
	return usual, estimated
}

// shareSpeeds passes on what the instances have observed since their last pings, and what they know
// of the endpoints that differ from the others.
func shareSpeeds(now time.Time, tables []*Table) {
	core := tables[:min(len(tables), 12)]
	for i, from := range tables {
		from.Expire(now, time.Second)
		reports := from.Reports(now)
		for _, to := range core {
			if to != from {
				to.Merge(now, ident.Instance(fmt.Sprint(i)), reports, nil)
			}
		}
	}
	for i, to := range tables[len(core):] {
		to.Merge(now, "core", nil, core[i%len(core)].Ratios(now))
	}
}
