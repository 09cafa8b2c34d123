package entry

import (
	"bufio"
	"bytes"
	"mime"
	"strconv"

	"github.com/juju/errors"

	"anvilcross/anvilcrossd/h1"
	"anvilcross/anvilcrossd/replymemory"
)

const (
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 1 << 20
	// freeEventBytes is the size up to which an event takes nothing from the memory for
	// replies.
	freeEventBytes = 16 << 10
)

// Errors of a stream with bytes that cannot belong to it.
var (
	errEventTooLong   = errors.New("an event is too long")
	errNotAnEvent     = errors.New("the stream has bytes that form no event")
	errEventOutOfTurn = errors.New("the id of an event does not follow that of the event before")
)

// isEventStream reports whether a response is a stream of server-sent events.
func isEventStream(response *h1.Response) bool {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// streamEvent is an event of a stream as it was received, up to the empty line that ends it.
type streamEvent struct {
	text []byte
	// id is the id that the event has; empty for comments and empty lines between events.
	id string
	// malformed is set if a line is no field of an event.
	malformed bool
}

// isComment reports whether the text holds no event.
func (e *streamEvent) isComment() bool {
	for line := range bytes.Lines(e.text) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// check returns why the text cannot follow the event with an id; lastID is empty before the
// first event. Events have increasing ids.
func (e *streamEvent) check(lastID string) error {
	switch {
	case e.malformed:
		return errNotAnEvent
	case e.id == "" && !e.isComment():
		return errNotAnEvent
	case e.id != "" && !follows(e.id, lastID):
		return errEventOutOfTurn
	}
	return nil
}

// follows reports whether an id may come after another one. Ids other than numbers only
// have to differ.
func follows(id, lastID string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	last, lastErr := strconv.ParseUint(lastID, 10, 64)
	if err != nil || lastErr != nil {
		return id != lastID
	}
	return number > last
}

// eventReader splits a stream of server-sent events, each of which ends with an
// empty line.
type eventReader struct {
	reader *bufio.Reader
	memory *replymemory.Pool
	// reserved is the memory that the present event takes.
	reserved int64
}

// next returns the next event, which is valid until the next call. At the end of the stream it
// returns io.EOF and any bytes after the last event.
func (r *eventReader) next() (streamEvent, error) {
	r.release()
	var e streamEvent
	lineStart := 0
	for {
		part, err := r.reader.ReadSlice('\n')
		if !r.reserve(len(e.text) + len(part)) {
			return e, replymemory.ErrExhausted
		}
		e.text = append(e.text, part...)
		if err == bufio.ErrBufferFull {
			err = nil
		}
		if err != nil {
			return e, err
		}
		if len(e.text) > maxEventBytes {
			return e, errEventTooLong
		}
		if e.text[len(e.text)-1] != '\n' {
			continue
		}
		line := bytes.TrimRight(e.text[lineStart:], "\r\n")
		lineStart = len(e.text)
		if len(line) == 0 {
			return e, nil
		}
		e.addLine(line)
	}
}

// reserve takes the memory for an event of a size. Growing takes up to twice the size.
func (r *eventReader) reserve(size int) bool {
	if needed := int64(2 * size); size > freeEventBytes && needed > r.reserved {
		step := max(needed-r.reserved, freeEventBytes)
		if !r.memory.Reserve(step) {
			return false
		}
		r.reserved += step
	}
	return true
}

// release returns the memory of the present event.
func (r *eventReader) release() {
	r.memory.Release(r.reserved)
	r.reserved = 0
}

// addLine evaluates a line of the event.
func (e *streamEvent) addLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case len(name) == 0:
	case !isFieldName(name):
		e.malformed = true
	case string(name) == "id":
		e.id = string(bytes.TrimSpace(value))
	}
}

// isFieldName reports whether a line's name can be that of a field of an event, as opposed to
// text or to the head of a response.
func isFieldName(name []byte) bool {
	for _, c := range name {
		if c != '-' && (c < 'a' || c > 'z') {
			return false
		}
	}
	return true
}
