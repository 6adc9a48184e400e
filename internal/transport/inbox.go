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
func (b *inbox) take(spare []any) []any {
	b.mu.Lock()
	defer b.mu.Unlock()
	items := b.items
	b.items = spare[:0]
	return items
}

// What the goroutines round the reducer post.
type (
	accepted struct{ leg *leg }
	bytesIn  struct {
		leg    *leg
		data   []byte
		cut    bool // more came and was dropped
		read   time.Time
		late   time.Duration // it may have come so long before it was read
		pulled bool          // from a raw leg
	}
	detached struct{ leg *leg }
	whole    struct { // a caller's body has come to its end
		flow *flow
		read time.Time
	}
	spoilt struct { // a caller's body came wrongly or too slowly
		leg *leg
		err error
	}
	unfit  struct{ leg *leg }
	unsent struct{ leg *leg } // nothing was written, and the leg is as good as before
	left   struct{ leg *leg } // a caller has left, whatever of it is still unread
	broken struct {
		leg   *leg
		reset bool // it did not end in good order: what came on it is no whole answer by that
	}
	written struct {
		leg  *leg
		err  error  // why it was not written whole; nil: it was
		flow *flow  // that was passed on; nil: a whole message was written
		rest []byte // what had come behind its body
	}
	dialed struct {
		leg   *leg
		conn  netpoll.Connection // nil when it failed
		local bool               // by a fault of this machine
	}
	// reached says that a watcher's call has a connection.
	reached struct{ by *watcher }

	document struct {
		from     *watcher
		list     serverlist.Document
		err      error
		unusable bool          // it came whole and makes no sense
		bytes    int           // of it
		decoding time.Duration // how long it took to be read
		call     uint64        // the number of the call that it answers
		took     time.Duration // from the call's beginning to its end
	}
	reloaded struct{ load Load }
	stopping struct{}
	alone    struct{} // the process before this one has ended
	easing   struct{ leg *leg }
	allTold  struct{}
	settled  struct {
		facts fencing.Restrictions[lg.ServerID]
		own   uint64
	}
	failed struct{ err error }
)
