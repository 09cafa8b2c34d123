// Package platform reads what the platform publishes: the configuration and
// the instance list. It never writes. Only a few computed readers per data
// centre watch; the other instances look rarely and hear of changes from
// their peers.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/juju/errors"

	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/route"
)

const (
	// watchWait is how long the platform holds a watch open.
	watchWait = 10 * time.Second
	// idlePoll is the pause between the reads of an instance that is no
	// reader.
	idlePoll = 30 * time.Second
	// minPause is the least time between two reads of the same thing.
	minPause = 250 * time.Millisecond
	// stalePause is the pause after a platform answered with the past.
	stalePause = time.Second
	// firstBackoff and maxBackoff bound the pause after an error.
	firstBackoff  = 200 * time.Millisecond
	maxBackoff    = 10 * time.Second
	maxListBytes  = 4 << 20
	clientTimeout = watchWait + 5*time.Second
)

// ListedInstance is an entry instance in the platform's list.
type ListedInstance struct {
	Seat            ident.Instance   `json:"seat"`
	DataCentre      ident.DataCentre `json:"dataCentre"`
	PeerAddress     string           `json:"peerAddress"`
	CallerAddress   string           `json:"callerAddress"`
	OperatorAddress string           `json:"operatorAddress"`
}

// InstanceList is what the platform publishes about machines.
type InstanceList struct {
	Version   int64            `json:"version"`
	Instances []ListedInstance `json:"instances"`
	Endpoints []route.Listing  `json:"endpoints"`
}

// Config sets up a Reader.
type Config struct {
	Address string
	// IsReader reports whether this instance watches the configuration.
	IsReader func() bool
	// CurrentRevision returns the revision in force.
	CurrentRevision func() ident.ConfigurationRevision
	// OnConfiguration takes a published document.
	OnConfiguration func(*configuration.Document)
	// OnInstanceList takes a published instance list.
	OnInstanceList func(*InstanceList)
	// OnReadError reports a failed read.
	OnReadError func(what string, err error)
}

// Client reads until its context ends.
type Client struct {
	config Config
	client *http.Client
	// listVersion is used by the list's own goroutine alone.
	listVersion int64
}

// NewClient returns a reader that has not read yet.
func NewClient(c Config) *Client {
	return &Client{config: c, client: &http.Client{Timeout: clientTimeout}}
}

// Run reads the configuration and the list until the context ends.
func (r *Client) Run(ctx context.Context) {
	go r.repeat(ctx, "instances", func() (time.Duration, error) { return minPause, r.readList(ctx) })
	r.repeat(ctx, "configuration", func() (time.Duration, error) { return r.readConfiguration(ctx) })
}

// repeat calls a read with its own pause, or with growing pauses after errors.
func (r *Client) repeat(ctx context.Context, what string, read func() (time.Duration, error)) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		pause, err := read()
		if err != nil {
			if ctx.Err() == nil {
				r.config.OnReadError(what, err)
			}
			pause = backoff
			backoff = min(2*backoff, maxBackoff)
		} else {
			backoff = firstBackoff
		}
		sleep(ctx, pause)
	}
}

// sleep waits with up to a quarter of jitter, so that instances that started
// together do not read together.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	d += time.Duration(rand.Int64N(int64(d)/4 + 1))
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (r *Client) readConfiguration(ctx context.Context) (time.Duration, error) {
	have := r.config.CurrentRevision()
	url := fmt.Sprintf("http://%s/configuration?after=%d&waitMillis=%d", r.config.Address, have, watchWait.Milliseconds())
	pause := minPause
	if have > 0 && !r.config.IsReader() {
		url = fmt.Sprintf("http://%s/configuration?after=%d", r.config.Address, have)
		pause = idlePoll
	}
	data, err := r.get(ctx, url, configuration.MaxDocumentBytes)
	if err != nil || data == nil {
		return pause, err
	}
	d, err := configuration.Decode(data)
	if err != nil {
		return 0, errors.Annotate(err, "published configuration")
	}
	r.config.OnConfiguration(d)
	if d.Revision <= have && pause < idlePoll {
		// A platform that answers a watch with an old revision is stale;
		// asking again at once would only load it.
		pause = stalePause
	}
	return pause, nil
}

func (r *Client) readList(ctx context.Context) error {
	url := fmt.Sprintf("http://%s/instances?after=%d&waitMillis=%d", r.config.Address, r.listVersion, watchWait.Milliseconds())
	data, err := r.get(ctx, url, maxListBytes)
	if err != nil || data == nil {
		return err
	}
	list := &InstanceList{}
	if err := json.Unmarshal(data, list); err != nil {
		return errors.Annotate(err, "published instance list")
	}
	r.listVersion = list.Version
	r.config.OnInstanceList(list)
	return nil
}

// get returns a body, or nil when nothing newer is published.
func (r *Client) get(ctx context.Context, url string, most int64) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNoContent {
		return nil, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("platform answered %s", response.Status)
	}
	return io.ReadAll(io.LimitReader(response.Body, most+1))
}
