package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/published"
)

const (
	// nearMillis is the difference in cost within which candidates count as about equal, so
	// that instances that know the same do not all send to the same endpoint. A candidate that
	// costs so much more is drawn 2.7 times less often.
	nearMillis = 2.0
	// nearSample and farSample are the numbers of candidates, drawn at random, that an instance
	// compares for itself: among those that are nearest to it and to the request's inputs, and
	// among the others. What it knows of other instances' requests is old, so comparing all
	// would send the requests of many instances to the few that were least busy.
	nearSample = 6
	farSample  = 3
	// joinTime is the time after which a new endpoint counts as busy only by what is known of
	// it: several ping periods.
	joinTime = 3 * time.Second
	// spellFactor is the work factor from which on an endpoint counts as slower for a while.
	spellFactor = 1.5
	// maxSpellFactor bounds the effect of a single figure.
	maxSpellFactor = 10.0

	// spellWeight is the weight of a new sample in the share of slow spells.
	spellWeight = 0.02
	// averageWeight is the weight of a new sample in the averages of a service.
	averageWeight = 0.05
	// An average time between events that is below the learned one counts with
	// shorterEventWeight, one above it with longerEventWeight: about one in five is below.
	shorterEventWeight = 0.1
	longerEventWeight  = 0.025
	// minEvents is the number of events from which on a stream tells the time between them.
	minEvents = 5
	// usualRunMillis is the running time of a request that is assumed before one has ended.
	usualRunMillis = 2000.0
)

// Mode says where the estimate is used.
type Mode string

// The modes.
const (
	// Auto uses the estimate for services whose endpoints report work figures, and for long
	// prompts if the configuration has cold starts.
	Auto Mode = "auto"
	// Always uses it for all services, Off for none.
	Always Mode = "estimate"
	Off    Mode = "off"
)

// Config sets up a Table.
type Config struct {
	Mode      Mode
	Random    *rand.Rand
	Directory *endpoints.Directory
	// RecordOutcome records the estimated and the actual time to the first event of a request;
	// it may be nil.
	RecordOutcome func(s ident.Service, expected, took time.Duration)
	Client        ClientConfig
}

// Counters holds totals since the process started.
type Counters struct {
	// Made counts the endpoints that this instance chose for others as the placer, Named the
	// requests that were sent where a placer had said, and Local the other choices by estimate.
	// TimedOut counts the requests to a placer without a reply.
	Made, Named, Local, TimedOut int
}

// Table is what an instance knows for placing requests. It is not safe for concurrent use.
type Table struct {
	*client
	config   Config
	services map[ident.Service]*service
	// works holds the work figures that this instance has seen last.
	works []workSeen
	// pingPeriod is the time until the pings of other instances count a request.
	pingPeriod time.Duration
	counters   Counters
}

// service is what an instance knows about a service with prompts.
type service struct {
	speeds   *speeds
	prefixes *prefixes
	// busyUntil is the time until which the prefill lasts of the prompts that were placed at
	// an endpoint by this instance.
	busyUntil map[ident.EndpointProcess]time.Time
	// placed holds when this instance, as the placer, last chose endpoints for others.
	placed map[ident.EndpointProcess][]time.Time
	// seenAt holds when each process was first a candidate; it is zero for those of the first
	// choice.
	seenAt map[ident.EndpointProcess]time.Time
	// meanTokens and meanRun are averages over the requests of this instance: the memory in
	// tokens, and the running time in milliseconds.
	meanTokens, meanRun float64
	// event is a low quantile of the average time between two events of a stream, in
	// milliseconds: that of streams beside which little is prefilled. It is zero before the
	// first stream.
	event float64
	// spellShare is the share of reported work factors that are those of slow spells, and
	// spellMean the average of these.
	spellShare, spellMean float64
}

// NewTable returns a table that has learned nothing.
func NewTable(c Config) *Table {
	if c.Mode == "" {
		c.Mode = Auto
	}
	return &Table{client: newClient(c.Client), config: c, services: map[ident.Service]*service{}}
}

// SetMode changes where the estimate is used.
func (t *Table) SetMode(m Mode) { t.config.Mode = m }

// Applies reports whether the estimate is used for a request to a service; longPrompt is set if it
// carries a long prompt.
func (t *Table) Applies(c *published.Catalog, longPrompt bool, all []*endpoints.Endpoint) bool {
	switch t.config.Mode {
	case Always:
		return true
	case Off:
		return false
	}
	return longPrompt && c.HasColdEndpoints() || slices.ContainsFunc(all, func(e *endpoints.Endpoint) bool { return e.ReportsWork })
}

func (t *Table) service(s ident.Service) *service {
	known := t.services[s]
	if known == nil {
		known = &service{speeds: newSpeeds(), prefixes: newPrefixes(), busyUntil: map[ident.EndpointProcess]time.Time{}, placed: map[ident.EndpointProcess][]time.Time{}, seenAt: map[ident.EndpointProcess]time.Time{}, meanRun: usualRunMillis}
		t.services[s] = known
	}
	return known
}

// Choice is the endpoint that was chosen for a request.
type Choice struct {
	Endpoint *endpoints.Endpoint
	Estimate Estimate
	// Named is set if the placer has named the endpoint.
	Named  bool
	sample sample
	tokens float64
	prefix string
	// held is set if this instance has sent the prefix to the endpoint lately.
	held bool
}

// ChooseModel returns the candidate, of some, where a request with a prompt costs least, or one of
// those where it costs hardly more. It is the endpoint that the placer has named, if that is one of
// them. Its endpoint is nil if there are no candidates.
func (t *Table) ChooseModel(now time.Time, c *published.Catalog, p Prompt, candidates []*endpoints.Endpoint, named ident.EndpointProcess) Choice {
	choices := t.modelChoices(now, c, p, candidates)
	for _, choice := range choices {
		if choice.Endpoint.Process() == named {
			choice.Named = true
			return choice
		}
	}
	return t.drawNear(t.sample(p, choices, candidates))
}

// modelChoices returns the choices for a request with a prompt.
func (t *Table) modelChoices(now time.Time, c *published.Catalog, p Prompt, candidates []*endpoints.Endpoint) []Choice {
	s := t.service(p.Service)
	d := s.demand(c, p)
	uncached := uncachedPrefix(p, candidates)
	s.see(now, candidates)
	average := s.averageRunning(now, candidates)
	choices := make([]Choice, len(candidates))
	for i, e := range candidates {
		work, known := e.WorkFactor(now)
		if !known {
			work = 0
		}
		prefixTokens := uncached(e)
		held := s.prefixes.holds(now, p.Prefix, e.Process())
		if held {
			prefixTokens = 0
		}
		state := candidate{
			uncached: max(float64(p.Tokens-p.PrefixTokens), 0) + prefixTokens,
			backlog:  s.backlog(now, e.Process()),
			running:  max(e.EstimatedInFlight(now)+s.unreported(now.Add(-t.pingPeriod), e.Process()), s.assumed(now, e.Process(), average)),
			slots:    e.Slots,
			pace:     s.speeds.pace(now, e.Process(), work),
			extra:    tripMillis(p.From, e) + transferMillis(p, e.DataCentre),
		}
		if !known {
			state.spellShare, state.spellFactor = s.spellShare, s.spellMean
		}
		estimate := estimate(d, state)
		estimate.OtherMillis += failingMillis(e) + p.ExtraMillis.of(e)
		usual := prefillMillis(state.uncached, 1) + d.eventMillis(1) + state.backlog/state.pace
		choices[i] = Choice{Endpoint: e, Estimate: estimate, tokens: d.tokens, prefix: p.Prefix, held: held, sample: sample{tokens: state.uncached, usual: usual, workBefore: work}}
	}
	return choices
}

// see records which candidates are new.
func (s *service) see(now time.Time, candidates []*endpoints.Endpoint) {
	at := now
	if len(s.seenAt) == 0 {
		at = time.Time{}
	}
	for _, e := range candidates {
		if _, known := s.seenAt[e.Process()]; !known {
			s.seenAt[e.Process()] = at
		}
	}
}

// averageRunning returns the average number of requests at the candidates that are not new.
func (s *service) averageRunning(now time.Time, candidates []*endpoints.Endpoint) int {
	running, count := 0, 0
	for _, e := range candidates {
		if now.Sub(s.seenAt[e.Process()]) >= joinTime {
			running, count = running+e.EstimatedInFlight(now), count+1
		}
	}
	return running / max(count, 1)
}

// assumed returns how many requests an endpoint is assumed to run while it is new, given the average
// of the service: other instances begin to send to it at the same time.
func (s *service) assumed(now time.Time, p ident.EndpointProcess, average int) int {
	left := 1 - float64(now.Sub(s.seenAt[p]))/float64(joinTime)
	return int(float64(average) * max(left, 0))
}

// sample returns some of the choices, drawn at random, and the one for the affinity endpoint if that
// has a prefix cached.
func (t *Table) sample(p Prompt, choices []Choice, candidates []*endpoints.Endpoint) []Choice {
	affinity, _ := AffinityEndpoints(p.Prefix, candidates, p.Weights)
	nearest := math.Inf(1)
	for _, c := range choices {
		nearest = min(nearest, c.Estimate.extraMillis)
	}
	near, far := nearSample, farSample
	var drawn []Choice
	for _, i := range t.config.Random.Perm(len(choices)) {
		left := &far
		if choices[i].Estimate.extraMillis <= nearest {
			left = &near
		}
		if *left > 0 || choices[i].Endpoint == affinity && p.PrefixTokens > 0 || choices[i].held {
			*left--
			drawn = append(drawn, choices[i])
		}
	}
	return drawn
}

// unreported returns how many requests this instance has placed at an endpoint for others since a
// time.
func (s *service) unreported(since time.Time, p ident.EndpointProcess) int {
	n := 0
	for _, at := range s.placed[p] {
		if at.After(since) {
			n++
		}
	}
	return n
}

// demand returns what a request needs.
func (s *service) demand(c *published.Catalog, p Prompt) demand {
	d := demand{late: millis(p.Objective), left: millis(p.Left), gap: millis(p.GapObjective), othersGap: millis(c.TightestGap(p.Service)), tokens: float64(p.Tokens + p.OutputTokens), meanTokens: s.meanTokens, meanRun: s.meanRun, event: s.event}
	if d.late <= 0 {
		d.late = defaultLateMillis
	}
	if d.left <= 0 {
		d.left = math.Inf(1)
	}
	if known := c.Services[p.Service]; known != nil {
		d.engine = known.Engine
	}
	return d
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// backlog returns how long the prefill of the prompts placed at an endpoint still lasts, in
// milliseconds.
func (s *service) backlog(now time.Time, p ident.EndpointProcess) float64 {
	return max(millis(s.busyUntil[p].Sub(now)), 0)
}

// drawNear returns one of the choices. The chance of each falls with its cost.
func (t *Table) drawNear(choices []Choice) Choice {
	if len(choices) == 0 {
		return Choice{}
	}
	lowest := math.Inf(1)
	for _, c := range choices {
		lowest = min(lowest, c.Estimate.Total())
	}
	weights, total := make([]float64, len(choices)), 0.0
	for i, c := range choices {
		weights[i] = math.Exp((lowest - c.Estimate.Total()) / nearMillis)
		total += weights[i]
	}
	draw := t.config.Random.Float64() * total
	for i, w := range weights {
		if draw -= w; draw < 0 {
			return choices[i]
		}
	}
	return choices[len(choices)-1]
}

// ChoosePlain returns the candidate where a request without a prompt is probably done first.
func (t *Table) ChoosePlain(now time.Time, from ident.DataCentre, left time.Duration, candidates []*endpoints.Endpoint, extra ExtraMillis) *endpoints.Endpoint {
	choices := make([]Choice, len(candidates))
	for i, e := range candidates {
		work, known := e.WorkFactor(now)
		own := e.LatencyMillis
		if known {
			own = e.UsualLatencyMillis * work
		}
		first := own*(0.5+float64(e.EstimatedInFlight(now))/float64(max(e.Slots, 1))) + tripMillis(from, e)
		estimate := Estimate{FirstEventMillis: first, OtherMillis: failingMillis(e) + extra.of(e)}
		if over := own/2 + first - millis(left); left > 0 && over > 0 {
			estimate.LateMillis = over
		}
		choices[i] = Choice{Endpoint: e, Estimate: estimate}
	}
	return t.drawNear(choices).Endpoint
}

// RecordSent records that a request is sent as chosen.
func (t *Table) RecordSent(now time.Time, c Choice) {
	t.addBacklog(now, c)
	if c.Named {
		t.counters.Named++
	} else {
		t.counters.Local++
	}
	known := t.service(c.Endpoint.Service)
	if known.meanTokens == 0 {
		known.meanTokens = c.tokens
	}
	known.meanTokens += averageWeight * (c.tokens - known.meanTokens)
}

// Counters returns the totals.
func (t *Table) Counters() Counters {
	c := t.counters
	c.TimedOut = t.timedOut
	return c
}

// addBacklog adds the prefill of a prompt to the backlog of its endpoint, which holds the prefix
// then.
func (t *Table) addBacklog(now time.Time, c Choice) {
	known, p := t.service(c.Endpoint.Service), c.Endpoint.Process()
	until := known.busyUntil[p]
	if until.Before(now) {
		until = now
	}
	known.prefixes.record(now, c.prefix, p)
	known.busyUntil[p] = until.Add(time.Duration(c.Estimate.prefillMillis * float64(time.Millisecond)))
}

// RecordFirstEvent records when the first event of a request arrived. workPercent is the work factor
// in percent that came with the response, or zero.
func (t *Table) RecordFirstEvent(now time.Time, c Choice, took time.Duration, workPercent int) {
	if c.Endpoint == nil {
		return
	}
	if t.config.RecordOutcome != nil {
		t.config.RecordOutcome(c.Endpoint.Service, time.Duration(c.Estimate.FirstEventMillis*float64(time.Millisecond)), took)
	}
	c.sample.observed, c.sample.workAfter = millis(took)-c.Estimate.extraMillis, float64(workPercent)/100
	s := t.service(c.Endpoint.Service)
	s.speeds.record(now, c.Endpoint.Process(), c.sample)
	s.recordWork(c.sample.workAfter)
	if workPercent > 0 {
		t.works = append(t.works[max(len(t.works)-maxWorks+1, 0):], workSeen{process: c.Endpoint.Process(), percent: workPercent, at: now})
	}
}

// recordWork records a reported work factor, or zero, for the share of slow spells.
func (s *service) recordWork(work float64) {
	if work <= 0 {
		return
	}
	if work < spellFactor {
		s.spellShare -= spellWeight * s.spellShare
		return
	}
	s.spellShare += spellWeight * (1 - s.spellShare)
	if s.spellMean == 0 {
		s.spellMean = work
	}
	s.spellMean += averageWeight * (min(work, maxSpellFactor) - s.spellMean)
}

// RecordEnd records how long a request ran at its endpoint, if that began to answer it.
func (t *Table) RecordEnd(c Choice, sentAt, firstEventAt, now time.Time) {
	if c.Endpoint == nil || firstEventAt.IsZero() {
		return
	}
	s := t.service(c.Endpoint.Service)
	s.meanRun += averageWeight * (millis(now.Sub(sentAt)) - s.meanRun)
}

// RecordStream records the number of events of a complete stream, and the time between the first
// and the last one.
func (t *Table) RecordStream(c Choice, events int, took time.Duration) {
	if c.Endpoint == nil || events < minEvents || took <= 0 {
		return
	}
	s, sample := t.service(c.Endpoint.Service), millis(took)/float64(events-1)
	switch {
	case s.event == 0:
		s.event = sample
	case sample < s.event:
		s.event += shorterEventWeight * (sample - s.event)
	default:
		s.event += longerEventWeight * (sample - s.event)
	}
}

// Expire forgets what no longer counts. pingPeriod is the time between two pings of an instance.
func (t *Table) Expire(now time.Time, pingPeriod time.Duration) {
	t.pingPeriod = pingPeriod
	for _, s := range t.services {
		s.prefixes.expire(now)
		for p, times := range s.placed {
			times = slices.DeleteFunc(times, func(at time.Time) bool { return now.Sub(at) > pingPeriod })
			if s.placed[p] = times; len(times) == 0 {
				delete(s.placed, p)
			}
		}
		for p := range s.seenAt {
			if e := t.config.Directory.Lookup(p.Endpoint); e == nil || e.Process() != p {
				delete(s.seenAt, p)
			}
		}
		for p, until := range s.busyUntil {
			if !now.Before(until) {
				delete(s.busyUntil, p)
			}
		}
	}
}
