// Package evacuation keeps which data centres the operator has asked to evacuate, and in
// which regions the endpoints of a request may be. Package gateway applies both.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/replica"
	"anvilcross/kernel/value"
)

const (
	// maxUnconfirmedTime is how long an evacuation stays in force after its record has
	// disappeared, perhaps only because the platform was restored from a copy: by then the
	// operator has written the record again.
	maxUnconfirmedTime = 2 * time.Second
	// recoveryTime is the time after the end of an evacuation within which the share of the
	// requests that may go to the data centre rises from firstShare to all. Caches there are
	// cold, and connections have been closed.
	recoveryTime = 3 * time.Second
	firstShare   = 0.1
)

// state is an evacuation that is in force.
type state struct {
	since time.Time
	// unconfirmedUntil is when the evacuation ends if its record has disappeared at the
	// revision removedAt without a confirmation; otherwise zero.
	unconfirmedUntil time.Time
	removedAt        replica.Revision
}

// Table holds the evacuations that are in force or ended recently.
type Table struct {
	inForce map[ident.DataCentre]*state
	endedAt map[ident.DataCentre]time.Time
}

// NewTable returns a table without evacuations.
func NewTable() *Table {
	return &Table{inForce: map[ident.DataCentre]*state{}, endedAt: map[ident.DataCentre]time.Time{}}
}

// Begin puts the evacuation of a data centre in force and reports whether it was not. It
// cancels a removal that has not been confirmed.
func (t *Table) Begin(now time.Time, dataCentre ident.DataCentre) bool {
	if s := t.inForce[dataCentre]; s != nil {
		s.unconfirmedUntil = time.Time{}
		return false
	}
	t.inForce[dataCentre] = &state{since: now}
	delete(t.endedAt, dataCentre)
	return true
}

// End handles the removal of an evacuation's record at a revision and reports whether the
// evacuation ended. If unconfirmedFor is above zero, the platform may have lost the record:
// the evacuation stays in force for that time, at most maxUnconfirmedTime.
func (t *Table) End(now time.Time, dataCentre ident.DataCentre, revision replica.Revision, unconfirmedFor time.Duration) bool {
	s := t.inForce[dataCentre]
	if s == nil {
		return false
	}
	if unconfirmedFor > 0 {
		if s.unconfirmedUntil.IsZero() {
			s.unconfirmedUntil = now.Add(min(unconfirmedFor, maxUnconfirmedTime))
		}
		s.removedAt = revision
		return false
	}
	t.end(now, dataCentre)
	return true
}

// Confirm ends an evacuation whose removal was unconfirmed, and reports whether it did. The
// confirmation is ignored if it is about an earlier revision than the removal.
func (t *Table) Confirm(now time.Time, dataCentre ident.DataCentre, revision replica.Revision) bool {
	s := t.inForce[dataCentre]
	if s == nil || s.unconfirmedUntil.IsZero() || revision < s.removedAt {
		return false
	}
	t.end(now, dataCentre)
	return true
}

// Postpone lets unconfirmed removals wait for maxUnconfirmedTime from now on, because no
// instance has contact with the platform.
func (t *Table) Postpone(now time.Time) {
	for _, s := range t.inForce {
		if !s.unconfirmedUntil.IsZero() {
			s.unconfirmedUntil = now.Add(maxUnconfirmedTime)
		}
	}
}

// Settle ends the evacuations whose removal has been unconfirmed for long enough, returns
// their data centres, and forgets those that have recovered.
func (t *Table) Settle(now time.Time) []ident.DataCentre {
	var ended []ident.DataCentre
	maps.DeleteFunc(t.endedAt, func(_ ident.DataCentre, at time.Time) bool { return now.Sub(at) >= recoveryTime })
	for _, dataCentre := range t.List() {
		if until := t.inForce[dataCentre].unconfirmedUntil; !until.IsZero() && !now.Before(until) {
			t.end(now, dataCentre)
			ended = append(ended, dataCentre)
		}
	}
	return ended
}

func (t *Table) end(now time.Time, dataCentre ident.DataCentre) {
	delete(t.inForce, dataCentre)
	t.endedAt[dataCentre] = now
}

// InForce reports whether a data centre is evacuated.
func (t *Table) InForce(dataCentre ident.DataCentre) bool { return t.inForce[dataCentre] != nil }

// Since returns the time since which a data centre is evacuated; zero if it is not.
func (t *Table) Since(dataCentre ident.DataCentre) time.Time {
	if s := t.inForce[dataCentre]; s != nil {
		return s.since
	}
	return time.Time{}
}

// List returns the evacuated data centres.
func (t *Table) List() []ident.DataCentre { return value.SortedKeys(t.inForce) }

// Recovering returns the data centres whose evacuation has ended so recently that they get
// only a share of the requests.
func (t *Table) Recovering(now time.Time) []ident.DataCentre {
	if len(t.endedAt) == 0 {
		return nil
	}
	return slices.DeleteFunc(value.SortedKeys(t.endedAt), func(dataCentre ident.DataCentre) bool { return t.Share(now, dataCentre) >= 1 })
}

// Draw draws the data centres whose evacuation has ended lately and that do not get the next
// request. random returns numbers from 0 up to 1 and is called for these data centres only.
func (t *Table) Draw(now time.Time, random func() float64) value.Set[ident.DataCentre] {
	var held value.Set[ident.DataCentre]
	for _, dataCentre := range t.Recovering(now) {
		if random() < t.Share(now, dataCentre) {
			continue
		}
		if held == nil {
			held = value.NewSet[ident.DataCentre]()
		}
		held.Add(dataCentre)
	}
	return held
}

// Without returns the items without those in some data centres, or all if no others are left.
func Without[T any](items []T, dataCentres value.Set[ident.DataCentre], dataCentreOf func(T) ident.DataCentre) []T {
	if len(dataCentres) == 0 {
		return items
	}
	kept := slices.DeleteFunc(slices.Clone(items), func(item T) bool { return dataCentres.Has(dataCentreOf(item)) })
	if len(kept) == 0 {
		return items
	}
	return kept
}

// Recovered reports whether a stage endpoint is among the share that gets calls. The endpoints
// of a data centre come back one after the other, in the order of a hash of their names.
func (t *Table) Recovered(now time.Time, name ident.Endpoint, dataCentre ident.DataCentre) bool {
	const parts = 1 << 16
	return float64(ident.HashPair("recovery", string(name))%parts) < t.Share(now, dataCentre)*parts
}

// Share returns the share of the requests that may go to a data centre: 0 while it is
// evacuated, 1 if it is not and has not been lately.
func (t *Table) Share(now time.Time, dataCentre ident.DataCentre) float64 {
	if t.InForce(dataCentre) {
		return 0
	}
	endedAt, known := t.endedAt[dataCentre]
	if !known {
		return 1
	}
	return min(firstShare+(1-firstShare)*float64(now.Sub(endedAt))/float64(recoveryTime), 1)
}
