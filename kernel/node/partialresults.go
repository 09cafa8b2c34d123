package node

import (
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/outcome"
)

// maxPartialResults bounds the unfinished requests whose stage results are
// kept; beyond it the oldest are dropped.
const maxPartialResults = 2_000

// partialResult holds the stage results of a request that did not finish, so
// that a resend need not compute them again.
type partialResult struct {
	key     ident.Key
	digest  ident.Digest
	results []outcome.StageResult
	addedAt time.Time
}

// partialResultTable keeps partial results in the order in which they were
// added.
type partialResultTable struct {
	byKey map[ident.Key]*partialResult
	order []*partialResult
}

// retainPartial keeps the stage results of a run that ended without a whole
// answer. Only idempotent stages can be among them: a run that sent a
// non-idempotent stage leaves a tombstone and never starts again.
func (n *Node) retainPartial(r *run) {
	if len(r.results) == 0 || r.nonIdempotentSent || r.adopted {
		return
	}
	t := &n.partialResults
	if t.byKey == nil {
		t.byKey = map[ident.Key]*partialResult{}
	}
	p := &partialResult{key: r.key, digest: r.digest, results: r.results, addedAt: n.now()}
	t.byKey[r.key] = p
	t.order = append(t.order, p)
	for len(t.order) > maxPartialResults {
		t.dropOldest()
	}
}

// restorePartial moves kept stage results into a new run of the same request.
func (n *Node) restorePartial(r *run) {
	p := n.partialResults.byKey[r.key]
	if p == nil || p.digest != r.digest {
		return
	}
	delete(n.partialResults.byKey, r.key)
	r.results = p.results
	r.stageIndex = len(p.results)
	if r.streamStageIndex < 0 || r.streamStageIndex >= r.stageIndex {
		return
	}
	r.tokens = splitTokens(p.results[r.streamStageIndex].Output)
}

// dropExpiredPartials drops partial results that are older than the resend
// horizon.
func (n *Node) dropExpiredPartials() {
	t := &n.partialResults
	for len(t.order) > 0 && n.now().Sub(t.order[0].addedAt) > n.resendHorizon() {
		t.dropOldest()
	}
}

func (t *partialResultTable) dropOldest() {
	p := t.order[0]
	t.order = t.order[1:]
	if t.byKey[p.key] == p {
		delete(t.byKey, p.key)
	}
}
