package admission

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/value"
)

const (
	// shareTime is the time constant in which the use of capacity by a workspace is
	// forgotten: about the length of a burst.
	shareTime = 5 * time.Second
	// minShare is the use, in seconds of a pool's capacity, below which a workspace is
	// forgotten.
	minShare = 0.0001
)

// shares holds the capacity that each workspace has had lately for requests of one weight, in
// seconds of whole pools.
type shares struct {
	used map[ident.Workspace]*decayingRate
}

func newShares() *shares { return &shares{used: map[ident.Workspace]*decayingRate{}} }

// mean returns the mean of what the workspaces have had.
func (s *shares) mean(now time.Time) float64 {
	total := 0.0
	for _, w := range value.SortedKeys(s.used) {
		total += s.usedBy(now, w)
	}
	return total / float64(max(len(s.used), 1))
}

func (s *shares) add(now time.Time, w ident.Workspace, cost float64) {
	u := s.used[w]
	if u == nil {
		u = &decayingRate{at: now}
		s.used[w] = u
	}
	u.amount = u.decayed(now, shareTime) + cost
	u.at = now
}

func (s *shares) usedBy(now time.Time, w ident.Workspace) float64 {
	if u := s.used[w]; u != nil {
		return u.decayed(now, shareTime)
	}
	return 0
}

// expire forgets the workspaces that have had next to nothing lately.
func (s *shares) expire(now time.Time) {
	for w, u := range s.used {
		if u.decayed(now, shareTime) < minShare {
			delete(s.used, w)
		}
	}
}

// Share is the part of the capacity given out lately that a workspace has had.
type Share struct {
	Workspace ident.Workspace
	Part      float64
}

// String returns the share for logs.
func (s Share) String() string { return fmt.Sprintf("%s:%.2f", s.Workspace, s.Part) }

// largestShares returns the workspaces that have had most, at most count.
func largestShares(now time.Time, byWeight map[float64]*shares, count int) []Share {
	total := 0.0
	parts := map[ident.Workspace]float64{}
	for _, weight := range value.SortedKeys(byWeight) {
		s := byWeight[weight]
		for _, w := range value.SortedKeys(s.used) {
			u := s.usedBy(now, w)
			total += u
			parts[w] += u
		}
	}
	var all []Share
	for _, w := range value.SortedKeys(parts) {
		all = append(all, Share{Workspace: w, Part: parts[w]})
	}
	if total == 0 {
		return nil
	}
	slices.SortStableFunc(all, func(x, y Share) int { return cmp.Compare(y.Part, x.Part) })
	all = all[:min(count, len(all))]
	for i := range all {
		all[i].Part /= total
	}
	return all
}

// decay returns what is left of an amount after some time.
func decay(amount float64, elapsed, constant time.Duration) float64 {
	if elapsed <= 0 {
		return amount
	}
	return amount * math.Exp(-elapsed.Seconds()/constant.Seconds())
}
