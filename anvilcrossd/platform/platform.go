// Package platform reads the configuration and the instance list that the
// platform publishes for the subcommand serve. (Package metadata reads what a
// users' platform publishes.) It never writes. All instances watch the list, but
// only a few readers per data centre watch the configuration; the other instances
// poll it rarely and learn of changes from their peers.
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
	// watchWait is how long the platform may hold a watch request open.
	watchWait = 10 * time.Second
	// nonReaderPause is the pause between two configuration reads of an
	// instance that is not a reader.
	nonReaderPause = 30 * time.Second
	// minPause is the shortest pause between two reads of the same resource.
	minPause = 250 * time.Millisecond
	// stalePause is the pause after the platform returned an old revision.
	stalePause = time.Second
	// initialBackoff is the pause after a first error. It doubles with each
	// further one, up to maxBackoff.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 10 * time.Second
	maxListBytes   = 4 << 20
	clientTimeout  = watchWait + 5*time.Second
)

// ListedInstance is an entry instance in the platform's list. The addresses are
// host:port.
type ListedInstance struct {
	Seat            ident.Instance   `json:"seat"`
	DataCentre      ident.DataCentre `json:"dataCentre"`
	PeerAddress     string           `json:"peerAddress"`
	CallerAddress   string           `json:"callerAddress"`
	OperatorAddress string           `json:"operatorAddress"`
}

// InstanceList is the platform's list of entry instances and endpoints.
type InstanceList struct {
	Version   int64            `json:"version"`
	Instances []ListedInstance `json:"instances"`
	Endpoints []route.Listing  `json:"endpoints"`
}

// Config sets up a Client.
type Config struct {
	// Address is the platform's host:port.
	Address string
	// IsReader reports whether this instance watches the configuration.
	IsReader func() bool
	// CurrentRevision returns the revision of the configuration in force, or
	// zero.
	CurrentRevision func() ident.ConfigurationRevision
	// OnConfiguration is called with each published document.
	OnConfiguration func(*configuration.Document)
	// OnInstanceList is called with each published instance list.
	OnInstanceList func(*InstanceList)
	// OnReadError is called with the name of the resource when a read failed.
	OnReadError func(resource string, err error)
}

// Client reads the platform's publications.
type Client struct {
	config     Config
	httpClient *http.Client
	// listVersion is used only by the goroutine that reads the list.
	listVersion int64
}

// NewClient returns a client; Run starts its reads.
func NewClient(c Config) *Client {
	return &Client{config: c, httpClient: &http.Client{Timeout: clientTimeout}}
}

// Run reads the configuration and the instance list repeatedly until the
// context ends.
func (c *Client) Run(ctx context.Context) {
	go c.readRepeatedly(ctx, "instances", func() (time.Duration, error) { return minPause, c.readInstanceList(ctx) })
	c.readRepeatedly(ctx, "configuration", func() (time.Duration, error) { return c.readConfiguration(ctx) })
}

// readRepeatedly calls read until the context ends. Between the calls it pauses
// as long as read says, or for a growing backoff after errors.
func (c *Client) readRepeatedly(ctx context.Context, resource string, read func() (time.Duration, error)) {
	backoff := initialBackoff
	for ctx.Err() == nil {
		pause, err := read()
		if err != nil {
			if ctx.Err() == nil {
				c.config.OnReadError(resource, err)
			}
			pause = backoff
			backoff = min(2*backoff, maxBackoff)
		} else {
			backoff = initialBackoff
		}
		sleepWithJitter(ctx, pause)
	}
}

// sleepWithJitter sleeps for d plus a random part of up to a quarter, so that
// instances that started together do not read at the same time.
func sleepWithJitter(ctx context.Context, d time.Duration) {
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

// readConfiguration reads the configuration once and returns the pause until
// the next read.
func (c *Client) readConfiguration(ctx context.Context) (time.Duration, error) {
	current := c.config.CurrentRevision()
	url := fmt.Sprintf("http://%s/configuration?after=%d&waitMillis=%d", c.config.Address, current, watchWait.Milliseconds())
	pause := minPause
	if current > 0 && !c.config.IsReader() {
		url = fmt.Sprintf("http://%s/configuration?after=%d", c.config.Address, current)
		pause = nonReaderPause
	}
	data, err := c.get(ctx, url, configuration.MaxDocumentBytes)
	if err != nil || data == nil {
		return pause, err
	}
	d, err := configuration.Decode(data)
	if err != nil {
		return 0, errors.Annotate(err, "decoding the published configuration")
	}
	c.config.OnConfiguration(d)
	if d.Revision <= current && pause < nonReaderPause {
		// A platform that answers a watch with an old revision is stale.
		// Another read right away would only add load.
		pause = stalePause
	}
	return pause, nil
}

func (c *Client) readInstanceList(ctx context.Context) error {
	url := fmt.Sprintf("http://%s/instances?after=%d&waitMillis=%d", c.config.Address, c.listVersion, watchWait.Milliseconds())
	data, err := c.get(ctx, url, maxListBytes)
	if err != nil || data == nil {
		return err
	}
	list := &InstanceList{}
	if err := json.Unmarshal(data, list); err != nil {
		return errors.Annotate(err, "decoding the published instance list")
	}
	c.listVersion = list.Version
	c.config.OnInstanceList(list)
	return nil
}

// get returns a response's body, or nil if nothing newer is published. A body
// larger than maxBytes is cut off after one more byte, so that the decoder
// rejects it.
func (c *Client) get(ctx context.Context, url string, maxBytes int64) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNoContent {
		return nil, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("platform responded with status %s", response.Status)
	}
	return io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
}
