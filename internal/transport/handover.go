package transport

import (
	"fmt"
	"log"
	"math"
	"runtime"
	"runtime/debug"
	"slices"
	"time"

	"github.com/cloudwego/netpoll"

	lg "lilacglade"
	"lilacglade/internal/reducer"
	"lilacglade/internal/settings"
	"lilacglade/internal/transient"
	"lilacglade/internal/upgrade"
)

// Times of an upgrade, where the listening socket is shared.
const (
	confirmWithin = 3 * time.Second        // a new process waits so long for discovery before it serves
	overlapFor    = 10 * time.Second       // the old process has ended by then, counted from the new one's start
	saveEvery     = 250 * time.Millisecond // what the next process should know is written at most so often
)

// Parts of the memory limit that the Go runtime may use before it collects harder; the rest is for the
// kernel's part of the sockets and for the program itself, which two processes have twice.
const (
	memoryPart   = 0.75
	memoryShared = 0.3
)

// confine keeps the runtime within the limits, of which another process may need its part.
func confine(l settings.Limits, shared bool) {
	part := memoryPart
	if shared {
		part = memoryShared
	}
	runtime.GOMAXPROCS(int(math.Ceil(l.Cores)))
	debug.SetMemoryLimit(int64(part * float64(l.MemoryMB) * (1 << 20)))
}

// confined keeps to the limits as they are now. The old process of an upgrade gives back what it no
// longer needs.
func (p *proxy) confined() {
	stopping := p.listener.closed.Load()
	confine(p.limits, p.passed && (stopping || p.running() < overlapFor))
	if stopping && p.passed {
		go debug.FreeOSMemory()
	}
}

// listen opens the address, or takes the socket that was passed.
func listen(node settings.Node) (netpoll.Listener, error) {
	if node.Passed != "" {
		ln, err := upgrade.Passed(node.Passed)
		if err != nil {
			return nil, err // guards against a nil in an interface that is none
		}
		return ln, nil
	}
	var ln netpoll.Listener
	if err := transient.Retry(listenFor, transient.Opening, func() (err error) {
		ln, err = netpoll.CreateListener("tcp", node.Listen)
		return err
	}); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return ln, nil
}

// listenFor is how long an address that can't be listened on for the moment is tried again: the process
// before this one may just be ending there.
const listenFor = 3 * time.Second

// takes tells whether connections may be taken: at once where nobody else would, else once they can be
// served, or when that takes too long.
func (p *proxy) takes() bool {
	return !p.passed || p.state.Ready() || p.running() >= confirmWithin
}

// know takes in a server list that may be old.
func (p *proxy) know(raw []byte) bool {
	var list lg.List
	doc, err := p.decoder.Decode(raw)
	if err == nil {
		list, err = p.servers.Remember(doc, p.now())
	}
	if err != nil {
		p.servers.Forget()
		log.Printf("known: %v", err)
		return false
	}
	if !p.set.AskForList {
		p.servers.Forget() // guards against a watch that waits for news, while what is known counts as outdated
	}
	p.step(reducer.ListTold{List: list, Whole: !p.servers.Watches()})
	return true
}

// takeOver takes in what the process before this one handed over. Whatever is wrong with it, this one
// starts from its configuration alone.
func (p *proxy) takeOver(node settings.Node) bool {
	if !p.passed || node.Temp == "" {
		return false
	}
	p.saver = newSaver(node.Temp)
	now := upgrade.Now()
	h, err := upgrade.Load(node.Temp, now)
	if err == upgrade.ErrNone {
		return false
	}
	if err != nil {
		log.Printf("cold start: %v", err)
		return false
	}
	if h.Epoch > 0 && h.Boot == now.Boot {
		p.servers.SetEpoch(h.Epoch + now.Monotonic - p.now())
	}
	if !p.know(h.Routes) {
		return false
	}
	p.step(reducer.Remembered{Ago: max(0, h.Age), Learned: h.Learned})
	log.Printf("took over from a process that wrote %v ago", h.Age.Round(time.Millisecond))
	return true
}

// save has what the next process should know written, now and then.
func (p *proxy) save() {
	if p.saver == nil || time.Since(p.saver.last) < saveEvery || !p.state.Ready() {
		return
	}
	p.saver.last = time.Now()
	h := upgrade.Handover{Routes: p.servers.Document(), Learned: p.state.Learned()}
	now := upgrade.Now()
	h.Stamp(now)
	if now.Monotonic > 0 {
		h.Epoch = p.servers.Epoch() - (now.Monotonic - p.now())
	}
	select {
	case p.saver.next <- h:
	default: // the disk is slow: a later one will do
	}
}

// saver writes handovers off the reducer's goroutine.
type saver struct {
	next chan upgrade.Handover
	last time.Time
}

func newSaver(dir string) *saver {
	s := &saver{next: make(chan upgrade.Handover, 1)}
	go func() {
		failing := false
		for h := range s.next {
			err := upgrade.Save(dir, h)
			if failed := err != nil; failed != failing {
				failing = failed
				log.Printf("handing over: %v", err)
			}
		}
	}()
	return s
}

// staleFor is how long classes that a new configuration has dropped are still taken, by their old rules.
const staleFor = 3 * time.Second

// retune takes new settings for what is read from now on, unless the decider can't. Zones and kinds are
// numbered by the new names; where these differ, the server list is to be told again: it is returned.
func (p *proxy) retune(set settings.Settings) (known []byte) {
	if !p.state.Retunes() {
		return nil
	}
	before := p.set
	set.Settings = set.Settings.RetainingClasses(before.Settings)
	p.set, p.stale = set, p.now()+staleFor
	if !slices.Equal(before.ZoneNames, set.ZoneNames) || !slices.Equal(before.KindNames, set.KindNames) {
		known = p.servers.Document()
		p.servers = p.servers.Anew(set.ZoneNames, set.KindNames)
	}
	return known
}
