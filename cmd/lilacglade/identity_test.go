package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestRequestsFollowTheProcess guards against requests that go on to the process that a server was before,
// once discovery has written that it is another one elsewhere.
func TestRequestsFollowTheProcess(t *testing.T) {
	var before, after executions
	beforeAddr, afterAddr := startServer(t, before.handler(0)), startServer(t, after.handler(0))
	list := new(listService)
	publish := func(addr string, started int64) {
		list.publishInstances(fmt.Sprintf(`{"instanceId":"s-1","hostPort":"%s","zone":"harbor-st",`+
			`"machineType":"std-2","cell":0,"lifecycle":"ready","weight":1,"startedAtMs":%d}`, addr, started))
	}
	started := time.Now().Add(-time.Minute).UnixMilli()
	publish(beforeAddr, started)
	discovery := httptest.NewServer(http.Handler(list))
	t.Cleanup(func() { list.publish(); discovery.CloseClientConnections(); discovery.Close() })
	n := startProxy(t, discovery.Listener.Addr().String())
	requests := 0
	send := func() {
		requests++
		conn, r := n.send(strings.Replace(fullRequest, "r1", fmt.Sprint("r", requests), 1))
		defer conn.Close()
		n.readResponse(r)
	}
	send() // leaves an idle connection
	publish(afterAddr, started)
	n.waitFor("the change is written", func() bool { return list.written.Load() != 0 })
	time.Sleep(300 * time.Millisecond) // the grace of a drain and 50 ms
	sentBefore := len(before.times)
	for range 5 {
		send()
	}
	if sent := len(before.times) - sentBefore; sent > 0 || len(after.times) != 5 {
		t.Errorf("%d requests went to the process before, %d to the new one", sent, len(after.times))
	}
}
