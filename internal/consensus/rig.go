//go:build rig

package consensus

import (
	"os"
	"syscall"
)

// rigFull takes a disk for full while there is a file of its name and ".full".
func rigFull(path string) error {
	if _, err := os.Stat(path + ".full"); err == nil {
		return &os.PathError{Op: "write", Path: path, Err: syscall.ENOSPC}
	}
	return nil
}
