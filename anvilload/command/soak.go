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

// soakRun plays runs of the fault soak.
type soakRun struct {
	Daemon    string        `default:"bin/anvilcrossd" help:"The daemon's program." type:"existingfile"`
	Directory string        `default:"run/soak" help:"Where settings and logs go."`
	Seed      uint64        `default:"1" help:"The first seed."`
	Runs      int           `default:"1" help:"Runs, with one seed after the other."`
	Count     int           `default:"6" help:"Daemons to run."`
	Clients   int           `default:"24" help:"Callers at once."`
	Length    time.Duration `default:"20s" help:"Length of a run."`
}

// Help gives an example.
func (soakRun) Help() string {
	return "Example: anvilload soak --seed 7 --runs 10"
}

// Run plays the runs and fails if any of them broke a promise.
func (c *soakRun) Run(out io.Writer) error {
	broken := 0
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
			broken++
		}
	}
	if broken > 0 {
		return errors.Errorf("%d of %d runs broke a promise", broken, c.Runs)
	}
	return nil
}
