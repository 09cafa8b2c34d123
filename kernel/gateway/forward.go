package gateway

import (
	"math"
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/published"
	"anvilcross/kernel/value"
)

const (
	// maxForwardTries bounds the instances to which a request is forwarded in turn.
	maxForwardTries = 3
	// maxForwardedIn bounds the requests of other instances that are in progress here.
	maxForwardedIn = 512
)

// Forwarding says that a request comes from another instance, which has no path to the
// endpoints.
type Forwarding struct {
	By ident.Instance `json:"by"`
	// Sends is how often the request has been sent to endpoints before.
	Sends int `json:"sends,omitempty"`
}

// ForwardAnswer is the own answer of an instance to a request that was forwarded to it.
type ForwardAnswer struct {
	Answer     Answer        `json:"answer"`
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	Reason     string        `json:"reason"`
	// Elsewhere is set if the request has not run and another instance may serve it.
	Elsewhere bool `json:"elsewhere,omitempty"`
	// NoPath is set if the instance has no path to the endpoints either.
	NoPath bool `json:"noPath,omitempty"`
}

// ForwardAnswer returns what the step answers to the instance that forwarded the request.
func (s Step) ForwardAnswer() ForwardAnswer {
	return ForwardAnswer{Answer: s.Answer, RetryAfter: s.RetryAfter, Reason: s.Reason, Elsewhere: s.Elsewhere, NoPath: s.NoPath}
}

// forward forwards a request to another instance, because this one has no path to the
// endpoints of its service. It returns false if there is none to forward it to.
func (g *Gateway) forward(r *request) bool {
	if r.incoming.Forwarded != nil || len(r.triedMembers) >= maxForwardTries || r.partlyRelayed || r.firstEventSent && (!r.route.Resumable || r.lastEventID == "") {
		return false
	}
	member := g.chooseForwardMember(r)
	address, known := g.members.Address(member)
	if !known {
		return false
	}
	now := g.now()
	r.attemptCount++
	r.attempt = &attempt{id: r.attemptCount, member: member, address: address, startedAt: now}
	r.triedMembers.Add(member)
	g.forwardsTo[member]++
	g.counters.Forwarded++
	g.out.LogEvent("forwarded", "request", r.incoming.ID, "member", member, "service", r.service, "after", now.Sub(r.arrivedAt), "sends", r.sends, "resume", r.lastEventID)
	g.out.NextStep(r.handle, Step{Send: &Send{
		Attempt:     r.attemptCount,
		Member:      member,
		Address:     address,
		Forwarding:  Forwarding{By: g.config.Self.Name, Sends: r.sends},
		Remaining:   r.deadline.Sub(now),
		Stream:      r.route.Kind == published.Stream,
		Repeatable:  r.route.Repeatable(),
		LastEventID: r.lastEventID,
		Resumes:     r.streamID(),
		HeadSent:    r.firstEventSent,
	}})
	return true
}

// chooseForwardMember returns the member that has the fewest requests of this instance among
// those that may serve one: members of the own data centre, unless most of these have lost
// their paths too, or those that are reported to have paths if the first one has none. It
// is empty if there is none.
func (g *Gateway) chooseForwardMember(r *request) ident.Instance {
	var local, all []ident.Instance
	localCount := 0
	for _, name := range g.members.AliveMembers(g.now()) {
		if name == g.config.Self.Name {
			continue
		}
		isLocal := g.members.DataCentre(name) == g.config.Self.DataCentre
		if isLocal {
			localCount++
		}
		if !g.members.AcceptsForwards(name) || r.triedMembers.Has(name) || g.lacksPath(name, r.service) || !g.mayForwardTo(r, name) {
			continue
		}
		all = append(all, name)
		if isLocal {
			local = append(local, name)
		}
	}
	if 2*len(local) >= localCount && len(local) > 0 && len(r.triedMembers) == 0 {
		all = local
	}
	if len(r.triedMembers) > 0 && g.now().Sub(g.pathMembersAt) <= pathReportTTL {
		reported := slices.DeleteFunc(slices.Clone(all), func(name ident.Instance) bool { return !g.reportedPathMembers.Has(name) })
		if len(reported) > 0 {
			all = reported
		}
	}
	best, fewest := ident.Instance(""), math.MaxInt
	for _, at := range g.random.Perm(len(all)) {
		if n := g.forwardsTo[all[at]]; n < fewest {
			best, fewest = all[at], n
		}
	}
	return best
}

// refuseForwarded answers a forwarded request that another instance may serve, if this one
// cannot, and reports whether it did.
func (g *Gateway) refuseForwarded(r *request) bool {
	if r.incoming.Forwarded == nil {
		return false
	}
	reason := ""
	switch {
	case g.shuttingDown:
		reason = "the instance is stopping"
	case g.forwardedIn >= maxForwardedIn:
		reason = "too many forwarded requests"
	case g.paths.Lost(r.service):
		reason = "no path to the endpoints either"
	default:
		g.forwardedIn++
		r.countedForwarded = true
		return false
	}
	g.answer(r, NotRun, busyRetryAfter, reason)
	return true
}

// servedElsewhere reports whether another instance may serve a forwarded request that has
// not run and that this one does not serve.
func (g *Gateway) servedElsewhere(r *request, a Answer) bool {
	return r.incoming.Forwarded != nil && a == NotRun && (r.route == nil || g.shuttingDown || !r.countedForwarded || g.lacksOwnPath(r))
}

// lacksOwnPath reports whether this instance has probably no path to a request's service.
func (g *Gateway) lacksOwnPath(r *request) bool {
	return r.route != nil && (g.paths.Lost(r.service) || g.paths.Checking(r.service))
}

// HandleForwardAnswer handles the own answer of the instance to which a request was
// forwarded.
func (g *Gateway) HandleForwardAnswer(h RequestHandle, id AttemptID, a ForwardAnswer) {
	r := g.requestOfAttempt(h, id)
	if r == nil {
		return
	}
	member := r.attempt.member
	g.out.LogEvent("forwardAnswered", "request", r.incoming.ID, "member", member, "answer", a.Answer, "reason", a.Reason, "elsewhere", a.Elsewhere, "after", g.now().Sub(r.attempt.startedAt))
	g.endAttempt(r)
	if a.NoPath {
		g.addPathReport(member, r.service)
	}
	switch {
	case a.Answer == NotRun && a.Elsewhere:
		g.forwardAgain(r, a.RetryAfter, a.Reason)
	case a.Answer == NotRun:
		g.fail(r, a.RetryAfter, a.Reason)
	default:
		g.answer(r, a.Answer, a.RetryAfter, a.Reason)
	}
}

// addPathReport records that a member lacks the path to a service, until its next ping.
func (g *Gateway) addPathReport(member ident.Instance, s ident.Service) {
	report := g.pathReports[member]
	lost := value.NewSet(report.lost.Sorted()...)
	lost.Add(s)
	g.pathReports[member] = pathReport{lost: lost, at: g.now()}
}

// forwardAgain forwards a request to another member, because the last one certainly does
// not run it. If there is none, the request is answered.
func (g *Gateway) forwardAgain(r *request, retryAfter time.Duration, reason string) {
	if !g.now().Before(r.deadline) || !g.forward(r) {
		g.fail(r, max(retryAfter, busyRetryAfter), reason)
	}
}

// handleForwardFailure handles the failure of an exchange with the instance to which a
// request was forwarded. Unless nothing was sent, the request may have run there, more than
// once: it is not sent again.
func (g *Gateway) handleForwardFailure(r *request, f AttemptFailure, detail string) {
	member := r.attempt.member
	g.out.LogEvent("forwardFailed", "request", r.incoming.ID, "member", member, "failure", f, "detail", detail, "after", g.now().Sub(r.attempt.startedAt))
	g.endAttempt(r)
	if f == NotSent {
		g.forwardAgain(r, busyRetryAfter, "the member was not reached")
		return
	}
	r.mayHaveRun = true
	g.answer(r, MayHaveRun, 0, "the member's answer "+f.String())
}
