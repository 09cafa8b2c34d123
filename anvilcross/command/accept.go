package command

import (
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"

	"anvilcross/kernel/configuration"
)

// accept signs a configuration off as the next revision.
type accept struct {
	New    string `arg:"" help:"Configuration to accept." type:"existingfile"`
	After  string `required:"" help:"Configuration in force, which it replaces." type:"existingfile"`
	Output string `short:"o" required:"" help:"File to write."`
	Force  bool   `help:"Accept also what breaks a promise."`
}

// Help is shown by anvilcross accept --help.
func (accept) Help() string {
	return "The result carries the next revision and the digest of the one before. Publish it with the platform's own means. Going back is a new revision with the old content.\n\nExample: anvilcross accept new.json --after wroclaw.json -o wroclaw-2.json"
}

// Run does the work of the verb.
func (a *accept) Run(out io.Writer) error {
	before, err := readDocument(a.After)
	if err != nil {
		return err
	}
	after, err := readDocument(a.New)
	if err != nil {
		return err
	}
	breaks := false
	for _, c := range configuration.Diff(before, after) {
		if _, err := fmt.Fprintln(out, c); err != nil {
			return errors.Trace(err)
		}
		breaks = breaks || c.Breaking
	}
	if breaks && !a.Force {
		return &exitError{exitMistakes, "a change breaks a promise; accept it with --force if that is meant"}
	}
	after.Revision = before.Revision + 1
	after.PreviousDigest = before.Digest()
	if err := os.WriteFile(a.Output, after.Encode(), 0o600); err != nil {
		return errors.Trace(err)
	}
	_, err = fmt.Fprintf(out, "%s: revision %d, digest %s\n", a.Output, after.Revision, after.Digest())
	return errors.Trace(err)
}
