package claim

import (
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/outcome"
	"anvilcross/kernel/value"
)

// Holder is one attempt of one process to own a key.
type Holder struct {
	Instance    ident.Instance    `json:"instance"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Attempt     uint64            `json:"attempt"`
}

// Record is what a seat remembers about a key.
type Record struct {
	Key       ident.Key    `json:"key"`
	Digest    ident.Digest `json:"digest"`
	Holder    Holder       `json:"holder"`
	GrantedAt time.Time    `json:"granted"`
	// CompetingHolders are further holders that other seats reported while this seat
	// recovered. Its earlier process granted the key to one of them at most
	// and it cannot know to which, so none is granted until the others have
	// released the key.
	CompetingHolders []Holder `json:"rivals,omitempty"`
	// learned is set when the record came from another seat. The seat then
	// grants the key only if it could grant an unknown one: an earlier process
	// of it may have granted it to somebody whom no one remembers.
	learned bool
	// Answer is the settled answer; nil while the key is held.
	Answer *outcome.Answer `json:"answer,omitempty"`
}

// Verdict is a seat's reply to a claim.
type Verdict string

// The verdicts.
const (
	// Granted means that the claimer holds the key at this seat.
	Granted Verdict = "granted"
	// Held means that another claimer holds the key.
	Held Verdict = "held"
	// Settled means that the key's final answer is known.
	Settled Verdict = "settled"
	// Conflict means that the id was used with another pipeline or body.
	Conflict Verdict = "conflict"
	// Uncertain means that the seat does not know the key and its memory does
	// not reach back far enough to rule out an earlier grant.
	Uncertain Verdict = "doubt"
	// Free is the reply to a query for a key that the seat does not hold.
	Free Verdict = "free"
)

// Request asks for a key.
type Request struct {
	Key    ident.Key    `json:"key"`
	Digest ident.Digest `json:"digest"`
	Holder Holder       `json:"holder"`
	// FirstSent is the caller's time of the first sending; zero if unknown.
	FirstSent time.Time `json:"firstSent,omitzero"`
	// QueryOnly asks what is known without claiming.
	QueryOnly bool `json:"query,omitempty"`
}

// Vote is one seat's reply to a Request.
type Vote struct {
	Key     ident.Key `json:"key"`
	Attempt uint64    `json:"attempt"`
	EpochStamp
	Verdict Verdict `json:"verdict"`
	Record  *Record `json:"record,omitempty"`
}

// VoterConfig sets up a Memory.
type VoterConfig struct {
	Seat        ident.Instance
	Incarnation ident.Incarnation
	// Start is when this process began to remember.
	Start time.Time
	// MaxRecords bounds the table. At the bound the seat answers Doubt.
	MaxRecords int
	// MaxAnswerBytes bounds the text of a remembered answer.
	MaxAnswerBytes int
}

// TimeBounds are the promises about time that a Memory relies on.
type TimeBounds struct {
	ResendHorizon time.Duration
	ClockSkew     time.Duration
}

type view struct {
	epoch       ident.Epoch
	incarnation ident.Incarnation
	// synced is set when the other seat has sent its records since the
	// current registration.
	synced bool
	since  time.Time
}

// Voter is the voting side of one seat.
type Voter struct {
	config VoterConfig
	rules  TimeBounds
	epoch  ident.Epoch
	// reconfirming is set while the seat asks whether it was replaced, and
	// superseded once it was told so.
	reconfirming bool
	superseded   bool
	// inherited is set when the last process's memory was taken over whole.
	inherited bool
	// start is when the memory begins: of this process, or inherited.
	start   time.Time
	views   map[ident.Instance]*view
	records map[ident.Key]*Record
	// expiry lists the keys in the order of their grants.
	expiry []expiring
}

type expiring struct {
	key     ident.Key
	granted time.Time
}

// firstEpoch is the epoch of a seat that was never replaced.
const firstEpoch ident.Epoch = 1

// NewVoter returns an empty memory that has to register with the other
// seats before it can vote.
func NewVoter(c VoterConfig) *Voter {
	return &Voter{
		config:  c,
		epoch:   firstEpoch,
		start:   c.Start,
		views:   map[ident.Instance]*view{},
		records: map[ident.Key]*Record{},
	}
}

// SetSeats makes the memory register with the given seats and sets its rules.
// Seats that it knows already keep their registration.
func (m *Voter) SetSeats(seats []ident.Instance, r TimeBounds) {
	m.rules = r
	for _, seat := range seats {
		if seat == m.config.Seat || m.views[seat] != nil {
			continue
		}
		m.views[seat] = &view{}
	}
	for _, seat := range value.SortedKeys(m.views) {
		if !slices.Contains(seats, seat) {
			delete(m.views, seat)
		}
	}
}

// Epoch returns the seat's registration number.
func (m *Voter) Epoch() ident.Epoch { return m.epoch }

// Len returns the number of remembered keys.
func (m *Voter) Len() int { return len(m.records) }

// CompleteSince returns the time from which on the memory is complete. It reaches
// back past the start of the process only when every other seat has sent its
// records, and then as far as the shortest of theirs.
func (m *Voter) CompleteSince() time.Time {
	if m.inherited {
		return m.start
	}
	oldest := time.Time{}
	for _, v := range m.views {
		if !v.synced {
			return m.start
		}
		if v.since.After(oldest) {
			oldest = v.since
		}
	}
	if oldest.IsZero() || oldest.After(m.start) {
		return m.start
	}
	return oldest
}

// Vote answers a claim or a query. The group is the key's, this seat included.
func (m *Voter) Vote(now time.Time, r Request, group []ident.Instance) Vote {
	m.expire(now)
	v := Vote{Key: r.Key, Attempt: r.Holder.Attempt, EpochStamp: m.Stamp(group)}
	known := m.records[r.Key]
	switch {
	case known != nil:
		v.Verdict = judge(known, r)
		if v.Verdict == Granted && known.learned && !m.complete(now, r, group) {
			v.Verdict = Uncertain
		}
		if v.Verdict != Granted {
			record := *known
			v.Record = &record
		}
	case r.QueryOnly:
		v.Verdict = Free
		if !m.complete(now, r, group) {
			v.Verdict = Uncertain
		}
	case !m.complete(now, r, group) || len(m.records) >= m.config.MaxRecords:
		v.Verdict = Uncertain
	default:
		m.store(&Record{Key: r.Key, Digest: r.Digest, Holder: r.Holder, GrantedAt: now})
		v.Verdict = Granted
	}
	return v
}

func judge(known *Record, r Request) Verdict {
	switch {
	case !r.QueryOnly && known.Digest != r.Digest:
		return Conflict
	case known.Answer != nil:
		return Settled
	case !r.QueryOnly && known.Holder == r.Holder && len(known.CompetingHolders) == 0:
		return Granted
	default:
		return Held
	}
}

// complete reports whether an unknown key was certainly never granted by an
// earlier process of this seat. The caller's time of first sending is the
// evidence: a grant cannot be older. Without it only the resend horizon
// bounds the age of a grant.
func (m *Voter) complete(now time.Time, r Request, group []ident.Instance) bool {
	if m.superseded || !m.SyncedWith(group) {
		return false
	}
	since := m.CompleteSince()
	if r.FirstSent.IsZero() {
		return now.Sub(since) >= m.rules.ResendHorizon
	}
	if now.Sub(r.FirstSent) > m.rules.ResendHorizon-m.rules.ClockSkew {
		return false
	}
	return r.FirstSent.After(since.Add(m.rules.ClockSkew))
}

func (m *Voter) registered(seat ident.Instance) bool {
	v := m.views[seat]
	return v != nil && v.synced
}

func (m *Voter) groupViews(group []ident.Instance) map[ident.Instance]ident.Epoch {
	views := make(map[ident.Instance]ident.Epoch, GroupSize)
	for _, seat := range group {
		if v := m.views[seat]; v != nil {
			views[seat] = v.epoch
		}
	}
	return views
}

func (m *Voter) store(r *Record) {
	if _, known := m.records[r.Key]; !known {
		m.expiry = append(m.expiry, expiring{key: r.Key, granted: r.GrantedAt})
	}
	m.records[r.Key] = r
}

// expire drops records that are older than the horizon plus the skew. No
// caller sends such an id again, and complete refuses one that shows its age.
func (m *Voter) expire(now time.Time) {
	limit := m.rules.ResendHorizon + m.rules.ClockSkew
	n := 0
	for n < len(m.expiry) && now.Sub(m.expiry[n].granted) > limit {
		key := m.expiry[n].key
		if r := m.records[key]; r != nil && now.Sub(r.GrantedAt) > limit {
			delete(m.records, key)
		}
		n++
	}
	m.expiry = m.expiry[n:]
}

// Release gives a key back. Only the exact attempt that holds it can, so a
// delayed message cannot release a later claim of the same process.
func (m *Voter) Release(key ident.Key, h Holder) {
	r := m.records[key]
	if r == nil || r.Answer != nil {
		return
	}
	if r.Holder != h {
		r.CompetingHolders = slices.DeleteFunc(slices.Clone(r.CompetingHolders), func(o Holder) bool { return o == h })
		return
	}
	if len(r.CompetingHolders) == 0 {
		delete(m.records, key)
		return
	}
	r.Holder = r.CompetingHolders[0]
	r.CompetingHolders = slices.Clone(r.CompetingHolders[1:])
}

// Settle records the final answer of a key. Only the winner of a majority
// sends it, so it replaces a minority's hold, and a seat that was replaced
// and does not know the key learns it.
func (m *Voter) Settle(now time.Time, r Record) {
	if known := m.records[r.Key]; known != nil && known.Answer != nil {
		return
	}
	r.GrantedAt = now
	r.CompetingHolders = nil
	r.learned = false
	r.Answer = m.trim(r.Answer)
	m.store(&r)
}

// learn merges a record that another seat sent during recovery.
func (m *Voter) learn(r *Record) {
	known := m.records[r.Key]
	if known != nil && known.Answer != nil {
		return
	}
	if known == nil || r.Answer != nil {
		r.learned = true
		m.store(r)
		return
	}
	merged := *known
	merged.CompetingHolders = slices.Clone(known.CompetingHolders)
	for _, h := range append([]Holder{r.Holder}, r.CompetingHolders...) {
		if h != merged.Holder && !slices.Contains(merged.CompetingHolders, h) {
			merged.CompetingHolders = append(merged.CompetingHolders, h)
		}
	}
	m.records[r.Key] = &merged
}

// trim drops what does not fit from a copy of the answer. A seat without the
// whole text must not pass for one that has it, so it keeps the record held
// instead; the caller then collects the answer from the holder.
func (m *Voter) trim(a *outcome.Answer) *outcome.Answer {
	size := len(a.Text)
	for i := range a.Stages {
		size += len(a.Stages[i].Output)
	}
	if size > m.config.MaxAnswerBytes {
		return nil
	}
	return a
}
