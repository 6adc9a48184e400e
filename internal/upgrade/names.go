package upgrade

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"golang.org/x/sys/unix"
)

// NameRegistry tells the processes of one proxy which request names are in use in the others. It holds no
// data of its own: a name is a lock on some bytes of an empty file in a directory that the processes share,
// so that two processes can't claim one name at once, and the kernel drops the locks of a process that has
// ended. Open file description locks are used (fcntl(2), F_OFD_SETLK): none of the calls waits.
//
// The file also tells which processes there are, and which of them claim the names of their requests: a
// process does so only while there is another one. Any goroutine may use a NameRegistry.
type NameRegistry struct {
	file *os.File
	slot int64

	mu   sync.Mutex
	held map[uint64]int // how often this process has claimed each name, by its hash
}

// nameFile is the file whose bytes stand for processes and names.
const nameFile = "lilacglade.names"

// Layout of the file: a byte for each process that is there, one for each that claims names, and two for each
// name: the first is locked while it is in use, the second, too, if its request must not run again.
const (
	maxProcesses = 16
	claimingAt   = maxProcesses
	namesAt      = 1 << 32
	nameBits     = 61
	nameSize     = 2
	namesEnd     = namesAt + nameSize<<nameBits
)

// errProcessLimit reports that there are as many processes as the file has room for.
var errProcessLimit = errors.New("too many processes share the names")

// OpenNameRegistry joins the processes that share the names in a directory.
func OpenNameRegistry(dir string) (*NameRegistry, error) {
	file, err := os.OpenFile(filepath.Join(dir, nameFile), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	r := &NameRegistry{file: file, held: map[uint64]int{}}
	for ; r.slot < maxProcesses; r.slot++ {
		locked, err := r.lock(r.slot, 1)
		if err != nil {
			_ = file.Close()
			return nil, fmt.Errorf("%s: %w", nameFile, err)
		}
		if locked {
			return r, nil
		}
	}
	_ = file.Close()
	return nil, errProcessLimit
}

// Close leaves the processes that share the names, and frees those that this one has claimed.
func (r *NameRegistry) Close() error { return r.file.Close() }

// control calls fcntl for a lock on some bytes.
func (r *NameRegistry) control(command int, lockType int16, start, length int64) (unix.Flock_t, error) {
	lock := unix.Flock_t{Type: lockType, Whence: unix.SEEK_SET, Start: start, Len: length}
	for {
		if err := unix.FcntlFlock(r.file.Fd(), command, &lock); err != unix.EINTR {
			return lock, err
		}
	}
}

// lock locks bytes, and reports false if another process has locked one of them.
func (r *NameRegistry) lock(start, length int64) (bool, error) {
	_, err := r.control(unix.F_OFD_SETLK, unix.F_WRLCK, start, length)
	if err == unix.EAGAIN || err == unix.EACCES {
		return false, nil
	}
	return err == nil, err
}

// unlock unlocks bytes.
func (r *NameRegistry) unlock(start, length int64) error {
	_, err := r.control(unix.F_OFD_SETLK, unix.F_UNLCK, start, length)
	return err
}

// foreign returns a lock of another process on some of the bytes, false if there is none.
func (r *NameRegistry) foreign(start, end int64) (unix.Flock_t, bool, error) {
	lock, err := r.control(unix.F_OFD_GETLK, unix.F_WRLCK, start, end-start)
	return lock, err == nil && lock.Type != unix.F_UNLCK, err
}

// Processes returns how many other processes there are, and whether all of them claim names.
func (r *NameRegistry) Processes() (others int, allClaim bool, _ error) {
	if _, any, err := r.foreign(0, maxProcesses); !any || err != nil {
		return 0, true, err
	}
	allClaim = true
	for slot := range int64(maxProcesses) {
		_, isThere, err := r.foreign(slot, slot+1)
		if err != nil {
			return 0, false, err
		}
		if !isThere {
			continue
		}
		others++
		_, claims, err := r.foreign(claimingAt+slot, claimingAt+slot+1)
		if err != nil {
			return 0, false, err
		}
		allClaim = allClaim && claims
	}
	return others, allClaim, nil
}

// SetClaiming tells the others whether this process claims the names of its requests.
func (r *NameRegistry) SetClaiming(on bool) error {
	if !on {
		return r.unlock(claimingAt+r.slot, 1)
	}
	_, err := r.lock(claimingAt+r.slot, 1)
	return err
}

// nameStart returns the first byte that stands for a name.
func nameStart(hash uint64) int64 { return namesAt + nameSize*int64(hash>>(64-nameBits)) }

// Claim claims the name with a hash, and reports false if another process has claimed it, or if that can't be
// told. Unsafe means that its request must not run again. Each Claim of a name needs a Release.
func (r *NameRegistry) Claim(hash uint64, unsafe bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	length := int64(1)
	if unsafe {
		length = nameSize
	}
	if locked, err := r.lock(nameStart(hash), length); !locked || err != nil {
		return false
	}
	r.held[hash]++
	return true
}

// Release takes one Claim of a name back. A name that was not claimed stays free.
func (r *NameRegistry) Release(hash uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.held[hash] {
	case 0:
		return
	case 1:
		delete(r.held, hash)
		_ = r.unlock(nameStart(hash), nameSize) // it can't fail for bytes that are locked
	default:
		r.held[hash]--
	}
}

// ReleaseAll takes back all claims.
func (r *NameRegistry) ReleaseAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.held)
	_ = r.unlock(namesAt, namesEnd-namesAt)
}

// ForeignUnsafe returns hashes of the names that other processes have claimed and whose requests must not run
// again, at most limit. They stand for the same names as the hashes that were claimed, but need not be equal:
// only the bits that the file has room for are known.
func (r *NameRegistry) ForeignUnsafe(limit int) (hashes []uint64, _ error) {
	ranges := [][2]int64{{namesAt, namesEnd}}
	for len(ranges) > 0 && len(hashes) < limit {
		last := ranges[len(ranges)-1]
		ranges = ranges[:len(ranges)-1]
		lock, found, err := r.foreign(last[0], last[1])
		if err != nil {
			return hashes, err
		}
		if !found {
			continue
		}
		// Adjacent names share one lock.
		end := lock.Start + lock.Len
		for at := lock.Start; at < end; at += nameSize {
			if at+1 < end {
				hashes = append(hashes, uint64(at-namesAt)/nameSize<<(64-nameBits))
			}
		}
		if lock.Start > last[0] {
			ranges = append(ranges, [2]int64{last[0], lock.Start})
		}
		if end < last[1] {
			ranges = append(ranges, [2]int64{end, last[1]})
		}
	}
	return hashes, nil
}
