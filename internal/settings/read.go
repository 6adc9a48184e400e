package settings

import (
	"errors"
	"os"
	"syscall"
	"time"
)

// How long a file that can't be read for the moment is tried again. A configuration that was put in place is
// not dropped because the process was out of descriptors when it was told of it.
const (
	readFor   = 2 * time.Second
	readPause = 20 * time.Millisecond
)

// readFile reads a whole file.
func readFile(path string) ([]byte, error) {
	for by := time.Now().Add(readFor); ; time.Sleep(readPause) {
		raw, err := os.ReadFile(path)
		if err == nil || !passing(err) || time.Now().After(by) {
			return raw, err
		}
	}
}

// passing tells whether a file may be read soon, though it can't be now.
func passing(err error) bool {
	for _, no := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.EINTR,
		syscall.EAGAIN, syscall.EIO} {
		if errors.Is(err, no) {
			return true
		}
	}
	return false
}
