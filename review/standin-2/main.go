// Command standin2 plays the cases of the second review, one for each argument, in the case's folder: it
// starts the program with the commands of the deploy file, stands in for clients, album servers and the
// platform, and judges by what these see. It exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// cases are the cases by name.
var cases = map[string]func(*run) int{"second-answer": secondAnswer, "address-reused": addressReused,
	"turned-away": turnedAway, "restarted-waiting": restartedWaiting,
	"longer-deadline": longerDeadline, "reset-upload": resetUpload, "left-upload": leftUpload,
	"two-processes": twoProcesses, "half-requests": halfRequests}

// maxRun ends a case that hangs: a script may take 120 s.
const maxRun = 110 * time.Second

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE, in the folder of the case")
		os.Exit(couldNot)
	}
	r, err := newRun()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	verdict := make(chan int, 1)
	go func() { verdict <- cases[os.Args[1]](r) }()
	select {
	case code := <-verdict:
		os.Exit(code)
	case <-time.After(maxRun):
		os.Exit(r.end(couldNot, "the case took longer than %v", maxRun))
	}
}
