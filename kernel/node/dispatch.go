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
	// callTimeoutFactor is the ratio of a call's timeout to the stage's
	// expected time.
	callTimeoutFactor = 8
	minCallTimeout    = 200 * time.Millisecond
	// promptPrefixBytes is the length of the start of a prompt by which
	// prompts with the same prefix are recognised.
	promptPrefixBytes = 48
)

// dispatch sends the run's next stage to an endpoint, or tries again later.
func (n *Node) dispatch(r *run) {
	s := &r.pipeline.Stages[r.stageIndex]
	if n.document.Service(s.Service) == nil {
		n.abort(r, outcome.NoEndpoint)
		return
	}
	if s.Idempotent && n.abortIfQuarantined(r) || !s.Idempotent && !n.checkNonIdempotentDispatch(r) {
		return
	}
	e, isolated, mustWait := n.chooseEndpoint(r, s)
	if e == nil {
		if !mustWait {
			n.logEvent("noEndpoint", r.key, string(s.Service))
		}
		n.retryLater(r, endpointRetryDelay)
		return
	}
	if !s.Idempotent {
		r.nonIdempotentSent = true
	}
	n.startCall(r, s, e, isolated)
}

// checkNonIdempotentDispatch makes the last checks before a non-idempotent
// stage is sent. If one fails, it ends the run and returns false.
func (n *Node) checkNonIdempotentDispatch(r *run) bool {
	now := n.now()
	if r.pipeline.LateAnswer == configuration.DropLate && now.After(r.deadline) {
		n.abort(r, outcome.DeadlinePassed)
		return false
	}
	if r.ownership == ownedByClaim && !n.rules.LeaseValid(now.Sub(r.claim.startedAt), n.resendHorizon()) {
		n.finish(r, outcome.Lost, outcome.LeaseExpired, "the claim is too old to be relied on")
		return false
	}
	return true
}

// chooseEndpoint picks the endpoint for the run's next stage; it is nil if
// there is none. Suspect content runs isolated: one suspect at a time per
// service and instance, on an endpoint that depends on the content. mustWait
// is set while another suspect runs or the content's backoff lasts.
func (n *Node) chooseEndpoint(r *run, s *configuration.Stage) (e *route.Endpoint, isolated, mustWait bool) {
	now := n.now()
	candidates := n.directory.Candidates(now, s.Service, r.failedEndpoints)
	if len(candidates) == 0 {
		candidates = n.directory.Candidates(now, s.Service, nil)
	}
	if s.Idempotent && n.blame.MustRunIsolated(now, r.digest, s.Service) {
		if n.isolatedCalls[s.Service] > 0 || n.blame.InBackoff(now, r.digest) {
			return nil, false, true
		}
		return n.isolationEndpoint(r.digest, candidates), true, false
	}
	expectedMillis := float64(s.ExpectedMillis)
	input := &route.PolicyInput{
		Now:                  now,
		Candidates:           candidates,
		Seat:                 n.config.Seat,
		DataCentre:           n.config.DataCentre,
		Concurrency:          n.document.Service(s.Service).Concurrency,
		ExpectedMillis:       expectedMillis,
		CrossRoundTripMillis: 2 * n.document.CrossDataCentreDelayMillis,
		RemainingMillis:      n.stageBudgetMillis(r),
		Prefix:               promptPrefixHash(r, n.document.Service(s.Service)),
		Random:               n.config.Random,
	}
	return n.policy.Choose(input), false, false
}

// isolationEndpoint returns the endpoint for suspect content, in this
// instance's data centre if possible. The choice depends on the content and on
// its number of crashes, so that two suspects that shared an endpoint once get
// different ones the next time.
func (n *Node) isolationEndpoint(d ident.Digest, candidates []*route.Endpoint) *route.Endpoint {
	rankingKey := d.String() + "/" + strconv.Itoa(n.blame.CrashCount(d))
	ownDataCentre := n.config.DataCentre
	var best *route.Endpoint
	for _, e := range candidates {
		closer := best != nil && e.DataCentre == ownDataCentre && best.DataCentre != ownDataCentre
		farther := best != nil && e.DataCentre != ownDataCentre && best.DataCentre == ownDataCentre
		if best == nil || closer || !farther && ident.HashPair(rankingKey, string(e.Name)) > ident.HashPair(rankingKey, string(best.Name)) {
			best = e
		}
	}
	return best
}

// stageBudgetMillis returns the time that the deadline leaves for the next
// stage, after the expected times of the stages behind it.
func (n *Node) stageBudgetMillis(r *run) float64 {
	remainingMillis := float64(r.deadline.Sub(n.now())) / float64(time.Millisecond)
	for i := r.stageIndex + 1; i < len(r.pipeline.Stages); i++ {
		remainingMillis -= float64(r.pipeline.Stages[i].ExpectedMillis)
	}
	return remainingMillis
}

// promptPrefixHash identifies the start of an engine's prompt within a
// workspace. It is 0 for services that don't stream.
func promptPrefixHash(r *run, s *configuration.Service) uint64 {
	if k := stage.Lookup(s.Kind); k == nil || !k.Streams {
		return 0
	}
	body := r.submission.Body
	return ident.HashPair(string(r.key.Workspace), body[:min(len(body), promptPrefixBytes)])
}

func (n *Node) startCall(r *run, s *configuration.Stage, e *route.Endpoint, isolated bool) {
	now := n.now()
	service := n.document.Service(s.Service)
	kind := stage.Lookup(service.Kind)
	n.lastCallID++
	c := &call{id: n.lastCallID, run: r, endpoint: e, service: s.Service, startedAt: now, lastProgressAt: now, isolated: isolated}
	c.timeout = max(callTimeoutFactor*s.ExpectedMillis.Duration(), minCallTimeout)
	if !s.Idempotent {
		// A timeout before the final deadline would turn a slow success into
		// a lost answer.
		c.timeout = max(r.finalDeadline.Sub(now), c.timeout)
	}
	r.call = c
	n.calls[c.id] = c
	if isolated {
		n.isolatedCalls[s.Service]++
	}
	if r.currentResult.Stage != s.Name {
		r.currentResult = outcome.StageResult{Stage: s.Name}
		if kind.Streams {
			r.tokens = nil
		}
	}
	r.currentResult.Endpoint = e.Name
	r.currentResult.Attempts++
	n.counters.Calls++
	e.RecordStart(now, promptPrefixHash(r, service))
	input := kind.BuildInput(stage.Input{Body: r.submission.Body, Results: r.results})
	if e.DataCentre != n.config.DataCentre {
		r.currentResult.Cost.CrossDataCentreBytes += len(input)
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

// checkProgress fails a call that is past its timeout, or whose stream has
// stalled.
func (n *Node) checkProgress(c *call) {
	if n.calls[c.id] != c {
		return
	}
	limit := c.timeout
	if len(c.run.tokens) > 0 && c.lastProgressAt.After(c.startedAt) {
		limit = streamStallTimeout
	}
	idle := n.now().Sub(c.lastProgressAt)
	if idle >= limit {
		n.out.CancelCall(c.id)
		n.failCall(c, TimedOut, "")
		return
	}
	c.timer = n.timers.After(limit-idle, func() { n.checkProgress(c) })
}

// removeCall removes a call that has ended from the tables.
func (n *Node) removeCall(c *call) {
	delete(n.calls, c.id)
	n.timers.Stop(c.timer)
	if c.isolated {
		n.isolatedCalls[c.service]--
	}
	if c.run.call == c {
		c.run.call = nil
	}
}

// findCall returns the call that a reply belongs to, or nil if the call was
// cancelled or timed out. The second look-up serves only a MatchCall rule that
// picks one of the open calls, as a mutation of the fault matrix does.
func (n *Node) findCall(id ident.CallID) *call {
	if c := n.calls[n.rules.MatchCall(id, nil)]; c != nil {
		return c
	}
	if len(n.calls) == 0 {
		return nil
	}
	return n.calls[n.rules.MatchCall(id, value.SortedKeys(n.calls))]
}

// HandleToken handles the next token of a call's stream.
func (n *Node) HandleToken(id ident.CallID, token string) {
	c := n.findCall(id)
	if c == nil || c.run.phase != phaseRunning {
		return
	}
	r := c.run
	c.lastProgressAt = n.now()
	r.tokens = append(r.tokens, token)
	n.counters.Tokens++
	n.streamTokens(r)
}

// HandleCallResult handles an endpoint's complete reply.
func (n *Node) HandleCallResult(id ident.CallID, result CallResult) {
	c := n.findCall(id)
	if c == nil {
		n.counters.LateReplies++
		return
	}
	r := c.run
	n.removeCall(c)
	duration := n.now().Sub(c.startedAt)
	c.endpoint.RecordSuccess(n.now(), duration)
	if result.Load != nil {
		n.directory.RecordLoad(n.now(), c.endpoint.Name, *result.Load)
	}
	n.retryBudget.RecordSuccess()
	if r.phase != phaseRunning {
		return
	}
	if c.isolated {
		n.clearBlame(r.digest)
	}
	n.recordStageBurn(r, true)
	n.recordStageResult(r, c, result, duration)
	n.advance(r)
}

// recordStageResult completes the current stage's result and moves the run to
// the next stage.
func (n *Node) recordStageResult(r *run, c *call, result CallResult, duration time.Duration) {
	s := &r.pipeline.Stages[r.stageIndex]
	output := result.Output
	if k := stage.Lookup(n.serviceKind(s.Service)); k != nil && k.Streams {
		output = strings.Join(r.tokens, "")
	}
	r.currentResult.Output = output
	r.currentResult.Millis += float64(duration) / float64(time.Millisecond)
	r.currentResult.Cost.Add(result.Cost)
	if c.endpoint.DataCentre != n.config.DataCentre {
		r.currentResult.Cost.CrossDataCentreBytes += len(output)
	}
	r.results = append(r.results, r.currentResult)
	n.stageCosts.add(r.pipeline.Name, r.currentResult)
	r.currentResult = outcome.StageResult{}
	r.failedEndpoints = value.NewSet[ident.Endpoint]()
	r.stageIndex++
}

func (n *Node) serviceKind(name ident.Service) string {
	if s := n.document.Service(name); s != nil {
		return s.Kind
	}
	return ""
}

// splitTokens splits a finished text into the tokens that its stream had: each
// ends after a space.
func splitTokens(text string) []string {
	if text == "" {
		return nil
	}
	return strings.SplitAfter(text, " ")
}
