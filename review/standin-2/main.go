// Command standin-2 runs the cases of the second review. It starts the project's daemons as the
// deploy file says, before stand-ins of the platform's store, workers and clients that follow the
// users' pages, and checks what clients and workers see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// world is what a case runs in.
type world struct {
	*record
	store    *store
	daemons  []*daemon
	workerIP string
	// trouble is false if the case is to run without its disruption.
	trouble bool
	// temporary is the folder of the daemons' settings and logs.
	temporary string
}

// newWorld starts the store and prepares the daemons, which are not started.
func newWorld(root, directory string, daemonCount int) (*world, error) {
	rec, err := newRecord(directory)
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	ips, err := freeAddresses(daemonCount + 2)
	if err != nil {
		return nil, err
	}
	w := &world{record: rec, workerIP: ips[daemonCount], trouble: os.Getenv("TROUBLE") != "0", temporary: temporary}
	if w.store, err = startStore(ips[daemonCount+1] + ":0"); err != nil {
		return nil, err
	}
	for n := range daemonCount {
		d, err := newDaemon(root, temporary, n, ips[:daemonCount], w.store.address)
		if err != nil {
			return nil, err
		}
		w.daemons = append(w.daemons, d)
	}
	return w, nil
}

// startDaemons starts all daemons and waits until they are ready.
func (w *world) startDaemons() error {
	for _, d := range w.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	for _, d := range w.daemons {
		if err := d.waitReady(); err != nil {
			return err
		}
	}
	w.addf("%d daemons are ready", len(w.daemons))
	return nil
}

// end ends all processes of the case.
func (w *world) end() {
	for _, d := range w.daemons {
		d.kill()
	}
	// KEEP_LOGS=1 keeps the daemons' logs.
	if os.Getenv("KEEP_LOGS") != "1" {
		_ = os.RemoveAll(w.temporary)
	}
}

// caseEntry is a case: the number of its daemons and its function, which returns an exit code.
type caseEntry struct {
	daemons int
	run     func(*world) (int, error)
}

// cases are the cases by name. Each file of a case adds its own.
var cases = map[string]caseEntry{}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE REPOSITORY DIRECTORY")
		os.Exit(cannotRun)
	}
	c, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(cannotRun)
	}
	w, err := newWorld(os.Args[2], os.Args[3], c.daemons)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		w.end()
		os.Exit(cannotRun)
	}()
	code, err := c.run(w)
	w.end()
	if err != nil {
		w.addf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = cannotRun
	}
	w.addf("exit code %d", code)
	os.Exit(code)
}
