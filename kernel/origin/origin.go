// Package origin keeps what is known of the software versions that began streams. What
// two versions write does not fit together, and endpoints do not check it, so a stream
// may go on only at the version that began it. Instances that hear of a stream's first
// event keep its origin in a Table. If none of them remembers it, the prompts that
// endpoints hold tell who has read the stream's prompt: these are in Holdings.
package origin

import (
	"slices"
	"time"

	"anvilcross/kernel/ident"
)

// Origin is the service and the software version of the endpoint that began a stream.
type Origin struct {
	Service ident.Service         `json:"service"`
	Version ident.SoftwareVersion `json:"version"`
}

// Known reports whether the version is known: endpoints that name none may differ.
func (o Origin) Known() bool { return o.Version != "" }

// Entry is the origin of one stream.
type Entry struct {
	// Stream is the id of the request that brought the first event.
	Stream ident.RequestID `json:"stream"`
	Origin
	// Age is the time since the first event.
	Age time.Duration `json:"age,omitempty"`
}

// TableConfig sets up a Table.
type TableConfig struct {
	// Retention is how long an origin is kept, and MaxStreams how many are. The oldest
	// ones are dropped for others.
	Retention  time.Duration
	MaxStreams int
}

type tableEntry struct {
	origin  Origin
	begunAt time.Time
}

// Table holds the origins of streams.
type Table struct {
	config  TableConfig
	streams map[ident.RequestID]tableEntry
	// order holds the streams in the order in which they were recorded.
	order []ident.RequestID
}

// NewTable returns an empty table.
func NewTable(c TableConfig) *Table {
	return &Table{config: c, streams: map[ident.RequestID]tableEntry{}}
}

// Record keeps a stream's origin. The first one that is recorded for a stream holds.
func (t *Table) Record(now time.Time, e Entry) {
	if _, known := t.streams[e.Stream]; known || e.Age >= t.config.Retention {
		return
	}
	if len(t.order) >= t.config.MaxStreams {
		t.dropOldest()
	}
	t.streams[e.Stream] = tableEntry{origin: e.Origin, begunAt: now.Add(-e.Age)}
	t.order = append(t.order, e.Stream)
}

func (t *Table) dropOldest() {
	delete(t.streams, t.order[0])
	t.order = t.order[1:]
}

// Lookup returns a stream's origin, and whether it is known.
func (t *Table) Lookup(stream ident.RequestID) (Origin, bool) {
	e, known := t.streams[stream]
	return e.origin, known
}

// Expire drops the streams whose retention has passed.
func (t *Table) Expire(now time.Time) {
	for len(t.order) > 0 && now.Sub(t.streams[t.order[0]].begunAt) >= t.config.Retention {
		t.dropOldest()
	}
}

// Entries returns all origins, in the order in which they were recorded.
func (t *Table) Entries(now time.Time) []Entry {
	entries := make([]Entry, 0, len(t.order))
	for _, stream := range t.order {
		e := t.streams[stream]
		entries = append(entries, Entry{Stream: stream, Origin: e.origin, Age: now.Sub(e.begunAt)})
	}
	return entries
}

// Holder is a process of an endpoint.
type Holder struct {
	Endpoint          ident.Endpoint
	StartedUnixMillis int64
	Origin
}

// PromptList is what an endpoint says of the prompt parts in its memory.
type PromptList struct {
	// StartedUnixMillis is when the process that answered started, 0 if it did not say so.
	StartedUnixMillis int64
	Parts             []ident.PromptPart
	// Tokens holds, in the order of Parts, the tokens kept of each, with those generated after it
	// if it is the last of a prompt; empty if they are not known.
	Tokens []int
}

type holding struct {
	holder Holder
	// parts holds the tokens of each part; zero if they are not known.
	parts map[ident.PromptPart]int
	at    time.Time
}

// Holdings holds what endpoints last said of the prompt parts in their memories.
type Holdings struct {
	ttl        time.Duration
	byEndpoint map[ident.Endpoint]holding
}

// NewHoldings returns holdings in which a report counts for the given time.
func NewHoldings(ttl time.Duration) *Holdings {
	return &Holdings{ttl: ttl, byEndpoint: map[ident.Endpoint]holding{}}
}

// Record stores an endpoint's report of the parts that it holds.
func (h *Holdings) Record(now time.Time, holder Holder, parts []ident.PromptPart) {
	h.RecordList(now, holder, PromptList{Parts: parts})
}

// RecordList stores an endpoint's report.
func (h *Holdings) RecordList(now time.Time, holder Holder, list PromptList) {
	report := holding{holder: holder, parts: make(map[ident.PromptPart]int, len(list.Parts)), at: now}
	for n, part := range list.Parts {
		report.parts[part] = 0
		if n < len(list.Tokens) {
			report.parts[part] = list.Tokens[n]
		}
	}
	h.byEndpoint[holder.Endpoint] = report
}

// MostTokens returns the most tokens of a part that an endpoint of some services holds.
func (h *Holdings) MostTokens(services []ident.Service, part ident.PromptPart) int {
	most := 0
	for _, report := range h.byEndpoint {
		if slices.Contains(services, report.holder.Service) {
			most = max(most, report.parts[part])
		}
	}
	return most
}

// Fresh reports whether there is a valid report of an endpoint's process.
func (h *Holdings) Fresh(now time.Time, holder Holder) bool {
	report, known := h.byEndpoint[holder.Endpoint]
	return known && report.holder == holder && now.Sub(report.at) < h.ttl
}

// Candidate is a listed process that may have begun a stream.
type Candidate struct {
	Holder
	// Awaited is set while its report may still arrive.
	Awaited bool
}

// Verdict is what reports prove of the version that began a stream.
type Verdict int

// Verdicts.
const (
	// Open: awaited reports decide.
	Open Verdict = iota
	// Proved: one version holds the part, and no other one can.
	Proved
	// Unproved: several versions hold the part or may hold it, or none does.
	Unproved
)

// Judge returns the origin that all holders of a part have in common, and whether it is
// proved that no other version has read the part. A candidate without a valid report may
// hold the part, so it must have that origin too.
func (h *Holdings) Judge(now time.Time, part ident.PromptPart, services []ident.Service, candidates []Candidate) (Origin, Verdict) {
	found, agreed := h.commonOrigin(services, part)
	if !agreed {
		return Origin{}, Unproved
	}
	verdict := Proved
	if !found.Known() {
		verdict = Unproved
	}
	for _, c := range candidates {
		switch {
		case h.Fresh(now, c.Holder):
		case c.Awaited:
			verdict = Open
		case found.Known() && c.Origin != found:
			return Origin{}, Unproved
		}
	}
	return found, verdict
}

func (h holding) holds(part ident.PromptPart) bool {
	_, held := h.parts[part]
	return held
}

// commonOrigin returns the origin of all holders of a part; it is empty if there is none.
// agreed is false if they have several origins or one that is not known.
func (h *Holdings) commonOrigin(services []ident.Service, part ident.PromptPart) (common Origin, agreed bool) {
	for _, report := range h.byEndpoint {
		switch {
		case !slices.Contains(services, report.holder.Service) || !report.holds(part):
		case !report.holder.Known() || common.Known() && common != report.holder.Origin:
			return Origin{}, false
		default:
			common = report.holder.Origin
		}
	}
	return common, true
}

// Expire drops the reports that are not valid any more.
func (h *Holdings) Expire(now time.Time) {
	for name, report := range h.byEndpoint {
		if now.Sub(report.at) >= h.ttl {
			delete(h.byEndpoint, name)
		}
	}
}
