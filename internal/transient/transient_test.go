package transient

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

func TestKinds(t *testing.T) {
	for _, tc := range []struct {
		err                                 error
		transfer, opening, reading, writing bool
	}{
		{syscall.EINTR, true, true, true, true},
		{syscall.ENOBUFS, true, true, false, false},
		{syscall.ECONNRESET, false, false, false, false},
		{syscall.ECONNREFUSED, false, false, false, false},
		{syscall.ETIMEDOUT, false, false, false, false},
		{syscall.EHOSTUNREACH, false, false, false, false},
		{&net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}, false, true, true, true},
		{fmt.Errorf("dial: %w", syscall.ENETUNREACH), false, true, false, false},
		{&os.PathError{Op: "open", Err: syscall.ENOENT}, false, false, false, false},
		{&os.PathError{Op: "write", Err: syscall.ENOSPC}, false, true, false, true},
		{nil, false, false, false, false},
	} {
		got := [4]bool{Transfer(tc.err), Opening(tc.err), Reading(tc.err), Writing(tc.err)}
		if want := [4]bool{tc.transfer, tc.opening, tc.reading, tc.writing}; got != want {
			t.Errorf("%v: %v, want %v", tc.err, got, want)
		}
	}
}

func TestRetry(t *testing.T) {
	broken := errors.New("broken")
	for _, tc := range []struct {
		fails    []error
		want     error
		attempts int
	}{
		{nil, nil, 1},
		{[]error{syscall.EMFILE, syscall.EMFILE}, nil, 3},
		{[]error{syscall.EMFILE, broken}, broken, 2},
	} {
		attempts := 0
		err := Retry(time.Minute, Opening, func() error {
			attempts++
			if attempts <= len(tc.fails) {
				return tc.fails[attempts-1]
			}
			return nil
		})
		if err != tc.want || attempts != tc.attempts {
			t.Errorf("%v: %v after %d attempts, want %v after %d", tc.fails, err, attempts, tc.want, tc.attempts)
		}
	}
	if err := Retry(0, Opening, func() error { return syscall.EMFILE }); err != syscall.EMFILE {
		t.Errorf("no time left: %v", err)
	}
}
