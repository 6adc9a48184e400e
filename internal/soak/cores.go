package soak

import (
	"os/exec"
	"runtime"

	"golang.org/x/sys/unix"
)

// startOn starts a command that runs on some of the machine's cores only; none named: on all. The child has
// the cores of the thread that starts it, which gets its own back.
func startOn(cmd *exec.Cmd, cores []int) error {
	if len(cores) == 0 {
		return cmd.Start()
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, set unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		return err
	}
	for _, core := range cores {
		set.Set(core)
	}
	if err := unix.SchedSetaffinity(0, &set); err != nil {
		return err
	}
	err := cmd.Start()
	if back := unix.SchedSetaffinity(0, &before); err == nil {
		err = back
	}
	return err
}
