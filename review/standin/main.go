// Command standin holds the stand-ins of the review: a metadata store, workers and
// clients by the users' pages, and the cases that use them. It starts the daemons as
// separate processes and ends all of them.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// bench is what a case runs on.
type bench struct {
	root, directory string
	trouble         bool
	record          *recorder
	store           *store
	daemons         []*daemon
}

// cases holds the cases by name. Each returns whether the rule held.
var cases = map[string]func(*bench) (bool, error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE REPOSITORY RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, recordPath string) int {
	record, err := newRecorder(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.close()
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(directory) }()
	} else {
		fmt.Println("logs in", directory)
	}
	if root, err = filepath.Abs(root); err != nil {
		return 2
	}
	b := &bench{root: root, directory: directory, trouble: os.Getenv("TROUBLE") != "0", record: record}
	defer func() {
		for _, d := range b.daemons {
			d.kill()
		}
	}()
	if b.store, err = startStore("127.0.0.1"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	held, err := cases[name](b)
	switch {
	case err != nil:
		record.add("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)
		return 2
	case !held:
		record.add("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	record.add("the rule held")
	fmt.Println("the rule held")
	return 0
}

// startDaemons starts one daemon in each of the given zones and waits until all are ready.
func (b *bench) startDaemons(zones ...string) error {
	var err error
	if b.daemons, err = newDaemons(b.root, b.directory, b.store.address, zones); err != nil {
		return err
	}
	return b.launchDaemons()
}

func (b *bench) launchDaemons() error {
	for _, d := range b.daemons {
		if err := d.launch(); err != nil {
			return err
		}
		b.record.add("daemon %s starts at %s", d.name, d.front)
	}
	if err := waitReady(b.daemons); err != nil {
		return err
	}
	b.record.add("all daemons are ready")
	return nil
}

// streamRoute is a route to the service model.
func streamRoute(prefix string, resumable bool, attempts int) map[string]any {
	return map[string]any{"name": "r" + prefix[1:len(prefix)-1], "host": host, "prefix": prefix, "kind": "stream", "timeout-ms": 15000, "target-latency-ms": 2500, "target-gap-ms": 400, "priority": 1, "service": "kowadlo", "max-attempts": attempts, "sticky": true, "resumable": resumable}
}

// publish writes a configuration with the given routes.
func (b *bench) publish(routes ...any) {
	b.store.put("op/config", map[string]any{
		"version": 3, "routes": routes,
		"services": []any{map[string]any{"name": "kowadlo", "health-path": "/health", "max-connections": 500, "engine": map[string]any{"slots": 128, "kv-capacity-tokens": 788441}}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "bozi300", "api-keys": []any{apiKey}}},
	})
}
