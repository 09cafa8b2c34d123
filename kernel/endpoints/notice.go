package endpoints

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/ratelimit"
	"anvilcross/kernel/value"
)

const (
	// maxRest bounds the time for which an endpoint is left alone at its wish. Then it is
	// asked again.
	maxRest = 10 * time.Minute
	// noticeRetention is how long the notices of a process are kept that is not listed.
	noticeRetention = 2 * time.Minute
	// maxNotices bounds the processes whose notices are kept.
	maxNotices = 4096
)

// Notice is what the process of an endpoint says of itself in the head of an answer.
type Notice struct {
	// RateLimit is the rate limit that it names; nil if the answer does not tell whether
	// there is one.
	RateLimit *ratelimit.Rate
	// ColdFor is how much longer the process is cold; nil if the answer does not tell.
	ColdFor *time.Duration
	// Leaving is set if the process is about to end.
	Leaving bool
	// Rest is how long the process wants no requests from this instance; zero if it does
	// not say.
	Rest time.Duration
}

// statements is what is known of a process from its own notices. It outlives the process's
// listing, which may be removed and come back.
type statements struct {
	// leavingSince is when this instance learned that the process has said, to any
	// instance, that it leaves; zero if it has not.
	leavingSince time.Time
	// restUntil is when this instance may send requests again. reportedRestUntil is the same
	// for other instances that have reported it themselves, and avoidUntil the time until
	// which the process is avoided because of any reports.
	restUntil         time.Time
	reportedRestUntil time.Time
	avoidUntil        time.Time
	// listedAt is when the process was last listed.
	listedAt time.Time
}

func (s *statements) leaving() bool { return !s.leavingSince.IsZero() }

// statementsOf returns what is known of a process, for changes; nil if that would be of
// too many processes.
func (d *Directory) statementsOf(now time.Time, p ident.EndpointProcess) *statements {
	s := d.statements[p]
	if s == nil && len(d.statements) < maxNotices {
		s = &statements{listedAt: now}
		d.statements[p] = s
		if e := d.byName[p.Endpoint]; e != nil && e.Process() == p {
			e.said = s
		}
	}
	return s
}

// RecordLeaving records that a process has said that it leaves, and reports whether that is
// news. Nothing takes it back.
func (d *Directory) RecordLeaving(now time.Time, p ident.EndpointProcess) bool {
	s := d.statementsOf(now, p)
	if s == nil || s.leaving() {
		return false
	}
	s.leavingSince = now
	return true
}

// RecordRest records that a process wants no requests from this instance for a time, and
// reports whether that prolongs its rest. It never shortens one.
func (d *Directory) RecordRest(now time.Time, p ident.EndpointProcess, rest time.Duration) bool {
	s := d.statementsOf(now, p)
	until := now.Add(min(rest, maxRest))
	if s == nil || !until.After(s.restUntil) {
		return false
	}
	s.restUntil = until
	return true
}

// RestReport tells other instances how long a process still wants no requests from the
// sender or, if Relayed is set, from one that has reported it to the sender.
type RestReport struct {
	StartedUnixMillis int64         `json:"started,omitempty"`
	Left              time.Duration `json:"left"`
	Relayed           bool          `json:"relayed,omitempty"`
}

// MergeRest merges another instance's report. The endpoint is avoided for the rest and a
// delay after it, in which those try it that it has told, but is used if there is no
// other. Relayed reports are not passed on, so that they end.
func (d *Directory) MergeRest(now time.Time, name ident.Endpoint, r RestReport, delay time.Duration) {
	s := d.statementsOf(now, ident.EndpointProcess{Endpoint: name, StartedUnixMillis: r.StartedUnixMillis})
	if s == nil {
		return
	}
	until := now.Add(min(r.Left, maxRest))
	if !r.Relayed && until.After(s.reportedRestUntil) {
		s.reportedRestUntil = until
	}
	if until = until.Add(delay); until.After(s.avoidUntil) {
		s.avoidUntil = until
	}
}

// ExpireStatements forgets what processes said that have not been listed for a while.
func (d *Directory) ExpireStatements(now time.Time) {
	maps.DeleteFunc(d.statements, func(p ident.EndpointProcess, s *statements) bool {
		if e := d.byName[p.Endpoint]; e != nil && e.said == s {
			s.listedAt = now
		}
		return now.Sub(s.listedAt) > noticeRetention
	})
}

// SaidToLeave returns the listed processes that have said that they leave while their
// listing does not: those that are known for the shortest time, at most the given number.
func (d *Directory) SaidToLeave(limit int) []ident.EndpointProcess {
	var found []ident.EndpointProcess
	for p, s := range d.statements {
		if e := d.byName[p.Endpoint]; e != nil && e.said == s && s.leaving() && !e.Leaving {
			found = append(found, p)
		}
	}
	slices.SortFunc(found, func(x, y ident.EndpointProcess) int {
		return cmp.Or(d.statements[y].leavingSince.Compare(d.statements[x].leavingSince), x.Compare(y))
	})
	return found[:min(len(found), limit)]
}

// RestReports returns the reports for other instances on the listed endpoints that want no
// requests for a while: those with the longest time, at most the given number.
func (d *Directory) RestReports(now time.Time, limit int) map[ident.Endpoint]RestReport {
	reports := map[ident.Endpoint]RestReport{}
	for p, s := range d.statements {
		r := RestReport{StartedUnixMillis: p.StartedUnixMillis, Left: s.restUntil.Sub(now)}
		if s.reportedRestUntil.After(s.restUntil) {
			r.Left, r.Relayed = s.reportedRestUntil.Sub(now), true
		}
		if e := d.byName[p.Endpoint]; e != nil && e.said == s && r.Left > 0 {
			reports[p.Endpoint] = r
		}
	}
	if len(reports) <= limit {
		return reports
	}
	names := value.SortedKeys(reports)
	slices.SortStableFunc(names, func(x, y ident.Endpoint) int { return cmp.Compare(reports[y].Left, reports[x].Left) })
	for _, name := range names[limit:] {
		delete(reports, name)
	}
	return reports
}

// IsLeaving reports whether the endpoint leaves, by its listing or by its own word.
func (e *Endpoint) IsLeaving() bool { return e.Leaving || e.said.leaving() }

// RestLeft returns how long the endpoint still wants no requests from this instance.
func (e *Endpoint) RestLeft(now time.Time) time.Duration { return max(e.said.restUntil.Sub(now), 0) }

// RefusesContact reports whether the endpoint itself has said that it wants nothing from this
// instance now.
func (e *Endpoint) RefusesContact(now time.Time) bool { return e.said.leaving() || e.RestLeft(now) > 0 }

// Withheld reports whether the endpoint gets no requests from this instance now at its own
// wish: it leaves or wants a rest.
func (e *Endpoint) Withheld(now time.Time) bool { return e.IsLeaving() || e.RestLeft(now) > 0 }

// WithheldCounts returns how many endpoints leave, and how many others want no requests
// from this instance now.
func (d *Directory) WithheldCounts(now time.Time) (leaving, resting int) {
	for _, e := range d.byName {
		switch {
		case e.IsLeaving():
			leaving++
		case e.RestLeft(now) > 0:
			resting++
		}
	}
	return leaving, resting
}

// PoolWithheldFor reports whether all endpoints of a pool get no requests from this
// instance at their own wish, and for how long; ever is false if none of them will get one
// again. A pool without endpoints is not withheld, and neither is that of an evacuated data
// centre: its pieces move to another one.
func (d *Directory) PoolWithheldFor(now time.Time, pool ident.Pool) (wait time.Duration, ever, withheld bool) {
	for _, e := range d.poolMembers(pool) {
		switch {
		case d.Evacuated(e) && pool.DataCentre != "":
			return 0, true, false
		case d.Evacuated(e) || e.IsLeaving():
		case e.RestLeft(now) == 0:
			return 0, true, false
		case !ever || e.RestLeft(now) < wait:
			wait, ever = e.RestLeft(now), true
		}
		withheld = true
	}
	return wait, ever, withheld
}
