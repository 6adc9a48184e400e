package peers

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// Bounds of the talk between proxies.
const (
	maxFrame   = 4 << 20 // bytes of one message; longer ones end the connection
	maxInbound = 1024    // connections from peers
	queued     = 128     // messages that wait for one peer; beyond, new ones are lost
	dialWithin = time.Second
	ackWithin  = 2 * time.Second // a connection on which a message is not confirmed by then is given up
	idleFor    = 30 * time.Second
)

// Backoff of a peer that can't be reached.
const (
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = time.Second
)

// link sends to one peer, on a connection that it opened itself. Each message is confirmed by a byte, so that
// a connection of which only this end is left is found.
type link struct {
	addr  atomic.Pointer[string]
	queue chan []byte
	sent  *atomic.Uint64 // bytes, of all links
}

func newLink(addr string, sent *atomic.Uint64) *link {
	l := &link{queue: make(chan []byte, queued), sent: sent}
	l.addr.Store(&addr)
	return l
}

// send never waits: what finds no room is lost, as on a network.
func (l *link) send(raw []byte) {
	select {
	case l.queue <- raw:
	default:
	}
}

func (l *link) run(done <-chan struct{}) {
	var conn *out
	backoff := firstBackoff
	var until time.Time
	defer func() { conn.close() }()
	idle := time.NewTimer(idleFor)
	defer idle.Stop()
	for {
		var raw []byte
		select {
		case raw = <-l.queue:
		case <-idle.C:
			conn.close()
			conn = nil
			continue
		case <-done:
			return
		}
		idle.Reset(idleFor)
		if conn.stale() {
			conn.close()
			conn = nil
		}
		if conn == nil {
			if time.Now().Before(until) {
				continue // lost
			}
			c, err := net.DialTimeout("tcp", *l.addr.Load(), dialWithin)
			if err != nil {
				until = time.Now().Add(backoff)
				backoff = min(2*backoff, lastBackoff)
				continue
			}
			conn, backoff = newOut(c), firstBackoff
		}
		n, err := conn.write(raw)
		l.sent.Add(uint64(n))
		if err != nil {
			conn.close()
			conn = nil
		}
	}
}

// out is a connection to a peer.
type out struct {
	conn net.Conn
	mu   sync.Mutex
	owed []time.Time // when the messages were sent that are not confirmed
	dead bool
}

func newOut(c net.Conn) *out {
	o := &out{conn: c}
	go func() {
		b := make([]byte, 64)
		for {
			n, err := c.Read(b)
			o.mu.Lock()
			o.owed = o.owed[min(n, len(o.owed)):]
			o.dead = o.dead || err != nil
			o.mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	return o
}

// stale tells whether the connection is of no more use.
func (o *out) stale() bool {
	if o == nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dead || len(o.owed) > 0 && time.Since(o.owed[0]) > ackWithin
}

func (o *out) write(raw []byte) (int, error) {
	o.mu.Lock()
	o.owed = append(o.owed, time.Now())
	o.mu.Unlock()
	if err := o.conn.SetWriteDeadline(time.Now().Add(ackWithin)); err != nil {
		return 0, err
	}
	return protodelim.MarshalTo(o.conn, wrapperspb.Bytes(raw))
}

func (o *out) close() {
	if o != nil {
		_ = o.conn.Close()
	}
}

// take reads a peer's messages until the connection ends. What is no message ends it.
func take(conn net.Conn, heard func([]byte)) error {
	defer conn.Close()
	r := bufio.NewReader(conn)
	options := protodelim.UnmarshalOptions{MaxSize: maxFrame}
	for {
		if err := conn.SetReadDeadline(time.Now().Add(2 * idleFor)); err != nil {
			return err
		}
		var m wrapperspb.BytesValue
		if err := options.UnmarshalFrom(r, &m); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		heard(m.GetValue())
		if _, err := conn.Write([]byte{1}); err != nil {
			return err
		}
	}
}
