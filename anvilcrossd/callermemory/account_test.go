package callermemory

import (
	"bytes"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/juju/errors"
)

// testLimit is the limit of the accounts of tests.
const testLimit = 16 << 20

// testAccount is an account with a clock that tests move.
type testAccount struct {
	*Account
	now time.Time
}

func newTestAccount() *testAccount {
	a := &testAccount{now: time.Unix(1000, 0)}
	a.Account = NewAccount(Config{LimitBytes: testLimit, Now: func() time.Time { return a.now }})
	return a
}

// hold returns a holding of a size, and whether it has been interrupted.
func (a *testAccount) hold(t *testing.T, bytes int64) (*Holding, *bool) {
	t.Helper()
	interrupted := new(bool)
	h := a.NewHolding(Bodies, func() { *interrupted = true })
	if !h.Grow(bytes) {
		t.Fatalf("no room for %d bytes beside %d", bytes, a.Used(Bodies))
	}
	return h, interrupted
}

// Large bodies take all memory, and ordinary requests are refused.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	a := newTestAccount()
	for range 12 {
		a.hold(t, 1<<20)
	}
	large := a.NewHolding(Bodies, func() {})
	if large.Grow(1<<20) || a.Fits(1<<20) {
		t.Fatal("large bodies take more than three quarters of the memory")
	}
	for range 64 {
		a.hold(t, smallBytes)
	}
	if a.NewHolding(Bodies, func() {}).Grow(1) {
		t.Fatal("more than the limit is held")
	}
	if got := a.Counts().Refused; got != 3 {
		t.Fatalf("%d refusals are counted, want 3", got)
	}
}

// A body that goes on arriving, or that has arrived, is ended in place of one that has stopped.
func TestStalledHoldingsAreEndedFirst(t *testing.T) {
	a := newTestAccount()
	whole, wholeInterrupted := a.hold(t, 4<<20)
	if !whole.complete() {
		t.Fatal("a holding has been ended without need")
	}
	small, smallInterrupted := a.hold(t, 1<<20)
	large, largeInterrupted := a.hold(t, 4<<20)
	active, activeInterrupted := a.hold(t, 3<<20)
	a.now = a.now.Add(2 * stallTime)
	active.recordProgress()
	if !a.Fits(4 << 20) {
		t.Fatal("stalled holdings keep their memory")
	}
	if !*largeInterrupted || *smallInterrupted || *activeInterrupted || *wholeInterrupted {
		t.Fatalf("interrupted: large %v, small %v, active %v, whole %v, want only the large one", *largeInterrupted, *smallInterrupted, *activeInterrupted, *wholeInterrupted)
	}
	if large.Grow(1) || large.complete() {
		t.Fatal("an ended holding goes on")
	}
	for _, h := range []*Holding{whole, small, large, active, large} {
		h.Release()
	}
	if used := a.Used(Bodies); used != 0 {
		t.Fatalf("%d bytes count as held after all were released", used)
	}
}

// A holding that has made progress lately is ended.
func TestHoldingsThatMakeProgressAreNotEnded(t *testing.T) {
	a := newTestAccount()
	for range 12 {
		a.hold(t, 1<<20)
	}
	a.now = a.now.Add(stallTime - 1)
	if a.Fits(1 << 20) {
		t.Fatal("a holding without a stall has been ended")
	}
}

// A body is changed on its way, or its memory is not counted or not returned.
func TestReadBodies(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789"), 50_000)
	for name, length := range map[string]int64{"announced": int64(len(body)), "not announced": UnknownLength} {
		t.Run(name, func(t *testing.T) {
			for _, reader := range []io.Reader{bytes.NewReader(body), iotest.OneByteReader(bytes.NewReader(body)), iotest.DataErrReader(bytes.NewReader(body))} {
				a := newTestAccount()
				h := a.NewHolding(Bodies, func() {})
				if err := h.Read(reader, length); err != nil || !bytes.Equal(h.Data(), body) {
					t.Fatalf("got %d bytes and %v", len(h.Data()), err)
				}
				if used := a.Used(Bodies); used != int64(cap(h.Data())) {
					t.Fatalf("%d bytes count as held, want %d", used, cap(h.Data()))
				}
				h.Release()
				if used := a.Used(Bodies); used != 0 {
					t.Fatalf("%d bytes count as held after the release", used)
				}
			}
		})
	}
}

// unread fails the test when it is read.
type unread struct{ t *testing.T }

func (u unread) Read([]byte) (int, error) {
	u.t.Error("the body is read")
	return 0, io.EOF
}

// A body of which the announced length does not fit is read before it is refused.
func TestAnnouncedBodiesThatDoNotFitAreNotRead(t *testing.T) {
	a := newTestAccount()
	a.hold(t, 10<<20)
	h := a.NewHolding(Bodies, func() {})
	if err := h.Read(unread{t}, 4<<20); errors.Cause(err) != ErrRefused {
		t.Fatalf("got %v, want %v", err, ErrRefused)
	}
}

// A body without an end takes more than the limit.
func TestBodiesWithoutAnEndAreRefused(t *testing.T) {
	a := newTestAccount()
	h := a.NewHolding(Bodies, func() {})
	if err := h.Read(endless{}, UnknownLength); errors.Cause(err) != ErrRefused {
		t.Fatalf("got %v, want %v", err, ErrRefused)
	}
	if used := a.Used(Bodies); used > testLimit {
		t.Fatalf("%d bytes are held", used)
	}
}

// endless never ends.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// A body whose holding is ended while it is read looks cut off by the caller, or whole.
func TestEndedBodiesAreRefused(t *testing.T) {
	for name, readErr := range map[string]error{"interrupted": io.ErrUnexpectedEOF, "at its end": io.EOF} {
		t.Run(name, func(t *testing.T) {
			a := newTestAccount()
			h := a.NewHolding(Bodies, func() {})
			body := readerFunc(func(p []byte) (int, error) {
				a.now = a.now.Add(2 * stallTime)
				a.Fits(10 << 20)
				return 1, readErr
			})
			h.Grow(4 << 20)
			if err := h.Read(body, UnknownLength); errors.Cause(err) != ErrRefused {
				t.Fatalf("got %v, want %v", err, ErrRefused)
			}
		})
	}
}

// The memory of ended bodies is given to others before their readers, which wait for a processor,
// have let go of it, so that more than the limit is held.
func TestEndedBodiesCountUntilTheyAreReleased(t *testing.T) {
	a := newTestAccount()
	first, interrupted := a.hold(t, 6<<20)
	second, _ := a.hold(t, 6<<20)
	a.now = a.now.Add(2 * stallTime)
	grown := make(chan bool)
	third := a.NewHolding(Bodies, func() {})
	go func() { grown <- third.GrowWaiting(4 << 20) }()
	for ended := false; !ended; time.Sleep(time.Millisecond) {
		ended = a.Counts().Ended > 0
	}
	if used := a.Used(Bodies); used != 12<<20 {
		t.Errorf("%d bytes count as held, want those of the ended body among them", used)
	}
	select {
	case <-grown:
		t.Fatal("a body grows into memory that is still held")
	case <-time.After(50 * time.Millisecond):
	}
	if *interrupted {
		first.Release()
	} else {
		second.Release()
	}
	if !<-grown {
		t.Error("a body that waited for memory is refused")
	}
	first.Release()
	second.Release()
	third.Release()
	if used := a.Used(Bodies); used != 0 {
		t.Errorf("%d bytes count as held after all were released", used)
	}
}

// A head, whose reader holds a lock that the release of others may need, waits for their memory.
func TestGrowDoesNotWaitForEndedHoldings(t *testing.T) {
	a := newTestAccount()
	stalled, interrupted := a.hold(t, 12<<20)
	a.now = a.now.Add(2 * stallTime)
	head := a.NewHolding(Heads, func() {})
	for range 2 {
		if head.Grow(5 << 20) {
			t.Fatal("memory that is still held is given away")
		}
	}
	small := a.NewHolding(Heads, func() {})
	if !small.Grow(smallBytes) {
		t.Fatal("there is no room for an ordinary head")
	}
	if !*interrupted {
		t.Fatal("the stalled holding is not ended")
	}
	stalled.Release()
	if !head.Grow(5 << 20) {
		t.Fatal("there is no room once the ended holding is released")
	}
}

// A body that waits for the memory of an ended one is ended itself and waits for ever.
func TestBodiesThatWaitForMemoryCanBeEnded(t *testing.T) {
	a := newTestAccount()
	a.hold(t, 6<<20)
	waiting, _ := a.hold(t, 4<<20)
	a.now = a.now.Add(2 * stallTime)
	grown := make(chan bool)
	go func() { grown <- waiting.GrowWaiting(5 << 20) }()
	for a.Counts().Ended == 0 {
		time.Sleep(time.Millisecond)
	}
	if !a.Fits(12 << 20) {
		t.Error("no room for a body once the others are ended")
	}
	if <-grown {
		t.Error("an ended body grows")
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Callers at once hold more than the limit, or memory is lost when they end in any order.
func TestManyCallersAtOnce(t *testing.T) {
	a := NewAccount(Config{LimitBytes: testLimit})
	var wait sync.WaitGroup
	for seed := range uint64(40) {
		wait.Go(func() {
			r := rand.New(rand.NewPCG(seed, 1))
			for range 50 {
				length := r.IntN(2 << 20)
				announced := int64(UnknownLength)
				if r.IntN(2) == 0 {
					announced = int64(length)
				}
				h := a.NewHolding(Kinds()[r.IntN(len(Kinds()))], func() {})
				err := h.Read(io.LimitReader(endless{}, int64(length)), announced)
				if err != nil && errors.Cause(err) != ErrRefused {
					t.Errorf("seed %d: %v", seed, err)
				}
				held := int64(0)
				for _, k := range Kinds() {
					held += a.Used(k)
				}
				if held < 0 || held > 2*testLimit {
					t.Errorf("seed %d: %d bytes are held", seed, held)
				}
				h.Release()
			}
		})
	}
	wait.Wait()
	for _, k := range Kinds() {
		if used := a.Used(k); used != 0 {
			t.Errorf("%d bytes of %v count as held at the end", used, k)
		}
	}
}
