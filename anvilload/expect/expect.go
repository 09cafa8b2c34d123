// Package expect computes the whole answer that a request must get from the
// simulated endpoints, whose outputs are deterministic, and compares an answer
// with it.
package expect

import (
	"fmt"

	"anvilcross/anvilstandin/script"
	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/outcome"
	"anvilcross/kernel/stage"
)

// Request is a request as its caller sent it.
type Request struct {
	Key      ident.Key
	Pipeline *configuration.Pipeline
	Body     string
}

// StageResults returns the expected result of every stage, in order.
func StageResults(d *configuration.Document, r Request) []outcome.StageResult {
	digest := ident.NewDigest(r.Pipeline.Name, r.Body)
	key := r.Key
	if r.Pipeline.SharesAnswer {
		key.ID = ident.RequestID("same:" + string(r.Pipeline.Name) + ":" + digest.String())
	}
	var results []outcome.StageResult
	for _, s := range r.Pipeline.Stages {
		kind := stage.Lookup(d.Service(s.Service).Kind)
		input := kind.BuildInput(stage.Input{Body: r.Body, Results: results})
		output := ""
		switch kind.Name {
		case "engine":
			output = script.EngineOutput(input, uint64(digest), s.MaxTokens)
		case "pool":
			output = script.PoolOutput(string(s.Name), input)
		case "service":
			output = script.ServiceOutput(string(s.Name), key.String(), input)
		}
		results = append(results, outcome.StageResult{Stage: s.Name, Output: output})
	}
	return results
}

// FindMismatch returns a description of the first difference between a whole
// answer and the expected one, or "" if there is none.
func FindMismatch(d *configuration.Document, r Request, a *outcome.Answer) string {
	want := StageResults(d, r)
	if a.ID != r.Key.ID {
		return fmt.Sprintf("answer is for id %q, not %q", a.ID, r.Key.ID)
	}
	if len(a.Stages) != len(want) {
		return fmt.Sprintf("answer has %d stages, not %d", len(a.Stages), len(want))
	}
	text := ""
	for i := range want {
		if a.Stages[i].Stage != want[i].Stage || a.Stages[i].Output != want[i].Output {
			return fmt.Sprintf("stage %s returned %q, not %q", want[i].Stage, a.Stages[i].Output, want[i].Output)
		}
		if d.Service(r.Pipeline.Stages[i].Service).Kind == "engine" {
			text = want[i].Output
		}
	}
	if a.Text != text {
		return fmt.Sprintf("text is %q, not %q", a.Text, text)
	}
	return ""
}
