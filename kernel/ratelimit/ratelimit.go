// Package ratelimit keeps the rate limits that endpoints name in their answers.
package ratelimit

// Rate is a number of requests per second.
type Rate float64

// Unlimited is the rate of an endpoint that names no limit.
const Unlimited Rate = -1
