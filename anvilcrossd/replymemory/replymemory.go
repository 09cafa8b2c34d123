// Package replymemory bounds the memory that the replies of endpoints take in a process. A
// faulty endpoint may send bytes without an end, at many requests at once, and each of these
// has a limit of its own only.
package replymemory

import (
	"io"
	"sync/atomic"

	"github.com/juju/errors"
)

// Errors of ReadAll.
var (
	// ErrTooLong means that a reply is longer than the caller takes.
	ErrTooLong = errors.New("the reply is too long")
	// ErrExhausted means that other replies take all the memory for replies.
	ErrExhausted = errors.New("the memory for replies is exhausted")
)

// minReadBytes is the size at which the memory of a reply starts.
const minReadBytes = 4 << 10

// Pool is the memory for replies. It is safe for concurrent use.
type Pool struct {
	limit int64
	used  atomic.Int64
}

// Config sets up a Pool.
type Config struct {
	// LimitBytes is the size of all replies together.
	LimitBytes int64
}

// NewPool returns a pool of which nothing is used.
func NewPool(c Config) *Pool { return &Pool{limit: c.LimitBytes} }

// Reserve takes bytes from the pool; it returns false if it has too few left.
func (p *Pool) Reserve(bytes int64) bool {
	if p.used.Add(bytes) > p.limit {
		p.used.Add(-bytes)
		return false
	}
	return true
}

// Release returns reserved bytes to the pool.
func (p *Pool) Release(bytes int64) { p.used.Add(-bytes) }

// Used returns the number of reserved bytes.
func (p *Pool) Used() int64 { return p.used.Load() }

// Reply is the body of a reply. It must be released.
type Reply struct {
	pool *Pool
	Data []byte
}

// Release returns the memory to the pool. Data must not be used any more.
func (r *Reply) Release() {
	r.pool.Release(int64(cap(r.Data)))
	r.Data = nil
}

// Grow doubles the capacity; it returns false if the pool has too little left.
func (r *Reply) Grow() bool {
	capacity := max(2*cap(r.Data), minReadBytes)
	if !r.pool.Reserve(int64(capacity - cap(r.Data))) {
		return false
	}
	grown := make([]byte, len(r.Data), capacity)
	copy(grown, r.Data)
	r.Data = grown
	return true
}

// NewReply returns an empty reply.
func (p *Pool) NewReply() *Reply { return &Reply{pool: p} }

// Fill reads until the end of a body, the limit or the end of the pool's memory. complete
// is set if the reply is the whole body.
func (r *Reply) Fill(body io.Reader, limit int) (complete bool, err error) {
	for len(r.Data) < limit {
		if len(r.Data) == cap(r.Data) && !r.Grow() {
			return false, nil
		}
		n, err := body.Read(r.Data[len(r.Data):cap(r.Data)])
		r.Data = r.Data[:len(r.Data)+n]
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			return false, errors.Trace(err)
		}
	}
	return false, nil
}

// ReadAll reads a whole body of less than a limit. The reply must be released, also after an
// error.
func (p *Pool) ReadAll(body io.Reader, limit int) (*Reply, error) {
	r := p.NewReply()
	complete, err := r.Fill(body, limit)
	switch {
	case err != nil:
		return r, err
	case complete:
		return r, nil
	case len(r.Data) >= limit:
		return r, ErrTooLong
	}
	return r, ErrExhausted
}
