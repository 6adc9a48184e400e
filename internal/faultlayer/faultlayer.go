// Package faultlayer has the clock and the system calls of a real process go wrong, for tests. A small
// library (shim/faultlayer.c, with what differs by machine in shim/machine.h) is loaded into the process; a
// control file that both sides map says what goes wrong, and may change at any time. Nothing of it is part of
// the program. It needs Linux on amd64 or arm64 and the C compiler that cgo needs anyway.
package faultlayer

import (
	"embed"
	"encoding/binary"
	"fmt"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

//go:embed shim
var sources embed.FS

// sourceDir is the folder of the library's source in sources.
const sourceDir = "shim"

// Call is a kind of system call that may go wrong.
type Call uint32

// The kinds. Read and Write are those of sockets; FileWrite, FileSync, Rename and Open those of files.
const (
	Accept Call = iota + 1
	Connect
	Socket
	Read
	Write
	Wait
	Shutdown
	SetSockopt
	FileWrite
	FileSync
	Rename
	Open
	EpollCtl
)

// groups are the names by which the library is told which calls to look at.
var groups = map[Call]string{Accept: "accept", Connect: "connect", Socket: "socket", Read: "read",
	Write: "write", Wait: "wait", Shutdown: "shutdown", SetSockopt: "setsockopt", FileWrite: "write",
	FileSync: "sync", Rename: "rename", Open: "open", EpollCtl: "epoll_ctl"}

// Action is how a call goes wrong.
type Action uint32

// The actions.
const (
	Fail  Action = iota + 1 // the call fails with Errno and does nothing
	Short                   // at most Most bytes are moved
	Break                   // the connection is given up by the kernel, and the call fails with Errno
	Delay                   // the call comes late by For
)

// Rule has calls of one kind go wrong.
type Rule struct {
	Call   Call
	Action Action
	Errno  syscall.Errno
	Most   int
	For    time.Duration
	Every  int    // one call of so many; 0: each
	Times  int    // so many calls at most; 0: any number
	Port   uint16 // only sockets with this local or remote port; 0: any
}

// The layout that the library has, too.
const (
	magic       = 0x66617566746c7931
	headSize    = 16
	ruleSize    = 48
	maxRules    = 32
	offsetClock = 8
	offsetRules = headSize
)

// Offsets in a rule.
const (
	ruleCall   = 0
	ruleAction = 4
	ruleValue  = 8
	ruleEvery  = 12
	ruleLeft   = 16
	rulePort   = 24
	ruleSeen   = 28
	ruleHits   = 32
)

// Build compiles the library into a folder and returns its file.
func Build(dir string) (string, error) {
	if err := writeSources(dir); err != nil {
		return "", err
	}
	code, library := filepath.Join(dir, "faultlayer.c"), filepath.Join(dir, "faultlayer.so")
	out, err := exec.Command("cc", "-Wall", "-Werror", "-O2", "-fPIC", "-shared", "-o", library, code,
		"-ldl").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("the fault layer can't be built: %w: %s", err, out)
	}
	return library, nil
}

// writeSources writes the library's source files into a folder.
func writeSources(dir string) error {
	files, err := sources.ReadDir(sourceDir)
	if err != nil {
		return err
	}
	for _, file := range files {
		text, err := sources.ReadFile(path.Join(sourceDir, file.Name()))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, file.Name()), text, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// Layer is the faults of one process, which may be started several times. Its methods may be called from any
// goroutine.
type Layer struct {
	library, control string
	mem              []byte
	mu               sync.Mutex
}

// New makes a layer without any fault, with its control file in a folder.
func New(library, dir string) (*Layer, error) {
	control := filepath.Join(dir, "faultlayer.control")
	raw := make([]byte, headSize+maxRules*ruleSize)
	binary.LittleEndian.PutUint64(raw, magic)
	if err := os.WriteFile(control, raw, 0o600); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(control, os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	mem, err := syscall.Mmap(int(f.Fd()), 0, len(raw), syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return nil, err
	}
	return &Layer{library: library, control: control, mem: mem}, nil
}

// Close gives the memory back. The layer must not be used any more.
func (l *Layer) Close() error { return syscall.Munmap(l.mem) }

// Env is what a process needs in its environment to run under the layer, with the kinds of calls that may go
// wrong in it. With none only its clock may be wrong, which costs it nothing else.
func (l *Layer) Env(calls ...Call) []string {
	names := ""
	for i, c := range calls {
		if i > 0 {
			names += ","
		}
		names += groups[c]
	}
	return []string{"LD_PRELOAD=" + l.library, "FAULT_LAYER_CONTROL=" + l.control, "FAULT_LAYER_CALLS=" + names}
}

// SetClock has the process's wall clock be ahead of the machine's by so much from now on.
func (l *Layer) SetClock(ahead time.Duration) {
	atomic.StoreInt64((*int64)(unsafe.Pointer(&l.mem[offsetClock])), int64(ahead))
}

// Clock is how far the process's wall clock is ahead.
func (l *Layer) Clock() time.Duration {
	return time.Duration(atomic.LoadInt64((*int64)(unsafe.Pointer(&l.mem[offsetClock]))))
}

// Slot names a rule that is in force.
type Slot int

// Add puts a rule into force.
func (l *Layer) Add(r Rule) (Slot, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range maxRules {
		at := l.rule(Slot(i))
		if *at32(at, ruleCall) != 0 {
			continue
		}
		value := int32(r.Errno)
		switch r.Action {
		case Short:
			value = int32(r.Most)
		case Delay:
			value = int32(r.For.Microseconds())
		}
		left := int64(r.Times)
		if left == 0 {
			left = -1
		}
		*at32(at, ruleAction) = uint32(r.Action)
		*at32(at, ruleValue) = uint32(value)
		*at32(at, ruleEvery) = uint32(r.Every)
		*at32(at, rulePort) = uint32(r.Port)
		*at32(at, ruleSeen) = 0
		atomic.StoreInt64((*int64)(unsafe.Pointer(&at[ruleLeft])), left)
		atomic.StoreUint64((*uint64)(unsafe.Pointer(&at[ruleHits])), 0)
		atomic.StoreUint32(at32(at, ruleCall), uint32(r.Call))
		return Slot(i), nil
	}
	return 0, fmt.Errorf("at most %d rules at once", maxRules)
}

// Remove takes a rule out of force and returns how many calls it had go wrong.
func (l *Layer) Remove(s Slot) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.rule(s)
	atomic.StoreUint32(at32(at, ruleCall), 0)
	return l.hits(at)
}

// Hits is how many calls a rule has had go wrong.
func (l *Layer) Hits(s Slot) uint64 { return l.hits(l.rule(s)) }

// Clear takes all rules out of force; the clock stays as it is.
func (l *Layer) Clear() {
	for i := range maxRules {
		l.Remove(Slot(i))
	}
}

func (l *Layer) hits(at []byte) uint64 {
	return atomic.LoadUint64((*uint64)(unsafe.Pointer(&at[ruleHits])))
}

func (l *Layer) rule(s Slot) []byte {
	at := offsetRules + int(s)*ruleSize
	return l.mem[at : at+ruleSize]
}

func at32(b []byte, offset int) *uint32 { return (*uint32)(unsafe.Pointer(&b[offset])) }
