package node

import (
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/outcome"
)

// maxPartial bounds the requests whose stage results are kept although they
// did not finish; at the bound the oldest are dropped.
const maxPartial = 2_000

// partial holds the stage results of a request that did not finish, so that
// its resend does not pay for them again.
type partial struct {
	key     ident.Key
	digest  ident.Digest
	results []outcome.StageResult
	at      time.Time
}

// partialTable keeps partial results in the order of their arrival.
type partialTable struct {
	byKey map[ident.Key]*partial
	order []*partial
}

// keepPartial remembers the results of a run that ended without an answer.
// Only stages without effects can be among them: a run with a dispatched
// stage leaves a tombstone and never starts again.
func (n *Node) keepPartial(r *run) {
	if len(r.results) == 0 || r.dispatched || r.adopted {
		return
	}
	t := &n.partials
	if t.byKey == nil {
		t.byKey = map[ident.Key]*partial{}
	}
	p := &partial{key: r.key, digest: r.digest, results: r.results, at: n.now()}
	t.byKey[r.key] = p
	t.order = append(t.order, p)
	for len(t.order) > maxPartial {
		t.dropFirst()
	}
}

// takePartial restores kept results into a new run of the same request.
func (n *Node) takePartial(r *run) {
	p := n.partials.byKey[r.key]
	if p == nil || p.digest != r.digest {
		return
	}
	delete(n.partials.byKey, r.key)
	r.results = p.results
	r.stage = len(p.results)
	if r.streamStage < 0 || r.streamStage >= r.stage {
		return
	}
	r.tokens = splitTokens(p.results[r.streamStage].Output)
}

// sweepPartial drops results that are older than the resend horizon.
func (n *Node) sweepPartial() {
	t := &n.partials
	for len(t.order) > 0 && n.now().Sub(t.order[0].at) > n.horizon() {
		t.dropFirst()
	}
}

func (t *partialTable) dropFirst() {
	p := t.order[0]
	t.order = t.order[1:]
	if t.byKey[p.key] == p {
		delete(t.byKey, p.key)
	}
}
