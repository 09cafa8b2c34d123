package gatewayd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"anvilcross/anvilcrossd/settings"
	"anvilcross/anvilstandin/client"
	"anvilcross/anvilstandin/site"
	"anvilcross/anvilstandin/worker"
)

// workerLink is a daemon's link to the workers.
type workerLink struct {
	mutex   sync.Mutex
	workers map[string]bool
	refused bool
	open    []net.Conn
}

// dial opens a connection, unless it is one to a worker and these are refused.
func (l *workerLink) dial(ctx context.Context, network, address string) (net.Conn, error) {
	l.mutex.Lock()
	refused := l.refused && l.workers[address]
	l.mutex.Unlock()
	if refused {
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	n, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.workers[address] {
		l.open = append(l.open, n)
	}
	return n, nil
}

// refuse refuses new connections, or ends that.
func (l *workerLink) refuse(refused bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.refused = refused
}

// cut refuses new connections and closes the open ones.
func (l *workerLink) cut() {
	l.refuse(true)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, n := range l.open {
		_ = n.Close()
	}
	l.open = nil
}

// pathSite is a site with daemons in this process, each with a link to the workers.
type pathSite struct {
	t          *testing.T
	site       *site.Site
	links      []*workerLink
	addresses  []string
	httpClient *http.Client
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func newPathSite(t *testing.T, count int) *pathSite {
	t.Helper()
	workers := map[string]bool{}
	s, err := site.Start(site.Config{AdvertisedAddress: func(_, address string) (string, error) {
		workers[address] = true
		return address, nil
	}})
	if err != nil {
		t.Fatal(err)
	}
	p := &pathSite{t: t, site: s, httpClient: &http.Client{Timeout: 20 * time.Second}}
	t.Cleanup(func() { _ = s.Close() })
	var peers []string
	for range count {
		peers = append(peers, freeAddress(t))
	}
	for n := range count {
		callers, ready := freeAddress(t), freeAddress(t)
		text := fmt.Sprintf("[instance]\nseat = entry-%d\ndataCentre = zone-a\nseeds = %s\n[listen]\ncallers = %s\nready = %s\npeers = %s\nmetrics = %s\n[platform]\naddress = %s\n",
			n, strings.Join(peers, ","), callers, ready, peers[n], freeAddress(t), s.StoreAddress())
		parsed, err := settings.ParseGateway([]byte(text), nil)
		if err != nil {
			t.Fatal(err)
		}
		// Each daemon has its metrics for itself.
		prometheus.DefaultRegisterer = prometheus.NewRegistry()
		link := &workerLink{workers: workers}
		d, err := newDaemon(Config{Settings: parsed, DialEndpoint: link.dial})
		if err != nil {
			t.Fatal(err)
		}
		p.links, p.addresses = append(p.links, link), append(p.addresses, callers)
		go func() {
			if err := d.run(); err != nil {
				t.Log(err)
			}
		}()
		p.eventually("a daemon is ready", func() bool {
			response, err := http.Get("http://" + ready + "/api/ready")
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
	}
	p.eventually("the daemons know each other", func() bool { return p.problem(0, client.NewRequest("draft")) == "" })
	time.Sleep(time.Second)
	return p
}

func (p *pathSite) eventually(condition string, holds func() bool) {
	p.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	p.t.Fatalf("not in time: %s", condition)
}

func (p *pathSite) send(daemon int, r client.Request) client.Reply {
	return client.Send(context.Background(), p.httpClient, p.addresses[daemon], r)
}

// problem returns why the answer of a daemon is not whole, or "".
func (p *pathSite) problem(daemon int, r client.Request) string {
	return client.FindProblem(r, p.send(daemon, r))
}

// wantWhole sends requests of all routes to a daemon at a time and checks the answers, and
// that none runs twice.
func (p *pathSite) wantWhole(daemon, rounds int) {
	p.t.Helper()
	var sending sync.WaitGroup
	for range rounds {
		for _, route := range []string{"order", "lookup", "draft", "verse"} {
			sending.Go(func() {
				r := client.NewRequest(route)
				if problem := p.problem(daemon, r); problem != "" {
					p.t.Errorf("%s: %s", route, problem)
				}
				if runs := p.site.Recorder.WorkersThatRan(r.ID); len(runs) != 1 {
					p.t.Errorf("%s ran at %v", route, runs)
				}
			})
		}
		time.Sleep(10 * time.Millisecond)
	}
	sending.Wait()
}

func (p *pathSite) setModelFaults(f worker.Faults) {
	for _, m := range p.site.ModelWorkers {
		m.SetFaults(f)
	}
}

// A daemon without a path to the workers refuses its callers, or what comes through another
// daemon is not the worker's answer.
func TestCallersOfADaemonWithoutAPath(t *testing.T) {
	p := newPathSite(t, 3)
	p.wantWhole(0, 5)
	t.Run("a stream goes on", func(t *testing.T) {
		r := client.NewRequest("verse")
		r.EventCount = 300
		problem := make(chan string, 1)
		go func() { problem <- p.problem(0, r) }()
		time.Sleep(500 * time.Millisecond)
		p.links[0].cut()
		if text := <-problem; text != "" {
			t.Error(text)
		}
		if runs := p.site.Recorder.WorkersThatRan(r.ID); len(runs) != 2 {
			t.Errorf("ran at %v, want two runs", runs)
		}
	})
	t.Run("answers of all routes", func(t *testing.T) {
		p.t = t
		p.eventually("the loss is noticed", func() bool { return p.problem(0, client.NewRequest("lookup")) == "" })
		p.wantWhole(0, 10)
	})
	t.Run("an answer without a frame", func(t *testing.T) {
		p.setModelFaults(worker.Faults{CloseDelimited: true})
		defer p.setModelFaults(worker.Faults{})
		r := client.NewRequest("draft")
		if reply := p.send(0, r); reply.Framed || client.FindProblem(r, reply) != "" {
			t.Errorf("framed: %v, %s", reply.Framed, client.FindProblem(r, reply))
		}
	})
	t.Run("an answer that breaks off", func(t *testing.T) {
		p.setModelFaults(worker.Faults{CutAfterEvents: 3})
		defer p.setModelFaults(worker.Faults{})
		if reply := p.send(0, client.NewRequest("draft")); reply.Err == nil {
			t.Errorf("the answer looks complete: status %d, %d bytes", reply.Status, len(reply.Body))
		}
	})
	t.Run("a stream that ends inside an event", func(t *testing.T) {
		p.setModelFaults(worker.Faults{Truncation: worker.AfterLine, TruncateAfter: 3, TruncatesResumes: true})
		defer p.setModelFaults(worker.Faults{})
		for _, route := range []string{"draft", "verse"} {
			if reply := p.send(0, client.NewRequest(route)); reply.Err == nil {
				t.Errorf("%s looks complete: status %d, %d bytes", route, reply.Status, len(reply.Body))
			}
		}
	})
	t.Run("a refusal", func(t *testing.T) {
		for _, w := range p.site.PlainWorkers {
			w.SetFaults(worker.Faults{Full: true, Rest: "2.5"})
		}
		defer func() {
			for _, w := range p.site.PlainWorkers {
				w.SetFaults(worker.Faults{})
			}
		}()
		for range 5 {
			p.send(0, client.NewRequest("order"))
		}
		reply := p.send(0, client.NewRequest("order"))
		if reply.Status != http.StatusServiceUnavailable || reply.Header.Get("Retry-After") == "" || reply.Elapsed > time.Second {
			t.Errorf("got status %d, Retry-After %q after %v", reply.Status, reply.Header.Get("Retry-After"), reply.Elapsed)
		}
		for name := range reply.Header {
			if strings.HasPrefix(name, "Anvilcross-") {
				t.Errorf("the caller got the header %s", name)
			}
		}
	})
	t.Run("a caller that leaves", func(t *testing.T) {
		r := client.NewRequest("draft")
		r.EventCount = 2000
		ctx, leave := context.WithTimeout(context.Background(), time.Second)
		defer leave()
		client.Send(ctx, p.httpClient, p.addresses[0], r)
		time.Sleep(500 * time.Millisecond)
		runs := p.site.Recorder.Records()[r.ID].Runs
		if len(runs) != 1 || runs[0].End.IsZero() {
			t.Errorf("runs: %+v, want one that has ended", runs)
		}
	})
	t.Run("only new connections are refused", func(t *testing.T) {
		p.t = t
		p.links[0].refuse(false)
		p.eventually("the path is back", func() bool { return p.problem(0, client.NewRequest("draft")) == "" })
		time.Sleep(time.Second)
		p.wantWhole(0, 5)
		p.links[0].refuse(true)
		p.wantWhole(0, 20)
	})
	t.Run("no daemon has a path", func(t *testing.T) {
		for _, link := range p.links {
			link.cut()
		}
		time.Sleep(time.Second)
		reply := p.send(0, client.NewRequest("order"))
		if reply.Status != http.StatusServiceUnavailable || reply.Elapsed > time.Second {
			t.Errorf("got status %d after %v", reply.Status, reply.Elapsed)
		}
	})
	t.Run("the paths are back", func(t *testing.T) {
		p.t = t
		for _, link := range p.links {
			link.refuse(false)
		}
		p.eventually("served again", func() bool { return p.problem(0, client.NewRequest("draft")) == "" })
		time.Sleep(2 * time.Second)
		p.wantWhole(0, 5)
	})
	if problems := p.site.Recorder.Problems(); len(problems) > 0 {
		t.Errorf("the workers reported:\n%s", strings.Join(problems, "\n"))
	}
}
