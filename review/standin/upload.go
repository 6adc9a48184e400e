package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

func init() { cases["upload"] = upload }

// unsent is how many bytes written on a connection the other machine has not taken yet.
func unsent(conn *net.TCPConn) (n int32) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&n)))
	})
	return n
}

// window is how much more the other machine says that it takes on a connection; 0: the system doesn't tell.
func window(conn *net.TCPConn) (n uint32) {
	const tcpInfo, offset = 11, 228 // of tcpi_snd_wnd in Linux's struct tcp_info
	var info [256]byte
	size := uint32(len(info))
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, tcpInfo,
			uintptr(unsafe.Pointer(&info[0])), uintptr(unsafe.Pointer(&size)), 0)
	})
	if size < offset+4 {
		return 0
	}
	return binary.NativeEndian.Uint32(info[offset:])
}

// upload: large uploads are under way when one of five album servers is cut off. Each upload whose last byte
// was written is owed its final answer in its time.
func upload(r *run) {
	serve := func(q *http.Request, body int64) string {
		id := q.Header.Get("Request-Id")
		if body > 1000 {
			r.say("request %s ran, %d bytes", id, body)
		}
		return fmt.Sprintf("ran %s, %d bytes", id, body)
	}
	var servers []*server
	for i := range 5 {
		servers = append(servers, r.newServer(fmt.Sprint("s", i), "harbor-st", serve))
	}
	d := r.newDiscovery(servers...)
	p := r.newProxy("n0", 0, 1, d)
	p.start()
	r.await("ready", 20*time.Second, p.ready)
	for i := range 50 {
		if a := ask(p.listen, fmt.Sprint("warm-", i), "album-edit", fmt.Sprint(i), 800); a.status != 200 {
			r.cannot("a request before the case: %v", a)
		}
	}
	const timeout = 2 * time.Second
	var clients sync.WaitGroup
	begin := time.Now()
	if r.trouble {
		time.AfterFunc(time.Second, func() {
			s := servers[0] // the one with the most uploads
			for _, o := range servers {
				if o.open.Load() > s.open.Load() {
					s = o
				}
			}
			s.setCut(true)
			r.say("%s is cut off, with %d uploads under way", s.id, s.open.Load())
			time.AfterFunc(6*time.Second, func() { s.setCut(false); r.say("%s is back", s.id) })
		})
	}
	for i := range 12 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			r.upload(p, fmt.Sprint("up-", i), begin, timeout)
		}()
	}
	clients.Wait()
}

// upload sends one upload in chunks for 2.5 s, or until nothing more is taken, and ends it then.
func (r *run) upload(p *proxy, id string, begin time.Time, timeout time.Duration) {
	c, err := net.Dial("tcp", p.listen)
	if err != nil {
		r.breaks("%v", err)
		return
	}
	conn := c.(*net.TCPConn)
	defer conn.Close()
	chunk := append([]byte("8000\r\n"), make([]byte, 0x8000+2)...)
	copy(chunk[len(chunk)-2:], "\r\n")
	fmt.Fprint(conn, head(id, "photo-upload", id, int(timeout.Milliseconds()), -1))
	answered := make(chan answer, 1)
	go func() {
		conn.SetReadDeadline(time.Now().Add(25 * time.Second))
		answered <- readAnswer(bufio.NewReader(conn))
	}()
	// The upload goes on until 4 s are over, or the other machine takes in what nobody reads there.
	total, most, stalled := 0, uint32(0), time.Duration(0)
	for time.Since(begin) < 4*time.Second && total < 30<<20 &&
		(time.Since(begin) < 1200*time.Millisecond || stalled < 200*time.Millisecond) {
		conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
		if _, err := conn.Write(chunk); err != nil {
			r.say("%s: write: %v", id, err)
			return
		}
		total += len(chunk) - 8
		for stalled = 0; stalled < 200*time.Millisecond; stalled += 5 * time.Millisecond {
			time.Sleep(5 * time.Millisecond)
			w := window(conn)
			most = max(most, w)
			if unsent(conn) == 0 && w+uint32(len(chunk))/2 >= most {
				break
			}
		}
	}
	if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
		r.say("%s: write: %v", id, err)
		return
	}
	last := time.Now()
	time.Sleep(50 * time.Millisecond)
	left := unsent(conn)
	r.say("%s: the last byte of %d is written, and all but %d have reached the proxy's machine", id, total, left)
	a := <-answered
	took := a.at.Sub(last)
	r.say("%s: %v, %d ms after its last byte", id, a, took.Milliseconds())
	if left > 0 {
		r.say("%s: not judged", id)
	} else if a.err != nil {
		r.breaks("%s: %v, %d ms after its last byte was written", id, a, took.Milliseconds())
	} else if took > timeout+550*time.Millisecond {
		r.breaks("%s: answered %d ms after its last byte was written, its time is %v", id, took.Milliseconds(),
			timeout)
	}
}
