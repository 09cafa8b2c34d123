// Package stage is the registry of stage kinds. A kind says how the input of
// its endpoints is made from the request and the stages before, and how their
// replies are read. Each kind registers itself from its own file.
package stage

import (
	"fmt"

	"anvilcross/kernel/outcome"
	"anvilcross/kernel/value"
)

// Input is what a kind may build an endpoint's input from.
type Input struct {
	Body    string
	Results []outcome.StageResult
}

// Kind is one way of calling endpoints.
type Kind struct {
	// Name is the word that the configuration uses.
	Name string
	// Path is the endpoint's HTTP path.
	Path string
	// Streams is set when the reply is a stream of tokens that can be
	// resumed on another endpoint.
	Streams bool
	// BuildInput returns the input for the endpoint.
	BuildInput func(Input) string
}

var kinds = map[string]*Kind{}

// Register adds a kind. A doubled name is a programming error.
func Register(k *Kind) {
	if kinds[k.Name] != nil {
		panic(fmt.Sprintf("stage kind %q is registered twice", k.Name))
	}
	kinds[k.Name] = k
}

// Lookup returns the kind with the given name, or nil.
func Lookup(name string) *Kind { return kinds[name] }

// Names returns the registered names in order.
func Names() []string { return value.SortedKeys(kinds) }

// lastOutput returns the output of the preceding stage, or the body.
func lastOutput(in Input) string {
	if len(in.Results) == 0 {
		return in.Body
	}
	return in.Results[len(in.Results)-1].Output
}
