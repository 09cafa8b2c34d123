// Package metadata follows the platform's metadata store: one listing, then
// watches from its revision on. After any doubt it lists anew.
package metadata

import (
	"context"
	"time"

	"github.com/juju/errors"

	"anvilcross/kernel/replica"
	"anvilcross/platform"
)

const (
	// watchWait is how long one watch waits: a connection that has gone
	// silent has to show within the time in which changes must be in force.
	watchWait = 900 * time.Millisecond
	// replySlack is how much longer than a watch's wait its reply may take.
	replySlack = 500 * time.Millisecond
	// listTimeout bounds a listing.
	listTimeout = 1500 * time.Millisecond
	// readsPeriod is how often an instance that does not read looks whether
	// it has to.
	readsPeriod = 100 * time.Millisecond
	// firstPause is the pause after a failed call; it doubles up to maxPause.
	firstPause = 100 * time.Millisecond
	maxPause   = 800 * time.Millisecond
)

// Config sets up a Follower.
type Config struct {
	Store platform.Store
	// OnListing and Watched take records in; Lost and Back report whether the
	// store can be read.
	OnListing     func([]replica.Record, replica.Revision)
	OnChanges     func([]replica.Record, replica.Revision)
	OnUnavailable func(reason error)
	OnAvailable   func()
	// IsReader tells whether this instance reads the store, or learns from others.
	IsReader func() bool
	// AsOf is the revision up to which all records are known.
	AsOf func() replica.Revision
}

// Follower reads the store until its context ends.
type Follower struct {
	config Config
	lost   bool
	pause  time.Duration
}

// NewFollower returns a follower that has read nothing.
func NewFollower(c Config) *Follower { return &Follower{config: c} }

// Run follows the store.
func (f *Follower) Run(ctx context.Context) {
	listed := false
	for ctx.Err() == nil {
		if !f.config.IsReader() {
			sleep(ctx, readsPeriod)
			continue
		}
		var err error
		if listed {
			err = f.watch(ctx)
		} else {
			err = f.list(ctx)
		}
		listed = err == nil || listed && errors.Cause(err) != platform.ErrHistoryGone
		if err == nil {
			f.succeeded()
			continue
		}
		if errors.Cause(err) == platform.ErrHistoryGone {
			continue
		}
		// What was missed meanwhile may be out of the history, and entries
		// may have lapsed: a listing shows both.
		listed = false
		f.failed(ctx, err)
	}
}

func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	records, asOf, err := f.config.Store.List(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	f.config.OnListing(records, asOf)
	return nil
}

func (f *Follower) watch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchWait+replySlack)
	defer cancel()
	records, asOf, err := f.config.Store.Watch(ctx, f.config.AsOf(), watchWait)
	if err != nil {
		return errors.Trace(err)
	}
	f.config.OnChanges(records, asOf)
	return nil
}

func (f *Follower) succeeded() {
	f.pause = 0
	if f.lost {
		f.lost = false
		f.config.OnAvailable()
	}
}

func (f *Follower) failed(ctx context.Context, err error) {
	if !f.lost {
		f.lost = true
		f.config.OnUnavailable(err)
	}
	f.pause = min(max(2*f.pause, firstPause), maxPause)
	sleep(ctx, f.pause)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
