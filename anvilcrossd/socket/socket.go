// Package socket asks the operating system about connections and listeners.
package socket

import (
	"net"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Input is what can be read from a connection at once.
type Input int

// Inputs.
const (
	// None: the connection is open, and nothing has arrived.
	None Input = iota
	// Unread: bytes have arrived that are not read yet.
	Unread
	// Ended: the peer has closed its side, or the connection is broken.
	Ended
)

// InputOf returns what can be read from a connection at once. It reads nothing, and does not wait
// for another reader.
func InputOf(n net.Conn) Input {
	c, ok := n.(syscall.Conn)
	if !ok {
		return Ended
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return Ended
	}
	input := Ended
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		count, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN:
			input = None
		case err == nil && count > 0:
			input = Unread
		}
	})
	if err != nil {
		return Ended
	}
	return input
}

// LimitReceiveBuffers limits the unread bytes of each connection of a listener, those that wait to be
// accepted included, to about the given number. The kernel takes twice as much for them.
func LimitReceiveBuffers(l *net.TCPListener, bytes int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return errors.Trace(err)
	}
	var optionErr error
	if err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
	}); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(optionErr)
}

// Backlog returns the number of connections that are open and wait to be accepted.
func Backlog(l *net.TCPListener) (int, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return 0, errors.Trace(err)
	}
	backlog := 0
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); infoErr == nil {
			// For a listener the kernel reports the length of its queue in this field.
			backlog = int(info.Unacked)
		}
	})
	if err != nil {
		return 0, errors.Trace(err)
	}
	return backlog, errors.Trace(infoErr)
}
