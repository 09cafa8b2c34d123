// Package claim decides which instance alone may run a request whose id came
// from its caller. Three seats, computed from the id, vote; two votes make a
// majority. The votes live in memory only, so the package also defines how a
// seat that lost its memory gets it back, and what it may not vote on until
// then. docs/OUTCOMES.md gives the argument why two majorities always meet.
package claim

import (
	"cmp"
	"slices"

	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
)

// GroupSize is the number of seats that vote on a key.
const GroupSize = 3

// Majority is the number of agreeing votes that a decision needs.
const Majority = GroupSize/2 + 1

type candidate struct {
	score uint64
	index int
}

// VotingGroup returns the seats that vote on a key: one each in the data centres
// that rank highest for the key, so that the loss of one data centre leaves a
// majority. With fewer than three data centres some hold several seats.
func VotingGroup(d *configuration.Document, key ident.Key) []ident.Instance {
	text := key.String()
	centres := rank(text, len(d.DataCentres), func(i int) string { return string(d.DataCentres[i].Name) })
	group := make([]ident.Instance, 0, GroupSize)
	for round := 0; len(group) < GroupSize; round++ {
		before := len(group)
		for _, i := range centres {
			seats := d.DataCentres[i].Seats
			if round >= len(seats) || len(group) == GroupSize {
				continue
			}
			order := rank(text, len(seats), func(j int) string { return string(seats[j]) })
			group = append(group, seats[order[round]])
		}
		if len(group) == before {
			break
		}
	}
	return group
}

func rank(key string, n int, name func(int) string) []int {
	all := make([]candidate, n)
	for i := range all {
		all[i] = candidate{score: ident.HashPair(key, name(i)), index: i}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.index, b.index))
	})
	order := make([]int, n)
	for i, c := range all {
		order[i] = c.index
	}
	return order
}
