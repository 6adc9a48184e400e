package transport

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
)

// TestOverdue guards against a time-out of 0, which the library takes for none: what is over is not begun,
// and nobody waits for it without end.
func TestPassedDeadline(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for _, within := range []time.Duration{0, -time.Second} {
		if _, err := dial(ln.Addr().String(), within); !errors.Is(err, errDeadlinePassed) {
			t.Errorf("dial within %v: %v", within, err)
		}
	}
	conn, err := netpoll.DialConnection("tcp", ln.Addr().String(), testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := awaitReadable(conn, 0); !errors.Is(err, errDeadlinePassed) {
		t.Errorf("await within 0: %v", err)
	}
	if err := flush(conn, 0); !errors.Is(err, errDeadlinePassed) {
		t.Errorf("flush within 0: %v", err)
	}
	began := time.Now()
	if err := awaitReadable(conn, 20*time.Millisecond); !errors.Is(err, netpoll.ErrReadTimeout) {
		t.Errorf("await: %v", err)
	}
	if took := time.Since(began); took < 20*time.Millisecond {
		t.Errorf("waited %v", took)
	}
}

// TestClock holds that a moment and the span until it belong together.
func TestClock(t *testing.T) {
	c := newClock()
	if now := c.now(); now < clockOrigin || c.uptime() > testTimeout {
		t.Errorf("starts at %v", now)
	}
	if left := c.until(c.now() + time.Hour); left > time.Hour || left < time.Hour-testTimeout {
		t.Errorf("%v until an hour from now", left)
	}
}
