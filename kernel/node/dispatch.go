package node

import (
	"strconv"
	"strings"
	"time"

	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/outcome"
	"anvilcross/kernel/route"
	"anvilcross/kernel/stage"
	"anvilcross/kernel/value"
)

const (
	// timeoutFactor times the expected time of a call is its time-out.
	timeoutFactor = 8
	minTimeout    = 200 * time.Millisecond
	// prefixBytes is how much of a prompt identifies its prefix.
	prefixBytes = 48
)

// dispatch sends the next stage of a run to an endpoint.
func (n *Node) dispatch(r *run) {
	s := &r.pipeline.Stages[r.stage]
	if n.document.Service(s.Service) == nil {
		n.abort(r, outcome.NoEndpoint)
		return
	}
	if s.Idempotent && n.endIfGuilty(r) || !s.Idempotent && !n.mayRunOnce(r) {
		return
	}
	e, alone, wait := n.choose(r, s)
	if e == nil {
		if !wait {
			n.event("noEndpoint", r.key, string(s.Service))
		}
		n.retryLater(r, waitForEndpoint)
		return
	}
	if !s.Idempotent {
		r.dispatched = true
	}
	n.startCall(r, s, e, alone)
}

// mayRunOnce makes the last checks before a non-idempotent stage.
func (n *Node) mayRunOnce(r *run) bool {
	now := n.now()
	if r.pipeline.LateAnswer == configuration.DropLate && now.After(r.deadline) {
		n.abort(r, outcome.DeadlinePassed)
		return false
	}
	if r.ownership == ownedByClaim && !n.rules.LeaseValid(now.Sub(r.claim.since), n.horizon()) {
		n.finish(r, outcome.Lost, outcome.LeaseExpired, "the claim is too old to be relied on")
		return false
	}
	return true
}

// choose picks the endpoint for a stage. A suspect runs alone on the endpoint
// that ranks first in the data centre; wait is set while that is taken.
func (n *Node) choose(r *run, s *configuration.Stage) (e *route.Endpoint, alone, wait bool) {
	now := n.now()
	candidates := n.book.Candidates(now, s.Service, r.failed)
	if len(candidates) == 0 {
		candidates = n.book.Candidates(now, s.Service, nil)
	}
	if s.Idempotent && n.blame.MustRunAlone(now, r.digest, s.Service) {
		if n.suspects[s.Service] > 0 || n.blame.InBackoff(now, r.digest) {
			return nil, false, true
		}
		return n.isolate(r.digest, candidates), true, false
	}
	expected := float64(s.ExpectedMillis)
	c := &route.PolicyInput{
		Now:                  now,
		Candidates:           candidates,
		Seat:                 n.config.Seat,
		DataCentre:           n.config.DataCentre,
		Concurrency:          n.document.Service(s.Service).Concurrency,
		ExpectedMillis:       expected,
		CrossRoundTripMillis: 2 * n.document.CrossDataCentreDelayMillis,
		RemainingMillis:      n.stageBudget(r),
		Prefix:               promptPrefix(r, n.document.Service(s.Service)),
		Random:               n.config.Random,
	}
	return n.policy.Choose(c), false, false
}

// isolate returns the endpoint for a suspect, of the own data centre when it
// has one. The content and its crashes so far choose it, so that two suspects
// that met once do not meet again.
func (n *Node) isolate(d ident.Digest, candidates []*route.Endpoint) *route.Endpoint {
	name := d.String() + "/" + strconv.Itoa(n.blame.CrashCount(d))
	here := n.config.DataCentre
	var best *route.Endpoint
	for _, e := range candidates {
		near := best != nil && e.DataCentre == here && best.DataCentre != here
		far := best != nil && e.DataCentre != here && best.DataCentre == here
		if best == nil || near || !far && ident.HashPair(name, string(e.Name)) > ident.HashPair(name, string(best.Name)) {
			best = e
		}
	}
	return best
}

// stageBudget is the time that the deadline leaves for the stage that comes
// next, after the expected times of those behind it.
func (n *Node) stageBudget(r *run) float64 {
	left := float64(r.deadline.Sub(n.now())) / float64(time.Millisecond)
	for i := r.stage + 1; i < len(r.pipeline.Stages); i++ {
		left -= float64(r.pipeline.Stages[i].ExpectedMillis)
	}
	return left
}

// promptPrefix identifies the start of an engine's prompt within a workspace.
func promptPrefix(r *run, s *configuration.Service) uint64 {
	if k := stage.Lookup(s.Kind); k == nil || !k.Streams {
		return 0
	}
	body := r.submission.Body
	return ident.HashPair(string(r.key.Workspace), body[:min(len(body), prefixBytes)])
}

func (n *Node) startCall(r *run, s *configuration.Stage, e *route.Endpoint, alone bool) {
	now := n.now()
	service := n.document.Service(s.Service)
	kind := stage.Lookup(service.Kind)
	n.callSerial++
	c := &call{id: n.callSerial, run: r, endpoint: e, service: s.Service, started: now, progress: now, alone: alone}
	c.timeout = max(timeoutFactor*s.ExpectedMillis.Duration(), minTimeout)
	if !s.Idempotent {
		// Giving up early would turn a slow success into a loss.
		c.timeout = max(r.limit.Sub(now), c.timeout)
	}
	r.call = c
	n.calls[c.id] = c
	if alone {
		n.suspects[s.Service]++
	}
	if r.current.Stage != s.Name {
		r.current = outcome.StageResult{Stage: s.Name}
		if kind.Streams {
			r.tokens = nil
		}
	}
	r.current.Endpoint = e.Name
	r.current.Attempts++
	n.counters.Calls++
	e.RecordStart(now, promptPrefix(r, service))
	input := kind.BuildInput(stage.Input{Body: r.submission.Body, Results: r.results})
	if e.DataCentre != n.config.DataCentre {
		r.current.Cost.CrossDataCentreBytes += len(input)
	}
	c.timer = n.timers.After(c.timeout, func() { n.checkProgress(c) })
	out := Call{
		ID:         c.id,
		Endpoint:   e.Name,
		Address:    e.Address,
		DataCentre: e.DataCentre,
		Kind:       service.Kind,
		Key:        r.key,
		Stage:      s.Name,
		Input:      input,
		MaxTokens:  s.MaxTokens,
		Seed:       uint64(r.digest),
		Model:      service.Model,
		Deadline:   r.deadline,
	}
	if kind.Streams {
		out.ReceivedTokens = r.tokens[:min(n.rules.ResumeAt(len(r.tokens)), len(r.tokens))]
	}
	n.out.StartCall(out)
}

// checkProgress fails a call that is past its time-out, or a stream that has
// stalled.
func (n *Node) checkProgress(c *call) {
	if n.calls[c.id] != c {
		return
	}
	limit := c.timeout
	if len(c.run.tokens) > 0 && c.progress.After(c.started) {
		limit = stallLimit
	}
	idle := n.now().Sub(c.progress)
	if idle >= limit {
		n.out.CancelCall(c.id)
		n.failCall(c, TimedOut, "")
		return
	}
	c.timer = n.timers.After(limit-idle, func() { n.checkProgress(c) })
}

// endCall takes a call out of the tables.
func (n *Node) endCall(c *call) {
	delete(n.calls, c.id)
	n.timers.Stop(c.timer)
	if c.alone {
		n.suspects[c.service]--
	}
	if c.run.call == c {
		c.run.call = nil
	}
}

// findCall returns the call that a reply belongs to, or nil for a call that
// was cancelled or timed out.
func (n *Node) findCall(id ident.CallID) *call {
	if c := n.calls[n.rules.MatchCall(id, nil)]; c != nil {
		return c
	}
	if len(n.calls) == 0 {
		return nil
	}
	return n.calls[n.rules.MatchCall(id, value.SortedKeys(n.calls))]
}

// CallToken takes the next token of a stream.
func (n *Node) CallToken(id ident.CallID, token string) {
	c := n.findCall(id)
	if c == nil || c.run.phase != working {
		return
	}
	r := c.run
	c.progress = n.now()
	r.tokens = append(r.tokens, token)
	n.counters.Tokens++
	n.pushTokens(r)
}

// CallDone takes an endpoint's whole reply.
func (n *Node) CallDone(id ident.CallID, result CallResult) {
	c := n.findCall(id)
	if c == nil {
		n.counters.LateReplies++
		return
	}
	r := c.run
	n.endCall(c)
	took := n.now().Sub(c.started)
	c.endpoint.RecordSuccess(n.now(), took)
	if result.Load != nil {
		n.book.RecordLoad(n.now(), c.endpoint.Name, *result.Load)
	}
	n.retries.RecordSuccess()
	if r.phase != working {
		return
	}
	if c.alone {
		n.acquit(r.digest)
	}
	n.countStageBurn(r, true)
	n.recordStage(r, c, result, took)
	n.advance(r)
}

func (n *Node) recordStage(r *run, c *call, result CallResult, took time.Duration) {
	s := &r.pipeline.Stages[r.stage]
	output := result.Output
	if k := stage.Lookup(n.serviceKind(s.Service)); k != nil && k.Streams {
		output = strings.Join(r.tokens, "")
	}
	r.current.Output = output
	r.current.Millis += float64(took) / float64(time.Millisecond)
	r.current.Cost.Add(result.Cost)
	if c.endpoint.DataCentre != n.config.DataCentre {
		r.current.Cost.CrossDataCentreBytes += len(output)
	}
	r.results = append(r.results, r.current)
	n.recentCost.add(r.pipeline.Name, r.current)
	r.current = outcome.StageResult{}
	r.failed = value.NewSet[ident.Endpoint]()
	r.stage++
}

func (n *Node) serviceKind(name ident.Service) string {
	if s := n.document.Service(name); s != nil {
		return s.Kind
	}
	return ""
}

// splitTokens restores a token list for a stream that begins after the end.
func splitTokens(text string) []string {
	if text == "" {
		return nil
	}
	return strings.SplitAfter(text, " ")
}
