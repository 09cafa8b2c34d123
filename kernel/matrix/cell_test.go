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

// cell is one run: up to two faults, each at a step of the target request.
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

// result is what came of a cell.
type result struct {
	requests int
	outcomes map[outcome.Outcome]int
	problems []string
	// lostElsewhere counts the lost requests that no broken instance had.
	lostElsewhere int
}

// target says which pipeline the faults aim at, per deployment.
var target = map[string]ident.Pipeline{"wroclaw": "plaque", "pelletier": "jarOrder"}

var documents = map[string]*configuration.Document{}

func loadDocument(name string) *configuration.Document {
	text, err := os.ReadFile("../../deployments/" + name + "/answers.ini")
	if err != nil {
		panic(err)
	}
	d, mistakes, err := questionnaire.Generate(text)
	if err != nil || len(mistakes) > 0 {
		panic(fmt.Sprint(err, mistakes))
	}
	return d
}

func init() {
	for name := range target {
		documents[name] = loadDocument(name)
	}
}

const (
	mixSize   = 14
	mixPause  = 25 * time.Millisecond
	settled   = 150 * time.Second
	askAgain  = 60 * time.Second
	maxPoison = 3
)

// run runs the cell and checks it.
func (c cell) run(rules node.SafetyRules, naive bool) result {
	w := newWorld(documents[c.deployment], c.seed, rules, naive)
	w.run(epoch.Add(bootTime))
	aim := w.newRequest("target", w.document.Pipeline(target[c.deployment]), fmt.Sprintf("For the target %d", c.seed))
	home := w.anySeat()
	if c.tickets {
		aim.useTicket(w.seats[home])
	}
	for i := range c.faults {
		w.arm(c.steps[i], c.faults[i], aim)
	}
	w.mix(c.tickets)
	aim.submit(home)
	w.run(epoch.Add(bootTime + askAgain))
	for _, r := range w.requests {
		if r.key.ID == aim.key.ID || w.random.IntN(3) == 0 {
			r.ask(w.anySeat())
		}
	}
	w.run(epoch.Add(bootTime + settled))
	w.check()
	c.checkFault(w)
	requests, by := w.counts()
	return result{requests: requests, outcomes: by, problems: w.problems, lostElsewhere: w.lostElsewhere()}
}

// lostElsewhere counts the requests that were lost although every instance
// that they were sent to is still alive.
func (w *world) lostElsewhere() int {
	count := 0
	for _, r := range w.requests {
		lost, broken := false, false
		for _, a := range r.attempts {
			lost = lost || a.answer != nil && a.answer.Outcome == outcome.Lost
			broken = broken || a.process.dead
		}
		if lost && !broken {
			count++
		}
	}
	return count
}

// arm makes a fault strike when the target reaches a step, once.
func (w *world) arm(s step, f fault, aim *request) {
	struck := false
	w.hooks[s] = append(w.hooks[s], func(p *process, key ident.Key) {
		if struck || key != aim.key {
			return
		}
		struck = true
		f.strike(w, p, key)
	})
}

// mix starts other requests around the target: all pipelines, tickets and
// plain ids, some sent to two places at once or again in another data centre.
func (w *world) mix(tickets bool) {
	for i := range mixSize {
		p := &w.document.Pipelines[i%len(w.document.Pipelines)]
		body := fmt.Sprintf("Plate %d", i)
		if p.SharesAnswer {
			body = "Is it Wojciech or Woyciech?"
		}
		r := w.newRequest(fmt.Sprintf("mix-%d", i), p, body)
		w.clock.After(time.Duration(i)*mixPause, func() {
			seat := w.anySeat()
			if tickets && i%2 == 0 && w.seats[seat].node != nil && !w.seats[seat].dead && !w.now().Before(w.seats[seat].pausedUntil) {
				r.useTicket(w.seats[seat])
			}
			r.submit(seat)
			if i%4 == 1 {
				r.submit(w.anySeat())
			}
			if i%4 == 3 {
				w.clock.After(20*time.Millisecond, func() { r.submit(w.anySeat()) })
			}
		})
	}
}

// parts returns into how many parts the faults cut the fleet. Parts that
// cannot hear each other each find a crashing content out by themselves.
func (c cell) parts(w *world) int {
	parts := 1
	for _, f := range c.faults {
		switch f.name {
		case "cutAll":
			parts = len(w.document.DataCentres)
		case "cutDataCentre":
			parts = max(parts, 2)
		}
	}
	return parts
}

// checkFault checks what holds for particular faults only.
func (c cell) checkFault(w *world) {
	if w.crashes > maxPoison*c.parts(w) {
		w.problemf("one content crashed %d endpoints", w.crashes)
	}
	for _, f := range c.faults {
		if !harmless[f.name] {
			return
		}
	}
	for _, r := range w.requests {
		if strings.Contains(r.body, poison) {
			continue
		}
		for _, a := range r.attempts {
			if a.answer != nil && a.answer.Outcome != outcome.Whole {
				w.problemf("%s: %s (%s) although nothing was broken", r.key, a.answer.Outcome, a.answer.Reason)
			}
		}
	}
}

// harmless lists the faults under which every request must be served whole.
var harmless = map[string]bool{"none": true, "doubleMessages": true, "doubleReplies": true, "plannedStop": true, "rollingRestart": true, "resendElsewhere": true, "newRevision": true, "poison": true}
