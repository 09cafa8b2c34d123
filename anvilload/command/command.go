// Package command is the load tool's command line: one file for each verb.
package command

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"
)

// verbs is the look-up table of the verbs.
type verbs struct {
	Demo   demo     `cmd:"" help:"Send requests through every pipeline and check answers and books."`
	Chaos  chaos    `cmd:"" help:"Send load while daemons are killed and frozen, and check the books."`
	Usage  usage    `cmd:"" help:"Measure what the daemons of a deployment consume."`
	Slopes slopes   `cmd:"" help:"Fit measurements and work them out at the target size."`
	Load   load     `cmd:"" help:"Send open-loop load to one pipeline and measure attainment and cost."`
	Site   siteDemo `cmd:"" help:"Run gateways before stand-ins of the users' services and check every answer."`
	Soak   soakRun  `cmd:"" help:"Disturb gateways from outside by a seed and check the promises of the users' pages."`
	Added  added    `cmd:"" help:"Measure the latency that the system adds over calling the endpoints directly."`
}

// maxConnections bounds the idle connections that a load keeps per address.
const maxConnections = 256

// newClient returns a client for many requests at once.
func newClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxConnections}}
}

// Main runs a verb and returns its exit code.
func Main(args []string) int {
	var v verbs
	parser := kong.Must(&v,
		kong.Name("anvilload"),
		kong.Description("Load and experiments against a deployment that anvilcross local laid out."),
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
