package progress

import (
	"slices"
	"time"

	"anvilcross/kernel/message"
)

// Timing is what is known of the times of stages, which are given by their indexes.
type Timing struct {
	Now time.Time
	// Retention returns how long the results of a stage are kept; zero if that is unknown.
	Retention func(stage int) time.Duration
	// Wait returns the time from the submission of a piece to its call, CallTime the time of a
	// full call.
	Wait     func(stage int) time.Duration
	CallTime func(stage int) time.Duration
}

// dropExpiring drops the results that expire before they are needed for the last time, so that
// they are computed beside the missing ones and not after them.
func (ss Stages) dropExpiring(t Timing) {
	for dropped := true; dropped; {
		dropped = false
		neededFor := ss.neededFor(t)
		for i := range ss {
			s, retention := &ss[i], t.Retention(i)
			if s.Released || ss.Consumed(i) || retention == 0 {
				continue
			}
			expiring := s.drop(func(_ message.ResultHandle, holder Holder) bool {
				return !holder.Since.IsZero() && holder.Since.Add(retention).Before(t.Now.Add(neededFor[i]))
			})
			dropped = dropped || len(expiring) > 0
		}
		ss.DropReleasedInputs()
	}
}

// neededFor estimates how long the results of each stage are needed from now on: until the last
// call that fetches them begins.
func (ss Stages) neededFor(t Timing) []time.Duration {
	begins, ends := make([]time.Duration, len(ss)), make([]time.Duration, len(ss))
	for i := range ss {
		if ss[i].MissingCount == 0 || ss.Consumed(i) {
			continue
		}
		for _, dependency := range ss[i].Spec.DependsOn {
			begins[i] = max(begins[i], ends[dependency])
		}
		begins[i] += t.Wait(i)
		ends[i] = begins[i] + t.CallTime(i)
	}
	needed := make([]time.Duration, len(ss))
	for i := range ss {
		if !ss[i].HasDependents {
			needed[i] = slices.Max(ends)
		}
		for _, dependency := range ss[i].Spec.DependsOn {
			needed[dependency] = max(needed[dependency], begins[i])
		}
	}
	return needed
}
