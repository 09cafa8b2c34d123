package claim

import (
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/outcome"
	"anvilcross/kernel/value"
)

// Holder identifies one attempt of one process to claim a key.
type Holder struct {
	Instance    ident.Instance    `json:"instance"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Attempt     uint64            `json:"attempt"`
}

// Record is what a seat stores about a key.
type Record struct {
	Key       ident.Key    `json:"key"`
	Digest    ident.Digest `json:"digest"`
	Holder    Holder       `json:"holder"`
	GrantedAt time.Time    `json:"granted"`
	// CompetingHolders are further holders that other seats reported while this
	// seat recovered. The seat's previous process granted the key to at most
	// one of Holder and CompetingHolders, but which one is not known. The seat
	// therefore grants it to none until all others have released the key.
	CompetingHolders []Holder `json:"rivals,omitempty"`
	// isCopy is set when the record came from another seat or from a hand-over.
	// The seat then grants the key only if it could grant a key without a
	// record: its previous process may have granted it to a claimer of which no
	// seat has a record any more.
	isCopy bool
	// Answer is the final answer; nil while the key is held.
	Answer *outcome.Answer `json:"answer,omitempty"`
}

// Verdict is a seat's decision on a claim or a query.
type Verdict string

// The verdicts.
const (
	// Granted means that the claimer holds the key at this seat.
	Granted Verdict = "granted"
	// Held means that another claimer holds the key.
	Held Verdict = "held"
	// Settled means that the seat has the final answer of the key.
	Settled Verdict = "settled"
	// Conflict means that the id was used with another pipeline or body.
	Conflict Verdict = "conflict"
	// Uncertain means that the seat cannot rule out a grant by an earlier process
	// of its own, or that its table is full.
	Uncertain Verdict = "doubt"
	// Free answers a query: the seat has no record of the key and can rule out an
	// earlier grant.
	Free Verdict = "free"
)

// Request asks a seat to grant a key or, as a query, to report its record.
type Request struct {
	Key    ident.Key    `json:"key"`
	Digest ident.Digest `json:"digest"`
	Holder Holder       `json:"holder"`
	// FirstSent is when the caller first sent the request, by the caller's
	// clock; zero if unknown.
	FirstSent time.Time `json:"firstSent,omitzero"`
	// QueryOnly asks for the seat's record without claiming the key.
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

// VoterConfig configures a Voter.
type VoterConfig struct {
	Seat        ident.Instance
	Incarnation ident.Incarnation
	// Start is when this process started to keep records.
	Start time.Time
	// MaxRecords bounds the number of records. At the bound the seat votes
	// Uncertain on keys without a record.
	MaxRecords int
	// MaxAnswerBytes bounds the total text size of a stored answer. A larger
	// answer is not stored.
	MaxAnswerBytes int
}

// TimeBounds are the timing guarantees that a Voter relies on.
type TimeBounds struct {
	// ResendHorizon is how long after its first sending a caller may send a
	// request again.
	ResendHorizon time.Duration
	// ClockSkew is the largest difference between any two clocks.
	ClockSkew time.Duration
}

// peerState is what the seat knows about another seat.
type peerState struct {
	epoch       ident.Epoch
	incarnation ident.Incarnation
	// synced is set when the other seat has sent its records in reply to the
	// current registration.
	synced bool
	// completeSince is the time from which on the other seat's records are
	// complete.
	completeSince time.Time
}

// Voter casts the votes of one seat and keeps the records they rest on. It is
// not safe for concurrent use.
type Voter struct {
	config VoterConfig
	bounds TimeBounds
	epoch  ident.Epoch
	// everReconfirmed is set by the first call of Reconfirm and never cleared.
	// From then on, a rejected registration means that another process took the
	// seat over, and sets superseded.
	everReconfirmed bool
	superseded      bool
	// restored is set when all records that the seat's previous process handed
	// over have been added.
	restored bool
	// recordsSince is the time from which on the records are complete without
	// those of other seats: the start of this process, or the time handed over
	// by the previous one.
	recordsSince time.Time
	peers        map[ident.Instance]*peerState
	records      map[ident.Key]*Record
	// grantOrder lists the keys in the order in which they were stored.
	grantOrder []grantEntry
}

type grantEntry struct {
	key       ident.Key
	grantedAt time.Time
}

// firstEpoch is the epoch of a seat that was never replaced.
const firstEpoch ident.Epoch = 1

// NewVoter returns a voter without records. It has to register with the other
// seats before it can grant keys.
func NewVoter(c VoterConfig) *Voter {
	return &Voter{
		config:       c,
		epoch:        firstEpoch,
		recordsSince: c.Start,
		peers:        map[ident.Instance]*peerState{},
		records:      map[ident.Key]*Record{},
	}
}

// SetSeats sets the seats to register with and the time bounds. Seats that were
// set before keep their registration.
func (v *Voter) SetSeats(seats []ident.Instance, b TimeBounds) {
	v.bounds = b
	for _, seat := range seats {
		if seat == v.config.Seat || v.peers[seat] != nil {
			continue
		}
		v.peers[seat] = &peerState{}
	}
	for _, seat := range value.SortedKeys(v.peers) {
		if !slices.Contains(seats, seat) {
			delete(v.peers, seat)
		}
	}
}

// Epoch returns the seat's current registration number.
func (v *Voter) Epoch() ident.Epoch { return v.epoch }

// Len returns the number of records.
func (v *Voter) Len() int { return len(v.records) }

// CompleteSince returns the time from which on the records are complete. It lies
// before the start of the process only after a restored hand-over, or when every
// other seat has sent its records; it is then the latest of their times.
func (v *Voter) CompleteSince() time.Time {
	if v.restored {
		return v.recordsSince
	}
	latest := time.Time{}
	for _, p := range v.peers {
		if !p.synced {
			return v.recordsSince
		}
		if p.completeSince.After(latest) {
			latest = p.completeSince
		}
	}
	if latest.IsZero() || latest.After(v.recordsSince) {
		return v.recordsSince
	}
	return latest
}

// Vote answers a claim or a query. The group is the key's voting group,
// including this seat.
func (v *Voter) Vote(now time.Time, r Request, group []ident.Instance) Vote {
	v.expire(now)
	vote := Vote{Key: r.Key, Attempt: r.Holder.Attempt, EpochStamp: v.Stamp(group)}
	known := v.records[r.Key]
	switch {
	case known != nil:
		vote.Verdict = verdictFromRecord(known, r)
		if vote.Verdict == Granted && known.isCopy && !v.canRuleOutGrant(now, r, group) {
			vote.Verdict = Uncertain
		}
		if vote.Verdict != Granted {
			record := *known
			vote.Record = &record
		}
	case r.QueryOnly:
		vote.Verdict = Free
		if !v.canRuleOutGrant(now, r, group) {
			vote.Verdict = Uncertain
		}
	case !v.canRuleOutGrant(now, r, group) || len(v.records) >= v.config.MaxRecords:
		vote.Verdict = Uncertain
	default:
		v.store(&Record{Key: r.Key, Digest: r.Digest, Holder: r.Holder, GrantedAt: now})
		vote.Verdict = Granted
	}
	return vote
}

// verdictFromRecord returns the verdict for a key that has a record.
func verdictFromRecord(known *Record, r Request) Verdict {
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

// canRuleOutGrant reports whether no earlier process of this seat can have
// granted a key that has no record here. A grant cannot be older than the first
// sending of the request. If that time is unknown, only the resend horizon
// bounds the age of a grant.
func (v *Voter) canRuleOutGrant(now time.Time, r Request, group []ident.Instance) bool {
	if v.superseded || !v.SyncedWith(group) {
		return false
	}
	since := v.CompleteSince()
	if r.FirstSent.IsZero() {
		return now.Sub(since) >= v.bounds.ResendHorizon
	}
	if now.Sub(r.FirstSent) > v.bounds.ResendHorizon-v.bounds.ClockSkew {
		return false
	}
	return r.FirstSent.After(since.Add(v.bounds.ClockSkew))
}

func (v *Voter) isSynced(seat ident.Instance) bool {
	p := v.peers[seat]
	return p != nil && p.synced
}

func (v *Voter) groupEpochs(group []ident.Instance) map[ident.Instance]ident.Epoch {
	epochs := make(map[ident.Instance]ident.Epoch, GroupSize)
	for _, seat := range group {
		if p := v.peers[seat]; p != nil {
			epochs[seat] = p.epoch
		}
	}
	return epochs
}

func (v *Voter) store(r *Record) {
	if _, known := v.records[r.Key]; !known {
		v.grantOrder = append(v.grantOrder, grantEntry{key: r.Key, grantedAt: r.GrantedAt})
	}
	v.records[r.Key] = r
}

// expire drops records older than the resend horizon plus the clock skew. No
// caller sends such an id again, and canRuleOutGrant rejects a request whose
// first sending is that old.
func (v *Voter) expire(now time.Time) {
	maxAge := v.bounds.ResendHorizon + v.bounds.ClockSkew
	expired := 0
	for expired < len(v.grantOrder) && now.Sub(v.grantOrder[expired].grantedAt) > maxAge {
		key := v.grantOrder[expired].key
		if r := v.records[key]; r != nil && now.Sub(r.GrantedAt) > maxAge {
			delete(v.records, key)
		}
		expired++
	}
	v.grantOrder = v.grantOrder[expired:]
}

// Release removes a holder from a key. It must name the exact attempt, so that
// a delayed message cannot release a later claim of the same process.
func (v *Voter) Release(key ident.Key, h Holder) {
	r := v.records[key]
	if r == nil || r.Answer != nil {
		return
	}
	if r.Holder != h {
		r.CompetingHolders = slices.DeleteFunc(slices.Clone(r.CompetingHolders), func(o Holder) bool { return o == h })
		return
	}
	if len(r.CompetingHolders) == 0 {
		delete(v.records, key)
		return
	}
	r.Holder = r.CompetingHolders[0]
	r.CompetingHolders = slices.Clone(r.CompetingHolders[1:])
}

// Settle records the final answer of a key. For a non-idempotent request only
// the winner of a majority or the owner of a ticket sends it, so it overwrites a
// hold by a claimer with a minority. For an idempotent one an instance may also
// send it that finished before its claim was decided. At a replaced seat that
// has no record, it adds one.
func (v *Voter) Settle(now time.Time, r Record) {
	if known := v.records[r.Key]; known != nil && known.Answer != nil {
		return
	}
	r.GrantedAt = now
	r.CompetingHolders = nil
	r.isCopy = false
	r.Answer = v.answerIfFits(r.Answer)
	v.store(&r)
}

// mergeRecord adds a record that another seat sent during recovery, or that the
// seat's previous process handed over. An answer takes precedence over holders;
// the holders of both records are kept.
func (v *Voter) mergeRecord(r *Record) {
	known := v.records[r.Key]
	if known != nil && known.Answer != nil {
		return
	}
	if known == nil || r.Answer != nil {
		r.isCopy = true
		v.store(r)
		return
	}
	merged := *known
	merged.CompetingHolders = slices.Clone(known.CompetingHolders)
	for _, h := range append([]Holder{r.Holder}, r.CompetingHolders...) {
		if h != merged.Holder && !slices.Contains(merged.CompetingHolders, h) {
			merged.CompetingHolders = append(merged.CompetingHolders, h)
		}
	}
	v.records[r.Key] = &merged
}

// answerIfFits returns the answer, or nil if its texts exceed MaxAnswerBytes. A
// seat must not report a truncated answer as settled, so the record stays held
// and the answer is collected from the holder.
func (v *Voter) answerIfFits(a *outcome.Answer) *outcome.Answer {
	size := len(a.Text)
	for i := range a.Stages {
		size += len(a.Stages[i].Output)
	}
	if size > v.config.MaxAnswerBytes {
		return nil
	}
	return a
}
