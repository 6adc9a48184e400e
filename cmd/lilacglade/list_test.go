package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// listService is a discovery service whose list a test replaces. Each answer is the full list.
type listService struct {
	mu      sync.Mutex
	version int
	body    string
	changed chan struct{} // closed at the next change
	written atomic.Int64  // when the list in force was first written, in Unix nanoseconds; 0: not yet
}

// publish replaces the list by one that names the servers at the given addresses.
func (l *listService) publish(addrs ...string) {
	var instances []string
	for _, addr := range addrs {
		instances = append(instances, fmt.Sprintf(`{"instanceId":"s-%s","hostPort":"%[1]s","zone":"harbor-st",`+
			`"machineType":"std-2","cell":0,"lifecycle":"ready","weight":1,"startedAtMs":0}`, addr))
	}
	l.publishInstances(instances...)
}

// publishInstances replaces the list by one of the given instances.
func (l *listService) publishInstances(instances ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	l.body = fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[%s]}`, l.version,
		strings.Join(instances, ","))
	l.written.Store(0)
	if l.changed != nil {
		close(l.changed)
	}
	l.changed = make(chan struct{})
}

// ServeHTTP answers a call for the list; one since the version in force waits for the next.
func (l *listService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	body, changed, wait := l.body, l.changed, r.URL.Query().Get("since") == fmt.Sprint(l.version)
	l.mu.Unlock()
	if wait {
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
		l.mu.Lock()
		body = l.body
		l.mu.Unlock()
	}
	fmt.Fprint(w, body)
	l.written.CompareAndSwap(0, time.Now().UnixNano())
}

// TestListWithoutServersEndsSending guards against requests that are sent to servers after discovery has
// written a full list that names none, and against a process that stays out of service when one returns.
func TestListWithoutServersEndsSending(t *testing.T) {
	const grace = 250 * time.Millisecond // rules: stop-sending-within
	const clockSlack = 50 * time.Millisecond
	const requestInterval = 5 * time.Millisecond
	var lastServed atomic.Int64
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		lastServed.Store(time.Now().UnixNano())
		echo(w, r)
	})
	list := new(listService)
	list.publish(server)
	discovery := httptest.NewServer(list)
	t.Cleanup(func() { list.publish(); discovery.CloseClientConnections(); discovery.Close() })
	n := startProxy(t, discovery.Listener.Addr().String())
	requests := 0
	status := func() int {
		requests++
		conn, r := n.send(strings.Replace(fullRequest, "r1", fmt.Sprint("r", requests), 1))
		defer conn.Close()
		res, _ := n.readResponse(r)
		return res.StatusCode
	}
	if got := status(); got != 200 {
		t.Fatalf("got %d before the change", got)
	}
	list.publish()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
		status()
		time.Sleep(requestInterval)
	}
	told := list.written.Load()
	if late := time.Duration(lastServed.Load() - told); told == 0 || late > grace+clockSlack {
		t.Errorf("a request was sent %v after the list without servers was written", late)
	}
	list.publish(server)
	n.waitFor("served again", func() bool { return status() == 200 })
}
