// Package metadata follows the records in the metadata store of a users'
// platform. It reads the full list of records and then watches for changes from
// the list's revision. After a failed call it starts again with the full list.
package metadata

import (
	"context"
	"time"

	"github.com/juju/errors"

	"anvilcross/kernel/replica"
	"anvilcross/platform"
)

const (
	// watchWait is how long the store holds a watch without changes. It is
	// short, so that a dead connection is detected within the time in which
	// changes must be in force.
	watchWait = 900 * time.Millisecond
	// replySlack is how long the reply to a watch may take in addition to
	// watchWait.
	replySlack = 500 * time.Millisecond
	// listTimeout limits the time for reading the full list.
	listTimeout = 1500 * time.Millisecond
	// readerCheckPeriod is the interval at which an instance that does not read
	// the store checks whether it has become a reader.
	readerCheckPeriod = 100 * time.Millisecond
	// minRetryPause is the pause after a failed call. It doubles with each
	// further failure, up to maxRetryPause.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
)

// Config sets up a Follower.
type Config struct {
	Store platform.Store
	// OnFullList receives all records and OnChanges the records that changed,
	// each with the revision up to which they are complete.
	OnFullList func([]replica.Record, replica.Revision)
	OnChanges  func([]replica.Record, replica.Revision)
	// OnUnavailable is called at the first of several failed calls, OnAvailable
	// at the next successful one.
	OnUnavailable func(reason error)
	OnAvailable   func()
	// IsReader reports whether this instance reads the store itself; otherwise
	// it gets the records from other instances.
	IsReader func() bool
	// AsOf returns the revision up to which all records are known.
	AsOf func() replica.Revision
}

// Follower reads the store and passes the records on.
type Follower struct {
	config Config
	// unavailable is set while calls to the store fail.
	unavailable bool
	retryPause  time.Duration
	// historyGone is set if the last watch found no history.
	historyGone bool
}

// NewFollower returns a follower that has read nothing.
func NewFollower(c Config) *Follower { return &Follower{config: c} }

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	listed := false
	for ctx.Err() == nil {
		if !f.config.IsReader() {
			// The kernel has ended the outage for an instance that does not read.
			f.unavailable, f.retryPause = false, 0
			sleep(ctx, readerCheckPeriod)
			continue
		}
		var err error
		if listed {
			err = f.watch(ctx)
		} else {
			err = f.list(ctx)
		}
		// The next round watches only after a success. After ErrHistoryGone it
		// lists in full, at once and without counting a failure; other errors
		// clear listed below.
		listed = err == nil || listed && errors.Cause(err) != platform.ErrHistoryGone
		if err == nil {
			f.handleSuccess()
			continue
		}
		if errors.Cause(err) == platform.ErrHistoryGone {
			// A list should have brought a revision that can be watched.
			if f.historyGone {
				sleep(ctx, minRetryPause)
			}
			f.historyGone = true
			continue
		}
		// Changes during the outage may no longer be in the store's history, and
		// entries may have expired; the full list shows both.
		listed = false
		f.handleFailure(ctx, err)
	}
}

func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	records, asOf, err := f.config.Store.List(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	f.config.OnFullList(records, asOf)
	return nil
}

func (f *Follower) watch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchWait+replySlack)
	defer cancel()
	records, asOf, err := f.config.Store.Watch(ctx, f.config.AsOf(), watchWait)
	if err != nil {
		return errors.Trace(err)
	}
	f.historyGone = false
	f.config.OnChanges(records, asOf)
	return nil
}

// handleSuccess ends an outage of the store, if there was one.
func (f *Follower) handleSuccess() {
	f.retryPause = 0
	if f.unavailable {
		f.unavailable = false
		f.config.OnAvailable()
	}
}

// handleFailure reports an outage of the store, if it is new, and pauses.
func (f *Follower) handleFailure(ctx context.Context, err error) {
	if !f.unavailable {
		f.unavailable = true
		f.config.OnUnavailable(err)
	}
	f.retryPause = min(max(2*f.retryPause, minRetryPause), maxRetryPause)
	sleep(ctx, f.retryPause)
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
