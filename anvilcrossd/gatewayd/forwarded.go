package gatewayd

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"anvilcross/anvilcrossd/forward"
)

// forwardedPollPeriod is the interval at which a shutdown looks for unfinished requests of
// other instances.
const forwardedPollPeriod = 20 * time.Millisecond

// peerHandler returns the handler for messages of other instances and for the requests that
// they forward.
func (d *daemon) peerHandler() http.Handler {
	mesh := d.mesh.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if forward.IsForwarded(r.Header) {
			d.entry.ServeForwarded(w, r)
			return
		}
		mesh.ServeHTTP(w, r)
	})
}

// finishForwarded waits for the requests that other instances have forwarded.
func (d *daemon) finishForwarded(ctx context.Context) error {
	ticker := time.NewTicker(forwardedPollPeriod)
	defer ticker.Stop()
	for d.entry.ActiveForwarded() > 0 {
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}
