package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"
)

// startSlowReader starts a server whose socket takes little ahead, and that reads bodies at a rate in bytes
// per second; 0: nothing.
func startSlowReader(t *testing.T, rate int) string {
	const readSize, receiveBuffer = 4 << 10, 32 << 10
	config := net.ListenConfig{Control: func(_, _ string, rawConn syscall.RawConn) error {
		return rawConn.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done, end := context.WithCancel(context.Background())
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for piece := make([]byte, readSize); rate > 0 && done.Err() == nil; {
			if _, err := io.ReadFull(r.Body, piece); err != nil {
				break
			}
			time.Sleep(time.Second * readSize / time.Duration(rate))
		}
		if rate == 0 {
			<-done.Done()
		}
	}))
	s.Listener.Close()
	s.Listener = ln
	s.Start()
	t.Cleanup(func() { end(); s.CloseClientConnections(); s.Close() })
	return ln.Addr().String()
}

// TestUploadToSlowReader guards against a final answer that comes long after its time where a server reads a
// large request slowly: the time counts from when the client has sent its last byte.
func TestUploadToSlowReader(t *testing.T) {
	const timeout, lostAfter = 800 * time.Millisecond, 500 * time.Millisecond
	for name, tc := range map[string]struct {
		size    int
		chunked bool
		rate    int
	}{"fits the proxy's buffers": {400 << 10, false, 64 << 10}, "exceeds them": {4 << 20, false, 64 << 10},
		"nothing is read": {4 << 20, false, 0}, "length unknown": {4 << 20, true, 64 << 10}} {
		t.Run(name, func(t *testing.T) {
			n := startProxy(t, startDiscovery(t, startSlowReader(t, tc.rate)))
			framing := fmt.Sprintf("Content-Length: %d\r\n\r\n", tc.size)
			body := strings.Repeat("x", tc.size)
			if tc.chunked {
				framing, body = "Transfer-Encoding: chunked\r\n\r\n", encodeChunked([]byte(body), 32<<10)
			}
			conn, r := n.send(strings.Replace(requestHeader, "20000", fmt.Sprint(timeout.Milliseconds()), 1) + framing)
			if _, err := io.WriteString(conn, body); err != nil {
				t.Fatal(err)
			}
			sent := time.Now()
			res, err := http.ReadResponse(r, nil)
			took := time.Since(sent)
			if err != nil || took > timeout+lostAfter {
				t.Errorf("answered %v after its last byte (%v)", took, err)
				return
			}
			t.Logf("answered %d %v after its last byte", res.StatusCode, took)
		})
	}
}
