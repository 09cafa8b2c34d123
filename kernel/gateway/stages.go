package gateway

import (
	"math"
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/progress"
	"anvilcross/kernel/published"
	"anvilcross/kernel/value"
)

const (
	// resubmitAfter is how long pieces may be outstanding at an alive batcher
	// before they are submitted again: the time of three full calls. The
	// batcher does not compute a piece twice that it already has.
	resubmitAfter = 2 * time.Second
	// stageTimeEstimate is the time that a downstream stage takes: a full call
	// and the wait for a free endpoint.
	stageTimeEstimate = 450 * time.Millisecond
	// firstEventEstimate is the time that a model endpoint takes from receiving
	// a request to its first event, at a moderate load.
	firstEventEstimate = 200 * time.Millisecond
	// minCallerRetryAfter is the shortest Retry-After of a request that a stage
	// refuses: about the time of one call. It applies after the batcher's delay of
	// some seconds has been limited to a third of the time to the deadline.
	minCallerRetryAfter = 300 * time.Millisecond
	// maxRecomputes limits how often lost results of a request are computed
	// again.
	maxRecomputes = 4
	// noStageCentre is the reason of an answer.
	noStageCentre = "no data centre within reach can run the stages"
)

// setUpStages sets up the state of the route's stages. A stage may have no
// pieces for this request.
func (g *Gateway) setUpStages(r *request) {
	r.stages = progress.NewStages(r.route.Stages, r.incoming.PieceCounts)
	r.preferredDataCentre = g.chooseStageDataCentre(r)
}

// advance takes the next steps that are possible: it submits the stages whose
// inputs exist, and sends the request once all stages are done.
func (g *Gateway) advance(r *request) {
	if r.finished || g.refuseEvacuated(r) {
		return
	}
	allDone := true
	for i := range r.stages {
		s := &r.stages[i]
		if s.MissingCount == 0 || r.stages.Consumed(i) {
			continue
		}
		allDone = false
		if !s.Submitted && r.stages.InputsReady(i) {
			if !g.leaveEvacuated(r) {
				return
			}
			if g.submitStage(r, i); r.finished {
				return
			}
		}
	}
	if allDone && r.attempt == nil && !r.awaitsPermit && !r.awaitsPlacement && !r.awaitsOrigin && !r.awaitsPath {
		g.dispatch(r)
	}
}

// submitStage sends a stage's missing pieces to the instance that batches for
// the stage's service. Pieces without inputs are withdrawn instead: the stage is
// submitted once these exist. If no data centre can run them, the request is answered.
func (g *Gateway) submitStage(r *request, index int) {
	s := &r.stages[index]
	now := g.now()
	if r.stages.InputsMissing(index) {
		g.withdraw(r, index)
		return
	}
	pool, found := g.poolFor(r, s.Spec.Service)
	if !found {
		g.fail(r, busyRetryAfter, noStageCentre)
		return
	}
	s.Submitted = true
	s.SubmittedAt = now
	s.Pool = pool
	s.Batcher = g.batcherOf(s.Pool)
	s.BatcherIncarnation = g.members.Incarnation(s.Batcher)
	dueAt := r.dueAt.Add(-firstEventEstimate - time.Duration(r.stages.DownstreamDepth(index))*stageTimeEstimate)
	w := message.StageWork{
		AcceptsRedirect:     g.redirectedTo(now, s.Pool) != s.Batcher,
		Request:             r.incoming.ID,
		Service:             s.Spec.Service,
		PoolDataCentre:      s.Pool.DataCentre,
		Stage:               index,
		Pieces:              s.MissingPieces(),
		ResultBytes:         s.Spec.ResultBytes,
		Consumers:           r.stages.ConsumerCount(index),
		TimeToDue:           dueAt.Sub(now),
		TimeToDeadline:      r.abandonAt.Sub(now) - firstEventEstimate - time.Duration(r.stages.DownstreamDepth(index))*g.catalog.BatchProfile(s.Spec.Service).SinglePieceCallTime(),
		PreferredDataCentre: r.preferredDataCentre,
		Weight:              g.weight(r),
		Lost:                s.Lost,
		Recompute:           s.Recompute,
		Recovering:          r.recomputes > 0 || r.takesUp() || g.pipelineAdmission() && r.stages.HasResults(),
		Workspace:           r.workspaceName(),
		InputsReleased:      !r.stages.InputsReady(index),
	}
	if w.Recovering {
		g.out.LogEvent("stageSubmitted", "request", r.incoming.ID, "stage", index, "pieces", len(w.Pieces), "lost", len(s.Lost), "batcher", s.Batcher, "inputsRevision", r.stages.InputsRevision(index), "inputsAge", r.stages.InputsAge(now, index))
	}
	s.Recompute = false
	if len(s.Spec.DependsOn) == 0 || g.pipelineAdmission() && r.stages.StartsPipeline(index) {
		w.DownstreamServices, w.DownstreamPieces = r.stages.Downstream(index)
		w.FirstStages = r.stages.FirstStageCount(index)
	}
	if len(s.Spec.DependsOn) == 0 {
		w.PieceKey = r.incoming.PieceKey
	} else {
		w.Inputs = r.stages.Inputs(index)
		w.InputsRevision = r.stages.InputsRevision(index)
		for _, dependency := range s.Spec.DependsOn {
			w.InputBytes = max(w.InputBytes, r.stages[dependency].Spec.ResultBytes)
			w.InputCapacityLow = w.InputCapacityLow || r.stages[dependency].CapacityLow
		}
	}
	g.sendToMember(s.Batcher, message.Envelope{StageWork: &w})
}

// priorityWeightRatio is the ratio of the weights of two adjacent priorities:
// one request counts as much as three of the next lower priority.
const priorityWeightRatio = 3.0

// routeWeightRatio is the same for the priorities of routes within one priority of workspaces. The
// weights of ten of them stay above those of the next lower priority of workspaces.
const routeWeightRatio = 1.1

// weight returns the request's weight against other requests when not all of
// them can be on time. The priority of the workspace, if it has one, overrides
// that of the route. Where whole requests are admitted, that of the route still
// orders the requests of workspaces of equal priority.
func (g *Gateway) weight(r *request) float64 {
	if r.workspace == nil || !r.workspace.HasPriority {
		return math.Pow(priorityWeightRatio, -float64(r.route.Priority))
	}
	weight := math.Pow(priorityWeightRatio, -float64(r.workspace.Priority))
	if g.pipelineAdmission() {
		weight *= math.Pow(routeWeightRatio, -float64(r.route.Priority))
	}
	return weight
}

// handleResults handles a batcher's report on the outcomes of pieces.
func (g *Gateway) handleResults(from ident.Instance, m message.StageResults) {
	g.recordRedirect(m)
	affected := map[RequestHandle]*request{}
	outdated := 0
	for _, p := range m.Results {
		r := g.requestsByID[p.ID.Request]
		if r == nil || p.ID.Stage >= len(r.stages) || p.ID.Piece >= r.stages[p.ID.Stage].PieceCount {
			g.freeUnneededResult(m, p)
			continue
		}
		s := &r.stages[p.ID.Stage]
		switch {
		case p.Outcome == message.PieceDone:
			if s.Handles[p.ID.Piece] != "" || s.Released || slices.Contains(s.Lost, p.Handle) {
				if s.Handles[p.ID.Piece] != p.Handle {
					g.freeUnneededResult(m, p)
				}
				continue
			}
			s.Complete(p.ID.Piece, p.Handle, g.holderOf(p.Handle))
			s.CapacityLow = s.CapacityLow || m.CapacityLow
		case !s.IsAt(from, p.ID.Piece):
			outdated++
			continue
		case p.Outcome == message.PieceInputGone:
			if !s.Submitted {
				continue
			}
			if p.InputsRevision != 0 && p.InputsRevision != r.stages.InputsRevision(p.ID.Stage) {
				outdated++
				continue
			}
			s.Withdraw()
			g.recomputeResults(r, s.Spec.DependsOn)
		case p.Outcome == message.PieceRefused:
			g.fail(r, g.retryAfterRefusal(r, p.RetryAfter), "no room at stage "+string(m.Service))
			continue
		case p.Outcome == message.PieceMoved:
			s.Submitted = false
			g.counters.PiecesMoved++
		default:
			g.fail(r, busyRetryAfter, "stage piece "+string(p.Outcome))
			continue
		}
		affected[r.handle] = r
	}
	if outdated > 0 {
		g.out.LogEvent("outdatedReport", "batcher", from, "service", m.Service, "poolCentre", m.PoolDataCentre, "pieces", outdated)
	}
	for _, h := range value.SortedKeys(affected) {
		r := affected[h]
		g.releaseConsumed(r)
		g.withdrawPieces(r)
		g.advance(r)
	}
}

// handleInputsFetched handles a batcher's report that the inputs of pieces have
// been fetched, and frees the inputs that nothing else needs.
func (g *Gateway) handleInputsFetched(from ident.Instance, m message.StageInputsFetched) {
	affected := map[RequestHandle]*request{}
	for i, id := range m.Pieces {
		r := g.requestsByID[id.Request]
		if r == nil || id.Stage >= len(r.stages) || id.Piece >= r.stages[id.Stage].PieceCount || !r.stages[id.Stage].IsAt(from, id.Piece) {
			continue
		}
		if !r.stages[id.Stage].Submitted || len(m.InputsRevisions) > 0 && m.InputsRevisions[i] != r.stages.InputsRevision(id.Stage) {
			continue
		}
		r.stages[id.Stage].InputsFetched.Add(id.Piece)
		affected[r.handle] = r
	}
	for _, h := range value.SortedKeys(affected) {
		g.releaseConsumed(affected[h])
	}
}

// retryAfterRefusal returns the Retry-After of a request that a stage refuses:
// the time that the batcher gives, but at most a third of the time to the
// request's deadline, so that a second try can still be served before it, and at
// least minCallerRetryAfter.
func (g *Gateway) retryAfterRefusal(r *request, after time.Duration) time.Duration {
	return max(min(after, r.deadline.Sub(g.now())/3), minCallerRetryAfter)
}

// minStageTime returns the shortest time in which a request's stages can run.
func (g *Gateway) minStageTime(r *request) time.Duration {
	longest := time.Duration(0)
	for i := range r.stages {
		s := &r.stages[i]
		if s.PieceCount > 0 {
			longest = max(longest, time.Duration(1+r.stages.DownstreamDepth(i))*g.catalog.BatchProfile(s.Spec.Service).SinglePieceCallTime())
		}
	}
	return longest
}

// freeUnneededResult frees a result that no request of this instance needs.
func (g *Gateway) freeUnneededResult(m message.StageResults, p message.PieceResult) {
	if p.Handle == "" {
		return
	}
	batcher := g.batcherOf(ident.Pool{Service: m.Service, DataCentre: m.PoolDataCentre})
	g.sendToMember(batcher, message.Envelope{StageRelease: &message.StageRelease{Service: m.Service, PoolDataCentre: m.PoolDataCentre, Request: p.ID.Request, Handles: []message.ResultHandle{p.Handle}}})
}

// recomputeResults marks the lost results of stages for computing again, and
// ends the request if that has happened too often.
func (g *Gateway) recomputeResults(r *request, indexes []int) {
	r.recomputes++
	g.counters.Recomputes++
	if r.recomputes > maxRecomputes {
		g.fail(r, busyRetryAfter, "stage results lost repeatedly")
		return
	}
	g.out.LogEvent("resultsLost", "request", r.incoming.ID, "stages", indexes, "remakes", r.recomputes)
	r.stages.Drop(indexes, g.isLost, g.stageTiming(r))
	g.withdrawPieces(r)
}

// stageTiming returns what is known of the times of a request's stages.
func (g *Gateway) stageTiming(r *request) progress.Timing {
	profile := func(stage int) published.BatchProfile {
		if p := g.catalog.BatchProfile(r.stages[stage].Spec.Service); p != nil {
			return *p
		}
		return published.BatchProfile{}
	}
	return progress.Timing{
		Now:       g.now(),
		Retention: func(stage int) time.Duration { return profile(stage).ResultRetention },
		Wait: func(stage int) time.Duration {
			return g.queueWait(g.poolOf(r.stages[stage].Spec.Service, r.preferredDataCentre))
		},
		CallTime: func(stage int) time.Duration {
			p := profile(stage)
			return p.CallOverhead + time.Duration(p.MaxPiecesPerCall)*p.TimePerPiece
		},
	}
}

// holderOf returns where a result that has just been reported is kept.
func (g *Gateway) holderOf(h message.ResultHandle) progress.Holder {
	holder := progress.Holder{Since: g.now()}
	if e := g.directory.ByAddress(h.Address()); e != nil {
		holder.Process = e.Process()
	}
	return holder
}

// isLost reports whether a result is lost: its endpoint is gone, replaced or unreachable, or has
// kept it for as long as it keeps results.
func (g *Gateway) isLost(h message.ResultHandle, holder progress.Holder) bool {
	e := g.directory.ByAddress(h.Address())
	if e == nil || e.Ejected(g.now()) || g.directory.InPartition(e) {
		return true
	}
	if holder.Process.Endpoint != "" && holder.Process != e.Process() {
		return true
	}
	p := g.catalog.BatchProfile(e.Service)
	return p != nil && !holder.Since.IsZero() && g.now().Sub(holder.Since) >= p.ResultRetention
}

// withdrawPieces withdraws the outstanding pieces of stages whose inputs have to be computed
// again, and of those whose results nothing needs any more. Stages that have lost results
// themselves are submitted again.
func (g *Gateway) withdrawPieces(r *request) {
	for i := range r.stages {
		s := &r.stages[i]
		switch {
		case !s.Submitted || s.MissingCount == 0:
		case r.stages.InputsMissing(i) || r.stages.Consumed(i):
			g.withdraw(r, i)
		case s.Recompute:
			s.Submitted = false
		}
	}
}

// withdraw withdraws the missing pieces of a stage from their batcher.
func (g *Gateway) withdraw(r *request, index int) {
	s := &r.stages[index]
	g.out.LogEvent("stageWithdrawn", "request", r.incoming.ID, "stage", index, "pieces", s.MissingCount, "batcher", s.Batcher, "age", g.now().Sub(s.SubmittedAt), "needed", !r.stages.Consumed(index), "inputsAge", r.stages.InputsAge(g.now(), index))
	s.Withdraw()
	g.sendToMember(s.Batcher, message.Envelope{StageWithdrawal: &message.StageWithdrawal{Service: s.Spec.Service, PoolDataCentre: s.Pool.DataCentre, Request: r.incoming.ID, Stage: index}})
}

// releaseConsumed frees the results that all downstream stages have used.
func (g *Gateway) releaseConsumed(r *request) {
	for i := range r.stages {
		s := &r.stages[i]
		if s.HasDependents && s.MissingCount == 0 && !s.Released && r.stages.Consumed(i) {
			g.releaseStage(r, s, false)
		}
	}
}

// releaseAll frees all results of a request and cancels its outstanding pieces.
func (g *Gateway) releaseAll(r *request) {
	for i := range r.stages {
		s := &r.stages[i]
		if s.PieceCount > 0 && (s.Submitted || s.MissingCount < s.PieceCount) && !s.Released {
			g.releaseStage(r, s, s.MissingCount > 0)
		}
	}
}

// releaseStage frees the results of a stage, and cancels its outstanding pieces
// if cancelPieces is set.
func (g *Gateway) releaseStage(r *request, s *progress.Stage, cancelPieces bool) {
	s.Released = true
	m := message.StageRelease{Service: s.Spec.Service, PoolDataCentre: s.Pool.DataCentre, Request: r.incoming.ID, CancelPieces: cancelPieces}
	for _, h := range s.Handles {
		if h != "" {
			m.Handles = append(m.Handles, h)
		}
	}
	batcher := s.Batcher
	if !g.members.Alive(g.now(), batcher) {
		batcher = g.batcherOf(s.Pool)
	}
	g.sendToMember(batcher, message.Envelope{StageRelease: &m})
}

// resubmitLostPieces submits outstanding pieces again if their batcher is
// unreachable, runs as a new process, or has not returned them for
// resubmitAfter.
func (g *Gateway) resubmitLostPieces(now time.Time) {
	for _, h := range value.SortedKeys(g.requests) {
		r := g.requests[h]
		for i := 0; r != nil && !r.finished && r.attempt == nil && i < len(r.stages); i++ {
			if s := &r.stages[i]; s.Submitted && s.MissingCount > 0 && !s.Released {
				g.resubmitIfLost(now, r, i)
			}
		}
	}
}

// resubmitIfLost does so for the outstanding pieces of one stage. With its batcher, the inputs are
// lost that it had fetched.
func (g *Gateway) resubmitIfLost(now time.Time, r *request, index int) {
	s := &r.stages[index]
	lost := !g.members.Reachable(now, s.Batcher)
	replaced := g.members.Incarnation(s.Batcher) != s.BatcherIncarnation
	age := now.Sub(s.SubmittedAt)
	if !lost && !replaced && age <= resubmitAfter {
		return
	}
	g.counters.PiecesResubmitted += s.MissingCount
	g.out.LogEvent("piecesResubmitted", "request", r.incoming.ID, "stage", index, "pieces", s.MissingCount, "batcher", s.Batcher, "lost", lost, "replaced", replaced, "age", age, "inputsReady", r.stages.InputsReady(index))
	switch {
	case g.stagesUnreachable(r):
		g.moveStages(r)
	case lost || replaced:
		s.Withdraw()
		r.stages.DropReleasedInputs()
		g.withdrawPieces(r)
		g.advance(r)
	default:
		g.submitStage(r, index)
	}
}
