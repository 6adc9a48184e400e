package transport

import (
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	lg "lilacglade"
	"lilacglade/internal/fencing"
	"lilacglade/internal/serverlist"
)

// inbox takes what happens on any goroutine to the one that runs the reducer. Posting never
// waits, so that neither a poller nor the reducer itself can be held up by it.
type inbox struct {
	mu    sync.Mutex
	items []any
	wake  chan struct{}
}

func newInbox() *inbox { return &inbox{wake: make(chan struct{}, 1)} }

func (b *inbox) post(item any) {
	b.mu.Lock()
	b.items = append(b.items, item)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// take empties the inbox; spare is used for what comes next.
func (b *inbox) takeAll(spare []any) []any {
	b.mu.Lock()
	defer b.mu.Unlock()
	items := b.items
	b.items = spare[:0]
	return items
}

// What the goroutines round the reducer post.
type (
	accepted struct{ conn *connection }
	bytesIn  struct {
		conn         *connection
		data         []byte
		truncated    bool // more came and was dropped
		readAt       time.Time
		delay        time.Duration // it may have come so long before it was read
		fromDetached bool          // from a raw leg
	}
	detached     struct{ conn *connection }
	bodyComplete struct { // a caller's body has come to its end
		stream *bodyStream
		readAt time.Time
	}
	bodyFailed struct { // a caller's body came wrongly or too slowly
		conn *connection
		err  error
	}
	connUnusable  struct{ conn *connection }
	requestUnsent struct{ conn *connection } // nothing was written, and the leg is as good as before
	clientHungUp  struct{ conn *connection } // a caller has left, whatever of it is still unread
	connClosed    struct {
		conn  *connection
		reset bool // it did not end in good order: what came on it is no whole answer by that
	}
	written struct {
		conn     *connection
		err      error       // why it was not written whole; nil: it was
		stream   *bodyStream // that was passed on; nil: a whole message was written
		leftover []byte      // what had come behind its body
	}
	dialed struct {
		conn       *connection
		socket     netpoll.Connection // nil when it failed
		localFault bool               // by a fault of this machine
	}
	// reached says that a watcher's call has a connection.
	discoveryConnected struct{ watcher *watcher }

	listDocument struct {
		from       *watcher
		list       serverlist.Document
		err        error
		malformed  bool          // it came whole and makes no sense
		size       int           // of it
		decodeTime time.Duration // how long it took to be read
		callNumber uint64        // the number of the call that it answers
		duration   time.Duration // from the call's beginning to its end
	}
	reloaded         struct{ reload Reload }
	stopping         struct{}
	overlapEnded     struct{} // the process before this one has ended
	quiesceCheck     struct{ conn *connection }
	acceptQueueEmpty struct{}
	factsUpdated     struct {
		facts fencing.Facts[lg.ServerID]
		own   uint64
	}
	serveFailed struct{ err error }
)
