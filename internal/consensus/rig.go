//go:build rig

package consensus

import (
	"os"
	"syscall"
)

// rigFull simulates a full disk while a file of its name with the suffix ".full" exists.
func rigFull(path string) error {
	if _, err := os.Stat(path + ".full"); err == nil {
		return &os.PathError{Op: "write", Path: path, Err: syscall.ENOSPC}
	}
	return nil
}
