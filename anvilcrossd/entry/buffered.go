package entry

import (
	"io"
	"time"

	"github.com/juju/errors"

	"anvilcross/anvilcrossd/h1"
	"anvilcross/anvilcrossd/replymemory"
	"anvilcross/kernel/gateway"
)

const (
	// maxBufferedBytes limits the part of a response that is buffered before it
	// is relayed, so that a response that breaks off can still be retried.
	maxBufferedBytes = 1 << 20
	// maxDiscardedBytes and discardTimeout limit the reading of a response that is
	// not relayed. Its connection is reused if it ends within them.
	maxDiscardedBytes = 16 << 10
	discardTimeout    = 100 * time.Millisecond
)

// buffer is the beginning of a response, or all of it.
type buffer struct {
	*replymemory.Reply
	// complete is set if it is the whole response.
	complete bool
}

// readBuffer reads a response body until its end, maxBufferedBytes or the end of the memory
// for replies. The caller must release the buffer, also after an error.
func readBuffer(p *replymemory.Pool, body io.Reader) (*buffer, error) {
	b := &buffer{Reply: p.NewReply()}
	var err error
	b.complete, err = b.Fill(body, maxBufferedBytes)
	return b, err
}

// relayBuffered relays a response once it has been read completely, so that an
// incomplete one can still be retried. One that is larger than may be buffered is
// relayed while it is read. Like attempt, it returns the outcome or an empty
// string.
func (c *callerExchange) relayBuffered(send *gateway.Send, response *h1.Response, errorResponse bool) string {
	beginning, err := readBuffer(c.server.config.Memory, response.Body)
	defer beginning.Release()
	if c.request.Context().Err() != nil {
		return c.handleCallerLeft()
	}
	if err != nil {
		c.reportFailure(send, readFailure(err), "", err.Error())
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
	if !c.beginRelay(send, gateway.Response{Complete: beginning.complete, Error: errorResponse}) {
		return ""
	}
	c.writeHead(response, responseLength(response, beginning))
	if _, err := c.writer.Write(beginning.Data); err != nil {
		return c.handleCallerLeft()
	}
	if !beginning.complete && !c.relayRest(send, response) {
		return ""
	}
	if err := c.finishAnswer(); err != nil {
		return c.handleCallerLeft()
	}
	c.withGateway(func(g *gateway.Gateway) {
		g.HandleDelivery(c.active.handle, send.Attempt, gateway.Delivery{Status: response.StatusCode, Delimited: response.Delimited()})
	})
	return relayed
}

// responseLength returns the length of a response, or unknownLength.
func responseLength(response *h1.Response, beginning *buffer) int64 {
	if beginning.complete {
		return int64(len(beginning.Data))
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
		c.reportFailure(send, readFailure(err), "", err.Error())
		return false
	}
	return true
}

// readFailure returns the kind of failure of a response whose body cannot be read.
func readFailure(err error) gateway.AttemptFailure {
	if errors.Cause(err) == h1.ErrLongerThanNamed {
		return gateway.InvalidResponse
	}
	return gateway.Broken
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
