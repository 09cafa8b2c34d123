package progress

import (
	"slices"

	"anvilcross/kernel/message"
	"anvilcross/kernel/value"
)

// Drop drops those results of the given stages that are lost, so that they are computed again.
// If none of them is known to be lost, it is unknown which ones are, and it drops all results of
// these stages. Results of other stages at the same endpoints are dropped with them, since what
// has ended one result there has ended all. The inputs that were freed are dropped too where
// pieces have to be computed from them, and the results that expire before the others exist again.
func (ss Stages) Drop(indexes []int, isLost func(message.ResultHandle, Holder) bool, t Timing) {
	var dropped []message.ResultHandle
	for _, index := range indexes {
		s := &ss[index]
		dropped = append(dropped, s.drop(func(h message.ResultHandle, holder Holder) bool { return s.Released || isLost(h, holder) })...)
	}
	if len(dropped) == 0 {
		for _, index := range indexes {
			dropped = append(dropped, ss[index].drop(always)...)
		}
	}
	addresses := value.NewSet[string]()
	for _, h := range dropped {
		addresses.Add(h.Address())
	}
	for i := range ss {
		if s := &ss[i]; !s.Released && !slices.Contains(indexes, i) && !ss.Consumed(i) {
			s.drop(func(h message.ResultHandle, _ Holder) bool { return addresses.Has(h.Address()) })
		}
	}
	ss.DropReleasedInputs()
	ss.dropExpiring(t)
}

func always(message.ResultHandle, Holder) bool { return true }

// drop drops the results of a stage that are lost, and returns them.
func (s *Stage) drop(isLost func(message.ResultHandle, Holder) bool) []message.ResultHandle {
	known := len(s.Lost)
	for i, h := range s.Handles {
		if h == "" || !isLost(h, s.Holders[i]) {
			continue
		}
		s.Lost = append(s.Lost, h)
		s.Handles[i] = ""
		s.MissingCount++
		s.Recompute = true
		s.InputsFetched.Remove(i)
	}
	s.Released = s.Released && s.MissingCount == 0
	return s.Lost[known:]
}

// DropReleasedInputs drops the results that were freed though pieces have to be computed from
// them: these pieces have not fetched them, or have been lost since.
func (ss Stages) DropReleasedInputs() {
	// A stage depends on stages with lower indexes only.
	for i := len(ss) - 1; i >= 0; i-- {
		if ss[i].allInputsFetched() || ss.Consumed(i) {
			continue
		}
		for _, dependency := range ss.ReleasedAmong(ss[i].Spec.DependsOn) {
			ss[dependency].drop(always)
		}
	}
}

// InputsMissing reports whether an input of a stage has to be computed again or for the first
// time. If it is neither missing nor ready, it has been freed.
func (ss Stages) InputsMissing(index int) bool {
	return slices.ContainsFunc(ss[index].Spec.DependsOn, func(dependency int) bool { return ss[dependency].MissingCount > 0 })
}

// Withdraw marks the missing pieces of a stage as being at no batcher.
func (s *Stage) Withdraw() {
	s.Submitted = false
	clear(s.InputsFetched)
}
