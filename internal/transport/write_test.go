package transport

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// writers are the two kinds of connections that bytes are written on.
var writers = map[string]func(t *testing.T) (*connection, net.Conn){
	"attached": openServerConn,
	"detached": func(t *testing.T) (*connection, net.Conn) {
		conn, other := openServerConn(t)
		conn.requestDetach(false)
		<-conn.stdConnReady
		return conn, other
	},
}

// setSendBuffer fixes the size of the kernel's send buffer.
func setSendBuffer(t *testing.T, conn *connection, size int) {
	t.Helper()
	socket, ok := conn.stdConn.(*net.TCPConn)
	if ok {
		if err := socket.SetWriteBuffer(size); err != nil {
			t.Fatal(err)
		}
		return
	}
	if err := setAttachedSendBuffer(conn, size); err != nil {
		t.Fatal(err)
	}
}

// readSlowly reads at most so many bytes a second for some time, and then whatever comes. It returns the
// number of bytes.
func readSlowly(conn io.Reader, perSecond int, slowFor time.Duration) (total int, err error) {
	start, piece := time.Now(), make([]byte, 8<<10)
	for {
		n, err := conn.Read(piece)
		if total += n; err == io.EOF {
			return total, nil
		} else if err != nil {
			return total, err
		}
		if time.Since(start) < slowFor {
			time.Sleep(time.Until(start.Add(time.Duration(total) * time.Second / time.Duration(perSecond))))
		}
	}
}

// TestSlowReaderIsNotStalled guards against a write that is given up while its reader takes bytes all the
// time: the kernel accepts more only once a third of its buffer is free.
func TestSlowReaderIsNotStalled(t *testing.T) {
	t.Parallel()
	const size, perSecond, stall = 4 << 20, 250_000, 2 * time.Second
	for name, open := range writers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, other := open(t)
			setSendBuffer(t, conn, 1<<20)
			sent := make(chan error, 1)
			go func() {
				sent <- conn.send([][]byte{make([]byte, size)}, writeLimit{stall: stall})
				conn.closeSocket()
			}()
			total, err := readSlowly(other, perSecond, 8*time.Second)
			if sendErr := <-sent; total != size || err != nil || sendErr != nil {
				t.Errorf("%d bytes of %d, read %v, write %v", total, size, err, sendErr)
			}
		})
	}
}

// TestStalledReaderIsGivenUp checks that a write ends whose reader takes nothing, also when it had taken
// some before.
func TestStalledReaderIsGivenUp(t *testing.T) {
	t.Parallel()
	const stall = 500 * time.Millisecond
	for name, open := range writers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, other := open(t)
			failed := make(chan error, 1)
			go func() { failed <- conn.send([][]byte{make([]byte, 32<<20)}, writeLimit{stall: stall}) }()
			if _, err := io.CopyN(io.Discard, other, 1<<20); err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			select {
			case err := <-failed:
				if waited := time.Since(start); !errors.Is(err, errStalled) || waited < stall/2 {
					t.Errorf("%v after %v", err, waited)
				}
			case <-time.After(testTimeout):
				t.Error("the write still waits")
			}
		})
	}
}

// TestSlowReaderGetsWholeAnswer guards against answers that are cut off 10 s after they began, though
// their client reads 64 kB a second.
func TestSlowReaderGetsWholeAnswer(t *testing.T) {
	t.Parallel()
	const size, perSecond, slowFor = 16 << 20, 64_000, stallTimeout + 3*time.Second
	proxy := startProxy(t, readyList(1, startEchoServer(t, size)))
	client := proxy.connect()
	client.send(strings.Replace(editRequest("large"), "\r\nHost", "\r\nConnection: close\r\nHost", 1))
	total, err := readSlowly(client.reader, perSecond, slowFor)
	if total < size || err != nil {
		t.Errorf("%d bytes of %d, %v", total, size, err)
	}
}

// TestSlowServerGetsWholeUpload is TestSlowReaderGetsWholeAnswer for the other direction.
func TestSlowServerGetsWholeUpload(t *testing.T) {
	t.Parallel()
	const size, perSecond, slowFor = 12 << 20, 64_000, stallTimeout + 3*time.Second
	server := newFakeServer(t)
	proxy := startProxy(t, readyList(1, server))
	client := proxy.connect()
	sent := make(chan error, 1)
	go func() {
		_, err := io.WriteString(client, uploadRequest("large", time.Minute, size)+strings.Repeat("b", size))
		sent <- err
	}()
	serverConn := server.nextConn()
	received, err := readSlowly(io.LimitReader(serverConn.reader, size), perSecond, slowFor)
	if received != size || err != nil {
		t.Fatalf("%d bytes, %v", received, err)
	}
	go io.Copy(io.Discard, serverConn.reader)
	serverConn.send(okResponse("stored"))
	status, body, err := client.answer()
	if sendErr := <-sent; status != 200 || body != "stored" || err != nil || sendErr != nil {
		t.Error(fmt.Sprint("got ", status, body, err, sendErr))
	}
}
