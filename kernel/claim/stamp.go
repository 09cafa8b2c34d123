package claim

import "anvilcross/kernel/ident"

// Stamp says which process of a seat gave a reply, and which processes it
// takes for the current ones of the group's other seats.
type Stamp struct {
	Seat  ident.Instance `json:"seat"`
	Epoch ident.Epoch    `json:"epoch"`
	// Views are the epochs that the seat knows of the group's other seats.
	Views map[ident.Instance]ident.Epoch `json:"views"`
}

// SameEpochs reports whether two seats agree on each other's epoch. A reply
// from a process that has been replaced fails here, because the other seat
// registered the successor before that successor could reply.
func SameEpochs(a, b *Stamp) bool {
	return a.Views[b.Seat] == b.Epoch && b.Views[a.Seat] == a.Epoch
}

// Stamp returns the stamp for replies about a key that the group votes on.
func (m *Memory) Stamp(group []ident.Instance) Stamp {
	return Stamp{Seat: m.config.Seat, Epoch: m.epoch, Views: m.groupViews(group)}
}

// Recovered reports whether the seat has learnt what the group's other seats
// remember, so that it may reply for keys that it does not know.
func (m *Memory) Recovered(group []ident.Instance) bool {
	for _, seat := range group {
		if seat != m.config.Seat && !m.registered(seat) {
			return false
		}
	}
	return true
}
