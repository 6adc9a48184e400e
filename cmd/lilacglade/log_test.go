package main

import (
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"syscall"
	"testing"
	"time"
)

// TestFailedRequestIsLogged covers the log line for a request that no server answered successfully.
func TestFailedRequestIsLogged(t *testing.T) {
	for pattern, answer := range map[string]http.HandlerFunc{
		`request "r1" is answered "broken" after .*: 1 attempts, last result error \(0 more`: func(
			w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(500)
		},
		`request "r1" is answered "busy" after .*: [1-5] attempts, last result full \(0 more`: func(
			w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Started", "1")
			w.WriteHeader(503)
		},
	} {
		n := startProxy(t, startDiscovery(t, startServer(t, answer)))
		_, r := n.send(fullRequest)
		n.readResponse(r)
		line := regexp.MustCompile(pattern)
		n.waitFor(pattern, func() bool { return line.MatchString(n.log.String()) })
	}
}

// TestClosedLogPipe covers a log reader that exits: SIGPIPE would otherwise end the proxy.
func TestClosedLogPipe(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(binary, "serve", "--config", exampleConfig)
	n := startCommand(t, startDiscovery(t, startServer(t, echo)), cmd)
	n.waitFor("it serves", func() bool { return n.healthStatus() == 200 })
	_ = cmd.Process.Kill()
	_, _ = cmd.Process.Wait()

	restarted := exec.Command(binary, "serve", "--config", exampleConfig)
	restarted.Env, restarted.Stderr = cmd.Env, w
	if err := restarted.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = restarted.Process.Kill(); _ = restarted.Wait() })
	w.Close()
	n.waitFor("it serves again", func() bool { return n.healthStatus() == 200 })
	r.Close()
	for range 3 { // each reload is logged
		if err := restarted.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Millisecond)
	}
	n.waitFor("it still serves", func() bool { return n.healthStatus() == 200 })
}
