// Command standin runs one case of the review: it starts the program under review with the command of the
// deploy file, plays clients, album servers, discovery and the platform, and judges what they see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// longest is how long a case may run.
const longest = 115 * time.Second

var cases = map[string]func(*run){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, from the root of the repository")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs a case and returns its exit code.
func play(body func(*run), folder string) (code int) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(tmp)
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", root: root, tmp: tmp, began: time.Now(), record: record}
	r.say("trouble: %t", r.trouble)
	done := make(chan any, 1)
	go func() {
		defer func() { done <- recover() }()
		body(r)
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	var failure any
	select {
	case failure = <-done:
	case <-time.After(longest):
		failure = unable("the case took too long")
	case <-stop:
		failure = unable("the case was stopped")
	}
	r.end()
	switch {
	case len(r.broken) > 0:
		code = 1
	case failure != nil:
		r.say("the case could not run: %v", failure)
		fmt.Println("the case could not run:", failure)
		return 2
	}
	for _, line := range r.broken {
		fmt.Println("broken:", line)
	}
	r.say("exit %d", code)
	return code
}
