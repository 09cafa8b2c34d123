package command

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/juju/errors"

	"anvilcross/anvilcross/instance"
	"anvilcross/kernel/node"
)

// status prints the status of every instance of a deployment.
type status struct {
	Instances string `required:"" help:"Instance list of the deployment." type:"existingfile"`
	JSON      bool   `help:"Print JSON."`
}

// Help is shown by anvilcross status --help.
func (status) Help() string {
	return "Example: anvilcross status --instances run/wroclaw/instances.json"
}

// Run fetches and prints the status. For an instance that does not answer,
// only seat and data centre are filled in; the table, unlike the JSON, then ends
// with an error.
func (s *status) Run(out io.Writer) error {
	instances, err := instance.ReadList(s.Instances)
	if err != nil {
		return err
	}
	var all []*node.Status
	unanswered := 0
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	if !s.JSON {
		_, _ = fmt.Fprintln(table, "SEAT\tDATA CENTRE\tREADY\tREVISION\tREADER\tUNFINISHED\tWHOLE\tLATE\tNOT RUN\tLOST\tREFUSED")
	}
	for _, i := range instances {
		st, err := instance.FetchStatus(i.OperatorAddress)
		if err != nil {
			unanswered++
			st = &node.Status{Seat: i.Seat, DataCentre: i.DataCentre}
		}
		all = append(all, st)
		if s.JSON {
			continue
		}
		c := st.Counters
		_, _ = fmt.Fprintf(table, "%s\t%s\t%v\t%d\t%v\t%d\t%d\t%d\t%d\t%d\t%d\n", st.Seat, st.DataCentre, st.Ready, st.Revision, st.Reader, st.UnfinishedRequests, c.Whole, c.Late, c.NotRun, c.Lost, c.Refused)
	}
	if s.JSON {
		return printJSON(out, all)
	}
	if err := table.Flush(); err != nil {
		return errors.Trace(err)
	}
	if unanswered > 0 {
		return errors.Errorf("%d of %d instances did not answer", unanswered, len(instances))
	}
	return nil
}
