package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

func init() { cases["descriptors"] = runDescriptors }

// maxDescriptors is max-fds of the small deployments.
const maxDescriptors = 4100

// limitDescriptors sets the limit of the daemon's process, as the platform does.
func (d *daemon) limitDescriptors() error {
	limit := syscall.Rlimit{Cur: maxDescriptors, Max: maxDescriptors}
	_, _, code := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(d.command.Process.Pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if code != 0 {
		return code
	}
	return nil
}

func (d *daemon) descriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.command.Process.Pid))
	if err != nil {
		return -1
	}
	return len(list)
}

// keptClient sends one stream after the other on a connection that it keeps.
func (b *bench) keptClient(d *daemon, n int, stop chan struct{}, whole, failed *atomic.Int64) {
	var connection net.Conn
	var reader *bufio.Reader
	for {
		select {
		case <-stop:
			if connection != nil {
				_ = connection.Close()
			}
			return
		default:
		}
		if connection == nil {
			var err error
			if connection, err = net.DialTimeout("tcp4", d.front, time.Second); err != nil {
				connection = nil
				time.Sleep(500 * time.Millisecond)
				continue
			}
			reader = bufio.NewReader(connection)
		}
		_ = connection.SetDeadline(time.Now().Add(15 * time.Second))
		id := newID()
		b.record.add("client %s sends to %s on a kept connection", id, d.name)
		_, err := fmt.Fprintf(connection, "POST /draft/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nModel: m\r\nToken-Count: 1460,10\r\nPrompt-Prefix: 5c1e%04x:500,%s:100\r\nDeadline-Ms: 15000\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", host, id, n, id, apiKey)
		var response *http.Response
		if err == nil {
			response, err = http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
		}
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		status := 0
		if response != nil {
			status = response.StatusCode
		}
		b.record.add("client %s: status %d, error %v", id, status, err)
		switch {
		case err == nil && response.StatusCode == http.StatusOK:
			whole.Add(1)
		default:
			failed.Add(1)
			time.Sleep(500 * time.Millisecond)
		}
		if err != nil || response.Close {
			_ = connection.Close()
			connection = nil
		}
	}
}

// newClient opens a connection, sends a request and reports whether the daemon sent anything
// within a second.
func newClient(d *daemon) bool {
	connection, err := net.DialTimeout("tcp4", d.front, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(time.Second))
	// The route does not exist: the daemon answers at once.
	if _, err := fmt.Fprintf(connection, "GET /none/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer %s\r\n\r\n", host, newID(), apiKey); err != nil {
		return false
	}
	_, err = connection.Read(make([]byte, 1))
	return err == nil
}

// runDescriptors: the workers of a service are replaced one after the other, again and again.
func runDescriptors(b *bench) (bool, error) {
	const alive, keptClients, newClients = 8, 300, 10
	const gap, length = 700 * time.Millisecond, 95 * time.Second
	b.publish(streamRoute("/draft/", false, 1))
	var count atomic.Int64
	startWorker := func() *worker {
		n := count.Add(1)
		w := &worker{id: fmt.Sprintf("i-%03d", n), service: "kowadlo", zone: []string{"dolny-a", "dolny-b"}[n%2], version: "n1", slots: 128, eventInterval: 100 * time.Millisecond, record: b.record, store: b.store}
		if err := w.start(); err != nil {
			b.record.add("worker %s does not start: %v", w.id, err)
		}
		return w
	}
	var live []*worker
	for range alive {
		live = append(live, startWorker())
	}
	if err := b.startDaemons("dolny-a", "dolny-b"); err != nil {
		return false, err
	}
	for _, d := range b.daemons {
		if err := d.limitDescriptors(); err != nil {
			return false, err
		}
	}
	d := b.daemons[0]
	stop := make(chan struct{})
	var group sync.WaitGroup
	var whole, failed atomic.Int64
	for n := range keptClients {
		group.Go(func() { b.keptClient(d, n, stop, &whole, &failed) })
	}
	// lastServed is when a new connection was last served, lastReady when the daemon last said
	// on the platform's own connection that it is ready.
	start := time.Now()
	var lastServed, longest atomic.Int64
	lastServed.Store(time.Now().UnixMilli())
	for n := range newClients {
		group.Go(func() {
			time.Sleep(time.Duration(n) * 100 * time.Millisecond)
			for {
				select {
				case <-stop:
					return
				case <-time.After(500 * time.Millisecond):
				}
				served := newClient(d)
				b.record.add("new client %d at %s: served %v", n, d.name, served)
				if served {
					lastServed.Store(time.Now().UnixMilli())
				}
			}
		})
	}
	if b.trouble {
		group.Go(func() { b.replaceWorkers(live, startWorker, gap, length-8*time.Second) })
	}
	platform := &http.Client{Timeout: time.Second}
	readySince := time.Now()
	for round := 0; time.Since(start) < length; round++ {
		response, err := platform.Get("http://" + d.ready + "/api/ready")
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		if !ready {
			readySince = time.Now()
		}
		silent := min(time.Now().UnixMilli()-lastServed.Load(), time.Since(readySince).Milliseconds())
		longest.Store(max(longest.Load(), silent))
		b.record.add("ready %v, %d descriptors, no new connection served for %d ms; %d streams whole, %d failed, %d workers so far", ready, d.descriptors(), time.Now().UnixMilli()-lastServed.Load(), whole.Load(), failed.Load(), count.Load())
		time.Sleep(time.Second)
	}
	close(stop)
	group.Wait()
	b.record.add("while the daemon said that it is ready, no new connection was served for %d ms at a time, of 10 clients that tried; 3000 are allowed", longest.Load())
	return longest.Load() <= 3000, nil
}

// replaceWorkers replaces the workers one after the other: the new one starts first, then the
// old one drains and ends.
func (b *bench) replaceWorkers(live []*worker, startWorker func() *worker, gap, length time.Duration) {
	for start := time.Now(); time.Since(start) < length; time.Sleep(gap) {
		live = append(live, startWorker())
		old := live[0]
		live = live[1:]
		time.AfterFunc(600*time.Millisecond, old.drain)
		time.AfterFunc(3500*time.Millisecond, func() {
			old.crash()
			b.store.remove("servers/" + old.id)
		})
	}
}
