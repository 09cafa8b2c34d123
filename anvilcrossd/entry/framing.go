package entry

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"anvilcross/anvilcrossd/forward"
	"anvilcross/anvilcrossd/h1"
	"anvilcross/platform"
)

// unknownLength is the length of a response that is not known yet.
const unknownLength = -1

// connectionKey is the key of a caller's connection in the context of its requests.
type connectionKey struct{}

// WithConnection is the ConnContext hook of the server that serves a Server: it makes the
// caller's connection known to the handler.
func WithConnection(ctx context.Context, n net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, n)
}

// writeHead sends the head of an endpoint's response to the caller. The answer gets a
// length or chunks only if the endpoint's response has one of them: the end of the
// endpoint's connection does not prove that the response is complete. length is that
// of the body or unknownLength.
func (c *callerExchange) writeHead(response *h1.Response, length int64) {
	platform.CopyResponseHeader(c.writer, response.Response)
	c.writer.Header().Del(forward.HeaderAnswer)
	switch {
	case !response.Delimited():
		// net/http then sends neither a length nor chunks.
		c.writer.Header().Set("Transfer-Encoding", "identity")
		c.endsWithConnection = true
	case length != unknownLength:
		c.writer.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	default:
		c.endsWithConnection = !c.request.ProtoAtLeast(1, 1)
	}
	if c.endsWithConnection {
		c.setReset(true)
	}
	c.writer.WriteHeader(response.StatusCode)
}

// finishAnswer ends an answer whose body has been written completely. Its last bytes are sent
// before the connection may end without a reset: net/http still holds some of them, and
// the process may end at any time.
func (c *callerExchange) finishAnswer() error {
	if !c.endsWithConnection {
		return nil
	}
	if err := http.NewResponseController(c.writer).Flush(); err != nil {
		return errors.Trace(err)
	}
	c.setReset(false)
	return nil
}

// setReset selects whether the caller's connection is reset when it is closed, also by
// the end of the process. An answer that ends with its connection is complete to the
// caller unless that is reset.
func (c *callerExchange) setReset(enabled bool) {
	n, ok := c.request.Context().Value(connectionKey{}).(interface{ SetLinger(seconds int) error })
	if !ok {
		return
	}
	const reset, regular = 0, -1
	if enabled {
		_ = n.SetLinger(reset)
		return
	}
	_ = n.SetLinger(regular)
}
