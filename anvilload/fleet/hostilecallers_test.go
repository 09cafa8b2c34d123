package fleet

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"anvilcross/anvilstandin/client"
	"anvilcross/anvilstandin/site"
)

// The crowds of hostile callers and the bounds on the process. They were fixed before the
// product limited what callers take, and hold for all crowds of this file.
const (
	// crowdSize is the number of connections of a crowd. One caller in wholeShare sends its
	// whole body, the others stop one byte short of its end and stay open.
	crowdSize  = 240
	wholeShare = 8
	// crowdBodyBytes is the size of a body, which is also max-body-bytes of the site.
	crowdBodyBytes = 1 << 20
	// crowdMemoryMegabytes is the memory that the settings give the process, and
	// maxResidentBytes what it may take.
	crowdMemoryMegabytes = 96
	maxResidentBytes     = crowdMemoryMegabytes << 20
	// crowdDescriptors is the process's limit of descriptors, and maxOpenDescriptors how many
	// of them callers may bring it to: the others are left for endpoints, the store and other
	// instances.
	crowdDescriptors   = 200
	maxOpenDescriptors = 190
	// crowdWriteTimeout ends the sending of a caller whose bytes nobody reads.
	crowdWriteTimeout = 15 * time.Second
	// ordinaryTimeout ends the wait for the answer to an ordinary request.
	ordinaryTimeout = 90 * time.Second
)

// crowdLimits are the limits of a daemon, and the crowd that it meets.
type crowdLimits struct {
	// size is the number of callers.
	size int
	// descriptors is the daemon's limit of them, and maxOpen how many of them may be open.
	descriptors, maxOpen int
	// oneProcessor lets the daemon run on one processor at a time.
	oneProcessor bool
}

// limitedDaemon is a daemon with lowered limits in front of a site.
type limitedDaemon struct {
	*testFleet
	daemon *Daemon
	limits crowdLimits
	// mostDescriptors is the largest number of open descriptors that was seen. It is read
	// after stopSampling.
	mostDescriptors int
	// mostUnreadBytes is the largest sum of the receive queues of the callers' connections that
	// was seen, those that the daemon has not accepted included.
	mostUnreadBytes int
	sampling        sync.WaitGroup
	endSampling     chan struct{}
}

// startLimitedDaemon starts one daemon with the memory and the descriptors of these tests.
func startLimitedDaemon(t *testing.T) *limitedDaemon {
	t.Helper()
	return startDaemonWithin(t, crowdLimits{size: crowdSize, descriptors: crowdDescriptors, maxOpen: maxOpenDescriptors})
}

// startDaemonWithin does the same with other limits.
func startDaemonWithin(t *testing.T, c crowdLimits) *limitedDaemon {
	t.Helper()
	if c.oneProcessor {
		t.Setenv("GOMAXPROCS", "1")
	}
	s, err := site.Start(site.Config{})
	if err != nil {
		t.Fatal(err)
	}
	s.PublishConfiguration(2, func(c map[string]any) {
		c["limits"].(map[string]any)["max-body-bytes"] = crowdBodyBytes
	})
	f, err := Start(Config{Binary: binary, Directory: t.TempDir(), Count: 1, Site: s, Settings: fmt.Sprintf("[limits]\nmemoryMegabytes = %d\n", crowdMemoryMegabytes)})
	if err != nil {
		t.Fatal(err)
	}
	l := &limitedDaemon{
		testFleet:   &testFleet{t: t, site: s, fleet: f, httpClient: &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}},
		daemon:      f.Daemons[0],
		limits:      c,
		endSampling: make(chan struct{}),
	}
	t.Cleanup(func() {
		f.Stop()
		_ = s.Close()
		if t.Failed() {
			l.printLogTails()
		}
	})
	limit := syscall.Rlimit{Cur: uint64(c.descriptors), Max: uint64(c.descriptors)}
	if _, _, code := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(l.pid()), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0); code != 0 {
		t.Fatal(code)
	}
	// The daemon reads its limit once a second.
	time.Sleep(1500 * time.Millisecond)
	l.wantOrdinaryAnswer()
	l.sampling.Go(l.sampleProcess)
	return l
}

func (l *limitedDaemon) pid() int { return l.daemon.command.Process.Pid }

func (l *limitedDaemon) sampleProcess() {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		if names, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(l.pid()), "fd")); err == nil {
			l.mostDescriptors = max(l.mostDescriptors, len(names))
		}
		l.mostUnreadBytes = max(l.mostUnreadBytes, unreadBytes(l.daemon.CallerAddress))
		select {
		case <-l.endSampling:
			return
		case <-ticker.C:
		}
	}
}

// unreadBytes returns the sum of the receive queues of the connections at a local address.
func unreadBytes(address string) int {
	const listening = "0A"
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return 0
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return 0
	}
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	sum := 0
	for line := range strings.Lines(string(text)) {
		// The fields are: number, local and remote address, state, both queues.
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", number)) || fields[3] == listening {
			continue
		}
		if _, queue, found := strings.Cut(fields[4], ":"); found {
			if bytes, err := strconv.ParseInt(queue, 16, 64); err == nil {
				sum += int(bytes)
			}
		}
	}
	return sum
}

// mostResidentBytes returns the largest resident memory that the process has had.
func (l *limitedDaemon) mostResidentBytes() int {
	l.t.Helper()
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(l.pid()), "status"))
	if err != nil {
		l.t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.Atoi(fields[1])
			if err != nil {
				l.t.Fatal(err)
			}
			return kilobytes << 10
		}
	}
	l.t.Fatalf("no VmHWM in %q", text)
	return 0
}

// wantOrdinaryAnswer fails the test unless a caller that sends an ordinary request, and sends it
// again when it is refused, gets a whole answer.
func (l *limitedDaemon) wantOrdinaryAnswer() {
	l.t.Helper()
	problem := ""
	for deadline := time.Now().Add(ordinaryTimeout); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		request := client.NewRequest("order")
		if problem = client.FindProblem(request, client.Send(context.Background(), l.httpClient, l.daemon.CallerAddress, request)); problem == "" {
			return
		}
	}
	l.t.Fatalf("an ordinary request got no answer: %s", problem)
}

// runCrowd lets a crowd of callers send at once, each on a connection of its own. It then checks
// that the process lives, answers an ordinary request while the crowd is still connected, and
// stays within its bounds.
func (l *limitedDaemon) runCrowd(send func(c net.Conn, n int)) {
	l.t.Helper()
	l.runCrowdAt(l.daemon.CallerAddress, send)
}

// runCrowdAt does the same at any address of the daemon.
func (l *limitedDaemon) runCrowdAt(address string, send func(c net.Conn, n int)) {
	l.t.Helper()
	var mutex sync.Mutex
	var open []net.Conn
	var sending sync.WaitGroup
	for n := range l.limits.size {
		sending.Go(func() {
			c, err := net.DialTimeout("tcp4", address, crowdWriteTimeout)
			if err != nil {
				return
			}
			mutex.Lock()
			open = append(open, c)
			mutex.Unlock()
			_ = c.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
			send(c, n)
		})
	}
	sending.Wait()
	defer func() {
		for _, c := range open {
			_ = c.Close()
		}
	}()
	select {
	case err := <-l.daemon.exited:
		l.daemon.exited <- err
		l.t.Fatalf("the process has ended: %v", err)
	default:
	}
	l.wantOrdinaryAnswer()
	close(l.endSampling)
	l.sampling.Wait()
	resident := l.mostResidentBytes()
	l.t.Logf("%d MiB resident at most (bound %d), %d descriptors at most (bound %d), %d MiB unread in sockets at most", resident>>20, maxResidentBytes>>20, l.mostDescriptors, l.limits.maxOpen, l.mostUnreadBytes>>20)
	if resident > maxResidentBytes {
		l.t.Errorf("the process took %d MiB, want %d at most", resident>>20, maxResidentBytes>>20)
	}
	if l.mostDescriptors > l.limits.maxOpen {
		l.t.Errorf("the process had %d open descriptors, want %d at most", l.mostDescriptors, l.limits.maxOpen)
	}
}

// crowdHead is the head of a request of a crowd, with the fields that frame its body.
func crowdHead(framing string) string {
	request := client.NewRequest("order")
	return fmt.Sprintf("POST /order/x HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nRequest-Id: %s\r\n%s\r\n", site.Host, site.APIKey, request.ID, framing)
}

// writePieces writes bytes in pieces of a size with a pause after each.
func writePieces(c net.Conn, text []byte, size int, pause time.Duration) {
	for len(text) > 0 {
		n, err := c.Write(text[:min(size, len(text))])
		if err != nil {
			return
		}
		text = text[n:]
		time.Sleep(pause)
	}
}

// Many bodies of legal size at once, most of which stop short of their end, take the memory of
// the process.
func TestCrowdsOfLargeBodies(t *testing.T) {
	body := bytes.Repeat([]byte("x"), crowdBodyBytes)
	for _, c := range []struct {
		name  string
		piece int
		pause time.Duration
	}{{"whole", crowdBodyBytes, 0}, {"piece by piece", 16 << 10, 10 * time.Millisecond}} {
		t.Run(c.name, func(t *testing.T) {
			startLimitedDaemon(t).runCrowd(func(n net.Conn, i int) {
				_, _ = io.WriteString(n, crowdHead(fmt.Sprintf("Content-Length: %d\r\n", len(body))))
				sent := body
				if i%wholeShare != 0 {
					sent = body[:len(body)-1]
				}
				writePieces(n, sent, c.piece, c.pause)
			})
		})
	}
}

// Many bodies of legal size in chunks at once, most of which stop short of their end, take the
// memory of the process.
func TestCrowdsOfChunkedBodies(t *testing.T) {
	for _, c := range []struct {
		name  string
		chunk int
	}{{"large chunks", 64 << 10}, {"very small chunks", 8}} {
		t.Run(c.name, func(t *testing.T) {
			chunk := fmt.Sprintf("%x\r\n%s\r\n", c.chunk, strings.Repeat("x", c.chunk))
			body := bytes.Repeat([]byte(chunk), crowdBodyBytes/c.chunk)
			startLimitedDaemon(t).runCrowd(func(n net.Conn, i int) {
				_, _ = io.WriteString(n, crowdHead("Transfer-Encoding: chunked\r\n"))
				writePieces(n, body, 64<<10, 0)
				if i%wholeShare == 0 {
					_, _ = io.WriteString(n, "0\r\n\r\n")
				}
			})
		})
	}
}

// Many bodies far over the limit at once, whether their length is announced or not, take the
// memory of the process.
func TestCrowdsOfBodiesOverTheLimit(t *testing.T) {
	const sentBytes = 16 * crowdBodyBytes
	piece := bytes.Repeat([]byte("x"), 64<<10)
	for _, c := range []struct{ name, framing, before, after string }{
		{"announced", fmt.Sprintf("Content-Length: %d\r\n", 64*crowdBodyBytes), "", ""},
		{"just sent", "Transfer-Encoding: chunked\r\n", "10000\r\n", "\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			block := []byte(c.before + string(piece) + c.after)
			startLimitedDaemon(t).runCrowd(func(n net.Conn, _ int) {
				_, err := io.WriteString(n, crowdHead(c.framing))
				for sent := 0; err == nil && sent < sentBytes; sent += len(piece) {
					_, err = n.Write(block)
				}
			})
		})
	}
}

// Many connections that send nothing, the beginning of a head, or a head far over the limit that
// stops short of what the server reads take the descriptors and the memory of the process.
func TestCrowdsWithoutARequest(t *testing.T) {
	field := "Name: " + strings.Repeat("x", 1000) + "\r\n"
	head := []byte("POST /order/x HTTP/1.1\r\nHost: h\r\n" + strings.Repeat(field, crowdBodyBytes*7/8/len(field)))
	for name, send := range map[string]func(net.Conn){
		"nothing":               func(net.Conn) {},
		"the beginning of one":  func(n net.Conn) { _, _ = io.WriteString(n, "POST /order/x HTTP/1.1\r\nHo") },
		"a head without an end": func(n net.Conn) { writePieces(n, head, 64<<10, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			startLimitedDaemon(t).runCrowd(func(n net.Conn, _ int) { send(n) })
		})
	}
}

// A single request inside the published limits is refused on the smallest machine.
func TestLargestRequestsOnTheSmallestMachine(t *testing.T) {
	const memoryMegabytes, bodyBytes = 144, 4 << 20
	s, err := site.Start(site.Config{})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	s.PublishConfiguration(2, func(c map[string]any) { c["limits"].(map[string]any)["max-body-bytes"] = bodyBytes })
	f, err := Start(Config{Binary: binary, Directory: t.TempDir(), Count: 1, Site: s, Settings: fmt.Sprintf("[limits]\nmemoryMegabytes = %d\n", memoryMegabytes)})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Stop()
	body := strings.Repeat("x", bodyBytes)
	padding := "Padding: " + strings.Repeat("x", 15<<10) + "\r\n"
	for name, request := range map[string]string{
		"a length":               fmt.Sprintf("Content-Length: %d\r\n\r\n%s", bodyBytes, body),
		"chunks":                 fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", bodyBytes, body),
		"a large head":           padding + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", bodyBytes, body),
		"Expect: 100-continue":   fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, body),
		"a trailer":              "Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\n1\r\nx\r\n0\r\nT: v\r\n\r\n",
		"a chunk with extension": "Transfer-Encoding: chunked\r\n\r\n1;name=value\r\nx\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp4", f.Daemons[0].CallerAddress)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(30 * time.Second))
			head := strings.TrimSuffix(crowdHead(""), "\r\n")
			if _, err := io.WriteString(c, head+request); err != nil {
				t.Fatal(err)
			}
			reader := bufio.NewReader(c)
			response, err := http.ReadResponse(reader, nil)
			for err == nil && response.StatusCode == http.StatusContinue {
				response, err = http.ReadResponse(reader, nil)
			}
			if err != nil || response.StatusCode != http.StatusOK {
				t.Fatalf("got %v and %v, want status 200", response, err)
			}
			_ = response.Body.Close()
		})
	}
}

// What callers send beside heads and bodies of the usual form holds a connection for good, takes
// memory without a limit, or ends the process.
func TestOddRequestsAreEnded(t *testing.T) {
	l := startLimitedDaemon(t)
	chunked := crowdHead("Transfer-Encoding: chunked\r\n")
	for name, c := range map[string]struct{ beginning, piece string }{
		"trailers without an end":                  {chunked + "1\r\nx\r\n0\r\n", "Name: value\r\n"},
		"a chunk extension without an end":         {chunked + "1;", "x"},
		"a chunk size without an end":              {chunked, "0"},
		"a head without an end":                    {"POST /order/x HTTP/1.1\r\nHost: h\r\n", "Name: value\r\n"},
		"a body over the limit that waits for 100": {crowdHead("Expect: 100-continue\r\nContent-Length: 99999999\r\n"), ""},
		"a large body on a method without one":     {strings.Replace(crowdHead("Content-Length: 99999999\r\n"), "POST /order", "GET /lookup", 1), "x"},
		"a large head and a body that stops":       {crowdHead("Padding: " + strings.Repeat("x", 18<<10) + "\r\nContent-Length: 1000\r\n"), ""},
		"requests without an end and no reading":   {"", crowdHead("Content-Length: 0\r\n")},
	} {
		t.Run(name, func(t *testing.T) {
			n, err := net.Dial("tcp4", l.daemon.CallerAddress)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = n.Close() }()
			_ = n.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
			_, err = io.WriteString(n, c.beginning)
			for sent := 0; err == nil && c.piece != "" && sent < 4<<20; sent += len(c.piece) {
				_, err = io.WriteString(n, c.piece)
			}
			// The answer, or what is left of it after a reset, has an end.
			_ = n.SetReadDeadline(time.Now().Add(ordinaryTimeout))
			if name != "requests without an end and no reading" {
				if _, err := io.Copy(io.Discard, n); err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("the connection is open after %v", ordinaryTimeout)
				}
			}
		})
	}
	l.wantOrdinaryAnswer()
	close(l.endSampling)
	l.sampling.Wait()
	if resident := l.mostResidentBytes(); resident > maxResidentBytes {
		t.Errorf("the process took %d MiB", resident>>20)
	}
}

// Crowds at the addresses for other instances, readiness and metrics take the memory and the
// descriptors that callers no longer can.
func TestCrowdsAtOtherAddresses(t *testing.T) {
	const bodyBytes = 4 << 20
	body := bytes.Repeat([]byte(" "), bodyBytes-1)
	head := "Host: h\r\n" + strings.Repeat("Name: "+strings.Repeat("x", 1000)+"\r\n", 900)
	forwarded := crowdHead(fmt.Sprintf("Anvilcross-Forwarding: {\"by\":\"entry-7\"}\r\nContent-Length: %d\r\n", crowdBodyBytes))
	for _, c := range []struct {
		name    string
		address func(*Daemon) string
		text    []byte
	}{
		{"messages that stop", func(d *Daemon) string { return d.PeerAddress }, append([]byte(fmt.Sprintf("POST /peer HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", bodyBytes)), body...)},
		{"forwarded requests that stop", func(d *Daemon) string { return d.PeerAddress }, append([]byte(forwarded), body[:crowdBodyBytes-1]...)},
		{"heads to other instances", func(d *Daemon) string { return d.PeerAddress }, []byte("POST /peer HTTP/1.1\r\n" + head)},
		{"heads to the metrics", func(d *Daemon) string { return d.MetricsAddress }, []byte("GET /metrics HTTP/1.1\r\n" + head)},
		{"bodies to the readiness check", func(d *Daemon) string { return d.ReadyAddress }, append([]byte(fmt.Sprintf("POST /ready HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", bodyBytes)), body...)},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := startLimitedDaemon(t)
			l.runCrowdAt(c.address(l.daemon), func(n net.Conn, _ int) { writePieces(n, c.text, 64<<10, 0) })
		})
	}
}
