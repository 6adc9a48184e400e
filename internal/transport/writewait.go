package transport

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

// stallTimeout is how long the other side of a connection may take or send nothing before it counts as
// broken.
const stallTimeout = 10 * time.Second

// stallChecks is how often a wait looks for bytes that were taken, within the time that the other side
// may take none.
const stallChecks = 10

// errStalled reports that the other side of a connection has taken nothing for too long.
var errStalled = errors.New("the other side takes nothing")

// noTimeout stands for no limit where a timeout has to be given.
const noTimeout = 24 * time.Hour

// writeLimit is how long a write may wait for the other side.
type writeLimit struct {
	deadline time.Time     // zero: no deadline
	stall    time.Duration // how long the other side may take nothing; 0: no limit
}

// unknownQueue means that the kernel doesn't tell how many bytes it holds.
const unknownQueue = -1

// writeWait measures the wait of one write. A write that is not complete says nothing of the other side:
// the kernel takes more only once a large part of its buffer is free, for which a slow reader needs long.
// So the bytes count that the other side has acknowledged.
type writeWait struct {
	limit   writeLimit
	movedAt time.Time // when the other side last took bytes; at first the start of the write
	queued  int       // bytes that the kernel held for it at the last look, or unknownQueue
}

func newWriteWait(limit writeLimit) writeWait {
	return writeWait{limit: limit, movedAt: time.Now(), queued: unknownQueue}
}

// moved records that the kernel has accepted bytes.
func (w *writeWait) moved(now time.Time) { w.movedAt, w.queued = now, unknownQueue }

// unacknowledged returns how many bytes the kernel holds for the other side of a connection, or
// unknownQueue.
func unacknowledged(fd int) int {
	queued, err := unix.IoctlGetInt(fd, unix.TIOCOUTQ)
	if err != nil {
		return unknownQueue
	}
	return queued
}

// look compares the result of unacknowledged with that of the last look: fewer bytes mean that the other
// side has taken some. Bytes that were written between the two without a call of moved may hide that,
// until the next look.
func (w *writeWait) look(queued int, now time.Time) {
	if queued != unknownQueue && queued < w.queued {
		w.movedAt = now
	}
	w.queued = queued
}

// stalled reports whether the other side has taken nothing for too long.
func (w *writeWait) stalled(now time.Time) bool {
	return w.limit.stall > 0 && now.Sub(w.movedAt) >= w.limit.stall
}

// expired reports whether the write must not wait any longer.
func (w *writeWait) expired(now time.Time) bool {
	return !w.limit.deadline.IsZero() && !now.Before(w.limit.deadline) || w.stalled(now)
}

// untilDeadline returns how long the deadline is away.
func (w *writeWait) untilDeadline(now time.Time) time.Duration {
	if w.limit.deadline.IsZero() {
		return noTimeout
	}
	return w.limit.deadline.Sub(now)
}

// untilLook returns how long to wait before the next look, or until the deadline.
func (w *writeWait) untilLook(now time.Time) time.Duration {
	if w.limit.stall <= 0 {
		return w.untilDeadline(now)
	}
	return min(w.limit.stall/stallChecks, w.untilDeadline(now))
}
