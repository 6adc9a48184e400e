// Package transient classifies errors of system calls as transient and local: the same call may succeed soon,
// the failed call had no effect, and the cause is on this machine and not at a peer.
package transient

import (
	"errors"
	"syscall"
	"time"
)

// Transfer reports whether a read or write on a connection may be retried.
func Transfer(err error) bool {
	return isAny(err, syscall.EINTR, syscall.EAGAIN, syscall.ENOBUFS, syscall.ENOMEM)
}

// Opening reports whether opening, connecting or listening on a socket failed because this machine lacks a
// resource or its network is down.
func Opening(err error) bool {
	return Transfer(err) || isAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOSPC, syscall.EADDRNOTAVAIL,
		syscall.EADDRINUSE, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EACCES, syscall.EPERM)
}

// Reading reports whether a file that could not be read may be readable soon.
func Reading(err error) bool {
	return isAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.EINTR, syscall.EAGAIN, syscall.EIO)
}

// Writing reports whether a file could not be written for a transient reason, which leaves its content
// intact.
func Writing(err error) bool {
	return Reading(err) || isAny(err, syscall.ENOSPC, syscall.EDQUOT, syscall.EROFS, syscall.EACCES,
		syscall.EPERM, syscall.EFBIG)
}

func isAny(err error, all ...syscall.Errno) bool {
	for _, errno := range all {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// retryPause is the time between two attempts.
const retryPause = 20 * time.Millisecond

// Retry calls do until it succeeds, returns an error for which passes returns false, or the time within is
// over. It returns the last error.
func Retry(within time.Duration, passes func(error) bool, do func() error) error {
	for deadline := time.Now().Add(within); ; time.Sleep(retryPause) {
		err := do()
		if err == nil || !passes(err) || time.Now().After(deadline) {
			return err
		}
	}
}
