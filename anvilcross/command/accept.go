package command

import (
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"

	"anvilcross/kernel/configuration"
)

// accept writes a configuration as the next revision after the one in force.
type accept struct {
	New    string `arg:"" help:"Configuration to accept." type:"existingfile"`
	After  string `required:"" help:"Configuration in force, which it replaces." type:"existingfile"`
	Output string `short:"o" required:"" help:"File to write."`
	Force  bool   `help:"Accept breaking changes too."`
}

// Help is shown by anvilcross accept --help.
func (accept) Help() string {
	return "The output has the next revision number and the digest of the previous configuration. Publish it with the platform's own tools. To roll back, accept the old content as a new revision.\n\nExample: anvilcross accept new.json --after wroclaw.json -o wroclaw-2.json"
}

// Run lists all changes and writes the new revision. Breaking changes need Force.
func (a *accept) Run(out io.Writer) error {
	before, err := readDocument(a.After)
	if err != nil {
		return err
	}
	after, err := readDocument(a.New)
	if err != nil {
		return err
	}
	breaking := false
	for _, c := range configuration.Diff(before, after) {
		if _, err := fmt.Fprintln(out, c); err != nil {
			return errors.Trace(err)
		}
		breaking = breaking || c.Breaking
	}
	if breaking && !a.Force {
		return &exitError{exitProblems, "the changes marked with ! are breaking; use --force to accept them"}
	}
	after.Revision = before.Revision + 1
	after.PreviousDigest = before.Digest()
	if err := os.WriteFile(a.Output, after.Encode(), 0o600); err != nil {
		return errors.Trace(err)
	}
	_, err = fmt.Fprintf(out, "%s: revision %d, digest %s\n", a.Output, after.Revision, after.Digest())
	return errors.Trace(err)
}
