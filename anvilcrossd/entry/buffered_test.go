package entry

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/juju/errors"
)

// endless never ends.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

func wantBuffer(t *testing.T, b *buffer, err error, wantBytes int, wantComplete bool) {
	t.Helper()
	if err != nil || len(b.data) < wantBytes || b.complete != wantComplete {
		t.Fatalf("got %d bytes, complete %v, and %v, want %d bytes and %v", len(b.data), b.complete, err, wantBytes, wantComplete)
	}
}

// An incomplete response must not look complete, and responses must not take the
// memory of the instance.
func TestBufferedResponses(t *testing.T) {
	t.Run("a small response is complete", func(t *testing.T) {
		var p bufferPool
		b, err := p.read(iotest.OneByteReader(bytes.NewReader(make([]byte, 800))))
		wantBuffer(t, b, err, 800, true)
	})
	t.Run("a large response is not cut to look complete", func(t *testing.T) {
		var p bufferPool
		body := bytes.NewReader(make([]byte, 17<<20))
		b, err := p.read(body)
		wantBuffer(t, b, err, maxBufferedBytes, false)
		if whole := len(b.data) + body.Len(); whole != 17<<20 {
			t.Fatalf("%d bytes are buffered or left to read, want %d", whole, 17<<20)
		}
	})
	t.Run("a response that breaks off is an error", func(t *testing.T) {
		var p bufferPool
		body := io.MultiReader(bytes.NewReader(make([]byte, 800)), iotest.ErrReader(io.ErrUnexpectedEOF))
		if _, err := p.read(body); errors.Cause(err) != io.ErrUnexpectedEOF {
			t.Fatalf("got %v, want %v", err, io.ErrUnexpectedEOF)
		}
	})
	t.Run("endless responses share a limited memory", func(t *testing.T) {
		var p bufferPool
		var held []*buffer
		total := 0
		for range 200 {
			b, err := p.read(endless{})
			if err != nil || b.complete {
				t.Fatalf("complete %v and %v for an endless response", b.complete, err)
			}
			held = append(held, b)
			total += cap(b.data)
		}
		if total > maxAllBufferedBytes {
			t.Fatalf("%d bytes are held, want %d at most", total, maxAllBufferedBytes)
		}
		for _, b := range held {
			b.release()
		}
		if used := p.used.Load(); used != 0 {
			t.Fatalf("%d bytes count as used after all were released", used)
		}
	})
}
