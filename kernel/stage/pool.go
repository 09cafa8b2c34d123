package stage

// The pool kind is a pool of encoders, retrievers or rerankers: one input,
// one output, no side effect.
func init() {
	Register(&Kind{Name: "pool", Path: "/run", BuildInput: lastOutput})
}
