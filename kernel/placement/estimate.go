// Package placement decides which endpoint a request is sent to. It estimates when the request
// would be done at each candidate and what harm it would do to the streams that run there, from
// what an instance knows about the endpoints, and learns how fast they are. It has no socket,
// goroutine or clock; package gateway uses it.
package placement

import (
	"fmt"
	"math"

	"anvilcross/kernel/published"
)

const (
	// usualTokensPerMilli is the prefill speed and usualStepMillis the time of a decode step
	// that are assumed of an endpoint of which nothing is known. The endpoints of the
	// observed deployments prefill 36 to 80 tokens a millisecond.
	usualTokensPerMilli = 70.0
	usualStepMillis     = 10.0
	// prefillChunkTokens is the length of the prefill that runs between two decode steps.
	prefillChunkTokens = 2048
	// defaultStride is the number of tokens in one event of a stream if the configuration of
	// the service does not tell it.
	defaultStride = 8
	// gapMargin is the share of the gap objective above which a gap counts as a risk, and
	// gapSpread the width, as a share of the objective, within which the chance of missing it
	// rises: prompts that other instances send at the same time are not known.
	gapMargin = 0.9
	gapSpread = 0.12
	// lateSpread is the same width for the latency objective.
	lateSpread = 0.1
	// defaultLateMillis is the cost of a late answer on a route without a latency objective.
	defaultLateMillis = 1000.0
	// runningMillis is the cost of each request that runs at an endpoint: every one slows down
	// the tokens of the others, and those that arrive in the next second are not known yet.
	runningMillis = 12.0
	// occupancyShare is the cost of a prefill, as a share of its time, for the requests that
	// arrive at the endpoint while it lasts. They are longest at slow endpoints.
	occupancyShare = 1.0
)

// demand is what a request needs, independently of the endpoint. Times are in milliseconds.
type demand struct {
	// late is the cost of a late answer, left the time left until the answer is late, infinite
	// if it cannot be late or is late already.
	late, left float64
	// gap is the gap objective of the request's own stream and othersGap the tightest of
	// those that may run beside it; zero for none.
	gap, othersGap float64
	// tokens is the memory that the request takes, in tokens.
	tokens float64
	engine published.Engine
	// event is how long the decode steps of one event take at the usual pace; zero if that has
	// not been learned.
	event float64
	// meanTokens and meanRun are the average memory and running time of a request of the
	// service.
	meanTokens, meanRun float64
}

// candidate is the state of one endpoint. Times are in milliseconds.
type candidate struct {
	// uncached is the number of prompt tokens that the endpoint has to process.
	uncached float64
	// backlog is how long the prefill of the prompts lasts that are there now.
	backlog float64
	running int
	slots   int
	// pace is how much longer than usual work takes there.
	pace float64
	// spellShare is the chance that work takes spellFactor times as long there for a while.
	spellShare, spellFactor float64
	// extra is the network trip, the transfer of results, and what failures cost.
	extra float64
}

// Estimate is what sending a request to an endpoint costs, in milliseconds.
type Estimate struct {
	// FirstEventMillis is the time until the first event.
	FirstEventMillis float64
	// HarmMillis is the cost of the gaps that the request causes in other streams and
	// of those that it finds.
	HarmMillis float64
	// LateMillis is the cost of the chance that the first event is late.
	LateMillis float64
	// OtherMillis is the cost of failures and of sharing the endpoint.
	OtherMillis float64
	// prefillMillis is how long the prefill of the request takes.
	prefillMillis float64
	// extraMillis is the part of the first event's time that is not spent at the endpoint.
	extraMillis float64
}

// Total is the cost by which candidates are compared.
func (e Estimate) Total() float64 {
	return e.FirstEventMillis + e.HarmMillis + e.LateMillis + e.OtherMillis
}

// String returns the estimate's parts in milliseconds, as they are logged.
func (e Estimate) String() string {
	return fmt.Sprintf("%.0f+%.0f+%.0f+%.0f", e.FirstEventMillis, e.HarmMillis, e.LateMillis, e.OtherMillis)
}

// estimate returns what sending a request to an endpoint costs.
func estimate(d demand, c candidate) Estimate {
	prefill := prefillMillis(c.uncached, c.pace)
	e := Estimate{prefillMillis: prefill, extraMillis: c.extra}
	e.FirstEventMillis = slotWait(d, c) + c.backlog + prefill + d.eventMillis(c.pace) + c.extra
	e.HarmMillis = harm(d, c, prefill)
	if c.spellShare > 0 {
		slow := c
		slow.pace *= c.spellFactor
		slow.backlog *= c.spellFactor
		e.HarmMillis += c.spellShare * (harm(d, slow, prefill*c.spellFactor) - e.HarmMillis)
	}
	if !math.IsInf(d.left, 1) {
		e.LateMillis = d.late*chance(e.FirstEventMillis-d.left, lateSpread*d.late) + max(e.FirstEventMillis-d.left, 0)
	}
	e.OtherMillis = runningMillis*float64(c.running)*c.pace + occupancyShare*prefill
	return e
}

// harm returns the cost of the gaps that a prefill adds to the streams that run at an endpoint, and
// of those that the request finds there.
func harm(d demand, c candidate, prefill float64) float64 {
	running := float64(min(c.running, max(c.slots, 1)))
	return running*(gapCost(d, c, d.othersGap, c.backlog+prefill)-gapCost(d, c, d.othersGap, c.backlog)) + gapCost(d, c, d.gap, c.backlog)
}

// prefillMillis returns how long the prefill of some tokens takes at a pace.
func prefillMillis(tokens, pace float64) float64 { return tokens / usualTokensPerMilli * pace }

// eventMillis returns how long the decode steps of one event take at a pace.
func (d demand) eventMillis(pace float64) float64 {
	if d.event > 0 {
		return d.event * pace
	}
	return float64(stride(d.engine)) * usualStepMillis * pace
}

func stride(e published.Engine) int {
	if e.Stride <= 0 {
		return defaultStride
	}
	return e.Stride
}

// slotWait estimates how long a request waits for a slot and memory at an endpoint.
func slotWait(d demand, c candidate) float64 {
	slots := float64(max(c.slots, 1))
	if d.engine.KVCapacityTokens > 0 && d.meanTokens > 0 {
		beside := max(float64(d.engine.KVCapacityTokens)-d.tokens, 0)
		slots = min(slots, math.Floor(beside/d.meanTokens)+1)
	}
	if float64(c.running) < slots {
		return 0
	}
	return (float64(c.running) - slots + 1) * d.meanRun * c.pace / slots
}

// gapCost returns the cost of the gap that a prefill causes in one stream with a gap objective.
// An event lasts its decode steps, each lengthened by a chunk of the prefill.
func gapCost(d demand, c candidate, objective, prefill float64) float64 {
	if objective <= 0 {
		return 0
	}
	longest := prefillMillis(float64(stride(d.engine)*prefillChunkTokens), c.pace)
	over := min(prefill, longest) + d.eventMillis(c.pace) - gapMargin*objective
	return d.late*chance(over, gapSpread*objective) + max(over, 0)
}

// chance returns the chance that an estimate, which exceeds a bound by over, turns out above it.
func chance(over, width float64) float64 { return 1 / (1 + math.Exp(-over/max(width, 1))) }
