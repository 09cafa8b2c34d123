package matrix

import (
	"math/rand/v2"

	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/node"
	"anvilcross/kernel/outcome"
	"anvilcross/kernel/spend"
	"anvilcross/kernel/stage"
)

// naive is a kernel for comparison. It calls a random endpoint, retries any
// failed call, and has no stored ids, no claims and no quarantine.
type naive struct {
	sim       *sim
	process   *process
	output    node.Output
	random    *rand.Rand
	lastCall  ident.CallID
	runByCall map[ident.CallID]*naiveRun
}

// naiveRun is the state of a request that naive is running.
type naiveRun struct {
	waiter     ident.WaiterID
	submission message.Submission
	pipeline   *configuration.Pipeline
	results    []outcome.StageResult
	tokens     []string
	tokensSent int
	failures   int
}

const naiveMaxRetries = 3 // per request

func newNaive(sm *sim, p *process, output node.Output) *naive {
	return &naive{sim: sm, process: p, output: output, random: rand.New(rand.NewPCG(uint64(p.incarnation), 3)), runByCall: map[ident.CallID]*naiveRun{}}
}

func (n *naive) Submit(waiter ident.WaiterID, s message.Submission, _ bool) {
	n.startNextStage(&naiveRun{waiter: waiter, submission: s, pipeline: n.sim.document.Pipeline(s.Pipeline)})
}

func (n *naive) startNextStage(r *naiveRun) {
	if len(r.results) == len(r.pipeline.Stages) {
		n.sendAnswer(r, outcome.Whole)
		return
	}
	s := r.pipeline.Stages[len(r.results)]
	service := n.sim.document.Service(s.Service)
	var candidates []ident.Endpoint
	for _, l := range n.sim.listings {
		if l.Service == s.Service {
			candidates = append(candidates, l.Name)
		}
	}
	n.lastCall++
	n.runByCall[n.lastCall] = r
	r.tokens = nil
	kind := stage.Lookup(service.Kind)
	n.output.StartCall(node.Call{
		ID: n.lastCall, Endpoint: candidates[n.random.IntN(len(candidates))], Kind: service.Kind, Key: r.submission.Key, Stage: s.Name,
		Input: kind.BuildInput(stage.Input{Body: r.submission.Body, Results: r.results}),
	})
}

func (n *naive) HandleToken(id ident.CallID, token string) {
	if r := n.runByCall[id]; r != nil {
		r.tokens = append(r.tokens, token)
		if len(r.tokens) > r.tokensSent {
			n.output.SendToken(r.waiter, r.tokensSent, token)
			r.tokensSent++
		}
	}
}

func (n *naive) HandleCallResult(id ident.CallID, reply node.CallResult) {
	r := n.runByCall[id]
	if r == nil {
		return
	}
	delete(n.runByCall, id)
	s := r.pipeline.Stages[len(r.results)]
	output := reply.Output
	for _, token := range r.tokens {
		output += token
	}
	r.results = append(r.results, outcome.StageResult{Stage: s.Name, Output: output, Cost: spend.Cost{}})
	n.startNextStage(r)
}

func (n *naive) HandleCallFailure(id ident.CallID, _ node.CallFailure, _ string) {
	r := n.runByCall[id]
	if r == nil {
		return
	}
	delete(n.runByCall, id)
	r.failures++
	if r.failures > naiveMaxRetries {
		n.sendAnswer(r, outcome.NotRun)
		return
	}
	n.startNextStage(r)
}

func (n *naive) sendAnswer(r *naiveRun, o outcome.Outcome) {
	a := outcome.Answer{ID: r.submission.Key.ID, Outcome: o, Stages: r.results}
	for i, s := range r.results {
		if n.sim.document.Service(r.pipeline.Stages[i].Service).Kind == "engine" {
			a.Text = s.Output
		}
	}
	n.output.SendAnswer(r.waiter, a)
}
