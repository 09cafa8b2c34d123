package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"anvilcross/anvilload/fleet"
	"anvilcross/anvilstandin/client"
	"anvilcross/anvilstandin/site"
)

// siteDemo runs gateways in front of a site of simulated services and checks the
// answers.
type siteDemo struct {
	Daemon    string `default:"bin/anvilcrossd" help:"Executable file of the daemon." type:"existingfile"`
	Directory string `default:"run/site" help:"Directory for settings and logs."`
	Count     int    `default:"3" help:"Daemons to run."`
	Requests  int    `default:"40" help:"Requests for each route."`
	Parallel  int    `default:"16" help:"Concurrent requests of a route."`
}

// Help is shown by anvilload site --help.
func (siteDemo) Help() string {
	return "Example: anvilload site --count 3 --requests 40"
}

// routeResults aggregates the answers of one route.
type routeResults struct {
	whole    int
	slowest  time.Duration
	problems []string
}

// Run starts the site and the daemons, sends requests through every route
// and checks the answers.
func (c *siteDemo) Run(out io.Writer) error {
	if err := os.MkdirAll(c.Directory, 0o750); err != nil {
		return errors.Trace(err)
	}
	s, err := site.Start(site.Config{})
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = s.Close() }()
	f, err := fleet.Start(fleet.Config{Binary: c.Daemon, Directory: c.Directory, Count: c.Count, Site: s})
	if err != nil {
		return errors.Trace(err)
	}
	defer f.Stop()
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "ROUTE\tREQUESTS\tWHOLE\tSLOWEST MS")
	problems := 0
	for _, route := range []string{"order", "lookup", "draft", "verse"} {
		results := c.sendRequests(f, route)
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%.0f\n", route, c.Requests, results.whole, float64(results.slowest)/float64(time.Millisecond))
		for _, problem := range results.problems {
			_, _ = fmt.Fprintf(table, "%s: %s\n", route, problem)
		}
		problems += len(results.problems)
	}
	for _, problem := range s.Recorder.Problems() {
		problems++
		_, _ = fmt.Fprintln(table, problem)
	}
	_, _ = fmt.Fprintf(table, "%d daemons, %d problems; logs in %s\n", c.Count, problems, c.Directory)
	if err := table.Flush(); err != nil {
		return errors.Trace(err)
	}
	if problems > 0 {
		return errors.Errorf("found %d problems", problems)
	}
	return nil
}

// sendRequests sends all requests of a route, at most Parallel at once, to the
// daemons in turn.
func (c *siteDemo) sendRequests(f *fleet.Fleet, route string) routeResults {
	const timeout = 20 * time.Second
	httpClient := newClient(timeout)
	defer httpClient.CloseIdleConnections()
	var results routeResults
	var mutex sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, c.Parallel)
	for n := range c.Requests {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			request := client.NewRequest(route)
			reply := client.Send(context.Background(), httpClient, f.Daemons[n%len(f.Daemons)].CallerAddress, request)
			problem := client.FindProblem(request, reply)
			mutex.Lock()
			defer mutex.Unlock()
			results.slowest = max(results.slowest, reply.Elapsed)
			if problem == "" && reply.Status == http.StatusOK {
				results.whole++
				return
			}
			results.problems = append(results.problems, request.ID+": "+problem)
		})
	}
	group.Wait()
	return results
}
