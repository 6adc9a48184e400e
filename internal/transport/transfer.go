package transport

import (
	"net"
	"runtime"
	"slices"
	"syscall"
	"time"
	"unsafe"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"lilacglade/internal/transient"
)

// Pauses between tries of a write that the system could not do for the moment.
const (
	firstRetry = 200 * time.Microsecond
	mostRetry  = 10 * time.Millisecond
)

// send writes the slices in order. It waits until they are written, so long at most, or until the leg is
// gone.
func (g *leg) send(bufs [][]byte, within time.Duration) error {
	if within <= 0 {
		return errOverdue
	}
	by := time.Now().Add(within)
	for pause := firstRetry; ; pause = min(2*pause, mostRetry) {
		err := g.sendOnce(&bufs, by)
		if err == nil || !transient.Transfer(err) || time.Now().Add(pause).After(by) {
			return err
		}
		time.Sleep(pause)
	}
}

// sendOnce writes as much as can be written, and takes it from rest. An error that passes may be followed by
// another try.
func (g *leg) sendOnce(rest *[][]byte, by time.Time) error {
	g.mu.Lock()
	if g.leaving && !g.gone { // being detached
		g.mu.Unlock()
		<-g.rawSet
		g.mu.Lock()
	}
	if raw := g.raw; raw != nil {
		g.mu.Unlock()
		return sendRaw(raw, rest, by)
	}
	err := g.writeNow(rest)
	if err == syscall.EAGAIN { // the other side reads slowly: the library waits for it
		if err = g.fill(*rest); err == nil {
			*rest = nil
		}
	}
	g.mu.Unlock()
	if err != nil || g.buffered == 0 {
		return err
	}
	err = flush(g.conn, time.Until(by))
	if err == nil {
		g.buffered = 0
	}
	return err
}

// writeNow writes what the kernel takes at once, past the library, which ends a connection at an error that
// passes. EAGAIN says that the kernel takes no more for now. The caller holds g.mu, so that the descriptor
// is still the connection's.
func (g *leg) writeNow(rest *[][]byte) error {
	c, ok := g.conn.(netpoll.Conn)
	if !ok || g.gone || !g.conn.IsActive() {
		return net.ErrClosed
	}
	if g.buffered > 0 { // what went to the library before comes first
		return nil
	}
	for len(*rest) > 0 {
		if len((*rest)[0]) == 0 {
			*rest = (*rest)[1:]
			continue
		}
		n, err := sendNow(c.Fd(), *rest)
		if err != nil {
			return err
		}
		*rest = without(*rest, n)
	}
	return nil
}

// mostSlices are handed to the kernel at a time.
const mostSlices = 16

// sendNow hands slices to the kernel. The call never waits, and is made without telling the scheduler: with
// one processor another goroutine would go on first, and the reducer would hear of the client's next request
// before it hears that this answer was written.
func sendNow(fd int, bufs [][]byte) (int, error) {
	var vectors [mostSlices]unix.Iovec
	count := 0
	for _, b := range bufs {
		if len(b) == 0 {
			continue
		}
		vectors[count].Base = &b[0]
		vectors[count].SetLen(len(b))
		if count++; count == mostSlices {
			break
		}
	}
	message := unix.Msghdr{Iov: &vectors[0]}
	message.SetIovlen(count)
	n, _, errno := syscall.RawSyscall(syscall.SYS_SENDMSG, uintptr(fd), uintptr(unsafe.Pointer(&message)),
		unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
	runtime.KeepAlive(bufs)
	runtime.KeepAlive(&vectors)
	if errno != 0 {
		return 0, errno
	}
	return int(n), nil
}

// without is slices less their first bytes. It leaves the given ones as they are.
func without(bufs [][]byte, n int) [][]byte {
	for len(bufs) > 0 && n >= len(bufs[0]) {
		n -= len(bufs[0])
		bufs = bufs[1:]
	}
	if n > 0 {
		bufs = slices.Concat([][]byte{bufs[0][n:]}, bufs[1:])
	}
	return bufs
}

// fill puts the slices into the library's buffer. The caller holds g.mu.
func (g *leg) fill(bufs [][]byte) error {
	if g.gone || !g.conn.IsActive() {
		return net.ErrClosed
	}
	for _, b := range bufs {
		if _, err := g.conn.Writer().WriteBinary(b); err != nil {
			return err
		}
		g.buffered += len(b)
	}
	return nil
}

// sendRaw writes to a connection of the standard library, and takes what was written from rest.
func sendRaw(raw net.Conn, rest *[][]byte, by time.Time) error {
	if err := raw.SetWriteDeadline(by); err != nil {
		return err
	}
	all := net.Buffers(slices.Clone(*rest)) // what it has written it takes out of them
	_, err := all.WriteTo(raw)
	*rest = all
	return err
}
