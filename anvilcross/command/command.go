// Package command is the operators' command line: one file for each verb,
// listed in one table.
package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/juju/errors"

	"anvilcross/kernel/configuration"
)

// verbs is the look-up table of the verbs.
type verbs struct {
	Generate generate   `cmd:"" help:"Generate a configuration from the answers."`
	Check    check      `cmd:"" help:"Check answers or a configuration and list every mistake."`
	Diff     diff       `cmd:"" help:"Show what a new configuration changes, and its effects."`
	Accept   accept     `cmd:"" help:"Sign a configuration off as the next revision, ready to be published."`
	Rollout  rollout    `cmd:"" help:"Wait until a revision is in force on every instance."`
	Status   status     `cmd:"" help:"Show the instances of a deployment."`
	Burn     burnReport `cmd:"" help:"Report how fast the error budgets burn."`
	Ask      ask        `cmd:"" help:"Send one request and show its stages, time and cost."`
	Key      key        `cmd:"" help:"Print the digest of a workspace key for the answers."`
	Local    layOut     `cmd:"" help:"Lay a deployment out on this machine, for trying it."`
}

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitMistakes = 3
	exitNotWhole = 4
)

// exitError carries an exit code with a message.
type exitError struct {
	code int
	text string
}

func (e *exitError) Error() string { return e.text }

// Main runs a verb and returns its exit code.
func Main(args []string) int { return run(args, os.Stdout, os.Stderr) }

func run(args []string, out, problems io.Writer) int {
	var v verbs
	exit := -1
	parser := kong.Must(&v,
		kong.Name("anvilcross"),
		kong.Description("The operators' command line of anvilcross.\n\nExit codes: 0 good, 1 failed, 2 wrong usage, 3 mistakes found, 4 the request was not answered whole."),
		kong.Writers(out, problems),
		kong.Exit(func(code int) { exit = code }),
		kong.BindTo(out, (*io.Writer)(nil)),
	)
	context, err := parser.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		_, _ = fmt.Fprintln(problems, "anvilcross:", err)
		return exitUsage
	}
	if err := context.Run(); err != nil {
		return report(err, problems)
	}
	return exitOK
}

func report(err error, problems io.Writer) int {
	_, _ = fmt.Fprintln(problems, "anvilcross:", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return exitFailed
}

// readDocument reads a configuration file.
func readDocument(path string) (*configuration.Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	d, err := configuration.Decode(data)
	return d, errors.Annotate(err, path)
}

func printJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
