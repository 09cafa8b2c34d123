package command

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"anvilcross/anvilload/soak"
)

// soakRun runs the fault-injection soak with consecutive seeds.
type soakRun struct {
	Daemon    string        `default:"bin/anvilcrossd" help:"Executable file of the daemon." type:"existingfile"`
	Directory string        `default:"run/soak" help:"Directory for settings and logs."`
	Seed      uint64        `default:"1" help:"Seed of the first run."`
	Runs      int           `default:"1" help:"Number of runs; each has the next seed."`
	Count     int           `default:"6" help:"Daemons to run."`
	Clients   int           `default:"24" help:"Concurrent callers."`
	Length    time.Duration `default:"20s" help:"Length of a run."`
}

// Help is shown by anvilload soak --help.
func (soakRun) Help() string {
	return "Example: anvilload soak --seed 7 --runs 10"
}

// Run executes the runs, prints their reports and fails if any of them violated a
// guarantee.
func (c *soakRun) Run(out io.Writer) error {
	failed := 0
	for n := range c.Runs {
		seed := c.Seed + uint64(n)
		config := soak.Config{Seed: seed, Daemons: c.Count, Callers: c.Clients, Duration: c.Length, Binary: c.Daemon, Directory: filepath.Join(c.Directory, fmt.Sprint(seed))}
		if err := os.MkdirAll(config.Directory, 0o750); err != nil {
			return errors.Trace(err)
		}
		report, err := soak.Run(config)
		if err != nil {
			return errors.Trace(err)
		}
		report.Write(out, config)
		if len(report.Violations) > 0 {
			failed++
		}
	}
	if failed > 0 {
		return errors.Errorf("%d of %d runs violated a guarantee", failed, c.Runs)
	}
	return nil
}
