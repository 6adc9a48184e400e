package transport

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"lilacglade/internal/http1"
)

// Times of bodies that are passed on as they come.
const (
	uploadGrace = 2 * time.Second  // a caller may rest so long altogether,
	uploadRate  = 48 << 10         // brings at least so many bytes a second beside,
	uploadPause = 2 * time.Second  // and never rests for longer than this, however much it brought before
	stallFor    = 10 * time.Second // a side that takes or gives nothing for so long has broken off
)

// windowSize is what one body may have between its two legs beyond what was there when it began to be
// passed on.
const windowSize = 32 << 10

// windows bounds what all bodies together have between their legs. A body waits for its window.
type windows chan []byte

// windowParts of the memory limit may be in windows.
const windowParts = 8

func newWindows(memory int64) windows {
	w := make(windows, max(4, memory/windowParts/windowSize))
	for range cap(w) {
		w <- nil // made when it is first used
	}
	return w
}

func (w windows) take() []byte {
	if b := <-w; b != nil {
		return b
	}
	return make([]byte, windowSize)
}

// flow is a body that is passed on from one leg to another as it comes. It can begin anew for as long as
// nothing behind what its message holds has been read.
type flow struct {
	m       *http1.Message // with the part of the body that had come when it was found to be large
	from    *leg
	length  int64 // of the body, -1 when it is not known
	windows windows
	upload  bool
	ended   bool // the reducer knows that its last byte has come
	old     bool // who gets it knows no chunks: the end of the connection is the end of the body

	run  sync.Mutex // held while it is being passed on
	body http1.Body // decodes what follows
	rests
	mu   sync.Mutex
	to   *leg // who gets it now, nil when it was stopped
	gone bool // it can't begin anew
}

// rests measures how long a caller was waited for.
type rests struct {
	waited time.Duration
	came   int64
}

// by is when the next bytes must have come.
func (r *rests) by(now time.Time) time.Time {
	may := uploadGrace + time.Duration(r.came)*time.Second/uploadRate
	return now.Add(max(0, min(may-r.waited, uploadPause)))
}

// aim has the body passed on to a leg from now on.
func (f *flow) aim(to *leg) {
	f.mu.Lock()
	f.to = to
	f.mu.Unlock()
}

// stop ends the passing on, unless it goes to another leg by now, and tells whether the body can't
// begin anew. What is read after this is kept.
func (f *flow) stop(to *leg) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.to == to {
		f.to = nil
		_ = f.from.raw.SetReadDeadline(past())
	}
	return f.gone
}

// spent tells whether the body can't begin anew.
func (f *flow) spent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gone
}

// wanted tells whether the leg still gets the body; if so and it was read from, it can't begin anew.
func (f *flow) wanted(to *leg, read bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gone = f.gone || f.to == to && read
	return f.to == to
}

// What ends the passing on of a body.
var (
	errStopped = errors.New("stopped")
	errTaker   = errors.New("the side that gets it broke off")
	errLeft    = errors.New("its caller has left")
)

// left tells whether who brought a request has left. While the request waits nothing is read that would
// tell, and its body may fill what the kernel keeps, so it is asked before the first byte and before the
// last: until that has come, a next hop does nothing.
func (f *flow) left() bool { return f.upload && rawLeft(f.from.raw) }

// pass writes a head, what is there of the body and then the rest as it comes. It returns errStopped,
// errTaker, or what went wrong at the side that gives it; and what had come behind the body. Whole is
// called when the last byte has come.
func (f *flow) pass(to *leg, head [][]byte, whole func()) (rest []byte, _ error) {
	f.run.Lock()
	defer f.run.Unlock()
	switch {
	case !f.wanted(to, false):
		return nil, errStopped
	case f.left():
		return nil, errLeft
	}
	chunks := f.length < 0 && !f.old
	send := func(data []byte, last bool) error {
		bufs := head
		head = nil
		switch {
		case !chunks:
			bufs = append(bufs, data)
		case len(data) > 0:
			bufs = append(bufs, http1.ChunkHead(len(data)), data, http1.ChunkEnd)
		}
		if chunks && last {
			bufs = append(bufs, http1.LastChunk)
		}
		if err := to.send(bufs, stallFor); err != nil {
			if !f.wanted(to, false) {
				return errStopped
			}
			return fmt.Errorf("%w: %w", errTaker, err)
		}
		return nil
	}
	if f.body.Done {
		whole()
		return nil, send(f.m.Body, true)
	}
	if err := send(f.m.Body, false); err != nil {
		return nil, err
	}
	buf := f.windows.take()
	defer func() { f.windows <- buf }()
	for !f.body.Done {
		n, err := f.read(to, buf)
		if n == 0 && err == io.EOF && f.body.TillClose() && !rawReset(f.from.raw) {
			return nil, send(nil, true)
		}
		if n == 0 && err != nil {
			return nil, err
		}
		// What belongs to the body is moved together: an answer to a caller who sends small chunks is not
		// written in as many pieces.
		data, in := buf[:0], buf[:n]
		for len(in) > 0 && !f.body.Done {
			part, behind, err := f.body.Next(in)
			if err != nil {
				return nil, err
			}
			data, in = append(data, part...), behind
		}
		rest = append(rest, in...)
		if !f.wanted(to, true) {
			if !f.spent() {
				f.m.Body = append(f.m.Body, data...)
			}
			return nil, errStopped
		}
		f.m.Body = nil
		if f.body.Done {
			if f.left() {
				return nil, errLeft
			}
			whole()
		}
		if len(data) == 0 && !f.body.Done {
			continue
		}
		if err := send(data, f.body.Done); err != nil {
			return nil, err
		}
	}
	return rest, nil
}

// read reads from the side that gives the body.
func (f *flow) read(to *leg, buf []byte) (int, error) {
	now := time.Now()
	by := now.Add(stallFor)
	if f.upload {
		by = f.by(now)
	}
	if err := f.from.raw.SetReadDeadline(by); err != nil {
		return 0, err
	}
	if !f.wanted(to, false) { // stopped before the deadline was set
		return 0, errStopped
	}
	n, err := f.from.raw.Read(buf)
	f.waited += time.Since(now)
	f.came += int64(n)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !f.wanted(to, false) {
		return 0, errStopped
	}
	return n, err
}
