package stage

// The service kind is a plain service whose calls may have side effects. Its
// input is the output of the preceding stage.
func init() {
	Register(&Kind{Name: "service", Path: "/call", BuildInput: lastOutput})
}
