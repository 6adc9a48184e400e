// Package upgrade is what two processes of one proxy share while one takes over from the other: the
// listening socket that the platform passes to both, and a file with what the new one should know. It
// decides nothing.
package upgrade

import (
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"syscall"
)

// SocketVariable names the descriptor of the passed listening socket.
const SocketVariable = "NODE_PASSED_SOCKET"

// Listener takes connections from a passed socket. It never ends the socket itself, which others listen on.
type Listener struct {
	fd   int
	addr net.Addr
}

// InheritedListener returns the listening socket whose descriptor is given. A fault names Variable.
func InheritedListener(descriptor string) (*Listener, error) {
	fd, err := strconv.Atoi(descriptor)
	if err != nil || fd < 0 {
		return nil, fmt.Errorf("%s: %q is no descriptor", SocketVariable, descriptor)
	}
	listens, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return nil, fmt.Errorf("%s: descriptor %d is no socket here: %w", SocketVariable, fd, err)
	}
	sa, err := syscall.Getsockname(fd)
	addr := address(sa)
	if listens == 0 || err != nil || addr == nil {
		return nil, fmt.Errorf("%s: descriptor %d does not listen for TCP connections", SocketVariable, fd)
	}
	// All processes share this flag; none may wait for a connection that another one takes.
	if err := syscall.SetNonblock(fd, true); err != nil {
		return nil, fmt.Errorf("%s: descriptor %d: %w", SocketVariable, fd, err)
	}
	syscall.CloseOnExec(fd)
	return &Listener{fd, addr}, nil
}

func address(sa syscall.Sockaddr) net.Addr {
	switch sa := sa.(type) {
	case *syscall.SockaddrInet4:
		return net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom4(sa.Addr), uint16(sa.Port)))
	case *syscall.SockaddrInet6:
		return net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom16(sa.Addr), uint16(sa.Port)))
	}
	return nil
}

// Fd is the descriptor.
func (l *Listener) Fd() int { return l.fd }

// Addr is the address that the socket listens on.
func (l *Listener) Addr() net.Addr { return l.addr }

// Close leaves the socket to those that it was passed to as well.
func (l *Listener) Close() error { return nil }

// Accept takes a connection; there may be none, when another process was quicker.
func (l *Listener) Accept() (net.Conn, error) {
	fd, sa, err := syscall.Accept4(l.fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	switch err {
	case nil:
	case syscall.EAGAIN, syscall.ECONNABORTED, syscall.EINTR:
		return nil, nil
	default:
		return nil, err
	}
	_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	return &conn{fd: fd, local: l.addr, remote: address(sa)}, nil
}

// conn is an accepted connection until the library takes its descriptor over.
type conn struct {
	net.Conn      // never called
	fd            int
	local, remote net.Addr
}

func (c *conn) Fd() int              { return c.fd }
func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }
func (c *conn) Close() error         { return syscall.Close(c.fd) }
