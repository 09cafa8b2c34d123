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

// naive is the version to compare with: any endpoint, three retries of
// anything, no memory of ids, no claims, no quarantine.
type naive struct {
	world   *world
	process *process
	output  node.Output
	random  *rand.Rand
	serial  ident.CallID
	runs    map[ident.CallID]*naiveRun
}

type naiveRun struct {
	waiter     ident.WaiterID
	submission message.Submission
	pipeline   *configuration.Pipeline
	results    []outcome.StageResult
	tokens     []string
	sent       int
	failures   int
}

const naiveRetries = 3

func newNaive(w *world, p *process, out node.Output) *naive {
	return &naive{world: w, process: p, output: out, random: rand.New(rand.NewPCG(uint64(p.incarnation), 3)), runs: map[ident.CallID]*naiveRun{}}
}

func (n *naive) Submit(w ident.WaiterID, s message.Submission, _ bool) {
	n.next(&naiveRun{waiter: w, submission: s, pipeline: n.world.document.Pipeline(s.Pipeline)})
}

func (n *naive) next(r *naiveRun) {
	if len(r.results) == len(r.pipeline.Stages) {
		n.answer(r, outcome.Whole)
		return
	}
	s := r.pipeline.Stages[len(r.results)]
	service := n.world.document.Service(s.Service)
	var all []ident.Endpoint
	for _, l := range n.world.list {
		if l.Service == s.Service {
			all = append(all, l.Name)
		}
	}
	n.serial++
	n.runs[n.serial] = r
	r.tokens = nil
	kind := stage.Lookup(service.Kind)
	n.output.StartCall(node.Call{
		ID: n.serial, Endpoint: all[n.random.IntN(len(all))], Kind: service.Kind, Key: r.submission.Key, Stage: s.Name,
		Input: kind.BuildInput(stage.Input{Body: r.submission.Body, Results: r.results}),
	})
}

func (n *naive) CallToken(id ident.CallID, token string) {
	if r := n.runs[id]; r != nil {
		r.tokens = append(r.tokens, token)
		if len(r.tokens) > r.sent {
			n.output.SendToken(r.waiter, r.sent, token)
			r.sent++
		}
	}
}

func (n *naive) CallDone(id ident.CallID, reply node.CallResult) {
	r := n.runs[id]
	if r == nil {
		return
	}
	delete(n.runs, id)
	s := r.pipeline.Stages[len(r.results)]
	output := reply.Output
	for _, t := range r.tokens {
		output += t
	}
	r.results = append(r.results, outcome.StageResult{Stage: s.Name, Output: output, Cost: spend.Cost{}})
	n.next(r)
}

func (n *naive) CallFailed(id ident.CallID, _ node.CallFailure, _ string) {
	r := n.runs[id]
	if r == nil {
		return
	}
	delete(n.runs, id)
	r.failures++
	if r.failures > naiveRetries {
		n.answer(r, outcome.NotRun)
		return
	}
	n.next(r)
}

func (n *naive) answer(r *naiveRun, o outcome.Outcome) {
	a := outcome.Answer{ID: r.submission.Key.ID, Outcome: o, Stages: r.results}
	for i, s := range r.results {
		if n.world.document.Service(r.pipeline.Stages[i].Service).Kind == "engine" {
			a.Text = s.Output
		}
	}
	n.output.SendAnswer(r.waiter, a)
}
