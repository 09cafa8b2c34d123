// Package stage is the registry of the kinds of stages in pipelines. A kind
// defines how endpoints are called: the HTTP path, how the input is built from
// the request and the results of earlier stages, and whether the reply is
// streamed. Each kind registers itself from its own file.
package stage

import (
	"fmt"

	"anvilcross/kernel/outcome"
	"anvilcross/kernel/value"
)

// Input holds what a kind can build an endpoint's input from: the request body
// and the results of the stages that have finished, in order.
type Input struct {
	Body    string
	Results []outcome.StageResult
}

// Kind defines how the endpoints of a service are called.
type Kind struct {
	// Name is the kind's name in the configuration.
	Name string
	// Path is the endpoint's HTTP path.
	Path string
	// Streams is set if the reply is a stream of tokens that can be resumed on
	// another endpoint.
	Streams bool
	// BuildInput returns the input that is sent to the endpoint.
	BuildInput func(Input) string
}

var kinds = map[string]*Kind{}

// Register adds a kind. It panics if the name is already registered.
func Register(k *Kind) {
	if kinds[k.Name] != nil {
		panic(fmt.Sprintf("stage kind %q is registered twice", k.Name))
	}
	kinds[k.Name] = k
}

// Lookup returns the kind with the given name, or nil.
func Lookup(name string) *Kind { return kinds[name] }

// Names returns the registered names in alphabetical order.
func Names() []string { return value.SortedKeys(kinds) }

// lastOutput returns the output of the preceding stage, or the request body for
// the first stage.
func lastOutput(in Input) string {
	if len(in.Results) == 0 {
		return in.Body
	}
	return in.Results[len(in.Results)-1].Output
}
