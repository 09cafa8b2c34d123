package entry

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"anvilcross/anvilcrossd/h1"
	"anvilcross/kernel/gateway"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 1 << 20

// eventReader splits a stream of server-sent events, each of which ends with an
// empty line.
type eventReader struct {
	reader *bufio.Reader
	// lastID is the last id that was read.
	lastID string
}

var errEventTooLong = errors.New("an event is too long")

// Errors of a stream that ended where it may not, whatever marked its end.
var (
	errEventCutOff = errors.New("the stream ended in the middle of an event")
	errNoEvent     = errors.New("the stream ended before the first event")
	// errEndUnproved: after an event, while the answer to the caller, which an earlier
	// attempt began, needs a mark at its end.
	errEndUnproved = errors.New("the connection ended after an event of a stream that another endpoint began in chunks")
)

// next returns the bytes of the next complete event. At the end of the stream
// it returns io.EOF and any bytes after the last complete event.
func (e *eventReader) next() ([]byte, error) {
	var event []byte
	for {
		line, err := e.reader.ReadSlice('\n')
		event = append(event, line...)
		if err == bufio.ErrBufferFull {
			err = nil
		}
		if err != nil {
			return event, err
		}
		if len(event) > maxEventBytes {
			return nil, errEventTooLong
		}
		if field, found := bytes.CutPrefix(line, []byte("id:")); found {
			e.lastID = string(bytes.TrimSpace(field))
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
}

// relayStream relays each event as soon as it is complete, so that a broken
// stream can be continued after the last relayed event. Like attempt, it
// returns the outcome or an empty string.
func (c *callerExchange) relayStream(send *gateway.Send, response *h1.Response) string {
	events := &eventReader{reader: bufio.NewReader(response.Body)}
	flusher := http.NewResponseController(c.writer)
	lastEventID := send.LastEventID
	delivery := gateway.Delivery{Status: response.StatusCode, Delimited: response.Delimited()}
	var lastEventAt time.Time
	for {
		event, err := events.next()
		if c.request.Context().Err() != nil {
			return c.handleCallerLeft()
		}
		if err == io.EOF {
			err = c.checkEnd(response, event, delivery.Events)
		}
		if err != nil && err != io.EOF {
			c.reportFailure(send, streamFailure(response, err), lastEventID, err.Error())
			return ""
		}
		if !c.headSent {
			c.writeHead(response, unknownLength)
			c.headSent = true
		}
		if err == nil {
			if _, writeErr := c.writer.Write(event); writeErr != nil {
				return c.handleCallerLeft()
			}
			if flushErr := flusher.Flush(); flushErr != nil {
				return c.handleCallerLeft()
			}
			if events.lastID != "" {
				lastEventID = events.lastID
			}
			delivery.Events++
			now := time.Now()
			if delivery.Events > 1 {
				delivery.LongestGap = max(delivery.LongestGap, now.Sub(lastEventAt))
			}
			lastEventAt = now
			if delivery.Events == 1 {
				c.withGateway(func(g *gateway.Gateway) { g.HandleFirstEvent(c.active.handle, send.Attempt) })
			}
		}
		if err == io.EOF {
			c.finishAnswer()
			c.withGateway(func(g *gateway.Gateway) { g.HandleDelivery(c.active.handle, send.Attempt, delivery) })
			return relayed
		}
	}
}

// checkEnd returns io.EOF if a stream may end here, and otherwise why it may not. A mark at its
// end, a length or a last chunk, does not prove that the endpoint has written all of it. rest
// holds the bytes after the last event; events counts those of this attempt.
func (c *callerExchange) checkEnd(response *h1.Response, rest []byte, events int) error {
	switch {
	case len(rest) > 0:
		return errEventCutOff
	case events == 0 && !c.headSent && response.StatusCode != http.StatusNoContent:
		return errNoEvent
	case !response.Delimited() && c.headSent && !c.endsWithConnection:
		return errEndUnproved
	}
	return io.EOF
}

// streamFailure returns the kind of failure of a stream that broke off. An endpoint that marked
// the end of an incomplete stream is at fault, but has not lost its connection.
func streamFailure(response *h1.Response, err error) gateway.AttemptFailure {
	if response.Delimited() && (err == errEventCutOff || err == errNoEvent) {
		return gateway.InvalidResponse
	}
	return gateway.Broken
}
