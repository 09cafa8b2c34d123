// Command standin-3 runs the cases of the review that are scripts. Each case starts daemons with the
// command of the deploy file, with stand-ins of the platform's store, of workers and of clients around
// them, and judges only what these see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	notPlayed = 2
)

// runLimit ends a case that takes too long.
const runLimit = 115 * time.Second

// cases holds the cases by name. Each returns an exit code.
var cases = map[string]func(*run) int{
	"siblings": runSiblings,
	"cutend":   runCutEnd,
	"poison":   runPoison,
	"torn":     runTorn,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER")
		os.Exit(notPlayed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a case in a temporary folder and ends all processes that it started.
func play(name, folder string) (code int) {
	directory, err := os.MkdirTemp("", "standin-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notPlayed
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notPlayed
	}
	r := newRun(directory, record, os.Getenv("TROUBLE") != "0")
	defer func() {
		problem := recover()
		r.stopDaemons()
		if problem != nil {
			r.logf("the case could not run: %v", problem)
			code = notPlayed
		}
		r.logf("exit code %d", code)
		_ = record.Close()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(directory)
		} else {
			fmt.Println(directory)
		}
	}()
	end := func(why string) {
		r.logf("%s", why)
		r.stopDaemons()
		os.Exit(notPlayed)
	}
	time.AfterFunc(runLimit, func() { end("the case took too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		end("interrupted")
	}()
	return cases[name](r)
}
