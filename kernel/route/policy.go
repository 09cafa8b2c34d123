package route

import (
	"fmt"
	"math/rand/v2"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/value"
)

// PolicyInput is what a policy may look at.
type PolicyInput struct {
	Now        time.Time
	Candidates []*Endpoint
	// Seat and DataCentre are the chooser's.
	Seat       ident.Instance
	DataCentre ident.DataCentre
	// Concurrency is the number of calls that one endpoint works on at once.
	Concurrency int
	// ExpectedMillis is the configured time of a call.
	ExpectedMillis float64
	// CrossRoundTripMillis is the round trip to another data centre.
	CrossRoundTripMillis float64
	// RemainingMillis is what the deadline leaves for this stage.
	RemainingMillis float64
	// Prefix identifies the prompt prefix; zero when there is none.
	Prefix uint64
	Random *rand.Rand
}

// Policy chooses an endpoint, or nil when there is none.
type Policy struct {
	Name   string
	Choose func(*PolicyInput) *Endpoint
}

var policies = map[string]*Policy{}

// Register adds a policy. A doubled name is a programming error.
func Register(p *Policy) {
	if policies[p.Name] != nil {
		panic(fmt.Sprintf("routing policy %q is registered twice", p.Name))
	}
	policies[p.Name] = p
}

// Lookup returns the named policy, or nil.
func Lookup(name string) *Policy { return policies[name] }

// Names returns the registered policies in order.
func Names() []string { return value.SortedKeys(policies) }
