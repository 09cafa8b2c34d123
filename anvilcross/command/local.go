package command

import (
	"fmt"
	"io"

	"github.com/juju/errors"

	"anvilcross/anvilcross/local"
)

// localFiles writes the files of a deployment that runs on this machine.
type localFiles struct {
	Answers   string  `arg:"" help:"INI file with the answers." type:"existingfile"`
	Directory string  `required:"" help:"Directory to write to." type:"path"`
	Port      int     `default:"21000" help:"Port before the first one to use; the deployment uses about a hundred."`
	Scale     float64 `default:"1" help:"Factor on the simulated endpoints' service times."`
	Policy    string  `default:"least" help:"Routing policy of the daemons."`
}

// Help is shown by anvilcross local --help.
func (localFiles) Help() string {
	return "Writes the configuration, the instance list, one settings file for each daemon, and the list of processes to start.\n\nExample: anvilcross local deployments/wroclaw/answers.ini --directory run/wroclaw --port 21000"
}

// Run writes the files.
func (l *localFiles) Run(out io.Writer) error {
	d, err := readAnswers(l.Answers)
	if err != nil {
		return err
	}
	count, err := local.Write(local.Config{Document: d, Directory: l.Directory, BasePort: l.Port, ServiceTimeFactor: l.Scale, RoutingPolicy: l.Policy})
	if err != nil {
		return errors.Trace(err)
	}
	_, err = fmt.Fprintf(out, "%s: %d processes in %s/processes\n", d.Deployment, count, l.Directory)
	return errors.Trace(err)
}
