package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// linkState is what a proxy does with the bytes of its connections.
type linkState int

const (
	// linkClear passes bytes on at once.
	linkClear linkState = iota
	// linkDelayed passes them on after delayOfLink.
	linkDelayed
	// linkOneWay drops what the server sends.
	linkOneWay
	// linkSilent drops everything; connections stay open.
	linkSilent
	// linkReset resets connections, also new ones.
	linkReset
)

// delayOfLink is the one-way delay of a delayed link.
const delayOfLink = 60 * time.Millisecond

// proxy passes the connections to one address on, over a link whose state can
// be changed.
type proxy struct {
	target   string
	listener net.Listener
	mutex    sync.Mutex
	state    linkState
	open     map[net.Conn]struct{}
}

// newProxy listens on a free port of the loopback address.
func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	p := &proxy{target: target, listener: l, open: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// set changes the link. A reset link ends the connections that are open.
func (p *proxy) set(s linkState) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.state = s
	if s != linkReset {
		return
	}
	for c := range p.open {
		reset(c)
	}
	clear(p.open)
}

func (p *proxy) current() linkState {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.state
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) serve(caller net.Conn) {
	if p.current() == linkReset {
		reset(caller)
		return
	}
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		reset(caller)
		return
	}
	p.mutex.Lock()
	p.open[caller], p.open[server] = struct{}{}, struct{}{}
	p.mutex.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { p.carry(server, caller, linkSilent) })
	wait.Go(func() { p.carry(caller, server, linkSilent, linkOneWay) })
	wait.Wait()
	p.mutex.Lock()
	delete(p.open, caller)
	delete(p.open, server)
	p.mutex.Unlock()
	_ = caller.Close()
	_ = server.Close()
}

// carry passes bytes on until an end closes. In the given states they are held
// back, as on a link that is cut: they arrive if it heals.
func (p *proxy) carry(to, from net.Conn, cut ...linkState) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.hold(cut)
			if _, failure := to.Write(buffer[:n]); failure != nil {
				break
			}
		}
		if err != nil {
			if err != io.EOF {
				reset(to)
			}
			break
		}
	}
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// hold waits as long as the link is in one of the states, or its delay.
func (p *proxy) hold(cut []linkState) {
	const poll = 10 * time.Millisecond
	for {
		s := p.current()
		if s == linkDelayed {
			time.Sleep(delayOfLink)
			return
		}
		held := false
		for _, c := range cut {
			held = held || s == c
		}
		if !held {
			return
		}
		time.Sleep(poll)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(linkReset)
}
