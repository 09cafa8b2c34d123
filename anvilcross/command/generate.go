package command

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/juju/errors"

	"anvilcross/kernel/configuration"
	"anvilcross/kernel/questionnaire"
)

// generate makes the first revision of a configuration.
type generate struct {
	Answers string `arg:"" help:"INI file with the answers." type:"existingfile"`
	Output  string `short:"o" help:"File to write; standard output if left out."`
}

// Help is shown by anvilcross generate --help.
func (generate) Help() string {
	return "Example: anvilcross generate deployments/wroclaw/answers.ini -o wroclaw.json"
}

// Run does the work of the verb.
func (g *generate) Run(out io.Writer) error {
	d, err := readAnswers(g.Answers)
	if err != nil {
		return err
	}
	if g.Output == "" {
		_, err = out.Write(d.Encode())
		return errors.Trace(err)
	}
	if err := os.WriteFile(g.Output, d.Encode(), 0o600); err != nil {
		return errors.Trace(err)
	}
	_, err = fmt.Fprintf(out, "%s: revision %d, %d pipelines, %d services, %d seats, %d workspaces\n", g.Output, d.Revision, len(d.Pipelines), len(d.Services), len(d.Seats()), len(d.Workspaces))
	return errors.Trace(err)
}

// readAnswers reads answers and fails with every mistake in them.
func readAnswers(path string) (*configuration.Document, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	d, mistakes, err := questionnaire.Generate(text)
	if err != nil {
		return nil, errors.Annotate(err, path)
	}
	if len(mistakes) > 0 {
		return nil, &exitError{exitMistakes, fmt.Sprintf("%s has %d mistakes:\n  %s", path, len(mistakes), strings.Join(mistakes, "\n  "))}
	}
	return d, nil
}
