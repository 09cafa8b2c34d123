package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// linkState is the state of the link that a proxy emulates.
type linkState int

const (
	// linkUp forwards bytes at once.
	linkUp linkState = iota
	// linkDelayed forwards them after linkDelay.
	linkDelayed
	// linkRepliesBlocked holds back what the server sends until the state
	// changes.
	linkRepliesBlocked
	// linkBlocked holds back all bytes until the state changes; connections
	// stay open.
	linkBlocked
	// linkReset resets open and new connections.
	linkReset
)

// linkDelay is the one-way delay of a link in state linkDelayed.
const linkDelay = 60 * time.Millisecond

// proxy forwards TCP connections to a target address over an emulated link whose
// state can be changed.
type proxy struct {
	target          string
	listener        net.Listener
	mutex           sync.Mutex
	state           linkState
	openConnections map[net.Conn]struct{}
}

// newProxy starts a proxy on a free port of the loopback address.
func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	p := &proxy{target: target, listener: l, openConnections: map[net.Conn]struct{}{}}
	go p.acceptLoop()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) acceptLoop() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// setState changes the state of the link. linkReset also resets the connections
// that are open.
func (p *proxy) setState(s linkState) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.state = s
	if s != linkReset {
		return
	}
	for c := range p.openConnections {
		resetConnection(c)
	}
	clear(p.openConnections)
}

func (p *proxy) currentState() linkState {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.state
}

// resetConnection closes a connection so that its peer receives a TCP reset.
func resetConnection(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// serve connects a caller to the target and forwards bytes in both directions.
func (p *proxy) serve(caller net.Conn) {
	if p.currentState() == linkReset {
		resetConnection(caller)
		return
	}
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		resetConnection(caller)
		return
	}
	p.mutex.Lock()
	p.openConnections[caller], p.openConnections[server] = struct{}{}, struct{}{}
	p.mutex.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { p.forward(server, caller, linkBlocked) })
	wait.Go(func() { p.forward(caller, server, linkBlocked, linkRepliesBlocked) })
	wait.Wait()
	p.mutex.Lock()
	delete(p.openConnections, caller)
	delete(p.openConnections, server)
	p.mutex.Unlock()
	_ = caller.Close()
	_ = server.Close()
}

// forward copies bytes until one side closes. While the link is in one of the
// blocking states, bytes are held back; they are delivered once it works
// again, as TCP does after an outage.
func (p *proxy) forward(to, from net.Conn, blocking ...linkState) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.waitForLink(blocking)
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err != nil {
			if err != io.EOF {
				resetConnection(to)
			}
			break
		}
	}
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// waitForLink waits while the link is in one of the blocking states, or for
// linkDelay if it is delayed.
func (p *proxy) waitForLink(blocking []linkState) {
	const pollInterval = 10 * time.Millisecond
	for {
		s := p.currentState()
		if s == linkDelayed {
			time.Sleep(linkDelay)
			return
		}
		blocked := false
		for _, c := range blocking {
			blocked = blocked || s == c
		}
		if !blocked {
			return
		}
		time.Sleep(pollInterval)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setState(linkReset)
}
