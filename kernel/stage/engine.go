package stage

// The engine kind is a model engine that streams tokens. Its prompt is the
// caller's text followed by what the stages before it found.
func init() {
	Register(&Kind{Name: "engine", Path: "/v1/completions", Streams: true, BuildInput: buildPrompt})
}

func buildPrompt(in Input) string {
	if len(in.Results) == 0 {
		return in.Body
	}
	return in.Body + "\n" + lastOutput(in)
}
