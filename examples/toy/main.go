// Command toy plays discovery and three album servers on this machine, so that the proxy can
// be tried with examples/config.json. The album servers answer with what they were sent.
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
	discovery = "127.0.0.1:8500"
	firstPort = 9101
	servers   = 3
)

func main() {
	var list []string
	for i := range servers {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+i)
		list = append(list, fmt.Sprintf(`{"instanceId":"toy-%d","hostPort":"%s","zone":"harbor-st",`+
			`"machineType":"std-2","cell":0,"lifecycle":"ready","weight":1.0,"startedAtMs":0}`, i, addr))
		go serve(addr, album())
	}
	whole := `{"generation":1,"reset":true,"instances":[` + strings.Join(list, ",") + `]}`
	log.Printf("discovery on %s, %d album servers from port %d on", discovery, servers, firstPort)
	serve(discovery, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("since") == "" {
			fmt.Fprint(w, whole)
			return
		}
		wait, err := time.ParseDuration(r.URL.Query().Get("timeout_ms") + "ms")
		if err != nil {
			http.Error(w, "timeout_ms", http.StatusBadRequest)
			return
		}
		select { // nothing ever changes here
		case <-time.After(wait):
			fmt.Fprint(w, `{"generation":1,"reset":false,"instances":[]}`)
		case <-r.Context().Done():
		}
	}))
}

func serve(addr string, h http.Handler) {
	log.Fatal(http.ListenAndServe(addr, h))
}

// album is one album server.
func album() http.Handler {
	var inFlight atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := inFlight.Add(1)
		defer inFlight.Add(-1)
		begun := time.Now()
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		w.Header().Set("Server-Load", fmt.Sprintf("inflight=%d,latency_ms=%d", n, time.Since(begun).Milliseconds()))
		fmt.Fprintf(w, "%s: %d bytes for request %s\n", r.Host, len(body), r.Header.Get("Request-Id"))
	})
}
