// Package command is the operators' command line, with one file for each
// subcommand.
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

// commands lists the subcommands; kong names each after its field.
type commands struct {
	Generate generate   `cmd:"" help:"Generate a configuration from the answers."`
	Check    check      `cmd:"" help:"Check a configuration or answers before they are sent."`
	Diff     diff       `cmd:"" help:"Show what a new configuration changes, and its effects."`
	Accept   accept     `cmd:"" help:"Accept a configuration as the next revision, ready to be published."`
	Rollout  rollout    `cmd:"" help:"Wait until a revision is in force on every instance."`
	Status   status     `cmd:"" help:"Show the instances of a deployment."`
	Burn     burnReport `cmd:"" help:"Report how fast the error budgets burn."`
	Ask      ask        `cmd:"" help:"Send one request and show its stages, time and cost."`
	Key      key        `cmd:"" help:"Print the digest of a workspace key, for use in the answers."`
	Local    localFiles `cmd:"" help:"Lay out a deployment on this machine to try it."`
}

// Exit codes. exitProblems stands for problems in a file and for breaking
// changes, exitNotWhole for a request that was not answered whole.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitProblems = 3
	exitNotWhole = 4
)

// exitError carries an exit code with a message.
type exitError struct {
	code int
	text string
}

func (e *exitError) Error() string { return e.text }

// Main runs a subcommand and returns its exit code.
func Main(args []string) int { return runCommand(args, os.Stdout, os.Stderr) }

// runCommand runs a subcommand with the given outputs and returns its exit code.
func runCommand(args []string, out, errorOut io.Writer) int {
	var c commands
	kongExitCode := -1
	parser := kong.Must(&c,
		kong.Name("anvilcross"),
		kong.Description("The operators' command line of anvilcross.\n\nExit codes: 0 success, 1 failure, 2 usage error, 3 problems or breaking changes found, 4 request not answered whole."),
		kong.Writers(out, errorOut),
		kong.Exit(func(code int) { kongExitCode = code }),
		kong.BindTo(out, (*io.Writer)(nil)),
	)
	context, err := parser.Parse(args)
	if kongExitCode >= 0 {
		return kongExitCode
	}
	if err != nil {
		_, _ = fmt.Fprintln(errorOut, "anvilcross:", err)
		return exitUsage
	}
	if err := context.Run(); err != nil {
		return reportError(err, errorOut)
	}
	return exitOK
}

// reportError prints an error and returns its exit code.
func reportError(err error, errorOut io.Writer) int {
	_, _ = fmt.Fprintln(errorOut, "anvilcross:", err)
	var exitErr *exitError
	if errors.As(err, &exitErr) {
		return exitErr.code
	}
	return exitFailed
}

// readDocument reads and validates a configuration file.
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
