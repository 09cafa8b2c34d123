package claim

import (
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/value"
)

// Registration announces a process that votes for a seat. The receiving seat
// from then on reports the new epoch in its votes, which makes the votes of
// an earlier process of that seat unusable.
type Registration struct {
	Seat        ident.Instance    `json:"seat"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Epoch       ident.Epoch       `json:"epoch"`
}

// Sync is the reply to a Register.
type Sync struct {
	Seat        ident.Instance    `json:"seat"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Epoch       ident.Epoch       `json:"epoch"`
	// InReplyTo echoes the registration that this answers.
	InReplyTo Registration `json:"for"`
	// KnownEpoch is set on a rejection: the epoch that has to be exceeded.
	KnownEpoch ident.Epoch `json:"known,omitempty"`
	// CompleteSince is when the sender's memory starts to be complete.
	CompleteSince time.Time `json:"since"`
	// PeerEpochs are the epochs that the sender knows of seats that were replaced.
	PeerEpochs map[ident.Instance]ident.Epoch `json:"views,omitempty"`
	// Records are the keys on which both seats vote.
	Records []Record `json:"records,omitempty"`
}

// UnsyncedSeats returns the seats that have not yet sent their records.
func (m *Voter) UnsyncedSeats() []ident.Instance {
	var seats []ident.Instance
	for _, seat := range value.SortedKeys(m.views) {
		if !m.views[seat].synced {
			seats = append(seats, seat)
		}
	}
	return seats
}

// Registration returns the message that announces this process.
func (m *Voter) Registration() Registration {
	return Registration{Seat: m.config.Seat, Incarnation: m.config.Incarnation, Epoch: m.epoch}
}

// HandleRegistration accepts or rejects the announcement of another seat. The
// group function returns the seats that vote on a key.
func (m *Voter) HandleRegistration(now time.Time, r Registration, group func(ident.Key) []ident.Instance) (Sync, bool) {
	v := m.views[r.Seat]
	if v == nil {
		return Sync{}, false
	}
	reply := Sync{Seat: m.config.Seat, Incarnation: m.config.Incarnation, Epoch: m.epoch, InReplyTo: r}
	again := r.Epoch == v.epoch && r.Incarnation == v.incarnation
	if r.Epoch <= v.epoch && !again {
		reply.KnownEpoch = v.epoch
		return reply, true
	}
	if !again {
		v.epoch = r.Epoch
		v.incarnation = r.Incarnation
	}
	m.expire(now)
	reply.CompleteSince = m.CompleteSince()
	reply.PeerEpochs = m.replacedViews()
	reply.Records = m.shared(r.Seat, group)
	return reply, true
}

// HandleSync absorbs the reply to a registration. It reports whether this
// process must announce itself again under a higher epoch.
func (m *Voter) HandleSync(s Sync) (again bool) {
	v := m.views[s.Seat]
	if v == nil || s.InReplyTo != m.Registration() {
		return false
	}
	if s.KnownEpoch > 0 && m.reconfirming {
		m.superseded = true
		return false
	}
	if s.KnownEpoch > 0 {
		m.raise(s.KnownEpoch)
		return true
	}
	if s.Epoch < v.epoch {
		// An outdated process answered for that seat; its successor will.
		return false
	}
	m.noteViews(s)
	v.epoch = s.Epoch
	v.incarnation = s.Incarnation
	v.synced = true
	v.since = s.CompleteSince
	for i := range s.Records {
		m.learn(&s.Records[i])
	}
	return false
}

// Reconfirm makes the seat ask the others whether it is still the seat's
// current process, and silent on new keys until they have said so. A process
// that was paused for long does this: it may have been replaced meanwhile.
func (m *Voter) Reconfirm() {
	m.reconfirming = true
	for _, v := range m.views {
		v.synced = false
	}
}

// raise moves to an epoch above the known one and forgets who has answered.
func (m *Voter) raise(known ident.Epoch) {
	m.epoch = known + 1
	m.inherited = false
	m.start = m.config.Start
	for _, v := range m.views {
		v.synced = false
	}
}

// noteViews takes over higher epochs of third seats. A seat that answered
// from an outdated process has to be asked again.
func (m *Voter) noteViews(s Sync) {
	for seat, epoch := range s.PeerEpochs {
		v := m.views[seat]
		if v == nil || epoch <= v.epoch {
			continue
		}
		v.epoch = epoch
		v.incarnation = 0
		v.synced = false
	}
}

// replacedViews returns the epochs of the seats that were ever replaced. The
// others tell their first epoch themselves, and need no room in every Sync.
func (m *Voter) replacedViews() map[ident.Instance]ident.Epoch {
	views := map[ident.Instance]ident.Epoch{}
	for seat, v := range m.views {
		if v.epoch > firstEpoch {
			views[seat] = v.epoch
		}
	}
	return views
}

func (m *Voter) shared(seat ident.Instance, group func(ident.Key) []ident.Instance) []Record {
	var records []Record
	for _, e := range m.expiry {
		r := m.records[e.key]
		if r == nil || !slices.Contains(group(e.key), seat) {
			continue
		}
		records = append(records, *r)
	}
	return records
}

// Records returns all records, in the order of their grants.
func (m *Voter) Records() []Record {
	records := make([]Record, 0, len(m.records))
	for _, e := range m.expiry {
		if r := m.records[e.key]; r != nil {
			records = append(records, *r)
		}
	}
	return records
}

// RestoreHandOver takes over what the seat's last process handed over when it
// stopped. That is all that the process knew, so the memory reaches back as
// far as that one's did. Memory of an earlier process is of no use: later ones
// may have voted. It reports whether it was taken.
func (m *Voter) RestoreHandOver(epoch ident.Epoch, since time.Time, records []Record) bool {
	if epoch != m.epoch-1 {
		return false
	}
	m.inherited = true
	m.start = since
	for i := range records {
		m.learn(&records[i])
	}
	return true
}
