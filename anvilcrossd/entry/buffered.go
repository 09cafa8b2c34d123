package entry

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"anvilcross/anvilcrossd/h1"
	"anvilcross/kernel/gateway"
)

const (
	// maxBufferedBytes limits the part of a response that is buffered before it
	// is relayed, so that a response that breaks off can still be retried.
	maxBufferedBytes = 1 << 20
	// maxAllBufferedBytes limits the sum over all requests of the instance.
	maxAllBufferedBytes = 32 << 20
	// minBufferBytes is the size at which a buffer starts.
	minBufferBytes = 4 << 10
	// maxDiscardedBytes and discardTimeout limit the reading of a response that is
	// not relayed. Its connection is reused if it ends within them.
	maxDiscardedBytes = 16 << 10
	discardTimeout    = 100 * time.Millisecond
)

// bufferPool limits the memory for the buffered responses of an instance.
type bufferPool struct{ used atomic.Int64 }

// buffer is the beginning of a response, or all of it.
type buffer struct {
	pool *bufferPool
	data []byte
	// complete is set if data is the whole response.
	complete bool
}

// read reads a response body until its end, maxBufferedBytes or the pool's
// limit. The caller must release the buffer, also after an error.
func (p *bufferPool) read(body io.Reader) (*buffer, error) {
	b := &buffer{pool: p}
	for len(b.data) < maxBufferedBytes {
		if len(b.data) == cap(b.data) && !b.grow() {
			return b, nil
		}
		n, err := body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if err == io.EOF {
			b.complete = true
			return b, nil
		}
		if err != nil {
			return b, errors.Trace(err)
		}
	}
	return b, nil
}

// grow doubles the capacity. It returns false if the pool has too little left.
func (b *buffer) grow() bool {
	capacity := max(2*cap(b.data), minBufferBytes)
	added := int64(capacity - cap(b.data))
	if b.pool.used.Add(added) > maxAllBufferedBytes {
		b.pool.used.Add(-added)
		return false
	}
	grown := make([]byte, len(b.data), capacity)
	copy(grown, b.data)
	b.data = grown
	return true
}

// release returns the memory to the pool.
func (b *buffer) release() {
	b.pool.used.Add(-int64(cap(b.data)))
	b.data = nil
}

// relayBuffered relays a response once it has been read completely, so that an
// incomplete one can still be retried. One that is larger than may be buffered is
// relayed while it is read. Like attempt, it returns the outcome or an empty
// string.
func (c *callerExchange) relayBuffered(send *gateway.Send, response *h1.Response, errorResponse bool) string {
	beginning, err := c.server.buffers.read(response.Body)
	defer beginning.release()
	if c.request.Context().Err() != nil {
		return c.handleCallerLeft()
	}
	if err != nil {
		c.reportFailure(send, gateway.Broken, "", err.Error())
		return ""
	}
	if c.headSent {
		// An earlier attempt has streamed part of a response, which this one, an error or
		// no stream, cannot continue: the caller must see that it is incomplete.
		c.reportFailure(send, gateway.InvalidResponse, "", response.Status)
		return ""
	}
	if errorResponse {
		retried := false
		c.withGateway(func(g *gateway.Gateway) { retried = g.RetryErrorResponse(c.active.handle, send.Attempt) })
		if retried {
			return ""
		}
	}
	c.writeHead(response, responseLength(response, beginning))
	if _, err := c.writer.Write(beginning.data); err != nil {
		return c.handleCallerLeft()
	}
	if !beginning.complete && !c.relayRest(send, response) {
		return ""
	}
	c.finishAnswer()
	c.withGateway(func(g *gateway.Gateway) {
		g.HandleDelivery(c.active.handle, send.Attempt, gateway.Delivery{Status: response.StatusCode, Delimited: response.Delimited()})
	})
	return relayed
}

// responseLength returns the length of a response, or unknownLength.
func responseLength(response *h1.Response, beginning *buffer) int64 {
	if beginning.complete {
		return int64(len(beginning.data))
	}
	return response.ContentLength
}

// relayRest relays what follows the buffered part of a response. It returns
// false, and reports the failure, if the response breaks off: the gateway then
// has the caller's connection aborted.
func (c *callerExchange) relayRest(send *gateway.Send, response *h1.Response) bool {
	c.headSent = true
	c.withGateway(func(g *gateway.Gateway) { g.HandlePartialRelay(c.active.handle, send.Attempt) })
	if _, err := io.Copy(c.writer, response.Body); err != nil {
		c.reportFailure(send, gateway.Broken, "", err.Error())
		return false
	}
	return true
}

// discard reads a response that is not relayed, if that is short and arrives at
// once, so that its connection can be used again.
func discard(response *h1.Response) {
	expiry := time.AfterFunc(discardTimeout, response.Abort)
	defer expiry.Stop()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardedBytes)); err != nil {
		response.Abort()
	}
}
