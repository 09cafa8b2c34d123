package claim

import (
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/value"
)

// Registration announces the process that votes for a seat. The receiving seat
// reports the new epoch in its votes from then on, which invalidates the votes
// of earlier processes of the registered seat.
type Registration struct {
	Seat        ident.Instance    `json:"seat"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Epoch       ident.Epoch       `json:"epoch"`
}

// Sync is the reply to a Registration.
type Sync struct {
	Seat        ident.Instance    `json:"seat"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Epoch       ident.Epoch       `json:"epoch"`
	// InReplyTo repeats the answered registration.
	InReplyTo Registration `json:"for"`
	// KnownEpoch is set if the registration is rejected: a new one needs a
	// higher epoch.
	KnownEpoch ident.Epoch `json:"known,omitempty"`
	// CompleteSince is the time from which on the sender's records are
	// complete.
	CompleteSince time.Time `json:"since"`
	// PeerEpochs holds the epochs of the replaced seats that the sender knows.
	PeerEpochs map[ident.Instance]ident.Epoch `json:"views,omitempty"`
	// Records holds the records of the keys on which both seats vote.
	Records []Record `json:"records,omitempty"`
}

// UnsyncedSeats returns the seats that have not yet sent their records in reply
// to the current registration.
func (v *Voter) UnsyncedSeats() []ident.Instance {
	var seats []ident.Instance
	for _, seat := range value.SortedKeys(v.peers) {
		if !v.peers[seat].synced {
			seats = append(seats, seat)
		}
	}
	return seats
}

// Registration returns the message that announces this process.
func (v *Voter) Registration() Registration {
	return Registration{Seat: v.config.Seat, Incarnation: v.config.Incarnation, Epoch: v.epoch}
}

// HandleRegistration accepts or rejects the registration of another seat and
// returns the reply. It reports false, without a reply, for a seat that SetSeats
// did not name. The function votingGroup returns the seats that vote on a key.
func (v *Voter) HandleRegistration(now time.Time, r Registration, votingGroup func(ident.Key) []ident.Instance) (Sync, bool) {
	p := v.peers[r.Seat]
	if p == nil {
		return Sync{}, false
	}
	reply := Sync{Seat: v.config.Seat, Incarnation: v.config.Incarnation, Epoch: v.epoch, InReplyTo: r}
	isRepeat := r.Epoch == p.epoch && r.Incarnation == p.incarnation
	if r.Epoch <= p.epoch && !isRepeat {
		reply.KnownEpoch = p.epoch
		return reply, true
	}
	if !isRepeat {
		p.epoch = r.Epoch
		p.incarnation = r.Incarnation
	}
	v.expire(now)
	reply.CompleteSince = v.CompleteSince()
	reply.PeerEpochs = v.replacedPeerEpochs()
	reply.Records = v.recordsFor(r.Seat, votingGroup)
	return reply, true
}

// HandleSync applies the reply to a registration. It reports whether this
// process must register again, under a higher epoch.
func (v *Voter) HandleSync(s Sync) (mustRegisterAgain bool) {
	p := v.peers[s.Seat]
	if p == nil || s.InReplyTo != v.Registration() {
		return false
	}
	if s.KnownEpoch > 0 && v.everReconfirmed {
		v.superseded = true
		return false
	}
	if s.KnownEpoch > 0 {
		v.raiseEpoch(s.KnownEpoch)
		return true
	}
	if s.Epoch < p.epoch {
		// A replaced process answered for that seat. Its successor will answer
		// a later registration.
		return false
	}
	v.mergePeerEpochs(s)
	p.epoch = s.Epoch
	p.incarnation = s.Incarnation
	p.synced = true
	p.completeSince = s.CompleteSince
	for i := range s.Records {
		v.mergeRecord(&s.Records[i])
	}
	return false
}

// Reconfirm makes this process register again to find out whether it is still
// the seat's current process. Until the others have confirmed it, it grants no
// new keys. A process calls this after a long pause, during which it may have
// been replaced.
func (v *Voter) Reconfirm() {
	v.everReconfirmed = true
	for _, p := range v.peers {
		p.synced = false
	}
}

// raiseEpoch moves to the epoch after the known one and marks all other seats as
// not synced.
func (v *Voter) raiseEpoch(knownEpoch ident.Epoch) {
	v.epoch = knownEpoch + 1
	v.restored = false
	v.recordsSince = v.config.Start
	for _, p := range v.peers {
		p.synced = false
	}
}

// mergePeerEpochs takes over higher epochs of third seats. Any earlier reply of
// such a seat came from a replaced process, so it has to be synced again.
func (v *Voter) mergePeerEpochs(s Sync) {
	for seat, epoch := range s.PeerEpochs {
		p := v.peers[seat]
		if p == nil || epoch <= p.epoch {
			continue
		}
		p.epoch = epoch
		p.incarnation = 0
		p.synced = false
	}
}

// replacedPeerEpochs returns the epochs of the seats that were ever replaced.
// The other seats report their first epoch themselves, so leaving them out keeps
// every Sync small.
func (v *Voter) replacedPeerEpochs() map[ident.Instance]ident.Epoch {
	epochs := map[ident.Instance]ident.Epoch{}
	for seat, p := range v.peers {
		if p.epoch > firstEpoch {
			epochs[seat] = p.epoch
		}
	}
	return epochs
}

// recordsFor returns the records of the keys on which the given seat votes.
func (v *Voter) recordsFor(seat ident.Instance, votingGroup func(ident.Key) []ident.Instance) []Record {
	var records []Record
	for _, e := range v.grantOrder {
		r := v.records[e.key]
		if r == nil || !slices.Contains(votingGroup(e.key), seat) {
			continue
		}
		records = append(records, *r)
	}
	return records
}

// Records returns all records, in the order in which they were stored.
func (v *Voter) Records() []Record {
	records := make([]Record, 0, len(v.records))
	for _, e := range v.grantOrder {
		if r := v.records[e.key]; r != nil {
			records = append(records, *r)
		}
	}
	return records
}

// RestoreHandOver adds the records that the seat's previous process handed over
// when it stopped. They are all that the previous process knew, so this seat's
// records are complete since the same time as those were. A hand-over from an
// earlier epoch is rejected, since later processes may have voted. It reports
// whether the hand-over was accepted.
func (v *Voter) RestoreHandOver(epoch ident.Epoch, since time.Time, records []Record) bool {
	if epoch != v.epoch-1 {
		return false
	}
	v.restored = true
	v.recordsSince = since
	for i := range records {
		v.mergeRecord(&records[i])
	}
	return true
}
