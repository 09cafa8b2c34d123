package entry

import (
	"bufio"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"anvilcross/anvilcrossd/h1"
	"anvilcross/anvilcrossd/replymemory"
	"anvilcross/kernel/gateway"
)

// maxLeadBytes limits what comes before the first event of a stream.
const maxLeadBytes = 16 << 10

// Errors of a stream that ended where it may not, whatever marked its end.
var (
	errEventCutOff = errors.New("the stream ended in the middle of an event")
	errNoEvent     = errors.New("the stream ended before the first event")
	// errEndUnproved: after an event, while the answer to the caller, which an earlier
	// attempt began, needs a mark at its end.
	errEndUnproved = errors.New("the connection ended after an event of a stream that another endpoint began in chunks")
)

// streamRelay relays the stream of one attempt.
type streamRelay struct {
	exchange *callerExchange
	send     *gateway.Send
	response *h1.Response
	// lastEventID is the id of the last event that the caller has; empty if it has none.
	lastEventID string
	// lead holds what came before the first event; the caller gets it with that.
	lead     []byte
	delivery gateway.Delivery
	// lastEventAt is when the last event was relayed, and reportedAt when the gateway was last
	// told of one.
	lastEventAt, reportedAt time.Time
	// allowed is set once the gateway has let the attempt write to the caller.
	allowed bool
}

// relayStream relays each event as soon as it is complete, so that a broken
// stream can be continued after the last relayed event. Like attempt, it
// returns the outcome or an empty string.
func (c *callerExchange) relayStream(send *gateway.Send, response *h1.Response) string {
	relay := &streamRelay{
		exchange:    c,
		send:        send,
		response:    response,
		lastEventID: send.LastEventID,
		delivery:    gateway.Delivery{Status: response.StatusCode, Delimited: response.Delimited()},
	}
	events := &eventReader{reader: bufio.NewReader(response.Body), memory: c.server.config.Memory}
	defer events.release()
	for {
		event, err := events.next()
		if c.request.Context().Err() != nil {
			return c.handleCallerLeft()
		}
		switch err {
		case io.EOF:
			err = relay.checkEnd(event.text)
		case nil:
			err = relay.check(event)
		}
		switch {
		case err != nil && err != io.EOF:
			c.reportFailure(send, streamFailure(response, err), relay.lastEventID, err.Error())
			return ""
		case err == nil && relay.isLead(event):
			relay.lead = append(relay.lead, event.text...)
			continue
		case !relay.mayWrite(err == io.EOF):
			return ""
		case err == io.EOF:
			return relay.finish()
		}
		if err := relay.write(event); err != nil {
			return c.handleCallerLeft()
		}
	}
}

// check returns why the stream may not go on with an event.
func (r *streamRelay) check(e streamEvent) error {
	if e.id == "" && len(r.lead)+len(e.text) > maxLeadBytes {
		return errEventTooLong
	}
	return e.check(r.lastEventID)
}

// isLead reports whether a text comes before the first event of the answer.
func (r *streamRelay) isLead(e streamEvent) bool { return e.id == "" && !r.exchange.headSent }

// mayWrite reports whether the attempt may write to the caller. Events may have arrived in a
// pause of the process after which the gateway gave up the attempt before they were read.
func (r *streamRelay) mayWrite(complete bool) bool {
	r.allowed = r.allowed || r.exchange.beginRelay(r.send, gateway.Response{Complete: complete})
	return r.allowed
}

// write sends an event to the caller.
func (r *streamRelay) write(e streamEvent) error {
	c := r.exchange
	r.begin()
	if _, err := c.writer.Write(append(r.lead, e.text...)); err != nil {
		return errors.Trace(err)
	}
	r.lead = nil
	if err := http.NewResponseController(c.writer).Flush(); err != nil {
		return errors.Trace(err)
	}
	if e.id != "" {
		r.recordEvent(e.id)
	}
	return nil
}

// begin sends the head, unless an earlier attempt has.
func (r *streamRelay) begin() {
	if c := r.exchange; !c.headSent {
		c.writeHead(r.response, unknownLength)
		c.headSent = true
	}
}

// recordEvent records that the caller has got an event.
func (r *streamRelay) recordEvent(id string) {
	r.lastEventID = id
	r.delivery.Events++
	now := time.Now()
	if r.delivery.Events > 1 {
		r.delivery.LongestGap = max(r.delivery.LongestGap, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
	switch {
	case r.delivery.Events == 1:
		r.exchange.withGateway(func(g *gateway.Gateway) { g.HandleFirstEvent(r.exchange.active.handle, r.send.Attempt) })
		r.reportedAt = now
	case now.Sub(r.reportedAt) >= gateway.ProgressInterval:
		r.exchange.withGateway(func(g *gateway.Gateway) { g.HandleProgress(r.exchange.active.handle, r.send.Attempt) })
		r.reportedAt = now
	}
}

// finish ends the answer, and returns the outcome.
func (r *streamRelay) finish() string {
	c := r.exchange
	r.begin()
	if err := c.finishAnswer(); err != nil {
		return c.handleCallerLeft()
	}
	c.withGateway(func(g *gateway.Gateway) { g.HandleDelivery(c.active.handle, r.send.Attempt, r.delivery) })
	return relayed
}

// checkEnd returns io.EOF if the stream may end here, and otherwise why it may not. A mark at
// its end, a length or a last chunk, does not prove that the endpoint has written all of it.
// rest holds the bytes after the last event.
func (r *streamRelay) checkEnd(rest []byte) error {
	c := r.exchange
	switch {
	case len(rest) > 0:
		return errEventCutOff
	case r.lastEventID == "" && r.response.StatusCode != http.StatusNoContent:
		return errNoEvent
	case !r.response.Delimited() && c.headSent && !c.endsWithConnection:
		return errEndUnproved
	}
	return io.EOF
}

// streamFailure returns the kind of failure of a stream that may not go on. An endpoint that
// sent what it may not, or marked the end of an incomplete stream, is at fault, but has not lost
// its connection.
func streamFailure(response *h1.Response, err error) gateway.AttemptFailure {
	switch err {
	case errEventTooLong, errNotAnEvent, errEventOutOfTurn, replymemory.ErrExhausted:
		return gateway.InvalidResponse
	case errEventCutOff, errNoEvent:
		if response.Delimited() {
			return gateway.InvalidResponse
		}
	}
	return readFailure(err)
}
