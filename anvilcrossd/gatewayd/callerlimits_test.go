package gatewayd

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// acceptOne returns both ends of a connection of a listener with a short write timeout.
func acceptOne(t *testing.T) (*callerConnection, net.Conn) {
	t.Helper()
	tcp, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = tcp.Close() })
	listener := newCallerListener(tcp.(*net.TCPListener), func(net.Conn) *headMemory { return nil })
	listener.writeTimeout = 100 * time.Millisecond
	caller, err := net.Dial("tcp4", tcp.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return accepted.(*callerConnection), caller
}

// A caller that reads nothing of its answer keeps its connection and its request for good.
func TestCallersThatReadNothingAreLeft(t *testing.T) {
	for name, write := range map[string]func(*callerConnection, string) error{
		"Write": func(c *callerConnection, text string) error {
			_, err := c.Write([]byte(text))
			return err
		},
		"ReadFrom": func(c *callerConnection, text string) error {
			_, err := c.ReadFrom(strings.NewReader(text))
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := acceptOne(t)
			ended := make(chan error, 1)
			go func() { ended <- write(c, strings.Repeat("x", 64<<20)) }()
			select {
			case err := <-ended:
				if err == nil {
					t.Fatal("64 MiB were written to a caller that reads nothing")
				}
			case <-time.After(20 * time.Second):
				t.Fatal("the write goes on")
			}
		})
	}
}

// A caller that reads slowly, for longer than the timeout, is taken for one that reads nothing.
func TestCallersThatReadSlowlyAreServed(t *testing.T) {
	const size = 4 << 20
	c, caller := acceptOne(t)
	c.writeTimeout = time.Second
	ended := make(chan error, 1)
	go func() {
		_, err := c.Write([]byte(strings.Repeat("x", size)))
		_ = c.Close()
		ended <- err
	}()
	started, read := time.Now(), 0
	buffer := make([]byte, 64<<10)
	for {
		n, err := caller.Read(buffer)
		if read += n; err == io.EOF {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(25 * time.Millisecond)
	}
	if err := <-ended; err != nil || read != size {
		t.Fatalf("%d of %d bytes and %v after %v", read, size, err, time.Since(started))
	}
	t.Logf("read in %v", time.Since(started))
}
