package claim

import "anvilcross/kernel/ident"

// EpochStamp identifies the process of a seat that sent a reply, and the
// processes that it considers current at the other seats of the group.
type EpochStamp struct {
	Seat  ident.Instance `json:"seat"`
	Epoch ident.Epoch    `json:"epoch"`
	// PeerEpochs holds the epochs that the sender knows for the other seats of
	// the group.
	PeerEpochs map[ident.Instance]ident.Epoch `json:"views"`
}

// EpochsConsistent reports whether the senders of two stamps know each other's
// current epoch. A reply of a replaced process is detected this way, because
// the other seat registered the successor before the successor could reply.
func EpochsConsistent(a, b *EpochStamp) bool {
	return a.PeerEpochs[b.Seat] == b.Epoch && b.PeerEpochs[a.Seat] == a.Epoch
}

// Stamp returns the stamp for replies about a key of the given voting group.
func (v *Voter) Stamp(group []ident.Instance) EpochStamp {
	return EpochStamp{Seat: v.config.Seat, Epoch: v.epoch, PeerEpochs: v.groupEpochs(group)}
}

// SyncedWith reports whether the seat has received the records of all other
// seats of the group. Only then may it answer for keys without a record.
func (v *Voter) SyncedWith(group []ident.Instance) bool {
	for _, seat := range group {
		if seat != v.config.Seat && !v.isSynced(seat) {
			return false
		}
	}
	return true
}
