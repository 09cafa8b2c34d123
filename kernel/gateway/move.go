package gateway

import (
	"slices"

	"anvilcross/kernel/message"
)

// stagesUnreachable reports whether the data centre in which a request's stages
// run cannot be reached.
func (g *Gateway) stagesUnreachable(r *request) bool {
	return g.pools().Divided && (g.members.Partitioned(g.now(), r.preferredDataCentre) || g.batcherOf(g.poolOf(r.stages[0].Spec.Service, r.preferredDataCentre)) == "")
}

// moveStages runs a request's stages in another data centre, because the present
// one cannot be reached. Results there are computed again.
func (g *Gateway) moveStages(r *request) {
	from := r.preferredDataCentre
	r.preferredDataCentre = g.chooseStageDataCentre(r)
	g.out.LogEvent("stagesMoved", "request", r.incoming.ID, "from", from, "to", r.preferredDataCentre, "after", g.now().Sub(r.arrivedAt))
	if r.preferredDataCentre == "" {
		g.fail(r, busyRetryAfter, noStageCentre)
		return
	}
	g.dropPartitionedResults(r)
	g.advance(r)
}

// dropPartitionedResults drops the results that cannot be reached, and withdraws
// the outstanding pieces. Results that have been freed are dropped too if pieces
// that need them have to be computed.
func (g *Gateway) dropPartitionedResults(r *request) {
	var indexes []int
	for i := range r.stages {
		s := &r.stages[i]
		if s.Released || s.PieceCount == 0 {
			continue
		}
		s.Withdraw()
		if slices.ContainsFunc(s.Handles, g.inPartition) {
			indexes = append(indexes, i)
		}
	}
	r.stages.Drop(indexes, g.isLost, g.stageTiming(r))
}

// inPartition reports whether a result is held where this instance cannot reach
// it.
func (g *Gateway) inPartition(h message.ResultHandle) bool {
	e := g.directory.ByAddress(h.Address())
	return h != "" && (e == nil || g.directory.InPartition(e))
}
