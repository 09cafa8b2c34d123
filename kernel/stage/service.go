package stage

// The service kind is a plain service whose calls may have effects. It gets
// what the stages before it made.
func init() {
	Register(&Kind{Name: "service", Path: "/call", BuildInput: lastOutput})
}
