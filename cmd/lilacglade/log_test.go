package main

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

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
