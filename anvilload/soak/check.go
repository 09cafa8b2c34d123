package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"anvilcross/anvilstandin/client"
	"anvilcross/anvilstandin/worker"
)

const (
	// drainBound, applyBound and leaveBound are the bounds of the users' pages
	// for a leaving worker, a change of the configuration, and work for a
	// caller that has left; boundSlack is for the machine that the run shares.
	drainBound = 2 * time.Second
	applyBound = 2 * time.Second
	leaveBound = 500 * time.Millisecond
	boundSlack = 500 * time.Millisecond
	// recoveryBound is how long after the last disturbance requests have to be
	// served again, and servedShare the share of them.
	recoveryBound = 2 * time.Second
	servedShare   = 0.95
	// budgetWindow, budgetRatio and budgetSlack are the retry budget that the
	// daemons run with: their defaults.
	budgetWindow = 10 * time.Second
	budgetRatio  = 0.1
	budgetSlack  = 20
	// contactTime is how long after a disturbance of a daemon or its links the
	// bounds do not hold for it.
	contactTime = 3 * time.Second
)

// attemptLimits are the most workers that may run a request of each route.
var attemptLimits = map[string]int{"order": 1, "lookup": 2, "draft": 1, "verse": 2}

// sent is one request as its caller saw it.
type sent struct {
	request client.Request
	daemon  int
	at      time.Time
	reply   client.Reply
	// left is when the caller closed its connection; zero if it did not.
	left time.Time
}

// span is a time in which something was disturbed.
type span struct {
	from, to time.Time
	// daemon is the number of the daemon concerned, everyDaemon or noDaemon.
	daemon int
	// worker is the worker whose link was disturbed, if one was.
	worker string
}

const (
	everyDaemon = -1
	noDaemon    = -2
)

// drained is a worker that was leaving for a time.
type drained struct {
	worker   string
	from, to time.Time
}

// probe asks a daemon for a route that a version of the configuration added.
type probe struct {
	daemon, incarnation, version int
	// published is when the version was.
	published, at time.Time
	status        int
}

// history is all that was seen in a run.
type history struct {
	began, ended time.Time
	// quiet is when the last disturbance was over.
	quiet    time.Time
	sent     []sent
	records  map[string]worker.RequestRecord
	problems []string
	spans    []span
	drained  []drained
	probes   []probe
}

// inTouch reports whether a daemon was undisturbed for the contact time before
// a moment.
func (h *history) inTouch(daemon int, at time.Time) bool {
	for _, s := range h.spans {
		if (s.daemon == daemon || s.daemon == everyDaemon) && s.from.Before(at) && at.Before(s.to.Add(contactTime)) {
			return false
		}
	}
	return true
}

// steady reports whether a worker and its link were undisturbed for the contact
// time before a moment: a request that a link held up comes late.
func (h *history) steady(worker string, at time.Time) bool {
	for _, s := range h.spans {
		if s.worker == worker && s.from.Before(at) && at.Before(s.to.Add(contactTime)) {
			return false
		}
	}
	return true
}

// check is one promise of the users' pages; it returns what breaks it.
type check struct {
	name string
	find func(*history) []string
}

// checks is the table of all promises that a run looks at.
var checks = []check{
	{"whole", wholeAnswers},
	{"once", ranOnce},
	{"refused", refusalsTrue},
	{"workers", func(h *history) []string { return h.problems }},
	{"answered", answered},
	{"drain", drainedLeftAlone},
	{"forward", configurationForward},
	{"inForce", configurationInForce},
	{"left", leaveNoticed},
	{"budget", budgetKept},
	{"recovered", servedAgain},
}

// wholeAnswers: a success is the whole answer to the caller's own request.
func wholeAnswers(h *history) []string {
	var found []string
	for _, s := range h.sent {
		if s.reply.Status != http.StatusOK || s.reply.Err != nil || !s.left.IsZero() {
			continue
		}
		if wrong := client.FindProblem(s.request, s.reply); wrong != "" {
			found = append(found, fmt.Sprintf("%s %s: %s", s.request.Route, s.request.ID, wrong))
		}
	}
	return found
}

// ranOnce: no request runs at more workers than its route allows.
func ranOnce(h *history) []string {
	var found []string
	for _, s := range h.sent {
		if runs := h.records[s.request.ID].Runs; len(runs) > attemptLimits[s.request.Route] {
			found = append(found, fmt.Sprintf("%s %s ran %d times: %v", s.request.Route, s.request.ID, len(runs), runs))
		}
	}
	return found
}

// refusalsTrue: a request that was said not to have run has not.
func refusalsTrue(h *history) []string {
	var found []string
	for _, s := range h.sent {
		switch s.reply.Status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if runs := h.records[s.request.ID].Runs; len(runs) > 0 {
				found = append(found, fmt.Sprintf("%s %s was answered %d and ran: %v", s.request.Route, s.request.ID, s.reply.Status, runs))
			}
		}
	}
	return found
}

// answered: a daemon in touch answers, or closes the connection, by the
// deadline.
func answered(h *history) []string {
	var found []string
	for _, s := range h.sent {
		late := s.reply.Elapsed > s.request.Timeout+boundSlack
		if late && h.inTouch(s.daemon, s.at.Add(s.reply.Elapsed)) {
			found = append(found, fmt.Sprintf("%s %s at daemon %d took %v", s.request.Route, s.request.ID, s.daemon, s.reply.Elapsed))
		}
	}
	return found
}

// drainedLeftAlone: a leaving worker gets nothing new after the bound, from
// daemons in touch.
func drainedLeftAlone(h *history) []string {
	var found []string
	for _, d := range h.drained {
		for _, s := range h.sent {
			for _, v := range h.records[s.request.ID].Arrivals {
				late := v.Start.After(d.from.Add(drainBound+boundSlack)) && v.Start.Before(d.to)
				if v.Worker == d.worker && late && h.inTouch(s.daemon, v.Start) && h.steady(v.Worker, v.Start) {
					found = append(found, fmt.Sprintf("%s got %s %v after it began to leave", v.Worker, s.request.ID, v.Start.Sub(d.from)))
				}
			}
		}
	}
	return found
}

// configurationForward: a process that has shown a version shows no older one.
func configurationForward(h *history) []string {
	type process struct{ daemon, incarnation, version int }
	shown := map[process]bool{}
	var found []string
	for _, p := range h.probes {
		key := process{p.daemon, p.incarnation, p.version}
		if p.status == http.StatusOK {
			shown[key] = true
		}
		if p.status == http.StatusNotFound && shown[key] {
			found = append(found, fmt.Sprintf("daemon %d lost version %d at %v", p.daemon, p.version, p.at.Sub(h.began)))
		}
	}
	return found
}

// configurationInForce: a version is in force at daemons in touch within the
// bound.
func configurationInForce(h *history) []string {
	var found []string
	for _, p := range h.probes {
		late := p.at.Sub(p.published) > applyBound+boundSlack
		if p.status == http.StatusNotFound && late && h.inTouch(p.daemon, p.at) {
			found = append(found, fmt.Sprintf("daemon %d has not version %d after %v", p.daemon, p.version, p.at.Sub(p.published)))
		}
	}
	return found
}

// leaveNoticed: workers stop soon after a caller has left.
func leaveNoticed(h *history) []string {
	var found []string
	for _, s := range h.sent {
		if s.left.IsZero() || s.request.Route != "verse" && s.request.Route != "draft" {
			continue
		}
		for _, v := range h.records[s.request.ID].Runs {
			until := v.End
			if until.IsZero() {
				until = h.ended
			}
			if until.Sub(s.left) > leaveBound+boundSlack && h.inTouch(s.daemon, until) && h.steady(v.Worker, until) {
				found = append(found, fmt.Sprintf("%s works on %s %v after its caller left", v.Worker, s.request.ID, until.Sub(s.left)))
			}
		}
	}
	return found
}

// budgetKept: arrivals beyond the first of each request stay within the fleet's
// retry budget in every window.
func budgetKept(h *history) []string {
	var again, first []time.Time
	for _, s := range h.sent {
		first = append(first, s.at)
		for n, v := range h.records[s.request.ID].Arrivals {
			if n > 0 {
				again = append(again, v.Start)
			}
		}
	}
	order := func(x, y time.Time) int { return cmp.Compare(x.UnixNano(), y.UnixNano()) }
	slices.SortFunc(again, order)
	for i, from := range again {
		repeats, requests := 0, 0
		for _, at := range again[i:] {
			if at.Sub(from) <= budgetWindow {
				repeats++
			}
		}
		for _, at := range first {
			if at.After(from.Add(-budgetWindow/2)) && at.Before(from.Add(budgetWindow)) {
				requests++
			}
		}
		if allowed := budgetRatio*float64(requests) + budgetSlack; float64(repeats) > allowed {
			return []string{fmt.Sprintf("%d repeats in a window from %v, %.0f allowed", repeats, from.Sub(h.began), allowed)}
		}
	}
	return nil
}

// servedAgain: after the last disturbance nearly all requests are served.
func servedAgain(h *history) []string {
	served, all := 0, 0
	for _, s := range h.sent {
		if s.at.Before(h.quiet.Add(recoveryBound)) || !s.left.IsZero() {
			continue
		}
		all++
		if client.FindProblem(s.request, s.reply) == "" {
			served++
		}
	}
	if all == 0 || float64(served) < servedShare*float64(all) {
		return []string{fmt.Sprintf("%d of %d requests were served after the last disturbance", served, all)}
	}
	return nil
}
