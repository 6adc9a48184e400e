// Package transient tells which errors of system calls are of the moment and of this machine: the same call
// may succeed soon, nothing has come of the one that failed, and nobody else is to blame. It is pure.
package transient

import (
	"errors"
	"syscall"
	"time"
)

// Transfer tells whether a read or write on a connection may be tried again.
func Transfer(err error) bool {
	return isOne(err, syscall.EINTR, syscall.EAGAIN, syscall.ENOBUFS, syscall.ENOMEM)
}

// Opening tells whether a socket could not be had, connected or listened on for want of something on this
// machine, or since its network is away.
func Opening(err error) bool {
	return Transfer(err) || isOne(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOSPC, syscall.EADDRNOTAVAIL,
		syscall.EADDRINUSE, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EACCES, syscall.EPERM)
}

// Reading tells whether a file that can't be read now may be read soon.
func Reading(err error) bool {
	return isOne(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.EINTR, syscall.EAGAIN, syscall.EIO)
}

// Writing tells whether a file could not be written for a reason that may pass: nothing is wrong with what
// it holds.
func Writing(err error) bool {
	return Reading(err) || isOne(err, syscall.ENOSPC, syscall.EDQUOT, syscall.EROFS, syscall.EACCES,
		syscall.EPERM, syscall.EFBIG)
}

func isOne(err error, all ...syscall.Errno) bool {
	for _, no := range all {
		if errors.Is(err, no) {
			return true
		}
	}
	return false
}

// retryPause is waited between two tries.
const retryPause = 20 * time.Millisecond

// Retry does something until it succeeds, fails for good, or has failed for so long.
func Retry(within time.Duration, passes func(error) bool, do func() error) error {
	for by := time.Now().Add(within); ; time.Sleep(retryPause) {
		err := do()
		if err == nil || !passes(err) || time.Now().After(by) {
			return err
		}
	}
}
