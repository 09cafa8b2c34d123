package progress

import "anvilcross/kernel/message"

// Drop drops those results of the given stages that are lost, so that they are computed again.
// If none of them is known to be lost, it is unknown which ones are, and it drops all results of
// these stages. The inputs that were freed are dropped too where pieces have to be computed from
// them.
func (ss Stages) Drop(indexes []int, isLost func(message.ResultHandle) bool) {
	dropped := false
	for _, index := range indexes {
		s := &ss[index]
		dropped = s.drop(func(h message.ResultHandle) bool { return s.Released || isLost(h) }) || dropped
	}
	if !dropped {
		for _, index := range indexes {
			ss[index].drop(func(message.ResultHandle) bool { return true })
		}
	}
	ss.DropReleasedInputs()
}

// drop drops the results of a stage that are lost, and reports whether there are any.
func (s *Stage) drop(isLost func(message.ResultHandle) bool) bool {
	dropped := false
	for i, h := range s.Handles {
		if h == "" || !isLost(h) {
			continue
		}
		dropped = true
		s.Handles[i] = ""
		s.MissingCount++
		s.Recompute = true
		s.InputsFetched.Remove(i)
	}
	s.Released = s.Released && s.MissingCount == 0
	return dropped
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
			ss[dependency].drop(func(message.ResultHandle) bool { return true })
		}
	}
}

// InputsMissing reports whether an input of a stage has to be computed again or for the first
// time. If it is neither missing nor ready, it has been freed.
func (ss Stages) InputsMissing(index int) bool {
	for _, dependency := range ss[index].Spec.DependsOn {
		if ss[dependency].MissingCount > 0 {
			return true
		}
	}
	return false
}

// Withdraw marks the missing pieces of a stage as being at no batcher.
func (s *Stage) Withdraw() {
	s.Submitted = false
	clear(s.InputsFetched)
}
