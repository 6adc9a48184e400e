package transport

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
)

// registrations counts how often the connection is looked at by any of this process's pollers, the
// runtime's own included.
func registrations(t *testing.T, conn net.Conn) (n int) {
	t.Helper()
	var st syscall.Stat_t
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { err = syscall.Fstat(int(fd), &st) })
	}
	all, readErr := os.ReadDir("/proc/self/fdinfo")
	if err = errors.Join(err, readErr); err != nil {
		t.Fatal(err)
	}
	ino := fmt.Sprintf(" ino:%x ", st.Ino)
	for _, e := range all {
		info, err := os.ReadFile("/proc/self/fdinfo/" + e.Name())
		if err == nil { // else it was closed meanwhile
			n += strings.Count(string(info), ino)
		}
	}
	return n
}

// TestDetachedForGood guards against a leg that the library's poller still looks at once it is raw, by a
// pointer to what then stands for another connection: that one is closed when the raw one ends. It comes of
// detaching a leg in the moment in which its handler returns.
func TestDetachUnregistersFromPoller(t *testing.T) {
	for round := range 400 {
		conn, other := openServerConn(t)
		for range round % 40 {
			if _, err := other.Write([]byte("some")); err != nil {
				t.Fatal(err)
			}
		}
		conn.requestDetach(false)
		<-conn.stdConnReady
		if n := registrations(t, conn.stdConn); n != 1 {
			t.Fatalf("round %d: looked at by %d pollers", round, n)
		}
		other.Close()
	}
}
