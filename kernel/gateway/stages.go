package gateway

import (
	"math"
	"slices"
	"time"

	"anvilcross/kernel/batching"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
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
	for i, s := range r.route.Stages {
		pieces := 0
		if i < len(r.incoming.PieceCounts) {
			pieces = r.incoming.PieceCounts[i]
		}
		r.stages = append(r.stages, stageState{stage: s, pieceCount: pieces, handles: make([]message.ResultHandle, pieces), missingCount: pieces, inputsFetched: value.NewSet[int]()})
	}
	for _, s := range r.stages {
		for _, dependency := range s.stage.DependsOn {
			if s.pieceCount > 0 {
				r.stages[dependency].hasDependents = true
			}
		}
	}
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
		if s.missingCount == 0 || r.resultsConsumed(i) {
			continue
		}
		allDone = false
		if !s.submitted && g.inputsReady(r, s) {
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

// resultsConsumed reports whether all pieces that need a stage's results are
// done. If capacity for results is low, it is enough that they have fetched the
// results: if such a piece fails later, its inputs are computed again.
func (r *request) resultsConsumed(index int) bool {
	releaseEarly := r.stages[index].capacityLow
	for i := range r.stages {
		s := &r.stages[i]
		if s.missingCount > 0 && !(releaseEarly && s.allInputsFetched()) && slices.Contains(s.stage.DependsOn, index) {
			return false
		}
	}
	return r.stages[index].hasDependents
}

// allInputsFetched reports whether every piece of the stage is done or has its
// inputs at the endpoint.
func (s *stageState) allInputsFetched() bool {
	if s.missingCount == 0 {
		return true
	}
	for i, h := range s.handles {
		if h == "" && !s.inputsFetched.Has(i) {
			return false
		}
	}
	return true
}

// inputsReady reports whether all inputs of a stage exist.
func (g *Gateway) inputsReady(r *request, s *stageState) bool {
	for _, dependency := range s.stage.DependsOn {
		if r.stages[dependency].missingCount > 0 || r.stages[dependency].released {
			return false
		}
	}
	return true
}

// stageInputs returns the results that a stage's pieces fetch.
func (r *request) stageInputs(s *stageState) []message.ResultHandle {
	var inputs []message.ResultHandle
	for _, dependency := range s.stage.DependsOn {
		inputs = append(inputs, r.stages[dependency].handles...)
	}
	return inputs
}

// finalInputs returns the results that the model endpoint fetches: those of the
// stages that no other stage depends on.
func (r *request) finalInputs() []message.ResultHandle {
	var inputs []message.ResultHandle
	for i := range r.stages {
		if !r.stages[i].hasDependents {
			inputs = append(inputs, r.stages[i].handles...)
		}
	}
	return inputs
}

// downstreamDepth returns the length of the longest chain of stages that depend
// on a stage.
func (r *request) downstreamDepth(index int) int {
	longest := 0
	for i := range r.stages {
		if r.stages[i].pieceCount > 0 && i > index && slices.Contains(r.stages[i].stage.DependsOn, index) {
			longest = max(longest, 1+r.downstreamDepth(i))
		}
	}
	return longest
}

// downstreamStages returns the services of the stages with pieces that depend on
// a stage, directly or indirectly, and their numbers of pieces. A stage that is
// reached on several paths is included once for each, its pieces only the first
// time.
func (r *request) downstreamStages(index int) (services []ident.Service, pieces []int) {
	counted := value.NewSet[int]()
	var visit func(int)
	visit = func(index int) {
		for i := range r.stages {
			s := &r.stages[i]
			if s.pieceCount == 0 || i <= index || !slices.Contains(s.stage.DependsOn, index) {
				continue
			}
			services = append(services, s.stage.Service)
			count := s.pieceCount
			if counted.Has(i) {
				count = 0
			}
			counted.Add(i)
			pieces = append(pieces, count)
			visit(i)
		}
	}
	visit(index)
	return services, pieces
}

// consumerCount returns how often each result of a stage is fetched: once by
// every piece of the stages that depend on it, or once by the model endpoint.
func (r *request) consumerCount(index int) int {
	if !r.stages[index].hasDependents {
		return 1
	}
	consumers := 0
	for i := range r.stages {
		if slices.Contains(r.stages[i].stage.DependsOn, index) {
			consumers += r.stages[i].pieceCount
		}
	}
	return consumers
}

// submitStage sends a stage's missing pieces to the instance that batches for
// the stage's service. If no data centre can run them, the request is answered.
func (g *Gateway) submitStage(r *request, index int) {
	s := &r.stages[index]
	now := g.now()
	pool, found := g.poolFor(r, s.stage.Service)
	if !found {
		g.fail(r, busyRetryAfter, noStageCentre)
		return
	}
	s.submitted = true
	s.submittedAt = now
	s.pool = pool
	s.batcher = g.batcherOf(s.pool)
	s.batcherIncarnation = g.members.Incarnation(s.batcher)
	var pieces []int
	for i, h := range s.handles {
		if h == "" {
			pieces = append(pieces, i)
		}
	}
	dueAt := r.dueAt.Add(-firstEventEstimate - time.Duration(r.downstreamDepth(index))*stageTimeEstimate)
	w := message.StageWork{
		AcceptsRedirect:     g.redirectedTo(now, s.pool) != s.batcher,
		Request:             r.incoming.ID,
		Service:             s.stage.Service,
		PoolDataCentre:      s.pool.DataCentre,
		Stage:               index,
		Pieces:              pieces,
		ResultBytes:         s.stage.ResultBytes,
		Consumers:           r.consumerCount(index),
		TimeToDue:           dueAt.Sub(now),
		TimeToDeadline:      r.abandonAt.Sub(now) - firstEventEstimate - time.Duration(r.downstreamDepth(index))*g.catalog.BatchProfile(s.stage.Service).SinglePieceCallTime(),
		PreferredDataCentre: r.preferredDataCentre,
		Weight:              g.weight(r),
		Recompute:           s.recompute,
		Recovering:          r.recomputes > 0 || r.takesUp() || g.pipelineAdmission() && r.hasResults(),
		Workspace:           r.workspaceName(),
	}
	s.recompute = false
	if len(s.stage.DependsOn) == 0 || g.pipelineAdmission() && r.startsPipeline(s) {
		w.DownstreamServices, w.DownstreamPieces = r.downstreamStages(index)
		w.FirstStages = r.firstStageCount(s)
	}
	if len(s.stage.DependsOn) == 0 {
		w.PieceKey = r.incoming.PieceKey
	} else {
		w.Inputs = r.stageInputs(s)
		for _, dependency := range s.stage.DependsOn {
			w.InputBytes = max(w.InputBytes, r.stages[dependency].stage.ResultBytes)
			w.InputCapacityLow = w.InputCapacityLow || r.stages[dependency].capacityLow
		}
	}
	g.sendToMember(s.batcher, message.Envelope{StageWork: &w})
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
		if r == nil || p.ID.Stage >= len(r.stages) || p.ID.Piece >= r.stages[p.ID.Stage].pieceCount {
			g.freeUnneededResult(m, p)
			continue
		}
		s := &r.stages[p.ID.Stage]
		switch {
		case p.Outcome == message.PieceDone:
			if s.handles[p.ID.Piece] != "" || s.released {
				if s.handles[p.ID.Piece] != p.Handle {
					g.freeUnneededResult(m, p)
				}
				continue
			}
			s.handles[p.ID.Piece] = p.Handle
			s.missingCount--
			s.capacityLow = s.capacityLow || m.CapacityLow
		case !s.isAt(from, p.ID.Piece):
			outdated++
			continue
		case p.Outcome == message.PieceInputGone:
			if !s.submitted {
				continue
			}
			s.submitted = false
			clear(s.inputsFetched)
			g.recomputeResults(r, s.stage.DependsOn)
		case p.Outcome == message.PieceRefused:
			g.fail(r, g.retryAfterRefusal(r, p.RetryAfter), "no room at stage "+string(m.Service))
			continue
		case p.Outcome == message.PieceMoved:
			s.submitted = false
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
		g.advance(r)
	}
}

// isAt reports whether a piece without a result is at a batcher. Another one's report that it has
// not computed the piece, or one that comes after the result, says nothing of the request.
func (s *stageState) isAt(batcher ident.Instance, piece int) bool {
	return s.batcher == batcher && s.handles[piece] == "" && !s.released
}

// handleInputsFetched handles a batcher's report that the inputs of pieces have
// been fetched, and frees the inputs that nothing else needs.
func (g *Gateway) handleInputsFetched(from ident.Instance, m message.StageInputsFetched) {
	affected := map[RequestHandle]*request{}
	for _, id := range m.Pieces {
		r := g.requestsByID[id.Request]
		if r == nil || id.Stage >= len(r.stages) || id.Piece >= r.stages[id.Stage].pieceCount || !r.stages[id.Stage].isAt(from, id.Piece) {
			continue
		}
		r.stages[id.Stage].inputsFetched.Add(id.Piece)
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
		if s.pieceCount > 0 {
			longest = max(longest, time.Duration(1+r.downstreamDepth(i))*g.catalog.BatchProfile(s.stage.Service).SinglePieceCallTime())
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
	g.dropLostResults(r, indexes)
}

// dropLostResults drops the results of stages that are lost: those that have
// been freed, or whose endpoint is gone or unreachable. If there are none, it
// is unknown which ones are lost, and it drops all results of these stages. The
// inputs from which a dropped result is computed are dropped too if they have
// been freed.
func (g *Gateway) dropLostResults(r *request, indexes []int) {
	now := g.now()
	dropped := false
	for pass := 0; pass < 2 && !dropped; pass++ {
		for _, index := range indexes {
			s := &r.stages[index]
			for i, h := range s.handles {
				e := g.directory.ByAddress(batching.EndpointAddress(h))
				if h == "" || pass == 0 && !s.released && e != nil && !e.Ejected(now) && !g.directory.InPartition(e) {
					continue
				}
				dropped = true
				s.handles[i] = ""
				s.missingCount++
				s.submitted, s.recompute = false, true
				delete(s.inputsFetched, i)
			}
			s.released = s.released && s.missingCount == 0
		}
	}
	for _, index := range indexes {
		if s := &r.stages[index]; s.missingCount > 0 {
			g.dropLostResults(r, r.releasedStages(s.stage.DependsOn))
		}
	}
}

// releasedStages returns those of the given stages whose results have been
// freed.
func (r *request) releasedStages(indexes []int) []int {
	var released []int
	for _, index := range indexes {
		if r.stages[index].released {
			released = append(released, index)
		}
	}
	return released
}

// releaseConsumed frees the results that all downstream stages have used.
func (g *Gateway) releaseConsumed(r *request) {
	for i := range r.stages {
		s := &r.stages[i]
		if s.hasDependents && s.missingCount == 0 && !s.released && r.resultsConsumed(i) {
			g.releaseStage(r, s, false)
		}
	}
}

// releaseAll frees all results of a request and cancels its outstanding pieces.
func (g *Gateway) releaseAll(r *request) {
	for i := range r.stages {
		s := &r.stages[i]
		if s.pieceCount > 0 && (s.submitted || s.missingCount < s.pieceCount) && !s.released {
			g.releaseStage(r, s, s.missingCount > 0)
		}
	}
}

// releaseStage frees the results of a stage, and cancels its outstanding pieces
// if cancelPieces is set.
func (g *Gateway) releaseStage(r *request, s *stageState, cancelPieces bool) {
	s.released = true
	m := message.StageRelease{Service: s.stage.Service, PoolDataCentre: s.pool.DataCentre, Request: r.incoming.ID, CancelPieces: cancelPieces}
	for _, h := range s.handles {
		if h != "" {
			m.Handles = append(m.Handles, h)
		}
	}
	batcher := s.batcher
	if !g.members.Alive(g.now(), batcher) {
		batcher = g.batcherOf(s.pool)
	}
	g.sendToMember(batcher, message.Envelope{StageRelease: &m})
}

// resubmitLostPieces submits outstanding pieces again if their batcher is
// unreachable, runs as a new process, or has not returned them for
// resubmitAfter.
func (g *Gateway) resubmitLostPieces(now time.Time) {
	for _, h := range value.SortedKeys(g.requests) {
		r := g.requests[h]
		if r == nil || r.attempt != nil {
			continue
		}
		for i := range r.stages {
			s := &r.stages[i]
			if !s.submitted || s.missingCount == 0 || s.released {
				continue
			}
			lost := !g.members.Reachable(now, s.batcher)
			replaced := g.members.Incarnation(s.batcher) != s.batcherIncarnation
			if lost || replaced || now.Sub(s.submittedAt) > resubmitAfter {
				g.counters.PiecesResubmitted += s.missingCount
				if lost || replaced {
					clear(s.inputsFetched)
				}
				g.out.LogEvent("piecesResubmitted", "request", r.incoming.ID, "stage", i, "pieces", s.missingCount, "batcher", s.batcher, "lost", lost, "replaced", replaced, "age", now.Sub(s.submittedAt))
				if g.stagesUnreachable(r) {
					g.moveStages(r)
					break
				}
				if g.submitStage(r, i); r.finished {
					break
				}
			}
		}
	}
}
