package command

import (
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"

	"anvilcross/anvilcross/instance"
	"anvilcross/kernel/ident"
)

// rollout waits until a revision is in force everywhere.
type rollout struct {
	Instances string                      `required:"" help:"Instance list of the deployment." type:"existingfile"`
	Revision  ident.ConfigurationRevision `required:"" help:"Revision to wait for."`
	Timeout   time.Duration               `default:"30s" help:"How long to wait."`
}

const rolloutPoll = 100 * time.Millisecond

// Help is shown by anvilcross rollout --help.
func (rollout) Help() string {
	return "Example: anvilcross rollout --instances run/wroclaw/instances.json --revision 2"
}

// Run does the work of the verb.
func (r *rollout) Run(out io.Writer) error {
	waiting, err := instance.ReadList(r.Instances)
	if err != nil {
		return err
	}
	start := time.Now()
	for {
		waiting = r.pass(out, waiting, start)
		if len(waiting) == 0 {
			_, err := fmt.Fprintf(out, "revision %d is in force everywhere after %.1fs\n", r.Revision, time.Since(start).Seconds())
			return errors.Trace(err)
		}
		if time.Since(start) > r.Timeout {
			break
		}
		time.Sleep(rolloutPoll)
	}
	for _, i := range waiting {
		_, _ = fmt.Fprintf(out, "%s is behind\n", i.Seat)
	}
	return errors.Errorf("%d instances are behind after %v", len(waiting), r.Timeout)
}

// pass asks the instances that were behind and returns those that still are.
func (r *rollout) pass(out io.Writer, waiting []instance.ListEntry, start time.Time) []instance.ListEntry {
	var behind []instance.ListEntry
	for _, i := range waiting {
		s, err := instance.FetchStatus(i.OperatorAddress)
		if err != nil || s.Revision < r.Revision {
			behind = append(behind, i)
			continue
		}
		_, _ = fmt.Fprintf(out, "%-14s revision %d after %.1fs\n", i.Seat, s.Revision, time.Since(start).Seconds())
	}
	return behind
}
