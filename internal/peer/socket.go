package peer

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// ackTimeout closes a connection when sent data stays unacknowledged for this long
	// (TCP_USER_TIMEOUT). Without it the system retries for many minutes, with growing
	// pauses that also delay a connection whose network works again.
	ackTimeout = 2 * time.Second
	// keepAliveIdle is the idle time before the first keep-alive probe, which shows a
	// peer whose machine is gone. The probes are few, since a host has a connection to
	// each other one.
	keepAliveIdle     = 10 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveCount    = 3
)

// boundSilence has the system close a TCP connection whose other end acknowledges
// nothing. It does nothing for other connections. A failure is not an error: the
// application-level checks remain.
func boundSilence(raw net.Conn) error {
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return nil
	}
	keepAlive := tcp.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	})
	return errors.Join(keepAlive, control(tcp, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	}))
}

// unacknowledgedBytes returns how many sent bytes the other end's system has not
// acknowledged, or 0 if that is not known.
func unacknowledgedBytes(raw net.Conn) int { return queuedInSystem(raw, unix.SIOCOUTQ) }

// unreadBytes returns how many bytes have arrived and were not read, or 0 if that is not
// known.
func unreadBytes(raw net.Conn) int { return queuedInSystem(raw, unix.SIOCINQ) }

// queuedInSystem returns the size of a queue of a socket in bytes, or 0 if it is not known.
func queuedInSystem(raw net.Conn, queue uint) int {
	socket, ok := raw.(syscall.Conn)
	if !ok {
		return 0
	}
	n := 0
	err := control(socket, func(fd int) (err error) {
		n, err = unix.IoctlGetInt(fd, queue)
		return err
	})
	if err != nil {
		return 0
	}
	return n
}

// control calls do with the file descriptor of a socket.
func control(socket syscall.Conn, do func(fd int) error) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var doErr error
	err = raw.Control(func(fd uintptr) { doErr = do(int(fd)) })
	return errors.Join(err, doErr)
}
