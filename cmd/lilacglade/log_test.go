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

// TestRefusalIsLogged covers what operators are told of a request that gets no server's answer.
func TestRefusalIsLogged(t *testing.T) {
	for want, answer := range map[string]http.HandlerFunc{
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
		n := start(t, discovery(t, album(t, answer)))
		_, r := n.say(whole)
		n.hear(r)
		line := regexp.MustCompile(want)
		n.until(want, func() bool { return line.MatchString(n.log.String()) })
	}
}

// TestLogReaderThatHasGone guards against a program that ends with the one that reads its log.
func TestLogReaderThatHasGone(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(binary, "serve", "--config", example)
	n := startBy(t, discovery(t, album(t, echo)), cmd)
	n.until("it serves", func() bool { return n.ready() == 200 })
	_ = cmd.Process.Kill()
	_, _ = cmd.Process.Wait()

	again := exec.Command(binary, "serve", "--config", example)
	again.Env, again.Stderr = cmd.Env, w
	if err := again.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = again.Process.Kill(); _ = again.Wait() })
	w.Close()
	n.until("it serves again", func() bool { return n.ready() == 200 })
	r.Close()
	for range 3 { // each of them is logged
		if err := again.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Millisecond)
	}
	n.until("it still serves", func() bool { return n.ready() == 200 })
}
