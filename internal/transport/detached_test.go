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

// registrations counts how often the connection is registered with any of this process's pollers,
// the runtime's own included.
func registrations(t *testing.T, conn net.Conn) (count int) {
	t.Helper()
	var stat syscall.Stat_t
	rawConn, err := conn.(syscall.Conn).SyscallConn()
	if err == nil {
		err = rawConn.Control(func(fd uintptr) { err = syscall.Fstat(int(fd), &stat) })
	}
	entries, readErr := os.ReadDir("/proc/self/fdinfo")
	if err = errors.Join(err, readErr); err != nil {
		t.Fatal(err)
	}
	ino := fmt.Sprintf(" ino:%x ", stat.Ino)
	for _, entry := range entries {
		info, err := os.ReadFile("/proc/self/fdinfo/" + entry.Name())
		if err == nil { // else it was closed meanwhile
			count += strings.Count(string(info), ino)
		}
	}
	return count
}

// TestDetachUnregistersFromPoller checks that the library's poller no longer watches a connection
// once it is detached. Otherwise it keeps a pointer to what then belongs to another connection, and
// closes that one when the detached one ends. It happens if a connection is detached while its
// handler returns.
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
		if count := registrations(t, conn.stdConn); count != 1 {
			t.Fatalf("round %d: registered with %d pollers", round, count)
		}
		other.Close()
	}
}
