package placement

import (
	"math"
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/value"
)

const (
	// speedHalfLife is the time after which an observed speed counts half.
	speedHalfLife = time.Minute
	// priorWeight is the weight of the assumption that an endpoint is as fast as the median
	// of its service, and medianPriorWeight that of the assumed usual speed. A prompt of
	// several thousand uncached tokens has a weight of about one.
	priorWeight       = 3.0
	medianPriorWeight = 10.0
	// ignoredLogRatio is the logarithm of the ratio to the median up to which an endpoint counts
	// as fast as the median. With all differences, instances that share what they have learned
	// send most short prompts to the few endpoints that look fastest by chance.
	ignoredLogRatio = 0.15
	// fullWeightTokens is the prompt length at which a sample has half of the highest weight:
	// the time to the first event of a short prompt tells little about the prefill.
	fullWeightTokens = 2000.0
	minSampleWeight  = 0.05
	// maxLogRatio bounds a single sample, and maxLogPace the pace of a service, both as
	// natural logarithms.
	maxLogRatio = 2.5
	maxLogPace  = 1.4
	// minLogPace is the lower bound of the pace of a service. It is nearer to the usual speed,
	// since a speed that is taken for too high lets prompts meet.
	minLogPace = -0.35
	// minMedianWeight is the weight from which on an endpoint counts for the median.
	minMedianWeight = 0.5
	// errorWeight is the weight of a new sample in the average error of the predictions, and
	// minWorkSamples the number of samples before work figures are distrusted.
	errorWeight    = 0.05
	minWorkSamples = 8
	// minForgottenWeight is the weight below which an endpoint's sums are forgotten.
	minForgottenWeight = 0.01
	// pacesTTL is how long the computed paces are reused.
	pacesTTL = 100 * time.Millisecond
)

// Sums holds what has been observed of the speed of one endpoint: the weights of the samples and
// the weighted logarithms of the ratio of observed to usual time. PerWork holds the latter with
// each observed time divided by the work factor that came with it.
type Sums struct {
	Weight  float64 `json:"n"`
	Log     float64 `json:"t"`
	PerWork float64 `json:"w"`
}

func (s Sums) scaled(by float64) Sums {
	return Sums{Weight: s.Weight * by, Log: s.Log * by, PerWork: s.PerWork * by}
}

func (s Sums) plus(o Sums) Sums {
	return Sums{Weight: s.Weight + o.Weight, Log: s.Log + o.Log, PerWork: s.PerWork + o.PerWork}
}

// datedSums are sums as of a time.
type datedSums struct {
	Sums
	at time.Time
}

// asOf returns the sums with the weight that they have at a time.
func (s datedSums) asOf(now time.Time) Sums {
	return s.scaled(math.Exp2(-float64(now.Sub(s.at)) / float64(speedHalfLife)))
}

// logPace is the natural logarithm of an endpoint's pace: raw without regard to work figures,
// perWork that to which the logarithm of the work factor has to be added.
type logPace struct{ raw, perWork float64 }

// speeds learns the paces of the endpoints of one service.
type speeds struct {
	own map[ident.EndpointProcess]datedSums
	// others holds the sums of other instances, and told the paces relative to the median that
	// core members of a large fleet have reported.
	others map[ident.Instance]map[ident.EndpointProcess]datedSums
	told   map[ident.EndpointProcess]toldRatio
	// workError and plainError are the average errors of the predictions from work figures
	// and without them, from workSamples samples.
	workError, plainError float64
	workSamples           int
	// paces and median are computed from the sums at pacesAt.
	paces   map[ident.EndpointProcess]logPace
	median  logPace
	pacesAt time.Time
}

// toldRatio is the logarithm of a reported ratio.
type toldRatio struct {
	log float64
	at  time.Time
}

func newSpeeds() *speeds {
	return &speeds{own: map[ident.EndpointProcess]datedSums{}, others: map[ident.Instance]map[ident.EndpointProcess]datedSums{}, told: map[ident.EndpointProcess]toldRatio{}}
}

// sample is one observed time to the first event.
type sample struct {
	// tokens is the number of prompt tokens that were processed.
	tokens float64
	// usual is how long it takes at an endpoint of the usual speed.
	usual, observed float64
	// workBefore is the work factor that was known when the request was sent, and workAfter
	// the one that came with the response; zero if there was none.
	workBefore, workAfter float64
}

// record records a sample.
func (s *speeds) record(now time.Time, p ident.EndpointProcess, o sample) {
	if o.usual <= 0 || o.observed <= 0 {
		return
	}
	ratio := clamp(math.Log(o.observed/o.usual), maxLogRatio)
	if o.workBefore > 0 {
		pace := s.logPaceOf(now, p)
		s.workSamples++
		s.workError += errorWeight * (math.Abs(ratio-pace.perWork-math.Log(o.workBefore)) - s.workError)
		s.plainError += errorWeight * (math.Abs(ratio-pace.raw) - s.plainError)
	}
	perWork := ratio
	if o.workAfter > 0 {
		perWork -= math.Log(o.workAfter)
	}
	weight := max(o.tokens/(o.tokens+fullWeightTokens), minSampleWeight)
	sums := s.own[p].asOf(now).plus(Sums{Weight: weight, Log: weight * ratio, PerWork: weight * perWork})
	s.own[p] = datedSums{Sums: sums, at: now}
}

func clamp(x, bound float64) float64 { return min(max(x, -bound), bound) }

// pace returns how much longer than usual work takes at an endpoint now. work is the work factor
// that it has reported, or zero.
func (s *speeds) pace(now time.Time, p ident.EndpointProcess, work float64) float64 {
	l := s.logPaceOf(now, p)
	if work > 0 && s.trustsWork() {
		return math.Exp(l.perWork) * work
	}
	return math.Exp(l.raw)
}

// trustsWork reports whether work figures predict the time to the first event no worse than the
// observed times alone.
func (s *speeds) trustsWork() bool {
	return s.workSamples < minWorkSamples || s.workError <= s.plainError
}

func (s *speeds) logPaceOf(now time.Time, p ident.EndpointProcess) logPace {
	if l, known := s.pacesAsOf(now)[p]; known {
		return l
	}
	return s.median
}

// pacesAsOf returns the paces of the endpoints that were observed.
func (s *speeds) pacesAsOf(now time.Time) map[ident.EndpointProcess]logPace {
	if s.paces == nil || now.Sub(s.pacesAt) >= pacesTTL {
		s.update(now)
	}
	return s.paces
}

// update computes the paces. With few samples, the pace of an endpoint is near the median, and
// the median is near the usual speed.
func (s *speeds) update(now time.Time) {
	s.paces, s.pacesAt = map[ident.EndpointProcess]logPace{}, now
	total := map[ident.EndpointProcess]Sums{}
	addSums(now, total, s.own)
	for _, from := range value.SortedKeys(s.others) {
		if addSums(now, total, s.others[from]); len(s.others[from]) == 0 {
			delete(s.others, from)
		}
	}
	var raw, perWork, weights []float64
	for _, t := range total {
		weights = append(weights, t.Weight)
		if t.Weight >= minMedianWeight {
			raw, perWork = append(raw, t.Log/t.Weight), append(perWork, t.PerWork/t.Weight)
		}
	}
	// Sums are taken in the order of their terms, so that a run under a seed is repeatable.
	slices.Sort(weights)
	weight := 0.0
	for _, w := range weights {
		weight += w
	}
	mid := logPace{raw: medianOf(raw), perWork: medianOf(perWork)}
	shrink := weight / (weight + medianPriorWeight)
	s.median = logPace{raw: boundPace(mid.raw * shrink), perWork: boundPace(mid.perWork * shrink)}
	for p, t := range total {
		if len(raw) < 2 {
			break
		}
		share := t.Weight / (t.Weight + priorWeight)
		s.paces[p] = logPace{
			raw:     s.median.raw + beyondIgnored(share*(t.Log/t.Weight-mid.raw)),
			perWork: s.median.perWork + beyondIgnored(share*(t.PerWork/t.Weight-mid.perWork)),
		}
	}
	for p, told := range s.told {
		if now.Sub(told.at) >= ratiosTTL {
			delete(s.told, p)
			continue
		}
		s.paces[p] = logPace{raw: s.median.raw + told.log, perWork: s.median.perWork + told.log}
	}
}

// beyondIgnored returns by how much the logarithm of a ratio exceeds what is ignored.
func beyondIgnored(l float64) float64 {
	return l - clamp(l, ignoredLogRatio)
}

func boundPace(l float64) float64 { return min(max(l, minLogPace), maxLogPace) }

// addSums adds sums to the totals and deletes those that no longer count.
func addSums(now time.Time, total map[ident.EndpointProcess]Sums, dated map[ident.EndpointProcess]datedSums) {
	for p, d := range dated {
		sums := d.asOf(now)
		if sums.Weight < minForgottenWeight {
			delete(dated, p)
			continue
		}
		total[p] = total[p].plus(sums)
	}
}

// medianOf returns the median of some values, or 0 if there are none. It sorts them.
func medianOf(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	mid := len(values) / 2
	if len(values)%2 == 0 {
		return (values[mid-1] + values[mid]) / 2
	}
	return values[mid]
}
