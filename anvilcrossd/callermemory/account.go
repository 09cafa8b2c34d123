// Package callermemory bounds what a process holds for callers that nobody controls: the memory
// of their bodies and heads, and the connections on which no whole request has arrived.
package callermemory

import (
	"sync"
	"time"

	"github.com/juju/errors"
)

// ErrRefused is the cause of an error if the account has no room for a body, or needs its room
// for others.
var ErrRefused = errors.New("the memory for callers is exhausted")

// Kind is what bytes are held for.
type Kind int

// The kinds of held bytes.
const (
	// Bodies are those of callers' requests, and ForwardedBodies those of requests that
	// other instances have forwarded.
	Bodies Kind = iota
	ForwardedBodies
	// Heads are heads that are being received, beyond the first bytes of each.
	Heads
	// PeerMessages are batches of messages of other instances that are being received.
	PeerMessages
	kindCount
)

var kindNames = [kindCount]string{"bodies", "forwarded_bodies", "heads", "peer_messages"}

// String returns the kind as it is named in metrics.
func (k Kind) String() string { return kindNames[k] }

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Bodies, ForwardedBodies, Heads, PeerMessages} }

const (
	// MinLimitBytes is the smallest limit of an account: a body of the published
	// 4 MiB takes 6 MiB while its buffer grows, and large bodies may use three
	// quarters of the limit.
	MinLimitBytes = 8 << 20
	// smallBytes is the size up to which a holding may use the whole limit. The
	// others leave a quarter free, so that ordinary requests are still served when
	// large bodies take all the memory that they may.
	smallBytes = 64 << 10
	// largeShareDivisor is the part of the limit, as a divisor, that larger
	// holdings leave free.
	largeShareDivisor = 4
	// stallTime is how long a holding must have made no progress to be ended for
	// the benefit of another one. A caller on a slow link sends 64 KiB in less.
	stallTime = time.Second
	// progressBytes is what counts as progress of a body. A caller cannot keep its
	// memory by sending single bytes.
	progressBytes = 64 << 10
)

// Config sets up an Account.
type Config struct {
	// LimitBytes bounds the held bytes; MinLimitBytes if it is less.
	LimitBytes int64
	// Now returns the time; nil stands for time.Now.
	Now func() time.Time
}

// Account counts the bytes that are held for callers. It is safe for concurrent use.
type Account struct {
	config Config
	mutex  sync.Mutex
	// changed is signalled when bytes are returned and when a holding is ended.
	changed *sync.Cond
	// used counts all bytes that are held, and ending those of ended holdings among them, which
	// their readers have not returned yet.
	used, ending int64
	byKind       [kindCount]int64
	// receiving has the holdings that are not complete: these may be ended.
	receiving map[*Holding]bool
	counts    Counts
}

// Counts are totals of an account.
type Counts struct {
	// Refused is the number of holdings that got no room, and Ended of those that
	// were ended for the benefit of others.
	Refused, Ended int64
}

// Holding is what is held for one caller. It must be released.
type Holding struct {
	account *Account
	kind    Kind
	// interrupt ends the receiving of the holding. It is called with the account's
	// mutex held, and must not block or call the account.
	interrupt func()
	held      int64
	// progressAt is when the holding last made progress.
	progressAt time.Time
	ended      bool
	// data is what Read has read.
	data []byte
}

// NewAccount returns an account that holds nothing.
func NewAccount(c Config) *Account {
	if c.Now == nil {
		c.Now = time.Now
	}
	c.LimitBytes = max(c.LimitBytes, MinLimitBytes)
	a := &Account{config: c, receiving: map[*Holding]bool{}}
	a.changed = sync.NewCond(&a.mutex)
	return a
}

// NewHolding returns an empty holding. interrupt ends its receiving if others need its memory.
// It is called with the account locked, and must not block.
func (a *Account) NewHolding(k Kind, interrupt func()) *Holding {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	h := &Holding{account: a, kind: k, interrupt: interrupt, progressAt: a.config.Now()}
	a.receiving[h] = true
	return h
}

// Limit returns the number of bytes that may be held.
func (a *Account) Limit() int64 { return a.config.LimitBytes }

// Used returns the number of bytes held for a kind.
func (a *Account) Used(k Kind) int64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.byKind[k]
}

// Counts returns the totals so far.
func (a *Account) Counts() Counts {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.counts
}

// limitFor returns the limit for a holding of a size.
func (a *Account) limitFor(bytes int64) int64 {
	if bytes <= smallBytes {
		return a.config.LimitBytes
	}
	return a.config.LimitBytes - a.config.LimitBytes/largeShareDivisor
}

// Fits reports whether there is room for a body of an announced size. It ends others if they
// have made no progress. The room is not reserved.
func (a *Account) Fits(bytes int64) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.makeRoom(nil, bytes, bytes) {
		return true
	}
	a.counts.Refused++
	return false
}

// Grow reserves bytes. It returns false if there is no room, or if the holding has been ended.
func (h *Holding) Grow(bytes int64) bool { return h.grow(bytes, false) }

// GrowWaiting does the same, but waits for the bytes of ended holdings, whose readers have been
// interrupted and return them once they run. The caller must not hold a lock that these need.
func (h *Holding) GrowWaiting(bytes int64) bool { return h.grow(bytes, true) }

func (h *Holding) grow(bytes int64, wait bool) bool {
	a := h.account
	a.mutex.Lock()
	defer a.mutex.Unlock()
	size := h.held + bytes
	for !h.ended && a.makeRoom(h, bytes, size) {
		if a.used+bytes <= a.limitFor(size) {
			a.add(h, bytes)
			h.progressAt = a.config.Now()
			return true
		}
		if !wait {
			break
		}
		a.changed.Wait()
	}
	if !h.ended {
		a.counts.Refused++
	}
	return false
}

// makeRoom reports whether bytes can be reserved for a holding that then has the given size, once
// the ended holdings are released. It ends others that have made no progress until that is so.
func (a *Account) makeRoom(h *Holding, bytes, size int64) bool {
	limit := a.limitFor(size)
	if size > limit {
		return false
	}
	for a.used-a.ending+bytes > limit {
		victim := a.findStalled(h)
		if victim == nil {
			return false
		}
		a.end(victim)
	}
	return true
}

// findStalled returns the holding that has held most for longest without progress, or nil.
func (a *Account) findStalled(except *Holding) *Holding {
	now := a.config.Now()
	var found *Holding
	most := 0.0
	for h := range a.receiving {
		idle := now.Sub(h.progressAt)
		if h == except || h.held == 0 || idle < stallTime {
			continue
		}
		if score := float64(h.held) * idle.Seconds(); score > most {
			found, most = h, score
		}
	}
	return found
}

// end ends a holding. Its bytes count as held until its reader, which is interrupted, has run: on a
// busy processor that takes a while.
func (a *Account) end(h *Holding) {
	a.counts.Ended++
	h.ended = true
	a.ending += h.held
	delete(a.receiving, h)
	h.interrupt()
	a.changed.Broadcast()
}

func (a *Account) add(h *Holding, bytes int64) {
	h.held += bytes
	a.used += bytes
	a.byKind[h.kind] += bytes
	if h.ended {
		a.ending += bytes
	}
	if bytes < 0 {
		a.changed.Broadcast()
	}
}

// shrink returns bytes that are no longer held.
func (h *Holding) shrink(bytes int64) {
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	h.account.add(h, -bytes)
}

// recordProgress records that the caller goes on sending.
func (h *Holding) recordProgress() {
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	h.progressAt = h.account.config.Now()
}

// complete records that all has been received, so that the holding is not ended for others any
// more. It returns false if it has been ended.
func (h *Holding) complete() bool {
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	delete(h.account.receiving, h)
	return !h.ended
}

// Release returns the memory to the account. It may be called more than once.
func (h *Holding) Release() {
	a := h.account
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.receiving, h)
	h.data = nil
	a.add(h, -h.held)
}
