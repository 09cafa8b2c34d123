package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/juju/errors"

	"anvilcross/kernel/ident"
)

const (
	// maxReports bounds the endpoints whose sums one ping carries. An instance of a large fleet
	// completes less than one exchange a ping period.
	maxReports = 3
	// reportPeriods is the number of ping periods for which a sum is in the pings, so that each
	// member that is pinged gets it once.
	reportPeriods = 1.25
	// maxRatios bounds the endpoints in one report of ratios, and reportedLogRatio is the
	// logarithm of the ratio from which on an endpoint is in it: a fifth.
	maxRatios        = 64
	reportedLogRatio = 0.18
	// ratiosTTL is how long reported ratios are used. They are not in every ping.
	ratiosTTL = 15 * time.Second
	// ratiosEvery is the number of answers to pings of which one has ratios.
	ratiosEvery = 4
	// maxWorks bounds the work figures in one request to the placer.
	maxWorks = 4
	// maxReporters bounds the instances whose sums are kept for one service.
	maxReporters = 1024
)

// SpeedReport holds the sums of an instance for one endpoint, as of the time of the report.
type SpeedReport struct {
	StartedUnixMillis int64 `json:"s,omitempty"`
	Sums
}

// maxReportedWeight bounds the weight of the sums of one instance, and maxReportedLog the average of
// its logarithms.
const (
	maxReportedWeight = 10_000.0
	maxReportedLog    = 10.0
)

// CheckReports returns an error if reports of speeds have values that no instance sends.
func CheckReports(reports map[ident.Endpoint]SpeedReport, ratios map[ident.Endpoint]float64) error {
	if len(reports) > maxListed || len(ratios) > maxListed {
		return errors.Errorf("%d speeds, %d speed ratios", len(reports), len(ratios))
	}
	for e, r := range reports {
		if most := r.Weight * maxReportedLog; r.Weight <= 0 || r.Weight > maxReportedWeight || math.Abs(r.Log) > most || math.Abs(r.PerWork) > most {
			return errors.Errorf("speed of endpoint %q: weight %v, logarithms %v and %v", e, r.Weight, r.Log, r.PerWork)
		}
	}
	for e, r := range ratios {
		if r <= 0 {
			return errors.Errorf("speed ratio %v of endpoint %q", r, e)
		}
	}
	return nil
}

// WorkReport is a work figure that an endpoint reported some time ago.
type WorkReport struct {
	StartedUnixMillis int64         `json:"s,omitempty"`
	Percent           int           `json:"p"`
	Age               time.Duration `json:"a"`
}

// workSeen is a work figure with its time.
type workSeen struct {
	process ident.EndpointProcess
	percent int
	at      time.Time
}

// rounded returns the sums with three decimals, which keeps reports short.
func (s Sums) rounded() Sums {
	round := func(x float64) float64 { return math.Round(x*1000) / 1000 }
	return Sums{Weight: round(s.Weight), Log: round(s.Log), PerWork: round(s.PerWork)}
}

// Reports returns this instance's own sums for the endpoints that it has just observed, or nil if
// there are none.
func (t *Table) Reports(now time.Time) map[ident.Endpoint]SpeedReport {
	type entry struct {
		process ident.EndpointProcess
		sums    datedSums
	}
	var newest []entry
	for _, s := range t.services {
		for p, sums := range s.speeds.own {
			if float64(now.Sub(sums.at)) < reportPeriods*float64(t.pingPeriod) {
				newest = append(newest, entry{p, sums})
			}
		}
	}
	if len(newest) == 0 {
		return nil
	}
	slices.SortFunc(newest, func(x, y entry) int {
		return cmp.Or(y.sums.at.Compare(x.sums.at), cmp.Compare(x.process.Endpoint, y.process.Endpoint), cmp.Compare(y.process.StartedUnixMillis, x.process.StartedUnixMillis))
	})
	reports := map[ident.Endpoint]SpeedReport{}
	for _, e := range newest[:min(len(newest), maxReports)] {
		if _, newer := reports[e.process.Endpoint]; !newer {
			reports[e.process.Endpoint] = SpeedReport{StartedUnixMillis: e.process.StartedUnixMillis, Sums: e.sums.asOf(now).rounded()}
		}
	}
	return reports
}

// Merge merges what a member reports of the speed of endpoints: its own sums and, from a core
// member of a large fleet, ratios to the median of their service. A report of sums holds all that
// the member has observed at the endpoint, so the latest replaces earlier ones.
func (t *Table) Merge(now time.Time, from ident.Instance, reports map[ident.Endpoint]SpeedReport, ratios map[ident.Endpoint]float64) {
	for name, r := range reports {
		if e := t.config.Directory.Lookup(name); e != nil {
			t.service(e.Service).speeds.mergeSums(now, from, ident.EndpointProcess{Endpoint: name, StartedUnixMillis: r.StartedUnixMillis}, r.Sums)
		}
	}
	for name, ratio := range ratios {
		if e := t.config.Directory.Lookup(name); e != nil {
			t.service(e.Service).speeds.told[e.Process()] = toldRatio{log: clamp(math.Log(ratio), maxLogRatio), at: now}
		}
	}
}

// mergeSums replaces what is known of another instance's sums for an endpoint.
func (s *speeds) mergeSums(now time.Time, from ident.Instance, p ident.EndpointProcess, sums Sums) {
	known := s.others[from]
	if known == nil {
		if len(s.others) >= maxReporters {
			return
		}
		known = map[ident.EndpointProcess]datedSums{}
		s.others[from] = known
	}
	known[p] = datedSums{Sums: sums, at: now}
}

// Ratios returns the paces, relative to the median of the service, of the endpoints where work
// takes longer or shorter than there by a fifth, or nil if there are none.
func (t *Table) Ratios(now time.Time) map[ident.Endpoint]float64 {
	type entry struct {
		endpoint ident.Endpoint
		log      float64
	}
	var all []entry
	for _, s := range t.services {
		for p, l := range s.speeds.pacesAsOf(now) {
			if log := l.raw - s.speeds.median.raw; math.Abs(log) >= reportedLogRatio {
				all = append(all, entry{p.Endpoint, log})
			}
		}
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(x, y entry) int {
		return cmp.Or(cmp.Compare(math.Abs(y.log), math.Abs(x.log)), cmp.Compare(x.endpoint, y.endpoint))
	})
	ratios := map[ident.Endpoint]float64{}
	for _, e := range all[:min(len(all), maxRatios)] {
		ratios[e.endpoint] = math.Round(math.Exp(e.log)*100) / 100
	}
	return ratios
}

// DrawRatios returns the ratios for one answer to a ping. They change slowly, so only one answer in
// ratiosEvery has them on average.
func (t *Table) DrawRatios(now time.Time) map[ident.Endpoint]float64 {
	ratios := t.Ratios(now)
	if ratios == nil || t.config.Random.IntN(ratiosEvery) > 0 {
		return nil
	}
	return ratios
}

// Works returns the work figures that this instance has seen last, or nil if there are none.
func (t *Table) Works(now time.Time) map[ident.Endpoint]WorkReport {
	var reports map[ident.Endpoint]WorkReport
	for _, w := range t.works {
		if age := now.Sub(w.at); age < workReportTTL {
			if reports == nil {
				reports = map[ident.Endpoint]WorkReport{}
			}
			reports[w.process.Endpoint] = WorkReport{StartedUnixMillis: w.process.StartedUnixMillis, Percent: w.percent, Age: age}
		}
	}
	return reports
}

// workReportTTL is the age from which on a work figure is not passed on.
const workReportTTL = 300 * time.Millisecond
