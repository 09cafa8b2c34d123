package node

import (
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/route"
	"anvilcross/kernel/spend"
	"anvilcross/kernel/timer"
)

// Call tells the daemon to call an endpoint.
type Call struct {
	ID       ident.CallID
	Endpoint ident.Endpoint
	Address  string
	// DataCentre is the endpoint's data centre.
	DataCentre ident.DataCentre
	// Kind names the service kind, which determines the protocol.
	Kind  string
	Key   ident.Key
	Stage ident.Stage
	Input string
	// ReceivedTokens holds the tokens that were received before the stream
	// broke; a resumed stream continues after them.
	ReceivedTokens []string
	MaxTokens      int
	// Seed makes an engine's sampling repeatable.
	Seed     uint64
	Model    string
	Deadline time.Time
}

// CallFailure says how a call failed.
type CallFailure string

// The failures.
const (
	// NotSent means that no byte of the call was written to the endpoint.
	NotSent CallFailure = "notSent"
	// Declined means that the endpoint said that it did not run the call.
	Declined CallFailure = "declined"
	// EndpointLeaving means that the endpoint declined the call because it no
	// longer takes new work.
	EndpointLeaving CallFailure = "leaving"
	// ConnectionBroken means that the connection ended after the call was sent.
	ConnectionBroken CallFailure = "broken"
	// TimedOut means that the endpoint did not reply in time.
	TimedOut CallFailure = "timedOut"
	// EndpointFailed means that the endpoint reported an error while it ran
	// the call.
	EndpointFailed CallFailure = "failed"
)

// DidNotRun reports whether it is proved that the endpoint did not run the
// call.
func (f CallFailure) DidNotRun() bool { return f == NotSent || f == Declined || f == EndpointLeaving }

// CallResult is an endpoint's complete reply.
type CallResult struct {
	Output string
	Cost   spend.Cost
	// Load is the load report that came with the reply, or nil.
	Load *route.Load
}

// call is one call in flight.
type call struct {
	id        ident.CallID
	run       *run
	endpoint  *route.Endpoint
	service   ident.Service
	startedAt time.Time
	// lastProgressAt is when the call started or its latest token arrived.
	lastProgressAt time.Time
	timeout        time.Duration
	// isolated is set for a call that runs suspect content.
	isolated bool
	timer    *timer.Timer
}
