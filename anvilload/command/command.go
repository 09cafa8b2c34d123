// Package command is the command line of the load tool, with one file for each
// subcommand.
package command

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"
)

// commands lists the subcommands; kong names each after its field.
type commands struct {
	Demo   demo         `cmd:"" help:"Send requests through every pipeline and check the answers and the recorded executions."`
	Chaos  chaos        `cmd:"" help:"Send load while daemons are killed, frozen or restarted, and compare the answers with the recorded executions."`
	Usage  usage        `cmd:"" help:"Measure the processor time, memory and traffic of a deployment's daemons."`
	Slopes slopes       `cmd:"" help:"Fit lines to measurements of usage and extrapolate them to the target size."`
	Load   load         `cmd:"" help:"Send open-loop load to one pipeline and measure attainment and cost."`
	Site   siteDemo     `cmd:"" help:"Run gateways in front of a site of simulated services and check every answer."`
	Soak   soakRun      `cmd:"" help:"Inject faults into gateways from outside, by a seed, and check the guarantees of the users' pages."`
	Added  addedLatency `cmd:"" help:"Measure the latency that the system adds over calling the endpoints directly."`
}

// maxIdleConnections is the limit of idle connections to one address.
const maxIdleConnections = 256

// newClient returns a client for many concurrent requests.
func newClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}}
}

// Main runs a subcommand and returns its exit code.
func Main(args []string) int {
	var c commands
	parser := kong.Must(&c,
		kong.Name("anvilload"),
		kong.Description("Load generation and experiments against local deployments."),
		kong.BindTo(os.Stdout, (*io.Writer)(nil)),
	)
	context, err := parser.Parse(args)
	if err == nil {
		err = context.Run()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "anvilload:", err)
		return 1
	}
	return 0
}
