package batching

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"anvilcross/kernel/admission"
	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/published"
	"anvilcross/kernel/timer"
	"anvilcross/kernel/value"
)

// The services of the simulated pipelines, in order.
var pipelineServices = []ident.Service{"first", "second", "third"}

const (
	// messageDelay is the time of a message between two instances, reportPeriod that between
	// two reports of queue waits.
	messageDelay = 4 * time.Millisecond
	reportPeriod = 200 * time.Millisecond
	// modelTime is the time to the first event of the model endpoint, stageEstimate that which
	// the gateway expects of each later stage.
	modelTime     = 200 * time.Millisecond
	stageEstimate = 450 * time.Millisecond
	// patienceFactor is the time after which a caller gives up, in objectives.
	patienceFactor = 4
	origin         = ident.Instance("one")
)

// pipelineStage is one stage of a kind of requests in a simulated pipeline. A stage without
// dependsOn is a first stage; others wait for one earlier stage.
type pipelineStage struct {
	service   ident.Service
	dependsOn int
	pieces    func(*rand.Rand) int
}

// pipelineKind is a kind of requests with stages.
type pipelineKind struct {
	name      string
	weight    float64
	objective time.Duration
	stages    []pipelineStage
	// workspaces are the workspaces of its callers, drawn at random.
	workspaces []ident.Workspace
	// repeats is how often a third of the callers repeats a refused request at once;
	// returns is how often the others come back when they are told to.
	repeats, returns int
}

const noDependency = -1

func fixed(n int) func(*rand.Rand) int { return func(*rand.Rand) int { return n } }

func urgentPipelines() pipelineKind {
	return pipelineKind{name: "urgent", weight: 1, objective: 2 * time.Second, stages: []pipelineStage{
		{"first", noDependency, fixed(1)}, {"second", 0, fixed(4)}, {"third", 1, fixed(6)},
	}}
}

func modestPipelines() pipelineKind {
	return pipelineKind{name: "modest", weight: 1.0 / 9, objective: 2 * time.Second, stages: []pipelineStage{
		// 1.5 on average. With three, the usual load alone is more than the first service
		// can do.
		{"first", noDependency, func(r *rand.Rand) int { return min(int(r.ExpFloat64()*1.5+0.5), 6) }},
		{"first", noDependency, fixed(1)}, {"second", 1, fixed(4)}, {"third", 2, fixed(6)},
	}}
}

func longDrafts() pipelineKind {
	return pipelineKind{name: "drafts", weight: 1.0 / 3, objective: 1400 * time.Millisecond, stages: []pipelineStage{
		{"first", noDependency, func(r *rand.Rand) int {
			if r.Float64() > 0.7 {
				return 0
			}
			// 2.5 on average.
			return min(int(r.ExpFloat64()*2.5+0.5), 10)
		}},
	}}
}

// pipelineRequest is a request on its way through the stages.
type pipelineRequest struct {
	id        ident.RequestID
	kind      *pipelineKind
	workspace ident.Workspace
	pieces    []int
	done      []int
	handles   [][]message.ResultHandle
	submitted []bool
	arrivedAt time.Time
	dueAt     time.Time
	abandonAt time.Time
	tries     int
	repeats   bool
	refused   bool
	ended     bool
	endedAt   time.Time
	computed  int
}

// pipelineSimulation runs one batcher for each service, with simulated endpoints and callers, in
// virtual time.
type pipelineSimulation struct {
	timers    *timer.Scheduler
	random    *rand.Rand
	directory *endpoints.Directory
	profiles  map[ident.Service]*published.BatchProfile
	batchers  map[ident.Service]*Batcher
	pipeline  bool
	// slowness is the factor by which calls of a service take longer.
	slowness map[ident.Service]float64
	reported map[ident.Pool]time.Duration
	ratios   map[ident.Pool]float64
	requests map[ident.RequestID]*pipelineRequest
	order    []*pipelineRequest
	count    int
	// calls and pieces are by service; wasted counts computed pieces whose request was not
	// served.
	calls, pieces map[ident.Service]int
	events        map[string]int
	epoch         int
	dead          []*Batcher
	lines         []string
}

func newPipelineSimulation(pipeline bool) *pipelineSimulation {
	s := &pipelineSimulation{
		timers:    timer.NewScheduler(timer.Config{Start: simulationStart}),
		random:    rand.New(rand.NewPCG(11, 4)),
		directory: endpoints.NewDirectory(),
		profiles:  map[ident.Service]*published.BatchProfile{},
		batchers:  map[ident.Service]*Batcher{},
		pipeline:  pipeline,
		slowness:  map[ident.Service]float64{},
		reported:  map[ident.Pool]time.Duration{},
		ratios:    map[ident.Pool]float64{},
		requests:  map[ident.RequestID]*pipelineRequest{},
		calls:     map[ident.Service]int{},
		pieces:    map[ident.Service]int{},
		events:    map[string]int{},
	}
	sizes := map[ident.Service]struct {
		endpoints, pieces int
		timePerPiece      time.Duration
	}{"first": {17, 14, 15 * time.Millisecond}, "second": {15, 38, 5400 * time.Microsecond}, "third": {16, 46, 4500 * time.Microsecond}}
	for _, service := range pipelineServices {
		size := sizes[service]
		s.profiles[service] = &published.BatchProfile{Slots: 1, MaxPiecesPerCall: size.pieces, CallOverhead: 240 * time.Millisecond, TimePerPiece: size.timePerPiece, ResultCapacityBytes: 100_000_000, ResultRetention: 8 * time.Second}
		for n := range size.endpoints {
			name := ident.Endpoint(fmt.Sprintf("%s-%d", service, n))
			s.directory.Upsert(endpoints.Listing{Name: name, Service: service, DataCentre: "east", Address: string(name), Slots: 1})
		}
		s.batchers[service] = s.newBatcher(service)
	}
	s.timers.Every(50*time.Millisecond, func() {
		for _, service := range pipelineServices {
			s.batchers[service].DispatchAll()
		}
	})
	s.timers.Every(reportPeriod, func() {
		for _, service := range pipelineServices {
			pool := ident.Pool{Service: service}
			wait := s.batchers[service].EstimateQueueWait(pool)
			ratio := s.batchers[service].CallTimeRatio(pool)
			s.timers.After(messageDelay, func() { s.reported[pool], s.ratios[pool] = wait, ratio })
		}
	})
	return s
}

func (s *pipelineSimulation) newBatcher(service ident.Service) *Batcher {
	var b *Batcher
	b = NewBatcher(Config{
		Timers:            s.timers,
		Directory:         s.directory,
		BatchProfile:      func(name ident.Service) *published.BatchProfile { return s.profiles[name] },
		QueueWait:         func(pool ident.Pool) time.Duration { return s.reported[pool] },
		MayCall:           func(*endpoints.Endpoint, ident.Pool) bool { return true },
		PipelineAdmission: func() bool { return s.pipeline },
		CallTimeRatio:     func(pool ident.Pool) float64 { return s.ratios[pool] },
		Output: Output{
			StartCall:       func(c Call) { s.run(b, service, c) },
			FreeResults:     func(string, []message.ResultHandle) {},
			InspectEndpoint: func(ident.Endpoint, string) {},
			SendResults: func(_ ident.Instance, r message.StageResults) {
				s.timers.After(messageDelay, func() { s.handleResults(r) })
			},
			SendInputsFetched: func(ident.Instance, message.StageInputsFetched) {},
			SuspectEndpoint:   func(*endpoints.Endpoint) {},
			LogEvent: func(name string, fields ...any) {
				s.events[name]++
				if name == "poolContended" || name == "poolRelieved" {
					s.lines = append(s.lines, fmt.Sprint(name, fields))
				}
			},
		},
	})
	return b
}

// run simulates a call. Its duration varies by 3 % around the profile's.
func (s *pipelineSimulation) run(b *Batcher, service ident.Service, c Call) {
	profile := s.profiles[service]
	s.calls[service]++
	s.pieces[service] += len(c.Items)
	duration := float64(profile.CallOverhead+time.Duration(len(c.Items))*profile.TimePerPiece) * (0.97 + 0.06*s.random.Float64())
	if slowness := s.slowness[service]; slowness > 0 {
		duration *= slowness
	}
	epoch := s.epoch
	s.timers.After(time.Duration(duration)+messageDelay, func() {
		if slices.Contains(s.dead, b) {
			return
		}
		var r Reply
		for i, item := range c.Items {
			if p := s.requests[item.ID.Request]; p != nil {
				p.computed++
			}
			r.Items = append(r.Items, ReplyItem{Handle: message.ResultHandle(fmt.Sprintf("%s/%d-%d-%d", c.Address, epoch, c.ID, i))})
		}
		b.HandleReply(c.ID, r)
	})
}

// offer submits requests of a kind at random intervals for the given time.
func (s *pipelineSimulation) offer(from, length time.Duration, perSecond float64, kind pipelineKind) {
	at := from
	for {
		at += time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
		if at >= from+length {
			return
		}
		r := &pipelineRequest{kind: &kind, arrivedAt: simulationStart.Add(at)}
		if len(kind.workspaces) > 0 {
			r.workspace = kind.workspaces[s.random.IntN(len(kind.workspaces))]
		}
		for _, stage := range kind.stages {
			r.pieces = append(r.pieces, stage.pieces(s.random))
		}
		r.repeats = kind.repeats > 0 && s.random.IntN(3) == 0
		s.timers.After(at, func() { s.arrive(r) })
	}
}

// arrive begins a request or a further try of one.
func (s *pipelineSimulation) arrive(r *pipelineRequest) {
	s.count++
	r.id = ident.RequestID(fmt.Sprintf("%s-%d", r.kind.name, s.count))
	r.dueAt = r.arrivedAt.Add(r.kind.objective)
	r.abandonAt = r.arrivedAt.Add(patienceFactor * r.kind.objective)
	r.done = make([]int, len(r.pieces))
	r.submitted = make([]bool, len(r.pieces))
	r.handles = make([][]message.ResultHandle, len(r.pieces))
	for i := range r.handles {
		r.handles[i] = make([]message.ResultHandle, r.pieces[i])
	}
	s.requests[r.id] = r
	s.order = append(s.order, r)
	s.advanceRequest(r)
}

// depth returns the number of stages after the given one, which form a chain.
func (r *pipelineRequest) depth(index int) int {
	return len(r.chain(index))
}

func (r *pipelineRequest) chain(index int) []int {
	for i, stage := range r.kind.stages {
		if stage.dependsOn == index {
			return append([]int{i}, r.chain(i)...)
		}
	}
	return nil
}

func (s *pipelineSimulation) advanceRequest(r *pipelineRequest) {
	allDone := true
	for i, stage := range r.kind.stages {
		if r.done[i] == r.pieces[i] {
			continue
		}
		allDone = false
		if !r.submitted[i] && (stage.dependsOn == noDependency || r.done[stage.dependsOn] == r.pieces[stage.dependsOn]) {
			s.submit(r, i)
		}
	}
	if allDone && !r.ended {
		r.ended = true
		r.endedAt = s.timers.Now().Add(modelTime)
		s.timers.After(modelTime, func() { s.release(r, false) })
	}
}

func (s *pipelineSimulation) submit(r *pipelineRequest, index int) {
	stage := r.kind.stages[index]
	r.submitted[index] = true
	now := s.timers.Now()
	var pieces []int
	for i, h := range r.handles[index] {
		if h == "" {
			pieces = append(pieces, i)
		}
	}
	w := message.StageWork{
		Request: r.id, Service: stage.service, Stage: index, Pieces: pieces, PieceKey: "key", ResultBytes: 8_000, Consumers: 1,
		TimeToDue:      r.dueAt.Add(-modelTime - time.Duration(r.depth(index))*stageEstimate).Sub(now),
		TimeToDeadline: r.abandonAt.Add(-modelTime - time.Duration(r.depth(index))*300*time.Millisecond).Sub(now),
		Weight:         r.kind.weight, Workspace: r.workspace,
	}
	if stage.dependsOn == noDependency {
		for _, i := range r.chain(index) {
			w.DownstreamServices = append(w.DownstreamServices, r.kind.stages[i].service)
			w.DownstreamPieces = append(w.DownstreamPieces, r.pieces[i])
		}
		for i, o := range r.kind.stages {
			if o.dependsOn == noDependency && r.pieces[i] > 0 {
				w.FirstStages++
			}
		}
		w.Recovering = r.computed > 0 && s.pipeline
	} else {
		w.Inputs = r.handles[stage.dependsOn]
		w.InputBytes = 8_000
	}
	s.timers.After(messageDelay, func() { s.batchers[stage.service].Submit(origin, w) })
}

func (s *pipelineSimulation) handleResults(m message.StageResults) {
	affected := value.NewSet[ident.RequestID]()
	for _, p := range m.Results {
		r := s.requests[p.ID.Request]
		if r == nil || r.refused || r.ended {
			continue
		}
		switch p.Outcome {
		case message.PieceDone:
			if r.handles[p.ID.Stage][p.ID.Piece] == "" {
				r.handles[p.ID.Stage][p.ID.Piece] = p.Handle
				r.done[p.ID.Stage]++
			}
		case message.PieceMoved:
			r.submitted[p.ID.Stage] = false
		default:
			r.refused = true
			s.release(r, true)
			s.comeBack(r, p.RetryAfter)
			continue
		}
		affected.Add(r.id)
	}
	for _, id := range affected.Sorted() {
		s.advanceRequest(s.requests[id])
	}
}

// release frees the results of a request at the batchers of its stages.
func (s *pipelineSimulation) release(r *pipelineRequest, cancel bool) {
	for i, stage := range r.kind.stages {
		if !r.submitted[i] {
			continue
		}
		m := message.StageRelease{Service: stage.service, Request: r.id, CancelPieces: cancel}
		for _, h := range r.handles[i] {
			if h != "" {
				m.Handles = append(m.Handles, h)
			}
		}
		s.timers.After(messageDelay, func() {
			s.batchers[stage.service].HandleRelease(m)
			s.batchers[stage.service].HandleFreed(m.Handles)
		})
	}
}

// comeBack makes the caller of a refused request try again, as its kind says.
func (s *pipelineSimulation) comeBack(r *pipelineRequest, retryAfter time.Duration) {
	again := &pipelineRequest{kind: r.kind, workspace: r.workspace, pieces: r.pieces, repeats: r.repeats, tries: r.tries + 1}
	if r.repeats && r.tries < r.kind.repeats {
		again.arrivedAt = s.timers.Now()
		s.timers.After(messageDelay, func() { s.arrive(again) })
		return
	}
	if !r.repeats && r.tries < r.kind.returns {
		retryAfter = max(min(retryAfter, r.abandonAt.Sub(s.timers.Now())/3), 300*time.Millisecond)
		s.timers.After(retryAfter, func() {
			// Its objective counts from the first try.
			again.arrivedAt = r.arrivedAt
			s.arrive(again)
		})
	}
}

func (s *pipelineSimulation) advance(until time.Duration) {
	end := simulationStart.Add(until)
	for {
		next, ok := s.timers.NextDue()
		if !ok || next.After(end) {
			break
		}
		s.timers.Advance(next)
	}
	s.timers.Advance(end)
}

// tally is what became of the requests of a kind.
type tally struct {
	asked, onTime, late, refused, refusedStarted int
	wasted                                       int
}

func (t tally) share() float64 { return float64(t.onTime) / float64(max(t.asked, 1)) }

func (s *pipelineSimulation) tally(by func(*pipelineRequest) string) map[string]tally {
	tallies := map[string]tally{}
	for _, r := range s.order {
		t := tallies[by(r)]
		t.asked++
		switch {
		case r.ended && !r.endedAt.After(r.dueAt):
			t.onTime++
		case r.ended:
			t.late++
		default:
			t.refused++
			if r.computed > 0 {
				t.refusedStarted++
			}
			t.wasted += r.computed
		}
		tallies[by(r)] = t
	}
	return tallies
}

func byKind(r *pipelineRequest) string { return r.kind.name }

func (s *pipelineSimulation) report() string {
	var lines strings.Builder
	tallies := s.tally(byKind)
	total, wasted := 0, 0
	for _, name := range value.SortedKeys(tallies) {
		t := tallies[name]
		fmt.Fprintf(&lines, "  %-7s asked %5d on time %5d (%.3f) late %4d refused %4d (%d started) wasted pieces %d\n", name, t.asked, t.onTime, t.share(), t.late, t.refused, t.refusedStarted, t.wasted)
		wasted += t.wasted
	}
	for _, service := range pipelineServices {
		total += s.pieces[service]
		fmt.Fprintf(&lines, "  %-7s calls %d, %.1f pieces each of %d\n", service, s.calls[service], float64(s.pieces[service])/float64(max(s.calls[service], 1)), s.profiles[service].MaxPiecesPerCall)
	}
	fmt.Fprintf(&lines, "  pieces %d, wasted %d\n", total, wasted)
	return lines.String()
}

// usualLoad is what the pipelines get all the time.
func (s *pipelineSimulation) usualLoad(length time.Duration, kinds ...pipelineKind) {
	for _, k := range kinds {
		rate := map[string]float64{"urgent": 64, "modest": 98, "drafts": 53}[k.name]
		s.offer(0, length, rate, k)
	}
}

func compareRules(t *testing.T, play func(*pipelineSimulation)) (stage, pipeline *pipelineSimulation) {
	t.Helper()
	stage, pipeline = newPipelineSimulation(false), newPipelineSimulation(true)
	for _, s := range []*pipelineSimulation{stage, pipeline} {
		play(s)
	}
	t.Logf("stage:\n%spipeline:\n%s", stage.report(), pipeline.report())
	return stage, pipeline
}

// replace puts a new batcher in the place of one that hands its queue over, or that dies
// without doing so, which its origins find out after a while.
func (s *pipelineSimulation) replace(service ident.Service, dies bool) {
	old := s.batchers[service]
	s.epoch++
	s.batchers[service] = s.newBatcher(service)
	if !dies {
		old.HandOver(ident.Pool{Service: service})
		return
	}
	s.dead = append(s.dead, old)
	s.timers.After(600*time.Millisecond, func() {
		for _, r := range s.order {
			for i, stage := range r.kind.stages {
				if !r.ended && !r.refused && r.submitted[i] && stage.service == service && r.done[i] < r.pieces[i] {
					s.submit(r, i)
				}
			}
		}
	})
}

func wantShare(t *testing.T, label string, got, want float64) {
	t.Helper()
	if got < want {
		t.Errorf("%s: %.3f, want at least %.3f", label, got, want)
	}
}

// wantUrgentServed checks what must hold in every overload that leaves room for the urgent
// kind: nearly all urgent requests are on time, and no work is done for refused ones.
func (s *pipelineSimulation) wantUrgentServed(t *testing.T) {
	t.Helper()
	tallies := s.tally(byKind)
	wantShare(t, "urgent on time", tallies["urgent"].share(), 0.99)
	wasted := 0
	for _, k := range tallies {
		wasted += k.wasted
	}
	if wasted > 0 {
		t.Errorf("%d pieces were computed for requests that were not served", wasted)
	}
}

// The least urgent kind sends 2.6 times its rate for five seconds (255 instead of 98 a second).
// The rule for single stages lets it delay urgent requests, whose number is the usual one.
func TestCheapestKindAt2Point6TimesItsRate(t *testing.T) {
	stage, pipeline := compareRules(t, func(s *pipelineSimulation) {
		s.usualLoad(12*time.Second, urgentPipelines(), modestPipelines(), longDrafts())
		s.offer(3*time.Second, 5*time.Second, 255-98, modestPipelines())
		s.advance(25 * time.Second)
	})
	pipeline.wantUrgentServed(t)
	wantShare(t, "modest on time", pipeline.tally(byKind)["modest"].share(), stage.tally(byKind)["modest"].share())
}

// The urgent kind sends 234 instead of 64 requests a second for five seconds, and the last
// service is asked for 1.2 times what it can do in full calls. With the rule for single stages,
// three in ten of the urgent requests are late.
func TestUrgentBurst(t *testing.T) {
	_, pipeline := compareRules(t, func(s *pipelineSimulation) {
		s.usualLoad(12*time.Second, urgentPipelines(), modestPipelines(), longDrafts())
		s.offer(3*time.Second, 5*time.Second, 234-64, urgentPipelines())
		s.advance(25 * time.Second)
	})
	pipeline.wantUrgentServed(t)
	wantShare(t, "modest on time", pipeline.tally(byKind)["modest"].share(), 0.6)
}

// A burst of the least urgent kind begins within one of the urgent kind.
func TestTwoOverlappingBursts(t *testing.T) {
	_, pipeline := compareRules(t, func(s *pipelineSimulation) {
		s.usualLoad(12*time.Second, urgentPipelines(), modestPipelines(), longDrafts())
		s.offer(3*time.Second, 5*time.Second, 234-64, urgentPipelines())
		s.offer(4*time.Second, 5*time.Second, 255-98, modestPipelines())
		s.advance(25 * time.Second)
	})
	pipeline.wantUrgentServed(t)
	wantShare(t, "modest on time", pipeline.tally(byKind)["modest"].share(), 0.4)
}

// An idle system starts all requests at once, also after a time without any: a start rate that
// is low for lack of requests must not count as a queue.
func TestIdleSystemAdmitsEverythingAtOnce(t *testing.T) {
	s := newPipelineSimulation(true)
	for _, from := range []time.Duration{time.Second, 6 * time.Second} {
		for n := range 8 {
			s.offer(from+time.Duration(n)*20*time.Millisecond, 20*time.Millisecond, 300, urgentPipelines())
			s.offer(from+time.Duration(n)*20*time.Millisecond, 20*time.Millisecond, 150, modestPipelines())
		}
	}
	s.advance(12 * time.Second)
	for name, k := range s.tally(byKind) {
		if k.onTime != k.asked || k.asked < 30 {
			t.Errorf("%s: %d of %d on time, %d refused", name, k.onTime, k.asked, k.refused)
		}
	}
	if held := s.batchers["first"].AdmissionCounts()["first"].Held; held > 0 {
		t.Errorf("%d requests were held", held)
	}
}

// One workspace sends half of the requests of an overloaded kind. It has to lose most of them,
// since the others send a tenth as much each.
func TestOneWorkspaceWithHalfOfTheTraffic(t *testing.T) {
	modest := modestPipelines()
	for n := range 10 {
		modest.workspaces = append(modest.workspaces, "heavy", ident.Workspace(fmt.Sprintf("light-%d", n)))
	}
	byShare := func(r *pipelineRequest) string {
		at := r.arrivedAt.Sub(simulationStart)
		if r.kind.name != "modest" || at < 3*time.Second || at >= 8*time.Second {
			return "other"
		}
		return string(r.workspace[:5])
	}
	_, pipeline := compareRules(t, func(s *pipelineSimulation) {
		s.usualLoad(12*time.Second, urgentPipelines(), modest, longDrafts())
		s.offer(3*time.Second, 5*time.Second, 255-98, modest)
		s.advance(25 * time.Second)
	})
	pipeline.wantUrgentServed(t)
	shares := pipeline.tally(byShare)
	wantShare(t, "light workspaces on time", shares["light"].share(), 0.95)
	wantShare(t, "heavy workspace on time", shares["heavy"].share(), 0.1)
	t.Logf("heavy %.3f, light %.3f on time", shares["heavy"].share(), shares["light"].share())
}

// A third of the callers of two overlapping bursts repeats a refused request three times at
// once, the others come back when they are told to. The repeats must not push out urgent
// requests or cost work, and callers that wait must be served at least as often as with the
// rule for single stages, under which hardly any is.
func TestThirdOfCallersRepeatsThreeTimesAtOnce(t *testing.T) {
	urgent, modest := urgentPipelines(), modestPipelines()
	urgent.repeats, modest.repeats = 3, 3
	urgent.returns, modest.returns = 1, 1
	stage, pipeline := compareRules(t, func(s *pipelineSimulation) {
		s.usualLoad(12*time.Second, urgent, modest, longDrafts())
		s.offer(3*time.Second, 5*time.Second, 255-98, modest)
		s.offer(3*time.Second, 5*time.Second, 234-64, urgent)
		s.advance(25 * time.Second)
	})
	pipeline.wantUrgentServed(t)
	patient := func(r *pipelineRequest) string {
		if r.kind.name != "modest" || r.repeats {
			return "other"
		}
		return []string{"first", "return"}[r.tries]
	}
	was, is := stage.tally(patient), pipeline.tally(patient)
	t.Logf("patient callers: stage %+v, pipeline %+v", was, is)
	wantShare(t, "patient callers on time", is["first"].share(), was["first"].share())
	served := func(k tally) float64 { return float64(k.onTime+k.late) / float64(max(k.asked, 1)) }
	wantShare(t, "served on return", served(is["return"]), served(was["return"])+0.1)
}

// Refused callers come back when they are told to, after a burst that leaves capacity. Most of
// them have to be served then: a Retry-After that leads to a second refusal does not hold.
func TestRefusedCallersAreServedWhenTheyComeBack(t *testing.T) {
	modest := modestPipelines()
	modest.returns = 1
	_, pipeline := compareRules(t, func(s *pipelineSimulation) {
		s.usualLoad(12*time.Second, urgentPipelines(), modest, longDrafts())
		s.offer(3*time.Second, 2*time.Second, 255-98, modest)
		s.advance(25 * time.Second)
	})
	returned := pipeline.tally(func(r *pipelineRequest) string { return fmt.Sprint(r.kind.name, r.tries) })["modest1"]
	t.Logf("returned %+v", returned)
	if returned.asked < 20 {
		t.Fatalf("only %d callers came back", returned.asked)
	}
	wantShare(t, "served on return", float64(returned.onTime+returned.late)/float64(returned.asked), 0.6)
}

// halve takes every other endpoint of a service out of the directory until restore is called.
func (s *pipelineSimulation) halve(service ident.Service) (restore func()) {
	var gone []endpoints.Listing
	for n, e := range s.directory.ByService(service) {
		if n%2 == 0 {
			gone = append(gone, e.Listing)
		}
	}
	for _, l := range gone {
		s.directory.Remove(s.timers.Now(), l.Name, 0)
	}
	return func() {
		for _, l := range gone {
			s.directory.Upsert(l)
		}
	}
}

// Every other endpoint of a service is gone for five seconds, at the usual load. What is left
// is enough for the urgent kind.
func TestCapacityHalvesForFiveSeconds(t *testing.T) {
	for _, service := range pipelineServices {
		t.Run(string(service), func(t *testing.T) {
			_, pipeline := compareRules(t, func(s *pipelineSimulation) {
				s.usualLoad(12*time.Second, urgentPipelines(), modestPipelines(), longDrafts())
				s.timers.After(3*time.Second, func() { s.timers.After(5*time.Second, s.halve(service)) })
				s.advance(20 * time.Second)
			})
			pipeline.wantUrgentServed(t)
			wantShare(t, "modest on time", pipeline.tally(byKind)["modest"].share(), 0.7)
		})
	}
}

// All calls of a service take twice their time for five seconds, which no record tells. Its
// three calls then take as long as the objective of the urgent kind allows, so not all can be
// on time; but the account has to learn of it, and no work may be lost.
func TestCallsTakeTwiceTheirTimeForFiveSeconds(t *testing.T) {
	for _, service := range pipelineServices {
		t.Run(string(service), func(t *testing.T) {
			stage, pipeline := compareRules(t, func(s *pipelineSimulation) {
				s.usualLoad(12*time.Second, urgentPipelines(), modestPipelines(), longDrafts())
				s.timers.After(3*time.Second, func() { s.slowness[service] = 2 })
				s.timers.After(8*time.Second, func() { s.slowness[service] = 1 })
				s.advance(20 * time.Second)
			})
			was, is := stage.tally(byKind), pipeline.tally(byKind)
			late := func(k map[string]tally) int { return k["urgent"].late + k["modest"].late }
			if 3*late(is) > 2*late(was) {
				t.Errorf("%d late, with the rule for single stages %d", late(is), late(was))
			}
			wantShare(t, "urgent on time", is["urgent"].share(), 0.9*was["urgent"].share())
			if wasted := is["urgent"].wasted + is["modest"].wasted + is["drafts"].wasted; wasted > 0 {
				t.Errorf("%d pieces wasted", wasted)
			}
		})
	}
}

// Two seconds into a burst of the urgent kind, another instance takes over the first pool, with
// an empty account. It must not start more than the later pools can do.
func TestBatcherIsReplacedInBurst(t *testing.T) {
	play := func(dies bool) func(*pipelineSimulation) {
		return func(s *pipelineSimulation) {
			s.usualLoad(12*time.Second, urgentPipelines(), modestPipelines(), longDrafts())
			s.offer(3*time.Second, 5*time.Second, 234-64, urgentPipelines())
			s.timers.After(5*time.Second, func() { s.replace("first", dies) })
			s.advance(20 * time.Second)
		}
	}
	t.Run("handsOver", func(t *testing.T) {
		_, pipeline := compareRules(t, play(false))
		pipeline.wantUrgentServed(t)
	})
	// The requests of 0.6 s are with the dead batcher, about 140 of the urgent kind. Those
	// that have waited so long that they cannot be on time are refused.
	t.Run("dies", func(t *testing.T) {
		stage, pipeline := compareRules(t, play(true))
		wantShare(t, "urgent on time", pipeline.tally(byKind)["urgent"].share(), stage.tally(byKind)["urgent"].share())
		wantShare(t, "urgent on time", pipeline.tally(byKind)["urgent"].share(), 0.92)
		wasted := 0
		for _, k := range pipeline.tally(byKind) {
			wasted += k.wasted
		}
		if wasted > 20 {
			t.Errorf("%d pieces wasted", wasted)
		}
	})
}

// submitFirst submits one first stage of a request to the batcher of the first service.
func (s *pipelineSimulation) submitFirst(w message.StageWork) {
	w.Service, w.PieceKey, w.ResultBytes, w.Consumers = "first", "key", 8_000, 1
	w.TimeToDue, w.TimeToDeadline = 900*time.Millisecond, 8*time.Second
	if w.Weight == 0 {
		w.Weight = 1
	}
	s.batchers["first"].Submit(origin, w)
}

// A request with two first stages submits them in two messages. The pieces of the one that leads
// to a congested service must keep those of the other from starting: they would be for nothing.
func TestFirstStagesAreDecidedOnTogether(t *testing.T) {
	s := newPipelineSimulation(true)
	s.reported[ident.Pool{Service: "third"}] = 3 * time.Second
	s.submitFirst(message.StageWork{Request: "r", Stage: 0, Pieces: []int{0, 1, 2}, FirstStages: 2})
	s.advance(5 * time.Millisecond)
	s.submitFirst(message.StageWork{Request: "r", Stage: 1, Pieces: []int{0}, FirstStages: 2, DownstreamServices: []ident.Service{"second", "third"}, DownstreamPieces: []int{4, 6}})
	s.advance(100 * time.Millisecond)
	if s.calls["first"] > 0 || s.batchers["first"].Stats().Refused != 4 {
		t.Errorf("%d calls, %d pieces refused, want none and all 4", s.calls["first"], s.batchers["first"].Stats().Refused)
	}
	// If the other message is lost, the pieces do not wait for long.
	s.submitFirst(message.StageWork{Request: "q", Stage: 0, Pieces: []int{0}, FirstStages: 2})
	s.advance(200 * time.Millisecond)
	if s.calls["first"] != 1 {
		t.Errorf("%d calls, want one for the stage whose other message is lost", s.calls["first"])
	}
}

// Two first stages that lead to the same later stage must not count it twice, nor may a later
// service that is passed twice count once.
func TestDemandsOfFirstStagesAreMerged(t *testing.T) {
	b := newPipelineSimulation(true).batchers["first"]
	one := &work{StageWork: message.StageWork{Service: "first", DownstreamServices: []ident.Service{"second", "third", "third"}, DownstreamPieces: []int{4, 6, 2}}}
	other := &work{StageWork: message.StageWork{Service: "first", DownstreamServices: []ident.Service{"third", "fourth"}}}
	pieces := []*piece{{work: one, id: message.PieceID{Stage: 0}}, {work: one, id: message.PieceID{Stage: 0, Piece: 1}}, {work: other, id: message.PieceID{Stage: 1}}}
	got := b.admissionRequest(pieces).Downstream
	// An earlier version does not say how many pieces there are: they count as one each.
	want := []admission.Demand{{Pool: ident.Pool{Service: "second"}, Pieces: 4}, {Pool: ident.Pool{Service: "third"}, Pieces: 6}, {Pool: ident.Pool{Service: "third"}, Pieces: 2}, {Pool: ident.Pool{Service: "fourth"}, Pieces: 1}}
	if !slices.Equal(got, want) {
		t.Errorf("demands %v, want %v", got, want)
	}
}

// Pieces of a request that has started are never refused, and go before those of others.
func TestStartedRequestsGoFirst(t *testing.T) {
	s := newPipelineSimulation(true)
	for n := range 16 {
		s.submitFirst(message.StageWork{Request: ident.RequestID(fmt.Sprint("fill", n)), Pieces: []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13}})
	}
	many := make([]int, 20)
	for i := range many {
		many[i] = i
	}
	s.submitFirst(message.StageWork{Request: "split", Pieces: many})
	s.advance(100 * time.Millisecond)
	if waiting := s.batchers["first"].WaitingCount(ident.Pool{Service: "first"}); waiting != 6 {
		t.Fatalf("%d pieces wait, want the 6 that did not fit into the last call", waiting)
	}
	// The later service is congested now, and the request would be refused if it were new.
	s.reported[ident.Pool{Service: "third"}] = 3 * time.Second
	s.submitFirst(message.StageWork{Request: "new", Pieces: []int{0}, DownstreamServices: []ident.Service{"third"}, DownstreamPieces: []int{6}})
	s.advance(900 * time.Millisecond)
	if refused := s.batchers["first"].Stats().Refused; refused != 1 {
		t.Errorf("%d pieces refused, want the new one only", refused)
	}
	if waiting := s.batchers["first"].WaitingCount(ident.Pool{Service: "first"}); waiting > 0 {
		t.Errorf("%d pieces of a started request still wait", waiting)
	}
}

// The log has the cause of each refusal: the pool that is short, and when that began and ended.
func TestRefusalsAreLogged(t *testing.T) {
	s := newPipelineSimulation(true)
	s.reported[ident.Pool{Service: "third"}] = 3 * time.Second
	s.submitFirst(message.StageWork{Request: "r", Pieces: []int{0}, DownstreamServices: []ident.Service{"third"}, DownstreamPieces: []int{6}})
	s.advance(100 * time.Millisecond)
	if s.events["requestRefused"] != 1 || s.events["poolContended"] != 1 || s.events["poolRelieved"] != 0 {
		t.Errorf("events %v, want one refusal and one contended pool", s.events)
	}
	s.advance(4 * time.Second)
	if s.events["poolContended"] != 1 || s.events["poolRelieved"] != 1 {
		t.Errorf("events %v, want one relieved pool", s.events)
	}
}

// Held pieces must not make a small call start at once: it would occupy an endpoint for the
// whole overhead, while the pieces that it could have waited for come a moment later.
func TestHeldPiecesDoNotEndTheWaitForMore(t *testing.T) {
	s := newPipelineSimulation(true)
	for n := range 10 {
		s.submitFirst(message.StageWork{Request: ident.RequestID(fmt.Sprint("fill", n)), Pieces: []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13}})
	}
	s.advance(20 * time.Millisecond)
	for n := range 10 {
		// The service has no endpoints.
		s.submitFirst(message.StageWork{Request: ident.RequestID(fmt.Sprint("held", n)), Pieces: []int{0}, DownstreamServices: []ident.Service{"gone"}, DownstreamPieces: []int{1}})
	}
	s.advance(120 * time.Millisecond)
	if s.calls["first"] != 10 {
		t.Fatalf("%d calls, want the 10 that fill endpoints", s.calls["first"])
	}
	s.submitFirst(message.StageWork{Request: "small", Pieces: []int{0}})
	s.advance(160 * time.Millisecond)
	if s.calls["first"] != 10 {
		t.Error("a call of one piece started at once")
	}
	s.advance(250 * time.Millisecond)
	if s.calls["first"] != 11 {
		t.Errorf("%d calls, want 11 when the wait for more is over", s.calls["first"])
	}
}

// After a quiet time, the rate of started pieces is low for lack of pieces. It must not be
// reported as a wait of a minute.
func TestQueueWaitAfterQuietTime(t *testing.T) {
	s := newPipelineSimulation(true)
	s.advance(3 * time.Second)
	s.submitFirst(message.StageWork{Request: "one", Pieces: []int{0}})
	for n := range 10 {
		s.submitFirst(message.StageWork{Request: ident.RequestID(fmt.Sprint("more", n)), Pieces: []int{0, 1, 2, 3, 4, 5}})
	}
	if wait := s.batchers["first"].EstimateQueueWait(ident.Pool{Service: "first"}); wait > 500*time.Millisecond {
		t.Errorf("queue wait %v in front of 16 idle endpoints", wait)
	}
}

// A request that waits for the message of its other first stage is decided on again soon, without
// another event in the pool.
func TestHeldRequestIsDecidedOnAgainSoon(t *testing.T) {
	s := newPipelineSimulation(true)
	s.advance(time.Millisecond)
	s.submitFirst(message.StageWork{Request: "r", Pieces: []int{0}, FirstStages: 2})
	// The next periodic dispatch is at 50 ms.
	s.advance(49 * time.Millisecond)
	if s.calls["first"] != 1 {
		t.Errorf("%d calls, want 1", s.calls["first"])
	}
}

// Calls that take longer than expected count before they end: their replies would come after
// another half second of requests has started.
func TestRunningCallsCountForCallTimes(t *testing.T) {
	s := newPipelineSimulation(true)
	s.slowness["first"] = 10
	s.submitFirst(message.StageWork{Request: "r", Pieces: []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13}})
	pool := ident.Pool{Service: "first"}
	s.advance(400 * time.Millisecond)
	if ratio := s.batchers["first"].CallTimeRatio(pool); ratio != 1 {
		t.Errorf("ratio %.2f within the expected time, want 1", ratio)
	}
	s.advance(880 * time.Millisecond)
	if ratio := s.batchers["first"].CallTimeRatio(pool); ratio < 1.8 {
		t.Errorf("ratio %.2f after twice the expected time, want about 2", ratio)
	}
}

// While all endpoints are busy, an urgent request goes before less urgent ones that came first.
func TestUrgentRequestGoesBeforeWaitingOnes(t *testing.T) {
	s := newPipelineSimulation(true)
	for n := range 22 {
		s.submitFirst(message.StageWork{Request: ident.RequestID(fmt.Sprintf("modest%02d", n)), Pieces: []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13}, Weight: 0.1})
	}
	s.advance(40 * time.Millisecond)
	s.submitFirst(message.StageWork{Request: "urgent", Pieces: []int{0}})
	s.advance(80 * time.Millisecond)
	waiting := s.batchers["first"].queue(ident.Pool{Service: "first"}).waiting
	if len(waiting) < 15 || waiting[0].id.Request != "urgent" {
		t.Errorf("%d pieces wait, want the urgent one first", len(waiting))
	}
}
