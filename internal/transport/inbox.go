package transport

import (
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	lg "lilacglade"
	"lilacglade/internal/fencing"
	"lilacglade/internal/serverlist"
)

// inbox carries items from any goroutine to the one that runs the reducer. Posting never waits, so
// that it can block neither a poller nor the reducer itself.
type inbox struct {
	mu    sync.Mutex
	items []any
	wake  chan struct{}
}

func newInbox() *inbox { return &inbox{wake: make(chan struct{}, 1)} }

// post appends an item and wakes the reducer's goroutine.
func (b *inbox) post(item any) {
	b.mu.Lock()
	b.items = append(b.items, item)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// takeAll empties the inbox; spare is reused for the next items.
func (b *inbox) takeAll(spare []any) []any {
	b.mu.Lock()
	defer b.mu.Unlock()
	items := b.items
	b.items = spare[:0]
	return items
}

// The items that other goroutines post to the reducer's goroutine.
type (
	accepted struct{ conn *connection }
	bytesIn  struct {
		conn         *connection
		data         []byte
		truncated    bool // more arrived and was dropped
		readAt       time.Time
		delay        time.Duration // how long before it was read it may have arrived
		reserved     int           // bytes that were counted in requestMemory before it was read
		fromDetached bool          // read by readNext
	}
	detached    struct{ conn *connection }
	bodyArrived struct { // the last byte of a client's body has arrived, though nobody may have reported it
		stream       *bodyStream
		arrivedAfter time.Time // it was not here before
	}
	bodyComplete struct { // the last byte of a client's body was read
		stream *bodyStream
		readAt time.Time
	}
	bodyFailed struct { // a client's body was malformed or too slow
		stream *bodyStream
		err    error
	}
	connUnusable  struct{ conn *connection } // nothing was written: the connection can't carry a request
	requestUnsent struct{ conn *connection } // nothing was written, and the connection is still usable
	clientHungUp  struct{ conn *connection } // a client has closed its connection, even if input is still unread
	connClosed    struct {
		conn  *connection
		reset bool // not closed in good order: its end doesn't complete a response
	}
	written struct {
		conn   *connection
		err    error       // why it was not written completely; nil: it was
		stream *bodyStream // that was copied; nil: a complete message was written
	}
	dialed struct {
		conn       *connection
		socket     netpoll.Connection // nil if it failed
		localFault bool               // the local machine caused the failure
	}
	// discoveryConnected reports that a watcher's call has a connection.
	discoveryConnected struct{ watcher *watcher }

	// listDocument is the result of a call to discovery.
	listDocument struct {
		from       *watcher
		list       serverlist.Document
		err        error
		malformed  bool          // it is complete but can't be decoded
		size       int           // of the encoded document, in bytes
		decodeTime time.Duration // time spent decoding
		callNumber uint64        // the number of the call that it answers
		duration   time.Duration // from the call's start to its end
	}
	reloaded     struct{ reload Reload }
	stopping     struct{}
	overlapEnded struct{} // the previous process has exited
	// idleCheck asks for a ClientIdleConfirmed event if the connection is idle by then.
	idleCheck          struct{ conn *connection }
	acceptQueueDrained struct{} // all clients that had connected were accepted and posted
	// fencingUpdated brings the coordination group's decisions on machines. OwnGrant is the grant by which this
	// proxy's own machine is taken out; 0: it is not.
	fencingUpdated struct {
		facts    fencing.Restrictions[lg.ServerID]
		ownGrant uint64
	}
	pausedReadsDue struct{}            // the paused connections are to be looked at
	serveFailed    struct{ err error } // netpoll's event loop has ended
)
