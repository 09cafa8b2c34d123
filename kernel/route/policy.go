package route

import (
	"fmt"
	"math/rand/v2"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/value"
)

// PolicyInput is the information that a policy chooses by.
type PolicyInput struct {
	Now        time.Time
	Candidates []*Endpoint
	// Seat and DataCentre are those of the instance that makes the call.
	Seat       ident.Instance
	DataCentre ident.DataCentre
	// Concurrency is the number of calls that one endpoint runs at once.
	Concurrency int
	// ExpectedMillis is the configured duration of a call.
	ExpectedMillis float64
	// CrossRoundTripMillis is the round-trip time to another data centre.
	CrossRoundTripMillis float64
	// RemainingMillis is the time that the request's deadline leaves for this
	// stage.
	RemainingMillis float64
	// Prefix identifies the prefix of the prompt; zero if there is none.
	Prefix uint64
	Random *rand.Rand
}

// Policy is a named way to choose one of the candidate endpoints. Choose returns nil if
// there is none.
type Policy struct {
	Name   string
	Choose func(*PolicyInput) *Endpoint
}

var policies = map[string]*Policy{}

// Register adds a policy. It panics if the name is already registered.
func Register(p *Policy) {
	if policies[p.Name] != nil {
		panic(fmt.Sprintf("routing policy %q is registered twice", p.Name))
	}
	policies[p.Name] = p
}

// Lookup returns the named policy, or nil.
func Lookup(name string) *Policy { return policies[name] }

// Names returns the names of the registered policies, sorted.
func Names() []string { return value.SortedKeys(policies) }
