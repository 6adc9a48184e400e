package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = memory }

var rssAnon = regexp.MustCompile(`RssAnon:\s+(\d+) kB`)

// usedMB is the memory of the process alone, without its program file and without the system's buffers.
func (p *proxy) usedMB() float64 {
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/status")
	if err != nil {
		return 0
	}
	if m := rssAnon.FindSubmatch(raw); m != nil {
		kb, _ := strconv.Atoi(string(m[1]))
		return float64(kb) / 1024
	}
	return 0
}

// memory: usual clients send 320 requests a second with bodies of 64 KiB. The platform kills a process that
// is over its memory limit.
func memory(r *run) {
	const limitMB, perSecond, clients, lasts, timeout = 64, 320, 80, 20 * time.Second, 2000
	size := 1 << 10
	if r.trouble {
		size = 64 << 10
	}
	serve := func(q *http.Request, _ int64) string {
		time.Sleep(10 * time.Millisecond)
		return "ran " + q.Header.Get("Request-Id")
	}
	var servers []*server
	for i := range 12 {
		servers = append(servers, r.newServer(fmt.Sprint("s", i), "harbor-st", serve))
	}
	d := r.newDiscovery(servers...)
	p := r.newProxy("n0", 0, 1, d)
	p.limits = map[string]any{"cores": 1.0, "memory_mb": limitMB, "sockets": 512}
	p.start()
	r.await("ready", 20*time.Second, p.ready)
	r.say("it uses %.0f MB of %d MB; clients send bodies of %d bytes, %d a second", p.usedMB(), limitMB, size,
		perSecond)
	begin := time.Now()
	stop := begin.Add(lasts)
	running := func() bool { return time.Now().Before(stop) && p.running() }
	jobs := make(chan int, perSecond)
	go func() {
		for i := 0; running(); i++ {
			time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / perSecond)))
			jobs <- i
		}
		close(jobs)
	}()
	body := strings.Repeat("x", size)
	var all sync.WaitGroup
	var served, unserved, lost, open atomic.Int64
	for range clients {
		all.Add(1)
		go func() { // each keeps its connection and sends one request at a time
			defer all.Done()
			var conn net.Conn
			var in *bufio.Reader
			for i := range jobs {
				if !running() {
					continue
				}
				if conn == nil {
					var err error
					if conn, err = net.Dial("tcp", p.listen); err != nil {
						unserved.Add(1)
						continue
					}
					in = bufio.NewReader(conn)
				}
				id := fmt.Sprint("u-", i)
				conn.SetDeadline(time.Now().Add(timeout*time.Millisecond + time.Second))
				open.Add(1)
				io.WriteString(conn, head(id, "photo-upload", fmt.Sprint(i%1000), timeout, size)+body)
				a := readAnswer(in)
				open.Add(-1)
				switch {
				case a.err != nil && !p.running():
					lost.Add(1)
				case a.err != nil || a.status != 200:
					unserved.Add(1)
				default:
					served.Add(1)
				}
				if a.err != nil || a.closes {
					conn.Close()
					conn = nil
				}
			}
		}()
	}
	peak := 0.0
	for next := begin; running(); time.Sleep(20 * time.Millisecond) {
		used := p.usedMB()
		peak = max(peak, used)
		if time.Now().After(next) {
			next = next.Add(time.Second)
			r.say("it uses %.0f MB; requests served %d, not served %d, open %d", used, served.Load(), unserved.Load(),
				open.Load())
		}
		if used > limitMB {
			r.breaks("the process uses %.1f MB, its limit is %d MB: the platform kills it, with %d requests open",
				used, limitMB, open.Load())
			p.signal(syscall.SIGKILL)
			break
		}
	}
	all.Wait()
	r.say("peak %.0f MB; requests served %d, not served %d, lost when it was killed %d", peak, served.Load(),
		unserved.Load(), lost.Load())
	if len(r.broken) == 0 && served.Load() < 10*perSecond {
		r.cannot("too few requests were served")
	}
}
