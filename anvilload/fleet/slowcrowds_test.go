package fleet

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// The crowds that a daemon on one processor meets, and its descriptors. They were fixed before the
// product changed.
const (
	slowCrowdSize        = 600
	slowCrowdDescriptors = 1500
	maxSlowCrowdOpen     = 1400
)

func startSlowDaemon(t *testing.T) *limitedDaemon {
	t.Helper()
	return startDaemonWithin(t, crowdLimits{size: slowCrowdSize, descriptors: slowCrowdDescriptors, maxOpen: maxSlowCrowdOpen, oneProcessor: true})
}

// wantWithinMemory checks that what the process has taken and what callers have sent without being
// read fit into the machine's memory together.
func (l *limitedDaemon) wantWithinMemory() {
	l.t.Helper()
	if sum := l.mostResidentBytes() + l.mostUnreadBytes; sum > crowdMemoryMegabytes<<20 {
		l.t.Errorf("the process and the unread bytes in its sockets took %d MiB, want %d at most", sum>>20, crowdMemoryMegabytes)
	}
}

// Many bodies in chunks of one byte at once, most of which stop short of their end, take the memory
// of a process whose readers wait long for its one processor.
func TestCrowdsOfOneByteChunksOnOneProcessor(t *testing.T) {
	body := bytes.Repeat([]byte("1\r\nx\r\n"), crowdBodyBytes)
	l := startSlowDaemon(t)
	l.runCrowd(func(n net.Conn, i int) {
		_, _ = io.WriteString(n, crowdHead("Transfer-Encoding: chunked\r\n"))
		writePieces(n, body, 64<<10, 0)
		if i%wholeShare == 0 {
			_, _ = io.WriteString(n, "0\r\n\r\n")
		}
	})
	l.wantWithinMemory()
}

// Many bodies that stop short of their end take the memory of the machine while they lie unread in
// the process's sockets.
func TestCrowdsOfUnreadBodiesOnOneProcessor(t *testing.T) {
	body := bytes.Repeat([]byte("x"), crowdBodyBytes-1)
	l := startSlowDaemon(t)
	l.runCrowd(func(n net.Conn, _ int) {
		_, _ = io.WriteString(n, crowdHead(fmt.Sprintf("Content-Length: %d\r\n", crowdBodyBytes)))
		writePieces(n, body, 64<<10, 0)
	})
	l.wantWithinMemory()
}

// Many callers that send requests without an end and read no answer take the memory of the process
// and of the machine's sockets.
func TestCrowdsThatReadNoAnswerOnOneProcessor(t *testing.T) {
	l := startSlowDaemon(t)
	requests := []byte(strings.Repeat(crowdHead("Content-Length: 0\r\n"), 100))
	l.runCrowd(func(n net.Conn, _ int) {
		for range 40 {
			if _, err := n.Write(requests); err != nil {
				return
			}
		}
	})
	l.wantWithinMemory()
}

// Many whole bodies of legal size at once, of callers that stay, take the memory of the process.
func TestCrowdsOfWholeBodiesOnOneProcessor(t *testing.T) {
	body := strings.Repeat("x", crowdBodyBytes)
	l := startSlowDaemon(t)
	l.runCrowd(func(n net.Conn, _ int) {
		_, _ = io.WriteString(n, crowdHead("Expect: 100-continue\r\nContent-Length: 1048576\r\n"))
		writePieces(n, []byte(body), 64<<10, 0)
	})
	l.wantWithinMemory()
}
