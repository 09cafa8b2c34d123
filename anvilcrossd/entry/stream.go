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
	"anvilcross/platform"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// eventReader splits a stream of server-sent events, which end with an empty
// line.
type eventReader struct {
	reader *bufio.Reader
	// id is the last id that was read.
	id string
}

var errEventTooLong = errors.New("an event is too long")

// next returns the bytes of the next whole event. At the end of the stream it
// returns io.EOF with what came after the last whole event.
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
		if len(event) > maxEvent {
			return nil, errEventTooLong
		}
		if field, found := bytes.CutPrefix(line, []byte("id:")); found {
			e.id = string(bytes.TrimSpace(field))
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
}

// relayStream passes events on as they come, whole ones only, so that a
// broken stream can be continued after the last event.
func (c *conversation) relayStream(send *gateway.Send, response *h1.Response) string {
	events := &eventReader{reader: bufio.NewReader(response.Body)}
	flusher := http.NewResponseController(c.writer)
	resume := send.LastEventID
	delivery := gateway.Delivery{Status: response.StatusCode}
	var last time.Time
	for {
		event, err := events.next()
		if c.caller.Context().Err() != nil {
			return c.left()
		}
		if err != nil && err != io.EOF {
			c.failed(send, gateway.Broken, resume, err.Error())
			return ""
		}
		if !c.headSent && (len(event) > 0 || err == io.EOF) {
			platform.CopyResponseHeader(c.writer, response.Response)
			c.writer.WriteHeader(response.StatusCode)
			c.headSent = true
		}
		if len(event) > 0 {
			if _, failure := c.writer.Write(event); failure != nil {
				return c.left()
			}
			if failure := flusher.Flush(); failure != nil {
				return c.left()
			}
			if events.id != "" {
				resume = events.id
			}
			delivery.Events++
			now := time.Now()
			if delivery.Events > 1 {
				delivery.LongestGap = max(delivery.LongestGap, now.Sub(last))
			}
			last = now
			if delivery.Events == 1 {
				c.do(func(g *gateway.Gateway) { g.HandleFirstEvent(c.exchange.handle, send.Attempt) })
			}
		}
		if err == io.EOF {
			c.do(func(g *gateway.Gateway) { g.HandleDelivery(c.exchange.handle, send.Attempt, delivery) })
			return relayed
		}
	}
}
