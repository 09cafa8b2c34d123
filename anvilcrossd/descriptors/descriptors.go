// Package descriptors counts the connections of a process against the number of descriptors
// that it may have. Connections to endpoints are opened only while there is room; callers are
// accepted first.
package descriptors

import (
	"sync/atomic"
	"syscall"

	"github.com/juju/errors"
)

// reservedShare is the part of the descriptors, as a divisor, that is left for listeners, the
// platform, connections that this instance opens to others, and files.
const reservedShare = 8

// Budget counts connections. It is safe for concurrent use.
type Budget struct {
	config Config
	limit  atomic.Int64
	open   atomic.Int64
}

// Config sets up a Budget.
type Config struct {
	// ReadProcessLimit returns the number of descriptors that the process may have.
	ReadProcessLimit func() (int64, error)
}

// NewBudget returns a budget without connections.
func NewBudget(c Config) (*Budget, error) {
	b := &Budget{config: c}
	return b, errors.Trace(b.UpdateLimit())
}

// ReadProcessLimit returns the number of descriptors that this process may have.
func ReadProcessLimit() (int64, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errors.Annotate(err, "reading the limit of descriptors")
	}
	return int64(min(limit.Cur, 1<<32)), nil
}

// UpdateLimit reads the limit of the process again, which may change while it runs.
func (b *Budget) UpdateLimit() error {
	limit, err := b.config.ReadProcessLimit()
	if err != nil {
		return errors.Trace(err)
	}
	b.limit.Store(limit - limit/reservedShare)
	return nil
}

// Limit returns the number of connections that may be open.
func (b *Budget) Limit() int64 { return b.limit.Load() }

// Open returns the number of open connections.
func (b *Budget) Open() int64 { return b.open.Load() }

// TryAdd counts a connection that is about to be opened; it returns false if there is no room.
func (b *Budget) TryAdd() bool {
	if b.open.Add(1) > b.Limit() {
		b.open.Add(-1)
		return false
	}
	return true
}

// Add counts a connection that is open already, and reports whether there was room for it.
func (b *Budget) Add() bool { return b.open.Add(1) <= b.Limit() }

// Remove counts a connection as closed.
func (b *Budget) Remove() { b.open.Add(-1) }
