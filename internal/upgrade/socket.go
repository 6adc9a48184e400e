// Package upgrade holds what two processes of one proxy share while one replaces the other: the
// listening socket that the platform passes to both, and the handover file with the state for the new
// process. It makes no decisions about when to take over.
package upgrade

import (
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"syscall"
)

// SocketVariable is the environment variable that holds the file descriptor of the inherited listening
// socket.
const SocketVariable = "NODE_PASSED_SOCKET"

// Listener accepts connections from an inherited socket. It never closes the socket, because other
// processes listen on it.
type Listener struct {
	fd   int
	addr net.Addr
}

// InheritedListener returns a Listener for the socket with the given file descriptor, a decimal number.
// Errors name SocketVariable.
func InheritedListener(descriptor string) (*Listener, error) {
	fd, err := strconv.Atoi(descriptor)
	if err != nil || fd < 0 {
		return nil, fmt.Errorf("%s: %q is not a file descriptor", SocketVariable, descriptor)
	}
	listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return nil, fmt.Errorf("%s: descriptor %d is not an open socket: %w", SocketVariable, fd, err)
	}
	sockaddr, err := syscall.Getsockname(fd)
	addr := tcpAddr(sockaddr)
	if listening == 0 || err != nil || addr == nil {
		return nil, fmt.Errorf("%s: descriptor %d does not listen for TCP connections", SocketVariable, fd)
	}
	// Non-blocking mode belongs to the shared socket. In blocking mode a process would block in accept when
	// another one has taken the connection.
	if err := syscall.SetNonblock(fd, true); err != nil {
		return nil, fmt.Errorf("%s: descriptor %d: %w", SocketVariable, fd, err)
	}
	syscall.CloseOnExec(fd)
	return &Listener{fd, addr}, nil
}

// tcpAddr converts an IPv4 or IPv6 socket address; it returns nil for any other.
func tcpAddr(sockaddr syscall.Sockaddr) net.Addr {
	switch sockaddr := sockaddr.(type) {
	case *syscall.SockaddrInet4:
		return net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom4(sockaddr.Addr), uint16(sockaddr.Port)))
	case *syscall.SockaddrInet6:
		return net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom16(sockaddr.Addr), uint16(sockaddr.Port)))
	}
	return nil
}

// Fd returns the file descriptor.
func (l *Listener) Fd() int { return l.fd }

// Addr returns the address that the socket listens on.
func (l *Listener) Addr() net.Addr { return l.addr }

// Close does nothing: the socket stays open for the other processes that hold it.
func (l *Listener) Close() error { return nil }

// Accept accepts a connection. It returns nil without an error if there is none, for example because
// another process has accepted it.
func (l *Listener) Accept() (net.Conn, error) {
	fd, sockaddr, err := syscall.Accept4(l.fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	switch err {
	case nil:
	case syscall.EAGAIN, syscall.ECONNABORTED, syscall.EINTR:
		return nil, nil
	default:
		return nil, err
	}
	_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	return &conn{fd: fd, local: l.addr, remote: tcpAddr(sockaddr)}, nil
}

// conn is an accepted connection. netpoll takes over its descriptor.
type conn struct {
	net.Conn      // nil; present only to satisfy the interface
	fd            int
	local, remote net.Addr
}

func (c *conn) Fd() int              { return c.fd }
func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }
func (c *conn) Close() error         { return syscall.Close(c.fd) }
