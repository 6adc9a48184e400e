package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["reader"] = reader }

// reader: three clients read a large answer slowly, without a pause. Each one is owed all of it.
func reader(r *run) {
	const size, perSecond, slowFor = 16 << 20, 64000, 25 * time.Second
	large := strings.Repeat("0123456789abcdef", size/16)
	serve := func(q *http.Request, _ int64) string {
		if strings.HasPrefix(q.Header.Get("Request-Id"), "large") {
			return large
		}
		return "ran " + q.Header.Get("Request-Id")
	}
	var servers []*server
	for i := range 3 {
		servers = append(servers, r.newServer(fmt.Sprint("s", i), "harbor-st", serve))
	}
	d := r.newDiscovery(servers...)
	p := r.newProxy("n0", 0, 1, d)
	p.start()
	r.await("ready", 20*time.Second, p.ready)
	for i := range 30 {
		if a := ask(p.listen, fmt.Sprint("warm-", i), "album-edit", fmt.Sprint(i), 800); a.status != 200 {
			r.cannot("a request before the case: %v", a)
		}
	}
	var clients sync.WaitGroup
	for i := range 3 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			id := fmt.Sprint("large-", i)
			conn, err := net.Dial("tcp", p.listen)
			if err != nil {
				r.say("%s: %v", id, err)
				return
			}
			defer conn.Close()
			fmt.Fprint(conn, head(id, "photo-upload", id, 2000, 3)+"abc")
			conn.SetReadDeadline(time.Now().Add(100 * time.Second))
			res, err := http.ReadResponse(bufio.NewReaderSize(conn, 4096), nil)
			if err != nil || res.StatusCode != 200 {
				r.say("%s: not served: %v", id, err)
				return
			}
			begun, shown := time.Now(), 0
			r.say("%s: its answer of %d bytes begins", id, res.ContentLength)
			piece := make([]byte, 8<<10)
			for got := 0; got < size; {
				n, err := io.ReadFull(res.Body, piece[:min(len(piece), size-got)])
				got += n
				if err != nil {
					r.breaks("%s: its answer was cut off after %d of %d bytes, %d ms after it began: %v", id, got, size,
						time.Since(begun).Milliseconds(), err)
					return
				}
				if r.trouble && time.Since(begun) < slowFor {
					time.Sleep(time.Until(begun.Add(time.Duration(got) * time.Second / perSecond)))
				}
				if s := int(time.Since(begun) / (5 * time.Second)); s > shown {
					shown = s
					r.say("%s: has read %d bytes", id, got)
				}
			}
			r.say("%s: read whole, %d ms after it began", id, time.Since(begun).Milliseconds())
		}()
	}
	clients.Wait()
}
