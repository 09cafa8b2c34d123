package claim

import "anvilcross/kernel/ident"

// EpochStamp says which process of a seat gave a reply, and which processes it
// takes for the current ones of the group's other seats.
type EpochStamp struct {
	Seat  ident.Instance `json:"seat"`
	Epoch ident.Epoch    `json:"epoch"`
	// PeerEpochs are the epochs that the seat knows of the group's other seats.
	PeerEpochs map[ident.Instance]ident.Epoch `json:"views"`
}

// EpochsAgree reports whether two seats agree on each other's epoch. A reply
// from a process that has been replaced fails here, because the other seat
// registered the successor before that successor could reply.
func EpochsAgree(a, b *EpochStamp) bool {
	return a.PeerEpochs[b.Seat] == b.Epoch && b.PeerEpochs[a.Seat] == a.Epoch
}

// Stamp returns the stamp for replies about a key that the group votes on.
func (m *Voter) Stamp(group []ident.Instance) EpochStamp {
	return EpochStamp{Seat: m.config.Seat, Epoch: m.epoch, PeerEpochs: m.groupViews(group)}
}

// SyncedWith reports whether the seat has learnt what the group's other seats
// remember, so that it may reply for keys that it does not know.
func (m *Voter) SyncedWith(group []ident.Instance) bool {
	for _, seat := range group {
		if seat != m.config.Seat && !m.registered(seat) {
			return false
		}
	}
	return true
}
