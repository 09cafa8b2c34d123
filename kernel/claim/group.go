// Package claim decides which single instance may run a request whose id was
// chosen by its caller. Three seats, selected by hashing the key, vote on each
// claim; two consistent votes are a majority. Votes are kept in memory only, so
// the package also defines how a replaced seat recovers its records from the
// other seats and which keys it must not grant until then. docs/OUTCOMES.md
// explains why any two majorities overlap.
package claim

import (
	"cmp"
	"slices"

	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
)

// GroupSize is the number of seats that vote on a key.
const GroupSize = 3

// Majority is the number of consistent votes that a decision needs; see
// EpochsConsistent.
const Majority = GroupSize/2 + 1

// candidate is a name to rank: its hash with the key, and its index.
type candidate struct {
	hash  uint64
	index int
}

// VotingGroup returns the seats that vote on a key: one in each of the data
// centres with the highest hash for the key, so that the loss of one data
// centre leaves a majority. With fewer than three data centres, some
// contribute several seats.
func VotingGroup(d *configuration.Document, key ident.Key) []ident.Instance {
	keyText := key.String()
	rankedCentres := rankByHash(keyText, len(d.DataCentres), func(i int) string { return string(d.DataCentres[i].Name) })
	group := make([]ident.Instance, 0, GroupSize)
	for round := 0; len(group) < GroupSize; round++ {
		sizeBefore := len(group)
		for _, i := range rankedCentres {
			seats := d.DataCentres[i].Seats
			if round >= len(seats) || len(group) == GroupSize {
				continue
			}
			order := rankByHash(keyText, len(seats), func(j int) string { return string(seats[j]) })
			group = append(group, seats[order[round]])
		}
		if len(group) == sizeBefore {
			break
		}
	}
	return group
}

// rankByHash returns the indexes of the named candidates in descending order
// of their hash with the key (rendezvous hashing).
func rankByHash(key string, count int, name func(int) string) []int {
	candidates := make([]candidate, count)
	for i := range candidates {
		candidates[i] = candidate{hash: ident.HashPair(key, name(i)), index: i}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.index, b.index))
	})
	order := make([]int, count)
	for i, c := range candidates {
		order[i] = c.index
	}
	return order
}
