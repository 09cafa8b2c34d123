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
	// The users' specification allows maxDrainDelay until a draining worker
	// gets no new requests, maxConfigurationDelay until a new configuration
	// is in force, and maxCancelDelay until workers stop working for a caller
	// that has left. timingSlack is added to each bound because other
	// processes share the machine with a run.
	maxDrainDelay         = 2 * time.Second
	maxConfigurationDelay = 2 * time.Second
	maxCancelDelay        = 500 * time.Millisecond
	timingSlack           = 500 * time.Millisecond
	// From maxRecoveryTime after the last event on, at least minServedShare of
	// the requests must be served.
	maxRecoveryTime = 2 * time.Second
	minServedShare  = 0.95
	// retryBudgetWindow, retryBudgetRatio and retryBudgetSlack are the daemons'
	// default retry budget, which they run with here.
	retryBudgetWindow = 10 * time.Second
	retryBudgetRatio  = 0.1
	retryBudgetSlack  = 20
	// A worker that names workerRateLimit may get limitFactor times what that allows in
	// limitWindow, and limitSlack requests more, from limitContactTime on.
	workerRateLimit  = 2
	limitFactor      = 1.5
	limitSlack       = 5
	limitWindow      = 4 * time.Second
	limitContactTime = 3 * time.Second
	// A cold worker may get as much for workerColdRate in coldWindow, from coldContactTime on,
	// when its entry has arrived. A new process is cold for coldStart.
	workerColdRate  = 4.0
	coldWindow      = time.Second
	coldContactTime = time.Second
	coldStart       = time.Second
	// A worker that refuses with workerRestText in seconds, workerRest, may get maxInRest
	// requests from a daemon between restGrace after that and its end.
	workerRest     = 1500 * time.Millisecond
	workerRestText = "1.5"
	restGrace      = 500 * time.Millisecond
	maxInRest      = 2
	// noticeTime is the time in which the first answer that says that a worker leaves has
	// come.
	noticeTime = 200 * time.Millisecond
	// storeRestoreTime is how long the store is away while it is restored, and then until
	// its content is written again.
	storeRestoreTime = 300 * time.Millisecond
	// graceAfterFault is the time after a fault of a daemon, a worker or one of
	// their links in which the time bounds are not checked for it.
	graceAfterFault = 3 * time.Second
)

// maxRunsByRoute is the largest number of workers that may run one request, by
// route.
var maxRunsByRoute = map[string]int{"order": 1, "lookup": 2, "draft": 1, "verse": 2}

// exchange is one request and its reply as the caller saw them.
type exchange struct {
	request client.Request
	// daemon is the number of the daemon that got the request.
	daemon int
	sentAt time.Time
	reply  client.Reply
	// leftAt is when the caller closed its connection; zero if it did not.
	leftAt time.Time
}

// faultSpan is a time in which an event impaired a daemon, a worker or a link.
type faultSpan struct {
	from, to time.Time
	// daemon is the number of the affected daemon, everyDaemon or noDaemon.
	daemon int
	// worker is the name of the affected worker, if there is one.
	worker string
}

const (
	everyDaemon = -1
	noDaemon    = -2
)

// drainSpan is a time in which a worker was draining.
type drainSpan struct {
	worker   string
	from, to time.Time
}

// limitSpan is a time in which a worker named a rate limit or was cold. The limit holds in
// each window from the contact time on.
type limitSpan struct {
	worker          string
	from, to        time.Time
	rate            float64
	contact, window time.Duration
}

// versionProbe is a request to a daemon for a route that a version of the
// configuration added. Status 404 means that the version is not in force there.
type versionProbe struct {
	daemon, incarnation, version int
	// publishedAt is when the version was published, sentAt when the probe was
	// sent.
	publishedAt, sentAt time.Time
	status              int
}

// history is everything that was observed in a run.
type history struct {
	startedAt, endedAt time.Time
	// eventsEnd is when the last event was over.
	eventsEnd time.Time
	exchanges []exchange
	// workerRecords is what the workers saw of each request, by its id.
	workerRecords map[string]worker.Record
	// problems are protocol violations that the workers reported.
	problems   []string
	faultSpans []faultSpan
	drains     []drainSpan
	limits     []limitSpan
	probes     []versionProbe
}

// daemonUndisturbed reports whether no fault affected a daemon at a time, nor
// within graceAfterFault before it.
func (h *history) daemonUndisturbed(daemon int, at time.Time) bool {
	for _, s := range h.faultSpans {
		if (s.daemon == daemon || s.daemon == everyDaemon) && s.from.Before(at) && at.Before(s.to.Add(graceAfterFault)) {
			return false
		}
	}
	return true
}

// workerUndisturbed reports the same for a worker and its link: an impaired link
// can delay a request that the daemon sent in time.
func (h *history) workerUndisturbed(worker string, at time.Time) bool {
	for _, s := range h.faultSpans {
		if s.worker == worker && s.from.Before(at) && at.Before(s.to.Add(graceAfterFault)) {
			return false
		}
	}
	return true
}

// check tests one guarantee of the users' specification. find returns a
// description of each violation.
type check struct {
	name string
	find func(*history) []string
}

// checks lists all guarantees that a run is checked for.
var checks = []check{
	{"whole", checkWholeAnswers},
	{"once", checkRunCounts},
	{"refused", checkRefusals},
	{"workers", func(h *history) []string { return h.problems }},
	{"answered", checkDeadlines},
	{"drain", checkDrains},
	{"forward", checkVersionOrder},
	{"inForce", checkVersionDelay},
	{"left", checkCancellation},
	{"budget", checkRetryBudget},
	{"limit", checkRateLimits},
	{"rest", checkRests},
	{"recovered", checkRecovery},
}

// checkWholeAnswers checks that every successful answer is the whole answer to
// the caller's own request.
func checkWholeAnswers(h *history) []string {
	var found []string
	for _, s := range h.exchanges {
		if s.reply.Status != http.StatusOK || s.reply.Err != nil || !s.leftAt.IsZero() {
			continue
		}
		if problem := client.FindProblem(s.request, s.reply); problem != "" {
			found = append(found, fmt.Sprintf("%s %s: %s", s.request.Route, s.request.ID, problem))
		}
	}
	return found
}

// checkRunCounts checks that no request ran at more workers than its route
// allows.
func checkRunCounts(h *history) []string {
	var found []string
	for _, s := range h.exchanges {
		if runs := h.workerRecords[s.request.ID].Runs; len(runs) > maxRunsByRoute[s.request.Route] {
			found = append(found, fmt.Sprintf("%s %s ran %d times: %v", s.request.Route, s.request.ID, len(runs), runs))
		}
	}
	return found
}

// checkRefusals checks that no request ran whose caller was told that it did
// not run.
func checkRefusals(h *history) []string {
	var found []string
	for _, s := range h.exchanges {
		switch s.reply.Status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if runs := h.workerRecords[s.request.ID].Runs; len(runs) > 0 {
				found = append(found, fmt.Sprintf("%s %s was answered %d and ran: %v", s.request.Route, s.request.ID, s.reply.Status, runs))
			}
		}
	}
	return found
}

// checkDeadlines checks that undisturbed daemons answered or closed the
// connection by the request's deadline.
func checkDeadlines(h *history) []string {
	var found []string
	for _, s := range h.exchanges {
		overdue := s.reply.Elapsed > s.request.Timeout+timingSlack
		if overdue && h.daemonUndisturbed(s.daemon, s.sentAt.Add(s.reply.Elapsed)) {
			found = append(found, fmt.Sprintf("%s %s at daemon %d took %v", s.request.Route, s.request.ID, s.daemon, s.reply.Elapsed))
		}
	}
	return found
}

// checkDrains checks that undisturbed daemons sent no new requests to a worker
// that had been draining for longer than maxDrainDelay.
func checkDrains(h *history) []string {
	var found []string
	for _, d := range h.drains {
		for _, s := range h.exchanges {
			for _, v := range h.workerRecords[s.request.ID].Arrivals {
				afterDrain := v.Start.After(d.from.Add(maxDrainDelay+timingSlack)) && v.Start.Before(d.to)
				if v.Worker == d.worker && afterDrain && h.daemonUndisturbed(s.daemon, v.Start) && h.workerUndisturbed(v.Worker, v.Start) {
					found = append(found, fmt.Sprintf("%s got %s %v after it began to drain", v.Worker, s.request.ID, v.Start.Sub(d.from)))
				}
			}
		}
	}
	return found
}

// checkVersionOrder checks that no process went back to an older configuration
// after it had applied a version.
func checkVersionOrder(h *history) []string {
	type process struct{ daemon, incarnation, version int }
	applied := map[process]bool{}
	var found []string
	for _, p := range h.probes {
		key := process{p.daemon, p.incarnation, p.version}
		if p.status == http.StatusOK {
			applied[key] = true
		}
		if p.status == http.StatusNotFound && applied[key] {
			found = append(found, fmt.Sprintf("daemon %d lost version %d at %v", p.daemon, p.version, p.sentAt.Sub(h.startedAt)))
		}
	}
	return found
}

// checkVersionDelay checks that undisturbed daemons applied each version within
// maxConfigurationDelay.
func checkVersionDelay(h *history) []string {
	var found []string
	for _, p := range h.probes {
		overdue := p.sentAt.Sub(p.publishedAt) > maxConfigurationDelay+timingSlack
		if p.status == http.StatusNotFound && overdue && h.daemonUndisturbed(p.daemon, p.sentAt) {
			found = append(found, fmt.Sprintf("daemon %d has not applied version %d after %v", p.daemon, p.version, p.sentAt.Sub(p.publishedAt)))
		}
	}
	return found
}

// checkCancellation checks that workers stopped working on a stream within
// maxCancelDelay after its caller had left.
func checkCancellation(h *history) []string {
	var found []string
	for _, s := range h.exchanges {
		if s.leftAt.IsZero() || s.request.Route != "verse" && s.request.Route != "draft" {
			continue
		}
		for _, v := range h.workerRecords[s.request.ID].Runs {
			until := v.End
			if until.IsZero() {
				until = h.endedAt
			}
			if until.Sub(s.leftAt) > maxCancelDelay+timingSlack && h.daemonUndisturbed(s.daemon, until) && h.workerUndisturbed(v.Worker, until) {
				found = append(found, fmt.Sprintf("%s worked on %s until %v after its caller left", v.Worker, s.request.ID, until.Sub(s.leftAt)))
			}
		}
	}
	return found
}

// checkRetryBudget checks that in every window the arrivals at workers beyond
// the first of each request stayed within the retry budget of the fleet. The
// allowance counts requests from half a window before the window to its end.
func checkRetryBudget(h *history) []string {
	var repeatTimes, requestTimes []time.Time
	for _, s := range h.exchanges {
		requestTimes = append(requestTimes, s.sentAt)
		for n, v := range h.workerRecords[s.request.ID].Arrivals {
			if n > 0 {
				repeatTimes = append(repeatTimes, v.Start)
			}
		}
	}
	byTime := func(x, y time.Time) int { return cmp.Compare(x.UnixNano(), y.UnixNano()) }
	slices.SortFunc(repeatTimes, byTime)
	for i, windowStart := range repeatTimes {
		repeats, requests := 0, 0
		for _, at := range repeatTimes[i:] {
			if at.Sub(windowStart) <= retryBudgetWindow {
				repeats++
			}
		}
		for _, at := range requestTimes {
			if at.After(windowStart.Add(-retryBudgetWindow/2)) && at.Before(windowStart.Add(retryBudgetWindow)) {
				requests++
			}
		}
		if allowed := retryBudgetRatio*float64(requests) + retryBudgetSlack; float64(repeats) > allowed {
			return []string{fmt.Sprintf("%d repeats in the window that starts at %v, %.0f allowed", repeats, windowStart.Sub(h.startedAt), allowed)}
		}
	}
	return nil
}

// checkRateLimits checks that workers got no more than the rate limits that they named, or
// than cold ones may get, from undisturbed daemons.
func checkRateLimits(h *history) []string {
	var found []string
	for _, l := range h.limits {
		var arrivals []time.Time
		for _, s := range h.exchanges {
			for _, v := range h.workerRecords[s.request.ID].Arrivals {
				if v.Worker == l.worker && v.Start.After(l.from.Add(l.contact)) && v.Start.Before(l.to) && h.daemonUndisturbed(s.daemon, v.Start) {
					arrivals = append(arrivals, v.Start)
				}
			}
		}
		slices.SortFunc(arrivals, time.Time.Compare)
		begin := 0
		for n, at := range arrivals {
			for at.Sub(arrivals[begin]) >= l.window {
				begin++
			}
			if got, allowed := n-begin+1, limitFactor*l.rate*l.window.Seconds()+limitSlack; float64(got) > allowed {
				found = append(found, fmt.Sprintf("%s has a limit of %v and got %d requests in %v, %.0f allowed", l.worker, l.rate, got, l.window, allowed))
				break
			}
		}
	}
	return found
}

// checkRests checks that a worker got no more requests from an undisturbed daemon than
// allowed in the time for which it had asked that one for rest.
func checkRests(h *history) []string {
	type link struct {
		daemon int
		worker string
	}
	arrivals, rests := map[link][]time.Time{}, map[link][]time.Time{}
	for _, s := range h.exchanges {
		record := h.workerRecords[s.request.ID]
		for _, v := range record.Arrivals {
			k := link{s.daemon, v.Worker}
			arrivals[k] = append(arrivals[k], v.Start)
		}
		for _, v := range record.Rests {
			k := link{s.daemon, v.Worker}
			rests[k] = append(rests[k], v.Start)
		}
	}
	var found []string
	for k, times := range rests {
		for _, at := range times {
			got := 0
			for _, arrival := range arrivals[k] {
				if since := arrival.Sub(at); since > restGrace && since < workerRest {
					got++
				}
			}
			if got > maxInRest && h.daemonUndisturbed(k.daemon, at.Add(workerRest)) {
				found = append(found, fmt.Sprintf("%s got %d requests from daemon %d in its rest", k.worker, got, k.daemon))
			}
		}
	}
	return found
}

// checkRecovery checks that minServedShare of the requests were served after the
// last event.
func checkRecovery(h *history) []string {
	served, total := 0, 0
	for _, s := range h.exchanges {
		if s.sentAt.Before(h.eventsEnd.Add(maxRecoveryTime)) || !s.leftAt.IsZero() {
			continue
		}
		total++
		if client.FindProblem(s.request, s.reply) == "" {
			served++
		}
	}
	if total == 0 || float64(served) < minServedShare*float64(total) {
		return []string{fmt.Sprintf("%d of %d requests were served after the last event", served, total)}
	}
	return nil
}
