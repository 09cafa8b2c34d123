package matrix

import (
	"fmt"
	"os"
	"strings"
	"time"

	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/node"
	"anvilcross/kernel/outcome"
	"anvilcross/kernel/questionnaire"
)

// cell is one run of the matrix: up to two faults, each injected at a step of
// the target request.
type cell struct {
	deployment string
	faults     [2]fault
	steps      [2]step
	seed       uint64
	tickets    bool
}

func (c cell) String() string {
	return fmt.Sprintf("%s/%s@%s+%s@%s/tickets=%v/seed=%d", c.deployment, c.faults[0].name, c.steps[0], c.faults[1].name, c.steps[1], c.tickets, c.seed)
}

// result holds the outcome counts and violations of a cell.
type result struct {
	requests   int
	outcomes   map[outcome.Outcome]int
	violations []string
	// lostWithoutCrash counts the requests answered as lost although none of
	// the processes that they were sent to has died.
	lostWithoutCrash int
}

// targetPipelineName maps a deployment to the pipeline of its target request.
var targetPipelineName = map[string]ident.Pipeline{"wroclaw": "plaque", "pelletier": "jarOrder"}

var documents = map[string]*configuration.Document{}

func loadDocument(name string) *configuration.Document {
	text, err := os.ReadFile("../../deployments/" + name + "/answers.ini")
	if err != nil {
		panic(err)
	}
	d, problems, err := questionnaire.Generate(text)
	if err != nil || len(problems) > 0 {
		panic(fmt.Sprint(err, problems))
	}
	return d
}

func init() {
	for name := range targetPipelineName {
		documents[name] = loadDocument(name)
	}
}

// collectTime and endOfRun are measured from the end of the startup.
const (
	backgroundRequests = 14
	backgroundInterval = 25 * time.Millisecond
	endOfRun           = 150 * time.Second
	collectTime        = 60 * time.Second
	maxPoisonCrashes   = 3
)

// run runs the cell and checks the answers.
func (c cell) run(rules node.SafetyRules, naive bool) result {
	sm := newSimulation(documents[c.deployment], c.seed, rules, naive)
	sm.advanceTo(simulationStart.Add(startupTime))
	target := sm.newRequest("target", sm.document.Pipeline(targetPipelineName[c.deployment]), fmt.Sprintf("For the target %d", c.seed))
	seat := sm.pickSeat()
	if c.tickets {
		target.useTicket(sm.seats[seat])
	}
	for i := range c.faults {
		sm.injectAt(c.steps[i], c.faults[i], target)
	}
	sm.submitBackgroundRequests(c.tickets)
	target.submit(seat)
	sm.advanceTo(simulationStart.Add(startupTime + collectTime))
	for _, r := range sm.requests {
		if r.key.ID == target.key.ID || sm.random.IntN(3) == 0 {
			r.collect(sm.pickSeat())
		}
	}
	sm.advanceTo(simulationStart.Add(startupTime + endOfRun))
	sm.checkAnswers()
	c.checkFaultRules(sm)
	requests, outcomes := sm.countOutcomes()
	return result{requests: requests, outcomes: outcomes, violations: sm.violations, lostWithoutCrash: sm.countLostWithoutCrash()}
}

// countLostWithoutCrash counts the requests that were answered as lost although
// every process that they were sent to is still alive.
func (sm *sim) countLostWithoutCrash() int {
	count := 0
	for _, r := range sm.requests {
		lost, crashed := false, false
		for _, a := range r.attempts {
			lost = lost || a.answer != nil && a.answer.Outcome == outcome.Lost
			crashed = crashed || a.process.isDead
		}
		if lost && !crashed {
			count++
		}
	}
	return count
}

// injectAt injects a fault the first time that the target reaches a step.
func (sm *sim) injectAt(s step, f fault, target *request) {
	injected := false
	sm.stepHooks[s] = append(sm.stepHooks[s], func(p *process, key ident.Key) {
		if injected || key != target.key {
			return
		}
		injected = true
		f.inject(sm, p, key)
	})
}

// submitBackgroundRequests submits further requests around the target: they
// cover all pipelines, with tickets and with the callers' own ids, and some are
// sent to a second random instance at once or 20 ms later.
func (sm *sim) submitBackgroundRequests(tickets bool) {
	for i := range backgroundRequests {
		p := &sm.document.Pipelines[i%len(sm.document.Pipelines)]
		body := fmt.Sprintf("Plate %d", i)
		if p.SharesAnswer {
			body = "Is it Wojciech or Woyciech?"
		}
		r := sm.newRequest(fmt.Sprintf("mix-%d", i), p, body)
		sm.clock.After(time.Duration(i)*backgroundInterval, func() {
			seat := sm.pickSeat()
			if tickets && i%2 == 0 && sm.seats[seat].node != nil && !sm.seats[seat].isDead && !sm.now().Before(sm.seats[seat].pausedUntil) {
				r.useTicket(sm.seats[seat])
			}
			r.submit(seat)
			if i%4 == 1 {
				r.submit(sm.pickSeat())
			}
			if i%4 == 3 {
				sm.clock.After(20*time.Millisecond, func() { r.submit(sm.pickSeat()) })
			}
		})
	}
}

// partitionCount returns the number of network partitions that the faults
// create. Each partition has to detect poison content by itself.
func (c cell) partitionCount(sm *sim) int {
	count := 1
	for _, f := range c.faults {
		switch f.name {
		case "cutAll":
			count = len(sm.document.DataCentres)
		case "cutDataCentre":
			count = max(count, 2)
		}
	}
	return count
}

// checkFaultRules checks the rules that depend on the cell's faults: how many
// endpoints poison content may crash, and that harmless faults lose no answer.
func (c cell) checkFaultRules(sm *sim) {
	if sm.poisonCrashes > maxPoisonCrashes*c.partitionCount(sm) {
		sm.violationf("one request body crashed %d endpoints", sm.poisonCrashes)
	}
	for _, f := range c.faults {
		if !harmlessFaults[f.name] {
			return
		}
	}
	for _, r := range sm.requests {
		if strings.Contains(r.body, poison) {
			continue
		}
		for _, a := range r.attempts {
			if a.answer != nil && a.answer.Outcome != outcome.Whole {
				sm.violationf("%s: answered %s (%s) although the faults are harmless", r.key, a.answer.Outcome, a.answer.Reason)
			}
		}
	}
}

// harmlessFaults lists the faults under which every request must be answered
// whole.
var harmlessFaults = map[string]bool{"none": true, "doubleMessages": true, "doubleReplies": true, "plannedStop": true, "rollingRestart": true, "resendElsewhere": true, "newRevision": true, "poison": true}
