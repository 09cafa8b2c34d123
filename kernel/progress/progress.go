// Package progress tracks how far a request has got through the stages of its route: which
// results exist, which pieces a batcher has, and which results nothing needs any more.
package progress

import (
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/published"
	"anvilcross/kernel/value"
)

// Stage is the progress of one stage of a request.
type Stage struct {
	Spec published.Stage
	// PieceCount may be zero: a request need not have pieces at each stage.
	PieceCount int
	// Handles holds the result of each piece; it is empty until the piece is
	// computed. MissingCount counts the empty ones.
	Handles      []message.ResultHandle
	MissingCount int
	// Holders holds where each result is kept. Lost holds the results that were dropped.
	Holders []Holder
	Lost    []message.ResultHandle
	// InputsFetched holds the indexes of the pieces whose inputs the endpoint
	// has fetched.
	InputsFetched value.Set[int]
	// CapacityLow is set if the endpoints of the stage's service are short of
	// capacity for results.
	CapacityLow bool
	// Submitted is set while the missing pieces are at a batcher, Released once
	// the results have been freed.
	Submitted bool
	Released  bool
	// Recompute is set if results were lost that the batcher may still take for
	// existing.
	Recompute bool
	// Pool is where the pieces were last submitted; Batcher and
	// BatcherIncarnation name the process that has them.
	Pool               ident.Pool
	Batcher            ident.Instance
	BatcherIncarnation ident.Incarnation
	SubmittedAt        time.Time
	// HasDependents is set if another stage of the request needs the results.
	// The results of the other stages go to the model endpoint.
	HasDependents bool
}

// Holder is the process that keeps a result, as far as it is known, and since when it does.
type Holder struct {
	Process ident.EndpointProcess
	Since   time.Time
}

// Stages is the progress of a request at all stages of its route. A stage depends on stages
// with lower indexes only.
type Stages []Stage

// NewStages returns the progress of a request that has the given number of pieces at each
// stage. Stages beyond the end of pieceCounts have none.
func NewStages(route []published.Stage, pieceCounts []int) Stages {
	var stages Stages
	for i, spec := range route {
		pieces := 0
		if i < len(pieceCounts) {
			pieces = pieceCounts[i]
		}
		stages = append(stages, Stage{Spec: spec, PieceCount: pieces, Handles: make([]message.ResultHandle, pieces), Holders: make([]Holder, pieces), MissingCount: pieces, InputsFetched: value.NewSet[int]()})
	}
	for _, s := range stages {
		for _, dependency := range s.Spec.DependsOn {
			if s.PieceCount > 0 {
				stages[dependency].HasDependents = true
			}
		}
	}
	return stages
}

// Consumed reports whether all pieces that need a stage's results are
// done. If capacity for results is low, it is enough that they have fetched the
// results: if such a piece fails later, its inputs are computed again.
func (ss Stages) Consumed(index int) bool {
	releaseEarly := ss[index].CapacityLow
	for i := range ss {
		s := &ss[i]
		if s.MissingCount > 0 && !(releaseEarly && s.allInputsFetched()) && slices.Contains(s.Spec.DependsOn, index) {
			return false
		}
	}
	return ss[index].HasDependents
}

// allInputsFetched reports whether every piece of the stage is done or has its
// inputs at the endpoint.
func (s *Stage) allInputsFetched() bool {
	if s.MissingCount == 0 {
		return true
	}
	for i, h := range s.Handles {
		if h == "" && !s.InputsFetched.Has(i) {
			return false
		}
	}
	return true
}

// Complete records the result of a piece that has none.
func (s *Stage) Complete(piece int, h message.ResultHandle, holder Holder) {
	s.Handles[piece], s.Holders[piece] = h, holder
	s.MissingCount--
}

// MissingPieces returns the indexes of the pieces of a stage that have no result.
func (s *Stage) MissingPieces() []int {
	var pieces []int
	for i, h := range s.Handles {
		if h == "" {
			pieces = append(pieces, i)
		}
	}
	return pieces
}

// IsAt reports whether a piece without a result is at a batcher. Another one's report that it has
// not computed the piece, or one that comes after the result, says nothing of the request.
func (s *Stage) IsAt(batcher ident.Instance, piece int) bool {
	return s.Batcher == batcher && s.Handles[piece] == "" && !s.Released
}

// InputsReady reports whether all inputs of a stage exist.
func (ss Stages) InputsReady(index int) bool {
	return !slices.ContainsFunc(ss[index].Spec.DependsOn, func(dependency int) bool {
		return ss[dependency].MissingCount > 0 || ss[dependency].Released
	})
}

// InputsRevision returns a number above zero that rises each time inputs of a stage are dropped.
func (ss Stages) InputsRevision(index int) int {
	revision := 1
	for _, dependency := range ss[index].Spec.DependsOn {
		revision += len(ss[dependency].Lost)
	}
	return revision
}

// Inputs returns the results that a stage's pieces fetch.
func (ss Stages) Inputs(index int) []message.ResultHandle {
	var inputs []message.ResultHandle
	for _, dependency := range ss[index].Spec.DependsOn {
		inputs = append(inputs, ss[dependency].Handles...)
	}
	return inputs
}

// InputsAge returns how long the oldest input of a stage has been kept; zero if it has none.
func (ss Stages) InputsAge(now time.Time, index int) time.Duration {
	oldest := time.Duration(0)
	for _, dependency := range ss[index].Spec.DependsOn {
		for i, h := range ss[dependency].Handles {
			if h != "" {
				oldest = max(oldest, now.Sub(ss[dependency].Holders[i].Since))
			}
		}
	}
	return oldest
}

// FinalStages returns the stages with pieces that no other stage depends on.
func (ss Stages) FinalStages() []int {
	var indexes []int
	for i := range ss {
		if !ss[i].HasDependents && ss[i].PieceCount > 0 {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// FinalInputs returns the results that the model endpoint fetches: those of the
// final stages.
func (ss Stages) FinalInputs() []message.ResultHandle {
	var inputs []message.ResultHandle
	for _, i := range ss.FinalStages() {
		inputs = append(inputs, ss[i].Handles...)
	}
	return inputs
}

// FinalInputsReleased reports whether a result that the model endpoint needs
// has been freed.
func (ss Stages) FinalInputsReleased() bool {
	return len(ss.ReleasedAmong(ss.FinalStages())) > 0
}

// ReleasedAmong returns those of the given stages whose results have been
// freed.
func (ss Stages) ReleasedAmong(indexes []int) []int {
	var released []int
	for _, index := range indexes {
		if ss[index].Released {
			released = append(released, index)
		}
	}
	return released
}

// HasResults reports whether a piece has been computed.
func (ss Stages) HasResults() bool {
	return slices.ContainsFunc(ss, func(s Stage) bool { return s.MissingCount < s.PieceCount })
}

// Services returns the services of the stages with pieces.
func (ss Stages) Services() []ident.Service {
	services := value.NewSet[ident.Service]()
	for i := range ss {
		if ss[i].PieceCount > 0 {
			services.Add(ss[i].Spec.Service)
		}
	}
	return services.Sorted()
}
