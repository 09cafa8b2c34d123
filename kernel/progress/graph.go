package progress

import (
	"slices"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/value"
)

// DownstreamDepth returns the length of the longest chain of stages that depend
// on a stage.
func (ss Stages) DownstreamDepth(index int) int {
	longest := 0
	for i := range ss {
		if ss[i].PieceCount > 0 && i > index && slices.Contains(ss[i].Spec.DependsOn, index) {
			longest = max(longest, 1+ss.DownstreamDepth(i))
		}
	}
	return longest
}

// Downstream returns the services of the stages with pieces that depend on
// a stage, directly or indirectly, and their numbers of pieces. A stage that is
// reached on several paths is included once for each, its pieces only the first
// time.
func (ss Stages) Downstream(index int) (services []ident.Service, pieces []int) {
	counted := value.NewSet[int]()
	var visit func(int)
	visit = func(index int) {
		for i := range ss {
			s := &ss[i]
			if s.PieceCount == 0 || i <= index || !slices.Contains(s.Spec.DependsOn, index) {
				continue
			}
			services = append(services, s.Spec.Service)
			count := s.PieceCount
			if counted.Has(i) {
				count = 0
			}
			counted.Add(i)
			pieces = append(pieces, count)
			visit(i)
		}
	}
	visit(index)
	return services, pieces
}

// ConsumerCount returns how often each result of a stage is fetched: once by
// every piece of the stages that depend on it, or once by the model endpoint.
func (ss Stages) ConsumerCount(index int) int {
	if !ss[index].HasDependents {
		return 1
	}
	consumers := 0
	for i := range ss {
		if slices.Contains(ss[i].Spec.DependsOn, index) {
			consumers += ss[i].PieceCount
		}
	}
	return consumers
}

// StartsPipeline reports whether a stage's pieces need no results: it depends on no stage that
// has pieces.
func (ss Stages) StartsPipeline(index int) bool {
	return !slices.ContainsFunc(ss[index].Spec.DependsOn, func(dependency int) bool {
		return ss[dependency].PieceCount > 0
	})
}

// FirstStageCount returns the number of stages of the same service as the given one that start
// the request's pipeline.
func (ss Stages) FirstStageCount(index int) int {
	count := 0
	for i := range ss {
		if ss[i].PieceCount > 0 && ss[i].Spec.Service == ss[index].Spec.Service && ss.StartsPipeline(i) {
			count++
		}
	}
	return count
}
