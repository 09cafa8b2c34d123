// Package warmup keeps which endpoint processes are cold: they have just started, or have
// become cold again, and crash if they get many more requests a second than their service's
// configuration names. A cold process counts as one with a rate limit, which package
// ratelimit divides between the instances. A process counts as cold because of its record,
// its start, a sign that it may have started again, or a report.
package warmup

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/ratelimit"
)

const (
	// MaxRemaining bounds the time for which one statement makes a process cold.
	MaxRemaining = 10 * time.Minute
	// recordLag bounds the time from the writing of an endpoint's record to its arrival at an
	// instance: up to a second to a reader of the store, and as long to the others.
	recordLag = 2 * time.Second
	// transitSlack bounds the time for which a report may be on its way: its receiver takes
	// what it says for that much older.
	transitSlack = 500 * time.Millisecond
	// renewalStep is the time by which a report has to differ from what is known to count as
	// news, since each hop adds its delay to the times in it.
	renewalStep = 500 * time.Millisecond
	// retention is how long a process is remembered that is not listed. A store that comes
	// back lists its processes again, which have not started anew.
	retention = 2 * time.Minute
	// AskInterval is the interval at which a suspected process is asked. It is longer than
	// transitSlack, so that the second answer is known to be later than the suspicion.
	AskInterval = 700 * time.Millisecond
	// maxProcesses bounds the processes that are kept.
	maxProcesses = 8192
	// MaxReports bounds the reports in one message, MaxLargeFleetReports those in a large fleet,
	// where an instance sends each to a dozen others.
	MaxReports           = 24
	MaxLargeFleetReports = 2
	// maxSuspectedShare is the share of all listed processes above which the suspicions of
	// another instance are ignored: it probably cannot reach them itself.
	maxSuspectedShare = 0.4
)

// Cause says why a process counts as cold or warm.
type Cause string

// The causes.
const (
	// Listed means that the endpoint record names the time.
	Listed Cause = "listed"
	// Started means that the process was first listed while the instance had the records.
	Started Cause = "started"
	// Suspected means that the process may have started again or become cold unnoticed.
	Suspected Cause = "suspected"
	// Told means that the process has told it in a response.
	Told Cause = "told"
)

// Profile is what the configuration says of the cold endpoints of a service. The zero Profile
// is that of a service without any.
type Profile struct {
	// ColdTime is how long an endpoint is cold after its start.
	ColdTime time.Duration
	// Rate is the number of requests a second that a cold endpoint sustains.
	Rate ratelimit.Rate
}

// Config sets up a Table.
type Config struct {
	// Profile returns the profile of a service.
	Profile func(ident.Service) Profile
}

// statement is what one source said of a process at some time between askedAt and toldAt.
type statement struct {
	cause Cause
	// until is when the process is warm. If open is set, it is instead ColdTime after the
	// process answers, if that is earlier.
	until           time.Time
	open            bool
	askedAt, toldAt time.Time
}

// process is what is known of one process of an endpoint.
type process struct {
	service    ident.Service
	dataCentre ident.DataCentre
	// listed is set while the process is listed, wasListed once it has been.
	listed, wasListed bool
	seenAt            time.Time
	// known is set if there is a statement.
	known     bool
	statement statement
	// suspectedAt is when the process was last suspected, queriedAt when it was last asked.
	suspectedAt, queriedAt time.Time
	// changedAt is when a statement last changed whether or for how long the process is cold.
	changedAt time.Time
	// reportedCold is what Changes last returned.
	reportedCold bool
}

// Table holds what is known of all processes. It is not safe for concurrent use.
type Table struct {
	config    Config
	processes map[ident.EndpointProcess]*process
	// coldUntil is no earlier than the time at which the last process is warm.
	coldUntil time.Time
	listed    int
}

// NewTable returns an empty table.
func NewTable(c Config) *Table {
	return &Table{config: c, processes: map[ident.EndpointProcess]*process{}}
}

// process returns what is known of a process, for changes; nil if there are too many.
func (t *Table) process(now time.Time, p ident.EndpointProcess, s ident.Service) *process {
	k := t.processes[p]
	if k == nil {
		if len(t.processes) >= maxProcesses {
			return nil
		}
		k = &process{service: s, seenAt: now}
		t.processes[p] = k
	}
	return k
}

// HandleListed handles the record of an endpoint. firstList is set while the instance gets
// its first records: the processes in them may have started long ago.
func (t *Table) HandleListed(now time.Time, l endpoints.Listing, firstList bool) {
	p := l.Process()
	k := t.process(now, p, l.Service)
	if k == nil {
		return
	}
	isNew := !k.wasListed
	k.service, k.dataCentre, k.listed, k.wasListed, k.seenAt = l.Service, l.DataCentre, true, true, now
	switch {
	case l.ColdFor != nil:
		s := statement{cause: Listed, until: now.Add(min(*l.ColdFor, MaxRemaining)), askedAt: now.Add(-recordLag), toldAt: now}
		if k.known && (k.statement.cause == Listed || k.statement.cause == Started) {
			// Records of a process are applied in the order in which they were written.
			s.askedAt = k.statement.toldAt
		}
		t.merge(now, k, s)
	case isNew && !firstList:
		t.merge(now, k, statement{cause: Started, until: now.Add(t.config.Profile(k.service).ColdTime), askedAt: now, toldAt: now})
	}
}

// HandleUnreachable handles that a process refused a connection, could not be reached or was
// replaced: it may have started again.
func (t *Table) HandleUnreachable(now time.Time, p ident.EndpointProcess) {
	if k := t.processes[p]; k != nil && k.listed {
		t.suspect(now, k)
	}
}

// HandleEvacuationEnded handles that a data centre may get requests again. Its endpoints may
// have become cold meanwhile.
func (t *Table) HandleEvacuationEnded(now time.Time, dataCentre ident.DataCentre) {
	for _, k := range t.processes {
		if k.listed && k.dataCentre == dataCentre {
			t.suspect(now, k)
		}
	}
}

func (t *Table) suspect(now time.Time, k *process) {
	if t.config.Profile(k.service) != (Profile{}) {
		t.merge(now, k, statement{cause: Suspected, until: now.Add(MaxRemaining), open: true, askedAt: now, toldAt: now})
	}
}

// HandleHealth handles a response of a process to a request that was sent the given time ago.
// cold is how much longer it is cold, or nil if the response does not tell.
func (t *Table) HandleHealth(now time.Time, p ident.EndpointProcess, cold *time.Duration, sentAgo time.Duration) {
	k := t.processes[p]
	if k == nil || t.config.Profile(k.service) == (Profile{}) {
		return
	}
	askedAt := now.Add(-sentAgo)
	switch {
	case cold != nil:
		t.merge(now, k, statement{cause: Told, until: now.Add(min(*cold, MaxRemaining)), askedAt: askedAt, toldAt: now})
	case k.known && k.statement.open && !askedAt.Before(k.statement.toldAt):
		t.merge(now, k, statement{cause: Suspected, until: now.Add(t.config.Profile(k.service).ColdTime), askedAt: askedAt, toldAt: now})
	}
}

// merge merges a statement, and reports whether it changes until when the process is cold.
// Statements overtake each other, so one replaces another only if it was asked for after the
// other one had been told. While the order is unknown, the longer time holds.
func (t *Table) merge(now time.Time, k *process, s statement) bool {
	old := k.statement
	switch {
	case !k.known, !s.askedAt.Before(old.toldAt):
	case !old.askedAt.Before(s.toldAt), !s.until.After(old.until):
		return false
	}
	k.statement, k.known = s, true
	if s.open {
		k.suspectedAt = s.toldAt
	}
	if s.until.After(t.coldUntil) {
		t.coldUntil = s.until
	}
	wasCold, isCold := now.Before(old.until), now.Before(s.until)
	shift := s.until.Sub(old.until).Abs()
	if wasCold == isCold && (!isCold || shift < renewalStep) {
		return false
	}
	k.changedAt = now
	return true
}

// Cold reports whether a process is cold.
func (t *Table) Cold(now time.Time, p ident.EndpointProcess) bool {
	return t.Rate(now, p) != ratelimit.Unlimited
}

// Rate returns the rate limit of a process: that of cold endpoints of its service, or
// Unlimited if it is warm.
func (t *Table) Rate(now time.Time, p ident.EndpointProcess) ratelimit.Rate {
	if t.Empty(now) {
		return ratelimit.Unlimited
	}
	k := t.processes[p]
	if k == nil || !now.Before(k.statement.until) {
		return ratelimit.Unlimited
	}
	if profile := t.config.Profile(k.service); profile != (Profile{}) {
		return profile.Rate
	}
	return ratelimit.Unlimited
}

// Empty reports whether all processes are warm.
func (t *Table) Empty(now time.Time) bool { return !now.Before(t.coldUntil) }

// Suspects returns the listed processes that have to be asked whether they are cold, sorted:
// those that are cold because of a suspicion, or were until lately. An answer that follows the
// suspicion closely does not convince other instances, which do not know the order of the two.
func (t *Table) Suspects(now time.Time) []ident.EndpointProcess {
	var found []ident.EndpointProcess
	for p, k := range t.processes {
		if k.listed && t.config.Profile(k.service) != (Profile{}) && (k.statement.cause == Suspected && t.Cold(now, p) || now.Sub(k.suspectedAt) < 2*AskInterval) {
			found = append(found, p)
		}
	}
	slices.SortFunc(found, ident.EndpointProcess.Compare)
	return found
}

// TakeQuery reports whether a process may be asked now, and counts it as asked.
func (t *Table) TakeQuery(now time.Time, p ident.EndpointProcess) bool {
	k := t.processes[p]
	if k == nil || now.Sub(k.queriedAt) < AskInterval {
		return false
	}
	k.queriedAt = now
	return true
}

// Change is a listed process that has become cold or warm.
type Change struct {
	Process ident.EndpointProcess
	Service ident.Service
	Cold    bool
	Cause   Cause
	// Left is how much longer the process is cold.
	Left time.Duration
}

// Changes returns the listed processes that have become cold or warm since the last call,
// sorted.
func (t *Table) Changes(now time.Time) []Change {
	var changes []Change
	for p, k := range t.processes {
		if cold := t.Cold(now, p); cold != k.reportedCold && k.listed {
			k.reportedCold = cold
			changes = append(changes, Change{Process: p, Service: k.service, Cold: cold, Cause: k.statement.cause, Left: max(k.statement.until.Sub(now), 0)})
		}
	}
	slices.SortFunc(changes, func(x, y Change) int { return x.Process.Compare(y.Process) })
	return changes
}

// Counts returns how many listed processes are cold, and how many of them are suspected.
func (t *Table) Counts(now time.Time) (cold, suspected int) {
	for p, k := range t.processes {
		if !k.listed || !t.Cold(now, p) {
			continue
		}
		cold++
		if k.statement.cause == Suspected {
			suspected++
		}
	}
	return cold, suspected
}

// ProcessCount returns the number of processes that are kept.
func (t *Table) ProcessCount() int { return len(t.processes) }

// Expire forgets the processes that have not been listed for a while. isListed tells which are.
func (t *Table) Expire(now time.Time, isListed func(ident.EndpointProcess) bool) {
	t.listed, t.coldUntil = 0, time.Time{}
	maps.DeleteFunc(t.processes, func(p ident.EndpointProcess, k *process) bool {
		if k.listed = isListed(p); k.listed {
			k.seenAt = now
			t.listed++
		}
		if k.statement.until.After(t.coldUntil) {
			t.coldUntil = k.statement.until
		}
		return now.Sub(k.seenAt) > retention
	})
}

// Report passes what is known of a process on to another instance, with ages instead of times.
type Report struct {
	Service           ident.Service `json:"service,omitempty"`
	StartedUnixMillis int64         `json:"started,omitempty"`
	// Left is how much longer the process is cold; zero if it is warm. If Open is set, it is
	// suspected and has not answered since.
	Left     time.Duration `json:"left,omitempty"`
	Open     bool          `json:"open,omitempty"`
	AskedAgo time.Duration `json:"asked"`
	ToldAgo  time.Duration `json:"told"`
}

// Check returns an error if the report has values that no instance sends.
func (r *Report) Check() error {
	if r == nil {
		return nil
	}
	if r.Left < 0 || r.Left > MaxRemaining || r.ToldAgo < 0 || r.AskedAgo < r.ToldAgo {
		return errors.Errorf("cold for %v, asked %v and told %v ago", r.Left, r.AskedAgo, r.ToldAgo)
	}
	return nil
}

// Report returns what is known of a process for another instance, or nil.
func (t *Table) Report(now time.Time, p ident.EndpointProcess) *Report {
	k := t.processes[p]
	if k == nil || !k.known {
		return nil
	}
	s := k.statement
	return &Report{Service: k.service, StartedUnixMillis: p.StartedUnixMillis, Left: max(s.until.Sub(now), 0), Open: s.open, AskedAgo: now.Sub(s.askedAt), ToldAgo: now.Sub(s.toldAt)}
}

// Reports returns what was suspected or told within the given time, the latest first and at most
// the given number, or nil. All instances get the records themselves.
func (t *Table) Reports(now time.Time, within time.Duration, limit int) map[ident.Endpoint]Report {
	var news []ident.EndpointProcess
	for p, k := range t.processes {
		if fromRecord := k.statement.cause == Listed || k.statement.cause == Started; k.known && !fromRecord && !k.changedAt.IsZero() && now.Sub(k.changedAt) <= within {
			news = append(news, p)
		}
	}
	if len(news) == 0 {
		return nil
	}
	slices.SortFunc(news, func(x, y ident.EndpointProcess) int {
		return cmp.Or(t.processes[y].changedAt.Compare(t.processes[x].changedAt), cmp.Compare(x.Endpoint, y.Endpoint), cmp.Compare(y.StartedUnixMillis, x.StartedUnixMillis))
	})
	reports := map[ident.Endpoint]Report{}
	for _, p := range news {
		if _, newer := reports[p.Endpoint]; !newer && len(reports) < limit {
			reports[p.Endpoint] = *t.Report(now, p)
		}
	}
	return reports
}

// MergeAll merges the reports of another instance, but not its suspicions if they concern a
// large share of all listed processes.
func (t *Table) MergeAll(now time.Time, reports map[ident.Endpoint]Report) {
	suspected := 0
	for _, r := range reports {
		if r.Open {
			suspected++
		}
	}
	doubtful := float64(suspected) > max(maxSuspectedShare*float64(t.listed), 1)
	for e, r := range reports {
		if !r.Open || !doubtful {
			t.Merge(now, e, r)
		}
	}
}

// Merge merges another instance's report on an endpoint, and reports whether that changes
// until when the process is cold.
func (t *Table) Merge(now time.Time, e ident.Endpoint, r Report) bool {
	k := t.process(now, ident.EndpointProcess{Endpoint: e, StartedUnixMillis: r.StartedUnixMillis}, r.Service)
	if k == nil {
		return false
	}
	s := statement{cause: Told, until: now.Add(r.Left), open: r.Open, askedAt: now.Add(-r.AskedAgo - transitSlack), toldAt: now.Add(-r.ToldAgo)}
	if r.Open {
		s.cause = Suspected
	}
	old := k.statement
	sameTime := s.until.Sub(old.until).Abs() < renewalStep || !now.Before(s.until) && !now.Before(old.until)
	if k.known && sameTime && s.open == old.open && s.toldAt.Sub(old.toldAt) < renewalStep {
		return false
	}
	return t.merge(now, k, s)
}
