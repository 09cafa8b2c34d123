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

// generate generates the first revision of a configuration.
type generate struct {
	Answers string `arg:"" help:"INI file with the answers." type:"existingfile"`
	Output  string `short:"o" help:"File to write; standard output if left out."`
}

// Help is shown by anvilcross generate --help.
func (generate) Help() string {
	return "Example: anvilcross generate deployments/wroclaw/answers.ini -o wroclaw.json"
}

// Run generates the configuration and writes it.
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

// readAnswers generates a configuration from a file of answers. The error lists
// every problem in them.
func readAnswers(path string) (*configuration.Document, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	d, problems, err := questionnaire.Generate(text)
	if err != nil {
		return nil, errors.Annotate(err, path)
	}
	if len(problems) > 0 {
		return nil, &exitError{exitProblems, fmt.Sprintf("%s has %d problems:\n  %s", path, len(problems), strings.Join(problems, "\n  "))}
	}
	return d, nil
}
