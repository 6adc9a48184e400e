// Command toy runs a stand-in for discovery and three servers on the local host, to try the proxy
// with examples/config.json. Each response names the host, the length of the request's body in bytes
// and the request's ID.
package main

import (
	"fmt"
	"io"
	"log"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	discoveryAddr = "127.0.0.1:8500"
	firstPort     = 9101
	serverCount   = 3
)

func main() {
	var list []string
	for i := range serverCount {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+i)
		list = append(list, fmt.Sprintf(`{"instanceId":"toy-%d","hostPort":"%s","zone":"harbor-st",`+
			`"machineType":"std-2","cell":0,"lifecycle":"ready","weight":1.0,"startedAtMs":0}`, i, addr))
		go serve(addr, serverHandler())
	}
	fullList := `{"generation":1,"reset":true,"instances":[` + strings.Join(list, ",") + `]}`
	log.Printf("discovery on %s, %d servers on ports from %d", discoveryAddr, serverCount, firstPort)
	serve(discoveryAddr, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("since") == "" {
			fmt.Fprint(w, fullList)
			return
		}
		wait, err := time.ParseDuration(r.URL.Query().Get("timeout_ms") + "ms")
		if err != nil {
			http.Error(w, "timeout_ms", http.StatusBadRequest)
			return
		}
		select { // the list never changes: answer without changes when the wait is over
		case <-time.After(wait):
			fmt.Fprint(w, `{"generation":1,"reset":false,"instances":[]}`)
		case <-r.Context().Done():
		}
	}))
}

// serve serves HTTP on addr with h. It ends the process if it cannot listen.
func serve(addr string, h http.Handler) {
	log.Fatal(http.ListenAndServe(addr, h))
}

// serverHandler returns the handler of one server. It reports its requests in flight and the latency in
// milliseconds in the header Server-Load.
func serverHandler() http.Handler {
	var inFlight atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := inFlight.Add(1)
		defer inFlight.Add(-1)
		started := time.Now()
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		w.Header().Set("Server-Load", fmt.Sprintf("inflight=%d,latency_ms=%d",
			n, time.Since(started).Milliseconds()))
		fmt.Fprintf(w, "%s: %d bytes for request %s\n", r.Host, len(body), r.Header.Get("Request-Id"))
	})
}
