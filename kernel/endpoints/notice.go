package endpoints

import (
	"time"

	"anvilcross/kernel/ratelimit"
)

// Notice is what the process of an endpoint says of itself in the head of an answer.
type Notice struct {
	// RateLimit is the rate limit that it names; nil if the answer does not tell whether
	// there is one.
	RateLimit *ratelimit.Rate
	// Leaving is set if the process is about to end.
	Leaving bool
	// Rest is how long the process wants no requests from this instance; zero if it does
	// not say.
	Rest time.Duration
}
