package entry

import (
	"bufio"
	"io"
	"runtime"
	"strings"
	"sync"
	"testing"

	"anvilcross/anvilcrossd/replymemory"
)

// wantEvents checks the events that a text consists of, and how it ends.
func wantEvents(t *testing.T, text string, wantErr error, wantRest string, want ...string) {
	t.Helper()
	r := &eventReader{reader: bufio.NewReaderSize(strings.NewReader(text), 16), memory: newTestMemory()}
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

// Events without an end at many requests at once take more memory than an instance has.
func TestEventsWithoutAnEndShareALimitedMemory(t *testing.T) {
	const streams, sent, maxHeld = 300, maxEventBytes - 1, 64 << 20
	memory := newTestMemory()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var readers []*eventReader
	var held [][]byte
	var mutex sync.Mutex
	var reading sync.WaitGroup
	exhausted := 0
	for range streams {
		r := &eventReader{reader: bufio.NewReader(io.LimitReader(endless{}, sent)), memory: memory}
		readers = append(readers, r)
		reading.Go(func() {
			e, err := r.next()
			mutex.Lock()
			defer mutex.Unlock()
			if err == replymemory.ErrExhausted {
				exhausted++
				r.release()
				return
			}
			held = append(held, e.text)
		})
	}
	reading.Wait()
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > maxHeld {
		t.Errorf("%d MB are held by %d streams, want %d at most", grown>>20, streams, maxHeld>>20)
	}
	if exhausted == 0 || len(held) == 0 {
		t.Errorf("%d streams were broken off and %d were read", exhausted, len(held))
	}
	runtime.KeepAlive(held)
	for _, r := range readers {
		r.release()
	}
	if used := memory.Used(); used != 0 {
		t.Errorf("%d bytes count as used after all were released", used)
	}
}
