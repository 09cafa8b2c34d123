package socket

import (
	"net"
	"testing"
	"time"
)

// connect returns both ends of a connection to a listener.
func connect(t *testing.T, l net.Listener) (caller, accepted net.Conn) {
	t.Helper()
	caller, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close() })
	accepted, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return caller, accepted
}

func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.(*net.TCPListener)
}

func wantInput(t *testing.T, n net.Conn, want Input) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); InputOf(n) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("got %v, want %v", InputOf(n), want)
		}
	}
}

// Input that has arrived is not seen, or is taken away by looking.
func TestInput(t *testing.T) {
	caller, accepted := connect(t, listen(t))
	wantInput(t, accepted, None)
	if _, err := caller.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	wantInput(t, accepted, Unread)
	wantInput(t, accepted, Unread)
	if n, err := accepted.Read(make([]byte, 2)); n != 1 || err != nil {
		t.Fatalf("read %d bytes and %v", n, err)
	}
	wantInput(t, accepted, None)
	read := make(chan error, 1)
	go func() {
		_, err := accepted.Read(make([]byte, 1))
		read <- err
	}()
	wantInput(t, accepted, None)
	_ = caller.Close()
	if <-read == nil {
		t.Fatal("something was read")
	}
	wantInput(t, accepted, Ended)
}

// Connections that wait to be accepted are not counted.
func TestBacklog(t *testing.T) {
	l := listen(t)
	want := func(want int) {
		t.Helper()
		got, err := Backlog(l)
		for deadline := time.Now().Add(5 * time.Second); got != want && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			got, err = Backlog(l)
		}
		if got != want || err != nil {
			t.Fatalf("got %d and %v, want %d", got, err, want)
		}
	}
	want(0)
	for range 3 {
		c, err := net.Dial("tcp4", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	want(3)
	if c, err := l.Accept(); err == nil {
		defer func() { _ = c.Close() }()
	}
	want(2)
}
