package transport

import (
	"io"
	"strings"
	"testing"
	"time"
)

// TestStopWhileServersHang guards against requests that are unanswered when the platform kills a process
// that stops: their bodies end 1.2 s after SIGTERM, their servers hang, and SIGKILL may come 0.7 s and
// the longest deadline (2 s) after SIGTERM. They were answered 2 s after their last byte.
func TestStopWhileServersHang(t *testing.T) {
	t.Parallel()
	const lastByte, kill = 1200 * time.Millisecond, 2700 * time.Millisecond
	for name, size := range map[string]int{"buffered": 60 << 10, "streamed": 200 << 10} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := newFakeServer(t)
			proxy := startProxy(t, readyList(1, server))
			client := proxy.connect()
			client.send(uploadRequest("slow", 2*time.Second, size) + strings.Repeat("b", size/2))
			go func() {
				for conn := range server.conns {
					go io.Copy(io.Discard, conn)
				}
			}()
			time.Sleep(100 * time.Millisecond) // the first half is read
			proxy.stop()
			stopped := time.Now()
			time.Sleep(lastByte)
			client.send(strings.Repeat("b", size-size/2))
			status, _, err := client.answer()
			if waited := time.Since(stopped); waited > kill || err != nil || status != 503 && status != 504 {
				t.Errorf("status %d after %v, %v", status, waited, err)
			}
		})
	}
}
