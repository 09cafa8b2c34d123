// Package signals takes over the signals of the process before anything else does its work:
// until then SIGHUP and SIGTERM end the process without a word. It imports as little as it can,
// since what it imports is initialised first.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// maxPending is the number of signals that wait until they are read; later ones are dropped.
const maxPending = 8

// Incoming receives SIGTERM, SIGINT and SIGHUP, from the start of the process on.
var Incoming = takeOver()

func takeOver() <-chan os.Signal {
	c := make(chan os.Signal, maxPending)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return c
}
