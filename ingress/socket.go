package ingress

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// backlogShare is the part of a listener's connections that may wait until they are accepted. Fewer than minBacklog would refuse
	// ordinary clients that come at the same moment.
	backlogShare = 4
	minBacklog   = 16
)

// LimitSocketBuffers asks the kernel for buffers of the given bytes for all connections that a listener accepts from now on, which bounds how
// fast one connection can be on a long link; zero leaves them. They hold what a client sends before it is read, and answers that it does
// not take, and are memory of the host too. A listener that is not one of the kernel's has none.
func LimitSocketBuffers(l net.Listener, size int) error {
	if size == 0 {
		return nil
	}

	return control(l, func(fd int) error {
		return errors.Join(
			unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, size),
			unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, size),
		)
	})
}

// LimitBacklog bounds how many connections wait until a listener of at most the given connections accepts them; zero leaves the kernel's
// limit. They fill their buffers before the process knows of them. A client beyond the limit tries again by itself after a second.
func LimitBacklog(l net.Listener, connections int) error {
	if connections == 0 {
		return nil
	}

	return control(l, func(fd int) error { return unix.Listen(fd, max(minBacklog, connections/backlogShare)) })
}

// control calls f with the descriptor of a listener, unless it is not one of the kernel's.
func control(l net.Listener, f func(fd int) error) error {
	s, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = f(int(fd)) })

	return errors.Join(err, failed)
}
