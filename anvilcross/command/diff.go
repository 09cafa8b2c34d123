package command

import (
	"fmt"
	"io"

	"github.com/juju/errors"

	"anvilcross/kernel/configuration"
)

// diff shows what a new configuration changes.
type diff struct {
	Old  string `arg:"" help:"Configuration in force." type:"existingfile"`
	New  string `arg:"" help:"Configuration to compare." type:"existingfile"`
	JSON bool   `help:"Print JSON."`
}

// Help is shown by anvilcross diff --help.
func (diff) Help() string {
	return "A line that starts with ! is a breaking change; anvilcross accept needs --force for it.\n\nExample: anvilcross diff wroclaw.json wroclaw-new.json"
}

// Run prints the changes.
func (d *diff) Run(out io.Writer) error {
	before, err := readDocument(d.Old)
	if err != nil {
		return err
	}
	after, err := readDocument(d.New)
	if err != nil {
		return err
	}
	changes := configuration.Diff(before, after)
	if d.JSON {
		return printJSON(out, changes)
	}
	if len(changes) == 0 {
		_, err = fmt.Fprintln(out, "no change")
		return errors.Trace(err)
	}
	for _, c := range changes {
		if _, err := fmt.Fprintln(out, c); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
