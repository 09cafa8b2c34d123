package entry

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/juju/errors"

	"anvilcross/anvilcrossd/replymemory"
)

// testMemoryBytes is the memory for replies in tests.
const testMemoryBytes = 32 << 20

func newTestMemory() *replymemory.Pool {
	return replymemory.NewPool(replymemory.Config{LimitBytes: testMemoryBytes})
}

// endless never ends.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

func wantBuffer(t *testing.T, b *buffer, err error, wantBytes int, wantComplete bool) {
	t.Helper()
	if err != nil || len(b.Data) < wantBytes || b.complete != wantComplete {
		t.Fatalf("got %d bytes, complete %v, and %v, want %d bytes and %v", len(b.Data), b.complete, err, wantBytes, wantComplete)
	}
}

// An incomplete response must not look complete, and responses must not take the
// memory of the instance.
func TestBufferedResponses(t *testing.T) {
	t.Run("a small response is complete", func(t *testing.T) {
		p := newTestMemory()
		b, err := readBuffer(p, iotest.OneByteReader(bytes.NewReader(make([]byte, 800))))
		wantBuffer(t, b, err, 800, true)
	})
	t.Run("a large response is not cut to look complete", func(t *testing.T) {
		p := newTestMemory()
		body := bytes.NewReader(make([]byte, 17<<20))
		b, err := readBuffer(p, body)
		wantBuffer(t, b, err, maxBufferedBytes, false)
		if whole := len(b.Data) + body.Len(); whole != 17<<20 {
			t.Fatalf("%d bytes are buffered or left to read, want %d", whole, 17<<20)
		}
	})
	t.Run("a response that breaks off is an error", func(t *testing.T) {
		p := newTestMemory()
		body := io.MultiReader(bytes.NewReader(make([]byte, 800)), iotest.ErrReader(io.ErrUnexpectedEOF))
		if _, err := readBuffer(p, body); errors.Cause(err) != io.ErrUnexpectedEOF {
			t.Fatalf("got %v, want %v", err, io.ErrUnexpectedEOF)
		}
	})
	t.Run("endless responses share a limited memory", func(t *testing.T) {
		p := newTestMemory()
		var held []*buffer
		total := 0
		for range 200 {
			b, err := readBuffer(p, endless{})
			if err != nil || b.complete {
				t.Fatalf("complete %v and %v for an endless response", b.complete, err)
			}
			held = append(held, b)
			total += cap(b.Data)
		}
		if total > testMemoryBytes {
			t.Fatalf("%d bytes are held, want %d at most", total, testMemoryBytes)
		}
		for _, b := range held {
			b.Release()
		}
		if used := p.Used(); used != 0 {
			t.Fatalf("%d bytes count as used after all were released", used)
		}
	})
}
