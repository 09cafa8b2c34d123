package command

import (
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"

	"anvilcross/anvilcross/instance"
	"anvilcross/kernel/ident"
)

// rollout waits until a revision is in force on every instance.
type rollout struct {
	Instances string                      `required:"" help:"Instance list of the deployment." type:"existingfile"`
	Revision  ident.ConfigurationRevision `required:"" placeholder:"REVISION" help:"Revision to wait for."`
	Timeout   time.Duration               `default:"30s" help:"How long to wait."`
}

const rolloutPollInterval = 100 * time.Millisecond

// Help is shown by anvilcross rollout --help.
func (rollout) Help() string {
	return "Example: anvilcross rollout --instances run/wroclaw/instances.json --revision 2"
}

// Run polls the instances until all have the revision. It fails at the timeout.
func (r *rollout) Run(out io.Writer) error {
	pending, err := instance.ReadList(r.Instances)
	if err != nil {
		return err
	}
	start := time.Now()
	for {
		pending = r.checkRevisions(out, pending, start)
		if len(pending) == 0 {
			_, err := fmt.Fprintf(out, "revision %d is in force on every instance after %.1fs\n", r.Revision, time.Since(start).Seconds())
			return errors.Trace(err)
		}
		if time.Since(start) > r.Timeout {
			break
		}
		time.Sleep(rolloutPollInterval)
	}
	for _, i := range pending {
		_, _ = fmt.Fprintf(out, "%s did not report the revision\n", i.Seat)
	}
	return errors.Errorf("%d instances did not report the revision within --timeout %v", len(pending), r.Timeout)
}

// checkRevisions asks the pending instances and returns those that do not answer
// or still have an older revision. It prints a line for each of the others.
func (r *rollout) checkRevisions(out io.Writer, pending []instance.ListEntry, start time.Time) []instance.ListEntry {
	var behind []instance.ListEntry
	for _, i := range pending {
		s, err := instance.FetchStatus(i.OperatorAddress)
		if err != nil || s.Revision < r.Revision {
			behind = append(behind, i)
			continue
		}
		_, _ = fmt.Fprintf(out, "%-14s revision %d after %.1fs\n", i.Seat, s.Revision, time.Since(start).Seconds())
	}
	return behind
}
