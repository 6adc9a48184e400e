package faulttest

import (
	"net"
	"sync"
	"time"
)

// How a relay treats what goes its way.
type Treat struct {
	Cut   bool          // nothing passes, and nobody is told
	Reset bool          // every connection is reset
	Half  bool          // the receiver's side is closed, the sender's stays open and is read no more
	Delay time.Duration // each piece is late by so much
	Drip  int           // so many bytes in each tenth of a second at most; 0: all
}

// Relay carries what one process sends another, on connections that the sender opens. What the receiver
// says back on them (that it has got a message) goes with it.
type Relay struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	cond  *sync.Cond
	treat Treat
	pairs map[*pair]bool
	done  bool
	Bytes int64
}

type pair struct{ in, out net.Conn }

func (p *pair) close() {
	for _, c := range []net.Conn{p.in, p.out} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
			_ = t.Close()
		}
	}
}

// NewRelay listens at a new address and carries to the target.
func NewRelay(target string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{ln: ln, target: target, pairs: map[*pair]bool{}}
	r.cond = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// Addr is where the sender is to connect.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Set has the relay treat what comes from now on so.
func (r *Relay) Set(t Treat) {
	r.mu.Lock()
	r.treat = t
	if t.Reset || t.Half {
		for p := range r.pairs {
			if t.Half {
				_ = p.out.Close()
			} else {
				p.close()
			}
			delete(r.pairs, p)
		}
	}
	r.cond.Broadcast()
	r.mu.Unlock()
}

// Close ends the relay.
func (r *Relay) Close() {
	r.mu.Lock()
	r.done = true
	r.cond.Broadcast()
	r.mu.Unlock()
	_ = r.ln.Close()
	r.Set(Treat{Reset: true})
}

// pass waits until something may pass, and tells how.
func (r *Relay) pass() (Treat, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.treat.Cut && !r.done {
		r.cond.Wait()
	}
	return r.treat, !r.done
}

func (r *Relay) accept() {
	for {
		in, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.carry(in)
	}
}

func (r *Relay) carry(in net.Conn) {
	t, ok := r.pass()
	if !ok || t.Reset {
		(&pair{in: in}).close()
		return
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		(&pair{in: in}).close()
		return
	}
	p := &pair{in, out}
	r.mu.Lock()
	r.pairs[p] = true
	r.mu.Unlock()
	go r.copy(out, in, false, p)
	r.copy(in, out, true, p)
}

// copy carries one way until either side ends. The way back is late and cut with the way there.
func (r *Relay) copy(from, to net.Conn, forth bool, p *pair) {
	buf := make([]byte, 16<<10)
	for {
		t, ok := r.pass()
		most := len(buf)
		if t.Drip > 0 {
			most = min(most, t.Drip)
		}
		n, err := from.Read(buf[:most])
		if t, ok = r.pass(); !ok || err != nil || t.Half {
			break
		}
		if t.Delay > 0 {
			time.Sleep(t.Delay)
		}
		if t.Drip > 0 {
			time.Sleep(100 * time.Millisecond)
		}
		if forth {
			r.mu.Lock()
			r.Bytes += int64(n)
			r.mu.Unlock()
		}
		if _, err := to.Write(buf[:n]); err != nil {
			break
		}
	}
	r.mu.Lock()
	half := r.treat.Half
	delete(r.pairs, p)
	r.mu.Unlock()
	if !half {
		_ = from.Close()
		_ = to.Close()
	}
}
