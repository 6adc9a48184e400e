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
	confirmTimeout   = 3 * time.Second        // a new process waits so long for discovery before it serves
	overlapDuration  = 10 * time.Second       // the old process has ended by then, counted from the new one's start
	handoverInterval = 250 * time.Millisecond // what the next process should know is written at most so often
)

// Parts of the memory limit that the Go runtime may use before it collects harder; the rest is for the
// kernel's part of the sockets and for the program itself, which two processes have twice.
const (
	memoryFraction       = 0.75
	sharedMemoryFraction = 0.3
)

// confine keeps the runtime within the limits, of which another process may need its part.
func setRuntimeLimits(limits settings.Limits, shared bool) {
	fraction := memoryFraction
	if shared {
		fraction = sharedMemoryFraction
	}
	runtime.GOMAXPROCS(int(math.Ceil(limits.Cores)))
	debug.SetMemoryLimit(int64(fraction * float64(limits.MemoryMB) * (1 << 20)))
}

// confined keeps to the limits as they are now. The old process of an upgrade gives back what it no
// longer needs.
func (p *proxy) applyLimits() {
	stopping := p.listener.closed.Load()
	setRuntimeLimits(p.limits, p.socketShared && (stopping || p.uptime() < overlapDuration))
	if stopping && p.socketShared {
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
	if err := transient.Retry(listenRetryTimeout, transient.Opening, func() (err error) {
		ln, err = netpoll.CreateListener("tcp", node.Listen)
		return err
	}); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return ln, nil
}

// listenFor is how long an address that can't be listened on for the moment is tried again: the process
// before this one may just be ending there.
const listenRetryTimeout = 3 * time.Second

// takes tells whether connections may be taken: at once where nobody else would, else once they can be
// served, or when that takes too long.
func (p *proxy) readyToAccept() bool {
	return !p.socketShared || p.state.Ready() || p.uptime() >= confirmTimeout
}

// know takes in a server list that may be old.
func (p *proxy) applyKnownList(raw []byte) bool {
	var list lg.List
	doc, err := p.decoder.Decode(raw)
	if err == nil {
		list, err = p.servers.ApplyCached(doc, p.now())
	}
	if err != nil {
		p.servers.RequestFull()
		log.Printf("known: %v", err)
		return false
	}
	if !p.settings.AskForList {
		// guards against a watch that waits for news, while what is known counts as outdated
		p.servers.RequestFull()
	}
	p.step(reducer.ListReceived{List: list, NextFull: !p.servers.CanWatch()})
	return true
}

// takeOver takes in what the process before this one handed over. Whatever is wrong with it, this one
// starts from its configuration alone.
func (p *proxy) takeOver(node settings.Node) bool {
	if !p.socketShared || node.Temp == "" {
		return false
	}
	p.handoverWriter = newHandoverWriter(node.Temp)
	now := upgrade.Now()
	handover, err := upgrade.Load(node.Temp, now)
	if err == upgrade.ErrNone {
		return false
	}
	if err != nil {
		log.Printf("cold start: %v", err)
		return false
	}
	if handover.Epoch > 0 && handover.Boot == now.Boot {
		p.servers.SetEpoch(handover.Epoch + now.Monotonic - p.now())
	}
	if !p.applyKnownList(handover.Routes) {
		return false
	}
	p.step(reducer.LearnedReceived{Age: max(0, handover.Age), Learned: handover.Learned})
	log.Printf("took over from a process that wrote %v ago", handover.Age.Round(time.Millisecond))
	return true
}

// save has what the next process should know written, now and then.
func (p *proxy) saveHandover() {
	if p.handoverWriter == nil || time.Since(p.handoverWriter.lastSave) < handoverInterval || !p.state.Ready() {
		return
	}
	p.handoverWriter.lastSave = time.Now()
	handover := upgrade.Handover{Routes: p.servers.Encode(), Learned: p.state.Learned()}
	now := upgrade.Now()
	handover.Stamp(now)
	if now.Monotonic > 0 {
		handover.Epoch = p.servers.Epoch() - (now.Monotonic - p.now())
	}
	select {
	case p.handoverWriter.pending <- handover:
	default: // the disk is slow: a later one will do
	}
}

// saver writes handovers off the reducer's goroutine.
type handoverWriter struct {
	pending  chan upgrade.Handover
	lastSave time.Time
}

func newHandoverWriter(dir string) *handoverWriter {
	writer := &handoverWriter{pending: make(chan upgrade.Handover, 1)}
	go func() {
		failing := false
		for handover := range writer.pending {
			err := upgrade.Save(dir, handover)
			if failed := err != nil; failed != failing {
				failing = failed
				log.Printf("handing over: %v", err)
			}
		}
	}()
	return writer
}

// staleFor is how long classes that a new configuration has dropped are still taken, by their old rules.
const staleClassDuration = 3 * time.Second

// retune takes new settings for what is read from now on, unless the decider can't. Zones and kinds are
// numbered by the new names; where these differ, the server list is to be told again: it is returned.
func (p *proxy) applySettings(updated settings.Settings) (known []byte) {
	if !p.state.SupportsRetune() {
		return nil
	}
	previous := p.settings
	updated.Settings = updated.Settings.RetainingClasses(previous.Settings)
	p.settings, p.staleClassesUntil = updated, p.now()+staleClassDuration
	if !slices.Equal(previous.ZoneNames, updated.ZoneNames) || !slices.Equal(previous.KindNames, updated.KindNames) {
		known = p.servers.Encode()
		p.servers = p.servers.WithNames(updated.ZoneNames, updated.KindNames)
	}
	return known
}
