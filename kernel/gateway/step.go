package gateway

import (
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
)

// Answer is an answer that the gateway itself gives to a caller, in place of an
// endpoint's response.
type Answer int

// The answers.
const (
	// NotRun means that the request has not run and will not run.
	NotRun Answer = iota
	// UnknownRoute means that no route matches the host and path.
	UnknownRoute
	// UnknownKey means that no workspace has the key.
	UnknownKey
	// Quarantined means that the content has crashed endpoints; it was not run.
	Quarantined
	// MayHaveRun means that an endpoint received the request and its response
	// was lost.
	MayHaveRun
	// TimedOut means that the timeout has passed; the request may have run.
	TimedOut
	// BrokenOff means that the caller has received the beginning of a stream:
	// the connection is aborted, so that the caller sees that the rest is
	// missing.
	BrokenOff
)

// Valid reports whether the answer is one of those above.
func (a Answer) Valid() bool { return a >= NotRun && a <= BrokenOff }

// String returns the answer's name in logs and metrics.
func (a Answer) String() string {
	return [...]string{"notRun", "unknownRoute", "unknownKey", "quarantined", "mayHaveRun", "timedOut", "brokenOff"}[a]
}

// Send asks the entry server to send a request to an endpoint.
type Send struct {
	// Attempt is passed back with every report on this attempt.
	Attempt  AttemptID
	Endpoint ident.Endpoint
	// Member is the instance to which the request is forwarded; empty if it is sent to an
	// endpoint. Forwarding is for that instance, and Resumes the id of the request that
	// brought the first event if LastEventID is set.
	Member     ident.Instance
	Forwarding Forwarding
	Resumes    ident.RequestID
	// EndpointStartedUnixMillis is when the process of the endpoint started, as listed.
	EndpointStartedUnixMillis int64
	Address                   string
	Workspace                 ident.Workspace
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Inputs are the stage results that a model endpoint fetches.
	Inputs []message.ResultHandle
	// Stream is set if events are relayed as they arrive; any other response is
	// relayed once it is complete.
	Stream bool
	// Repeatable is set if the request may run more than once. Any other
	// request needs a connection that the endpoint cannot be closing: if it
	// closes one while the request is written, it is unknown whether the
	// request ran.
	Repeatable bool
	// LastEventID is the id of the last event that an earlier attempt relayed
	// to the caller; the endpoint continues the stream after it.
	LastEventID string
	// HeadSent is set if an earlier attempt has relayed the response head.
	HeadSent bool
}

// Process identifies the process of the endpoint.
func (s Send) Process() ident.EndpointProcess {
	return ident.EndpointProcess{Endpoint: s.Endpoint, StartedUnixMillis: s.EndpointStartedUnixMillis}
}

// Step tells the entry server what to do next with a request: send it to an
// endpoint, or answer the caller.
type Step struct {
	Send *Send
	// Answer, RetryAfter and Reason are used if Send is nil. RetryAfter is zero
	// if the caller is not told when to try again.
	Answer     Answer
	RetryAfter time.Duration
	Reason     string
	// Elsewhere and NoPath tell the instance that forwarded the request what
	// ForwardAnswer says of them.
	Elsewhere bool
	NoPath    bool
}
