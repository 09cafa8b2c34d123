package entry

import (
	"bufio"
	"io"
	"strings"
	"testing"
)

// wantEvents checks the events that a text consists of, and how it ends.
func wantEvents(t *testing.T, text string, wantErr error, wantRest string, want ...string) {
	t.Helper()
	r := &eventReader{reader: bufio.NewReaderSize(strings.NewReader(text), 16)}
	lastID := ""
	for _, w := range want {
		e, err := r.next()
		if err == nil {
			err = e.check(lastID)
		}
		if err != nil || string(e.text) != w {
			t.Fatalf("got %q and %v, want %q", e.text, err, w)
		}
		if e.id != "" {
			lastID = e.id
		}
	}
	e, err := r.next()
	if err == nil {
		err = e.check(lastID)
	}
	if err != wantErr || err == io.EOF && string(e.text) != wantRest {
		t.Fatalf("got %q and %v, want %q and %v", e.text, err, wantRest, wantErr)
	}
}

// Bytes that form no event are taken for one, or those of an event are lost.
func TestEvents(t *testing.T) {
	const first, second = "id: 1\ndata: one, longer than the buffer of the reader\n\n", "id: 2\r\ndata: two\r\n\r\n"
	t.Run("whole events", func(t *testing.T) { wantEvents(t, first+second, io.EOF, "", first, second) })
	t.Run("comments and empty lines", func(t *testing.T) {
		wantEvents(t, ": wait\n\n"+first+"\n"+second, io.EOF, "", ": wait\n\n", first, "\n", second)
	})
	t.Run("a field of its own", func(t *testing.T) {
		wantEvents(t, "weights: 3\n"+first, io.EOF, "", "weights: 3\n"+first)
	})
	t.Run("a rest", func(t *testing.T) { wantEvents(t, first+"id: 2\nda", io.EOF, "id: 2\nda", first) })
	t.Run("text", func(t *testing.T) { wantEvents(t, first+"try later\n\n", errNotAnEvent, "", first) })
	t.Run("no id", func(t *testing.T) { wantEvents(t, first+"data: two\n\n", errNotAnEvent, "", first) })
	t.Run("a head", func(t *testing.T) { wantEvents(t, "HTTP/1.1 200 OK\r\nid: 1\r\n\r\n", errNotAnEvent, "") })
	t.Run("an event twice", func(t *testing.T) { wantEvents(t, second+second, errEventOutOfTurn, "", second) })
	t.Run("an earlier event", func(t *testing.T) { wantEvents(t, second+first, errEventOutOfTurn, "", second) })
	t.Run("a long number", func(t *testing.T) {
		wantEvents(t, "id: 9\n\nid: 10\n\n", io.EOF, "", "id: 9\n\n", "id: 10\n\n")
	})
}
