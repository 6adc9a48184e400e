package transport

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
)

// TestPassedDeadline checks that an operation whose deadline has passed is not begun. The library
// takes a timeout of 0 for none, so such a call would wait without end.
func TestPassedDeadline(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for _, timeout := range []time.Duration{0, -time.Second} {
		if _, err := dial(ln.Addr().String(), timeout); !errors.Is(err, errDeadlinePassed) {
			t.Errorf("dial within %v: %v", timeout, err)
		}
	}
	conn, err := netpoll.DialConnection("tcp", ln.Addr().String(), testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := awaitReadable(conn, 0); !errors.Is(err, errDeadlinePassed) {
		t.Errorf("awaitReadable within 0: %v", err)
	}
	if err := flush(conn, 0); !errors.Is(err, errDeadlinePassed) {
		t.Errorf("flush within 0: %v", err)
	}
	start := time.Now()
	if err := awaitReadable(conn, 20*time.Millisecond); !errors.Is(err, netpoll.ErrReadTimeout) {
		t.Errorf("awaitReadable: %v", err)
	}
	if elapsed := time.Since(start); elapsed < 20*time.Millisecond {
		t.Errorf("waited %v", elapsed)
	}
}

// TestClock checks that now and until agree.
func TestClock(t *testing.T) {
	c := newClock()
	if now := c.now(); now < clockOrigin || c.uptime() > testTimeout {
		t.Errorf("starts at %v", now)
	}
	if left := c.until(c.now() + time.Hour); left > time.Hour || left < time.Hour-testTimeout {
		t.Errorf("%v until an hour from now", left)
	}
}
