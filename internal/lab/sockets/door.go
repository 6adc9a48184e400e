package sockets

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"lilacglade/internal/http1"
)

// door is an address at which the lab takes connections.
type door struct {
	sim  *Sim
	take func(c *conn) // for each connection, on the world's goroutine
	addr *net.TCPAddr

	mu      sync.Mutex
	ln      *net.TCPListener
	conns   map[*conn]bool
	fillers []net.Conn // fill the queue of a door that keeps silent
	silent  bool
}

// conn is a connection that came to a door, or a client's.
type conn struct {
	net.Conn
	door     *door
	requests func(m *http1.Message) // on the world's goroutine
	gone     func()                 // the same
}

// doorHost is the host of all doors; proxies have those behind it.
const doorHost = 0

func (s *Sim) newDoor(take func(c *conn)) (*door, error) {
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: s.host(doorHost)})
	if err != nil {
		return nil, err
	}
	d := &door{sim: s, take: take, addr: ln.Addr().(*net.TCPAddr), ln: ln, conns: map[*conn]bool{}}
	go d.accept(ln)
	return d, nil
}

func (d *door) address() string { return d.addr.String() }

// accept takes connections until the listener is closed. One that keeps silent is waited for.
func (d *door) accept(ln *net.TCPListener) {
	for {
		c, err := ln.AcceptTCP()
		if err != nil {
			return // closed, or to keep silent: then listen begins anew
		}
		in := &conn{Conn: c, door: d}
		d.mu.Lock()
		if d.ln != ln || d.silent {
			d.mu.Unlock()
			_ = c.Close() // too late: nobody is there any more
			return
		}
		own := false
		for _, f := range d.fillers {
			own = own || f.LocalAddr().String() == c.RemoteAddr().String()
		}
		if own {
			d.mu.Unlock()
			_ = c.Close() // one of those that filled the queue
			continue
		}
		d.conns[in] = true
		d.mu.Unlock()
		d.sim.post(func() {
			d.take(in)
			go in.read(false)
		})
	}
}

// read brings messages until the connection ends.
func (c *conn) read(responses bool) {
	parser := http1.Parser{Responses: responses}
	buf := make([]byte, 16<<10)
	for {
		n, err := c.Read(buf)
		if n > 0 {
			parser.Feed(append([]byte(nil), buf[:n]...))
			for {
				m, bad := parser.Next()
				if bad != nil {
					err = bad
					break
				}
				if m == nil {
					break
				}
				c.door.sim.post(func() { c.requests(m) })
			}
		}
		if err != nil {
			break
		}
	}
	if d := c.door; d != nil {
		d.mu.Lock()
		delete(d.conns, c)
		d.mu.Unlock()
	}
	c.door.sim.post(c.gone)
}

// writeWithin bounds a write of the lab: the other side reads at once, or its buffer is full.
const writeWithin = 200 * time.Millisecond

// send writes on a connection; one that can't take it is closed.
func (c *conn) send(bufs ...[]byte) {
	b := net.Buffers(bufs)
	if c.SetWriteDeadline(time.Now().Add(writeWithin)) != nil {
		return // closed; the reader tells
	}
	if _, err := b.WriteTo(c.Conn); err != nil {
		_ = c.Close() // the reader tells
	}
}

// reset closes a connection so that the other side sees it break.
func (c *conn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // on a connection that is closed already there is nothing to reset
	}
	_ = c.Close()
}

// close ends listening; open connections stay. New ones are refused.
func (d *door) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ln != nil {
		_ = d.ln.Close()
		d.ln = nil
	}
	d.empty()
}

// empty ends the connections that fill the queue.
func (d *door) empty() {
	for _, f := range d.fillers {
		_ = f.Close()
	}
	d.fillers, d.silent = nil, false
}

// shut closes everything.
func (d *door) shut() {
	d.close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		_ = c.Close()
	}
}

// listen takes connections again.
func (d *door) listen() error {
	d.close()
	ln, err := net.ListenTCP("tcp", d.addr)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.ln = ln
	d.mu.Unlock()
	go d.accept(ln)
	return nil
}

// How many connections fill the queue of a door that keeps silent, and how long one may take: what
// finds no room is dropped by the system without a word, as by a machine that is cut off.
const (
	mostFillers  = 4
	fillerWithin = 20 * time.Millisecond
)

// silence has new connections meet nothing. The queue is filled on the side: that takes a while,
// which the world has not.
func (d *door) silence() error {
	if err := d.listen(); err != nil {
		return err
	}
	d.mu.Lock()
	ln := d.ln
	d.silent = true
	d.mu.Unlock()
	d.sim.life.Go(func() {
		if err := d.fill(ln); err != nil {
			d.sim.post(func() { d.sim.failure = fmt.Errorf("%s can't be silenced: %w", d.address(), err) })
		}
	})
	return nil
}

// fill fills the queue of a listener from which nobody takes any more.
func (d *door) fill(ln *net.TCPListener) error {
	if err := ln.SetDeadline(time.Now().Add(-time.Second)); err != nil { // which ends accept
		return ended(err)
	}
	raw, err := ln.SyscallConn()
	if err != nil {
		return ended(err)
	}
	var bad error
	if err := raw.Control(func(fd uintptr) { bad = syscall.Listen(int(fd), 0) }); err != nil || bad != nil {
		return ended(errors.Join(err, bad))
	}
	for range mostFillers {
		f, err := net.DialTimeout("tcp", d.address(), fillerWithin)
		if err != nil {
			return nil // the queue is full
		}
		d.mu.Lock()
		over := d.ln != ln
		if !over {
			d.fillers = append(d.fillers, f)
		}
		d.mu.Unlock()
		if over {
			return f.Close()
		}
	}
	return nil
}

// ended leaves out the error of a listener that was closed meanwhile.
func ended(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
