package matrix

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/node"
	"anvilcross/kernel/outcome"
	"anvilcross/kernel/route"
	"anvilcross/kernel/timer"
)

// kernel is the part of a node that the simulation drives. Both node.Node and
// naive implement it.
type kernel interface {
	Submit(waiter ident.WaiterID, s message.Submission, stream bool)
	HandleToken(id ident.CallID, token string)
	HandleCallResult(id ident.CallID, r node.CallResult)
	HandleCallFailure(id ident.CallID, f node.CallFailure, detail string)
}

// process is one simulated process (incarnation) of a seat.
type process struct {
	sim         *sim
	seat        ident.Instance
	dc          ident.DataCentre
	incarnation ident.Incarnation
	clockSkew   time.Duration
	timers      *timer.Scheduler
	kernel      kernel
	node        *node.Node // nil if kernel is naive
	isDead      bool
	pausedUntil time.Time
	deferred    []func()
	wakeTimer   *timer.Timer
}

// sim is a simulated deployment in virtual time. Each run of a cell uses a new
// one.
type sim struct {
	clock           *timer.Scheduler
	random          *rand.Rand
	document        *configuration.Document
	rules           node.SafetyRules
	naive           bool
	seats           map[ident.Instance]*process
	endpoints       map[ident.Endpoint]*endpoint
	listings        []route.Listing
	executions      map[string][]execution
	attempts        map[ident.WaiterID]*attempt
	requests        []*request
	lastWaiter      ident.WaiterID
	stepHooks       map[step][]func(p *process, key ident.Key)
	calls           map[globalCallID]*endpointCall
	lastIncarnation ident.Incarnation
	network         network
	poisonCrashes   int
	messagesSent    int64
	bytesSent       int64
	// replicasAgree makes all replicas of a look-up service return the same
	// output.
	replicasAgree bool
	// redirect, if set, chooses the process that receives a message; nil drops
	// the message.
	redirect        func(sender *process, to ident.Instance) *process
	memoryLostAt    map[ident.Instance][]time.Time
	completedStages map[processStage]int
	violations      []string
}

// globalCallID identifies a call among all processes of the deployment.
type globalCallID struct {
	seat        ident.Instance
	incarnation ident.Incarnation
	id          ident.CallID
}

// processStage identifies a stage of a request at one process.
type processStage struct {
	process *process
	key     ident.Key
	stage   ident.Stage
}

// network holds the faults of the links between instances. A cut link also
// separates instances from endpoints in the other data centre.
type network struct {
	cutLinks             map[[2]ident.DataCentre]bool
	lossProbability      float64
	duplicateProbability float64
	longDelayProbability float64
}

// step is a point in the processing of the target request at which a fault can
// be injected.
type step string

const (
	onSubmit                step = "submit"
	onClaim                 step = "claim"
	onVote                  step = "vote"
	onIdempotentCall        step = "firstCall"
	onIdempotentReply       step = "firstDone"
	onToken                 step = "token"
	onNonIdempotentDispatch step = "dispatch"
	onNonIdempotentRun      step = "execute"
	onNonIdempotentReply    step = "orderReply"
	onSettle                step = "settle"
	onAnswer                step = "answer"
)

var steps = []step{onSubmit, onClaim, onVote, onIdempotentCall, onIdempotentReply, onToken, onNonIdempotentDispatch, onNonIdempotentRun, onNonIdempotentReply, onSettle, onAnswer}

var simulationStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// The delays apply to one message in one direction.
const (
	localDelay           = 200 * time.Microsecond
	crossDataCentreDelay = 3500 * time.Microsecond
	startupTime          = 3 * time.Second
)

func newSimulation(d *configuration.Document, seed uint64, rules node.SafetyRules, naive bool) *sim {
	sm := &sim{
		clock:           timer.NewScheduler(timer.Config{Start: simulationStart}),
		random:          rand.New(rand.NewPCG(seed, 7)),
		document:        d,
		rules:           rules,
		naive:           naive,
		seats:           map[ident.Instance]*process{},
		endpoints:       map[ident.Endpoint]*endpoint{},
		executions:      map[string][]execution{},
		attempts:        map[ident.WaiterID]*attempt{},
		stepHooks:       map[step][]func(*process, ident.Key){},
		calls:           map[globalCallID]*endpointCall{},
		network:         network{cutLinks: map[[2]ident.DataCentre]bool{}},
		completedStages: map[processStage]int{},
		memoryLostAt:    map[ident.Instance][]time.Time{},
	}
	sm.createEndpoints()
	for _, seat := range d.Seats() {
		sm.start(seat)
	}
	return sm
}

func (sm *sim) now() time.Time { return sm.clock.Now() }

func (sm *sim) violationf(format string, args ...any) {
	sm.violations = append(sm.violations, fmt.Sprintf(format, args...))
}

// start starts a new process of a seat.
func (sm *sim) start(seat ident.Instance) *process {
	sm.lastIncarnation++
	p := &process{sim: sm, seat: seat, dc: sm.document.SeatDataCentre(seat), incarnation: sm.lastIncarnation}
	p.clockSkew = time.Duration(sm.random.Int64N(int64(sm.document.ClockSkewMillis.Duration()))) - sm.document.ClockSkewMillis.Duration()/2
	p.timers = timer.NewScheduler(timer.Config{Start: sm.now().Add(p.clockSkew)})
	sm.seats[seat] = p
	output := node.Output{
		StartCall:  func(c node.Call) { sm.startCall(p, c) },
		CancelCall: func(id ident.CallID) { sm.cancelCall(p, id) },
		SendAnswer: func(id ident.WaiterID, a outcome.Answer) { sm.handleAnswer(p, id, a) },
		SendToken:  func(id ident.WaiterID, index int, token string) { sm.handleToken(id, index, token) },
		SendToPeer: func(e message.Envelope) { sm.send(p, e) },
		LogEvent:   func(node.Event) {},
	}
	if sm.naive {
		p.kernel = newNaive(sm, p, output)
		return p
	}
	p.node = node.NewNode(node.Config{
		Seat: seat, Incarnation: p.incarnation, DataCentre: p.dc,
		Random: rand.New(rand.NewPCG(uint64(p.incarnation), 11)), Timers: p.timers,
		TicketKey: []byte("0123456789abcdef"), Rules: sm.rules, Output: output,
	})
	p.kernel = p.node
	p.handle(func() {
		document := *sm.document
		p.node.Configure(&document)
		p.node.UpdateEndpoints(sm.listings)
	})
	return p
}

// handle runs an event in the process: now, after the pause if the process is
// paused, or never if it is dead.
func (p *process) handle(event func()) {
	if p.isDead {
		return
	}
	if p.sim.now().Before(p.pausedUntil) {
		p.deferred = append(p.deferred, event)
		return
	}
	p.timers.Advance(p.sim.now().Add(p.clockSkew))
	event()
	p.scheduleWake()
}

// scheduleWake schedules an event for the process's next due timer.
func (p *process) scheduleWake() {
	p.sim.clock.Stop(p.wakeTimer)
	due, ok := p.timers.NextDue()
	if !ok || p.isDead {
		return
	}
	p.wakeTimer = p.sim.clock.After(due.Sub(p.sim.now().Add(p.clockSkew)), func() { p.handle(func() {}) })
}

// pause suspends a process: its events are deferred and its timers fire late.
func (p *process) pause(duration time.Duration) {
	p.pausedUntil = p.sim.now().Add(duration)
	p.sim.clock.After(duration, func() {
		events := p.deferred
		p.deferred = nil
		for _, event := range events {
			p.handle(event)
		}
		p.handle(func() {})
	})
}

// kill ends a process. The connections of its callers break, and they retry.
func (sm *sim) kill(p *process) {
	if p.isDead {
		return
	}
	p.isDead = true
	sm.memoryLostAt[p.seat] = append(sm.memoryLostAt[p.seat], sm.now())
	for _, id := range sortedWaiters(sm.attempts) {
		a := sm.attempts[id]
		if a.process == p && a.answer == nil && !a.failed {
			a.failed = true
			sm.clock.After(localDelay, func() { a.request.retry() })
		}
	}
}

// replace kills a process and starts its successor after the delay.
func (sm *sim) replace(p *process, delay time.Duration) {
	if p.isDead {
		return
	}
	sm.kill(p)
	sm.clock.After(delay, func() {
		if sm.seats[p.seat] == p {
			sm.start(p.seat)
		}
	})
}

// send transmits a message to another instance over the simulated network.
func (sm *sim) send(from *process, e message.Envelope) {
	sm.runMessageHooks(from, e)
	sm.traceMessage(from, e)
	data, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	sm.messagesSent++
	sm.bytesSent += int64(len(data))
	copies := 1
	if sm.random.Float64() < sm.network.duplicateProbability {
		copies = 2
	}
	for range copies {
		if sm.random.Float64() < sm.network.lossProbability {
			continue
		}
		sm.clock.After(sm.messageDelay(from.dc, e.To), func() { sm.deliver(from, e.To, data) })
	}
}

func (sm *sim) runMessageHooks(from *process, e message.Envelope) {
	switch {
	case e.Claim != nil && !e.Claim.QueryOnly:
		sm.runHooks(onClaim, from, e.Claim.Key)
	case e.Vote != nil:
		sm.runHooks(onVote, from, e.Vote.Key)
	case e.Settle != nil:
		sm.runHooks(onSettle, from, e.Settle.Key)
	}
}

// messageDelay returns a random delay for a message between instances.
func (sm *sim) messageDelay(from ident.DataCentre, to ident.Instance) time.Duration {
	d := localDelay
	if sm.document.SeatDataCentre(to) != from {
		d = crossDataCentreDelay
	}
	d += time.Duration(sm.random.Int64N(int64(d)))
	if sm.random.Float64() < sm.network.longDelayProbability {
		d += time.Duration(sm.random.Int64N(int64(2 * time.Minute)))
	}
	return d
}

func (sm *sim) deliver(from *process, to ident.Instance, data []byte) {
	p := sm.seats[to]
	if sm.redirect != nil {
		p = sm.redirect(from, to)
	}
	if p == nil || p.node == nil || sm.isLinkCut(from.dc, p.dc) {
		return
	}
	var e message.Envelope
	if err := json.Unmarshal(data, &e); err != nil {
		panic(err)
	}
	p.handle(func() { p.node.HandleMessage(e) })
}

func (sm *sim) isLinkCut(a, b ident.DataCentre) bool {
	return sm.network.cutLinks[[2]ident.DataCentre{a, b}] || sm.network.cutLinks[[2]ident.DataCentre{b, a}]
}

// runHooks runs the hooks that are registered for a step.
func (sm *sim) runHooks(s step, p *process, key ident.Key) {
	for _, hook := range sm.stepHooks[s] {
		hook(p, key)
	}
}

// advanceTo advances the virtual time to until and runs every timer due by
// then.
func (sm *sim) advanceTo(until time.Time) {
	for {
		due, ok := sm.clock.NextDue()
		if !ok || due.After(until) {
			sm.clock.Advance(until)
			return
		}
		sm.clock.Advance(due)
	}
}

// readySeats returns the seats whose process is alive and reports ready.
func (sm *sim) readySeats() []ident.Instance {
	var seats []ident.Instance
	for _, seat := range sm.document.Seats() {
		p := sm.seats[seat]
		if p != nil && !p.isDead && (p.node == nil || p.node.Ready()) {
			seats = append(seats, seat)
		}
	}
	return seats
}

func (sm *sim) dataCentreSeats(dc ident.DataCentre) []ident.Instance {
	i := slices.IndexFunc(sm.document.DataCentres, func(d configuration.DataCentre) bool { return d.Name == dc })
	return sm.document.DataCentres[i].Seats
}
