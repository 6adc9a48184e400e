package peers

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	lg "lilacglade"
	"lilacglade/internal/consensus"
	"lilacglade/internal/coordination"
	"lilacglade/internal/fencing"
	"lilacglade/internal/maintenance"
)

// Times of the driver.
const (
	retryDisk  = 2 * time.Second
	leaveFor   = 1500 * time.Millisecond
	answerFor  = 5 * time.Second
	maxEvents  = 4096
	maxLinks   = 1024
	longAction = 64 << 10 // bytes of an operators' call
)

// Node is one proxy among its peers. Start runs it.
type Node struct {
	cfg     Config
	name    string
	id      func(string) lg.ServerID
	now     func() time.Duration
	facts   func(f fencing.Restrictions[lg.ServerID], own uint64)
	ln      net.Listener
	disk    *consensus.Disk
	council *coordination.Coordinator
	events  chan coordination.Event
	done    chan struct{}
	ended   sync.WaitGroup
	links   map[string]*link
	sent    atomic.Uint64
	heard   atomic.Uint64
	foreign atomic.Uint64 // messages that the council did not understand
	garbled atomic.Uint64 // connections on which something else came
	retryAt time.Time     // the disk is opened again then at the earliest
	left    chan struct{}

	mu     sync.Mutex
	names  map[lg.ServerID]string // of the machines named now
	waits  map[uint64]chan coordination.Answer
	token  uint64
	conns  map[net.Conn]bool
	closed bool
}

// Options are what a Node needs of the proxy round it.
type Options struct {
	Name      string
	Seed      uint64
	Grace     time.Duration // the longest that a request may take
	WarmAfter time.Duration
	Now       func() time.Duration              // monotonic
	ID        func(instance string) lg.ServerID // the number of a machine
	// Facts gets what holds, from the node's own goroutine. Own is the grant by which this proxy's own machine
	// is to go out; 0: it isn't.
	Facts func(f fencing.Restrictions[lg.ServerID], own uint64)
}

// Start opens the disk and the socket and takes part from then on.
func Start(cfg Config, o Options) (*Node, error) {
	disk, err := consensus.OpenDisk(cfg.Dir)
	if err != nil {
		return nil, fmt.Errorf("peers: dir: %w", err)
	}
	// The address is bound before anybody is told of it: it proves that the process before this one is gone.
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		_ = disk.Close()
		return nil, fmt.Errorf("peers: listen: %w", err)
	}
	n := &Node{cfg: cfg, name: o.Name, id: o.ID, now: o.Now, facts: o.Facts, ln: ln, disk: disk,
		events: make(chan coordination.Event, maxEvents), done: make(chan struct{}), links: map[string]*link{},
		left: make(chan struct{}), names: map[lg.ServerID]string{}, waits: map[uint64]chan coordination.Answer{},
		conns: map[net.Conn]bool{}}
	var names []string
	for peer := range cfg.Peers {
		if peer != o.Name {
			names = append(names, peer)
		}
	}
	slices.Sort(names)
	n.council, err = coordination.New(coordination.Config{Name: o.Name, Incarnation: rand.Uint64() | 1,
		Addr: cfg.Advertise, InitialVoters: cfg.Founders, Peers: names, Grace: o.Grace, Seed: o.Seed,
		ReplaceAfter: cfg.ReplaceAfter, WarmAfter: o.WarmAfter, Level: rigLevel(),
		AloneAfter: cfg.AloneAfter, ID: disk.ID, Boot: disk.Boot, Saved: disk.Saved, Note: disk.Record})
	if errors.Is(err, coordination.ErrProgramTooOld) {
		_, _ = disk.Close(), ln.Close()
		return nil, fmt.Errorf("peers: dir: %w", err)
	}
	if err != nil { // it was read through, but makes no sense
		n.renew(err.Error())
		if n.disk == nil {
			_ = ln.Close()
			return nil, fmt.Errorf("peers: dir: %w", err)
		}
	}
	if disk.ResetReason != "" {
		log.Printf("peers: a new identity, since %s", disk.ResetReason)
	}
	n.ended.Add(2)
	go n.accept()
	go n.run()
	return n, nil
}

// run owns the council.
func (n *Node) run() {
	defer n.ended.Done()
	tick := time.NewTicker(coordination.TickEvery)
	defer tick.Stop()
	for {
		select {
		case ev := <-n.events:
			n.step(ev)
		case <-tick.C:
			n.step(coordination.Tick{})
		case <-n.done:
			if n.disk != nil {
				_ = n.disk.Close()
			}
			return
		}
	}
}

// post hands an event over; when the council is far behind, it is lost, as on a network.
func (n *Node) post(ev coordination.Event) {
	select {
	case n.events <- ev:
	default:
	}
}

// step gives the council an event and does what it wants. Guards against the library giving up the whole
// program where a state can't be: the disk is set aside, and this proxy goes on under a new identity.
func (n *Node) step(ev coordination.Event) {
	defer func() {
		if r := recover(); r != nil {
			log.Printf("peers: the log can't be gone on with: %v\n%s", r, debug.Stack())
			n.renew(fmt.Sprint(r))
		}
	}()
	if _, lost := ev.(coordination.DiskLost); n.disk == nil && !lost {
		if _, back := ev.(coordination.DiskRestored); !back {
			n.reopen()
		}
	}
	for _, e := range slices.Clone(n.council.Step(n.now(), ev)) {
		if err := n.effect(e); err != nil {
			log.Printf("peers: the disk: %v", err)
			_ = n.disk.Close()
			n.disk, n.retryAt = nil, time.Now().Add(retryDisk)
			n.step(coordination.DiskLost{})
			return
		}
	}
	n.foreign.Store(n.council.RejectedMessages)
}

// reopen opens the disk again, now and then, after it had failed.
func (n *Node) reopen() {
	if time.Now().Before(n.retryAt) {
		return
	}
	n.retryAt = time.Now().Add(retryDisk)
	disk, err := consensus.ReopenDisk(n.cfg.Dir)
	if err != nil {
		return
	}
	log.Print("peers: the disk can be written again")
	n.disk = disk
	n.step(back(disk))
}

func back(d *consensus.Disk) coordination.DiskRestored {
	return coordination.DiskRestored{ID: d.ID, Boot: d.Boot, Saved: d.Saved, Note: d.Record}
}

// renew sets the disk aside and goes on under a new identity.
func (n *Node) renew(why string) {
	if n.disk == nil {
		return
	}
	log.Printf("peers: a new identity, since %s", why)
	disk, err := n.disk.Reset(why)
	if n.disk = disk; err != nil {
		n.disk = nil
		log.Printf("peers: the disk: %v", err)
		n.step(coordination.DiskLost{})
		return
	}
	n.step(back(disk))
}

func (n *Node) effect(e coordination.Effect) error {
	switch e := e.(type) {
	case coordination.Persist:
		if n.disk == nil {
			return nil // the council has no log then
		}
		return n.disk.Write(e.Write)
	case coordination.PersistRecord:
		if n.disk == nil {
			return nil
		}
		return n.disk.WriteRecord(e.Note)
	case coordination.Send:
		n.send(e)
	case coordination.Restrictions:
		n.tell(e)
	case coordination.Reply:
		n.mu.Lock()
		if c := n.waits[e.Token]; c != nil {
			delete(n.waits, e.Token)
			c <- e.Answer
		}
		n.mu.Unlock()
	case coordination.Retire:
		n.renew(e.Reason)
	case coordination.LeaveComplete:
		close(n.left)
	case coordination.Log:
		log.Print("peers: " + e.Text)
	}
	return nil
}

// send has a message sent. An address of the configuration goes before what the peer says itself.
func (n *Node) send(e coordination.Send) {
	addr := n.cfg.Peers[e.To]
	if addr == "" {
		addr = e.Addr
	}
	if addr == "" || address(addr) != nil {
		return
	}
	l := n.links[e.To]
	if l == nil {
		if len(n.links) >= maxLinks {
			return
		}
		l = newLink(addr, &n.sent)
		n.links[e.To] = l
		go l.run(n.done)
	}
	if *l.addr.Load() != addr {
		l.addr.Store(&addr)
	}
	l.send(e.Raw)
}

// tell hands the facts to the reducer, by the machines' numbers.
func (n *Node) tell(e coordination.Restrictions) {
	f := fencing.Restrictions[lg.ServerID]{Index: e.Index, LeaseUntil: e.LeaseUntil, Grace: e.Grace,
		Alone: e.Alone}
	names := map[lg.ServerID]string{}
	own := uint64(0)
	for _, m := range e.Marked {
		if m.Machine == maintenance.ProxyID(n.name) {
			own = m.Grant
		}
		if maintenance.IsProxy(m.Machine) {
			continue // nobody sends there from here
		}
		id := n.id(m.Machine)
		names[id] = m.Machine
		f.Marked = append(f.Marked, fencing.Mark[lg.ServerID]{Machine: id, Grant: m.Grant})
	}
	for _, m := range e.Named {
		if !maintenance.IsProxy(m) {
			f.Named = append(f.Named, n.id(m))
		}
	}
	n.mu.Lock()
	n.names = names
	n.mu.Unlock()
	n.facts(f, own)
}

// Stopped takes what the reducer says.
// Own is the grant by which this proxy's own machine goes out and nothing is open here any more; 0: it isn't.
func (n *Node) Stopped(index uint64, clear []fencing.Mark[lg.ServerID], own uint64) {
	ev := coordination.RestrictionsApplied{Index: index}
	if own > 0 {
		ev.Clear = append(ev.Clear, maintenance.Mark{Machine: maintenance.ProxyID(n.name), Grant: own})
	}
	n.mu.Lock()
	for _, m := range clear {
		if name, ok := n.names[m.Machine]; ok {
			ev.Clear = append(ev.Clear, maintenance.Mark{Machine: name, Grant: m.Grant})
		}
	}
	n.mu.Unlock()
	n.must(ev)
}

// must hands over an event that must not be lost.
func (n *Node) must(ev coordination.Event) {
	select {
	case n.events <- ev:
	default:
		go func() {
			select {
			case n.events <- ev:
			case <-n.done:
			}
		}()
	}
}

// Inventory takes the machines as discovery lists them.
func (n *Node) Inventory(all []maintenance.MachineView) {
	n.post(coordination.Inventory{Machines: all})
}

// Load takes what the proxy has handled and refused since the last call, and what it measured.
func (n *Node) Load(l coordination.Load) { n.post(l) }

// accept takes peers' connections.
func (n *Node) accept() {
	defer n.ended.Done()
	for {
		conn, err := n.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // no descriptor: the next one may find one
			continue
		}
		n.mu.Lock()
		full := len(n.conns) >= maxInbound || n.closed
		if !full {
			n.conns[conn] = true
		}
		n.mu.Unlock()
		if full {
			_ = conn.Close()
			continue
		}
		go func() {
			err := take(conn, func(raw []byte) {
				n.heard.Add(uint64(len(raw)))
				n.post(coordination.MessageReceived{Raw: raw})
			})
			if other := net.Error(nil); err != nil && !errors.As(err, &other) && !errors.Is(err, net.ErrClosed) {
				n.garbled.Add(1)
				log.Printf("peers: from %s: %v", conn.RemoteAddr(), err)
			}
			n.mu.Lock()
			delete(n.conns, conn)
			n.mu.Unlock()
		}()
	}
}

// Ask makes an operators' call and waits for what came of it.
func (n *Node) Ask(call coordination.Call) coordination.Answer {
	c := make(chan coordination.Answer, 1)
	n.mu.Lock()
	n.token++
	token := n.token
	n.waits[token] = c
	n.mu.Unlock()
	n.post(coordination.CallReceived{Token: token, Call: call})
	timer := time.NewTimer(answerFor)
	defer timer.Stop()
	select {
	case a := <-c:
		return a
	case <-timer.C:
	case <-n.done:
	}
	n.mu.Lock()
	delete(n.waits, token)
	n.mu.Unlock()
	return coordination.Answer{ID: call.ID,
		Err: "no answer; the call may still be carried out: ask again with the " +
			"same id"}
}

// Action is an operators' call as it comes in on the admin socket.
type Action struct {
	ID    string            `json:"id"`
	Do    string            `json:"do"`
	Name  string            `json:"name,omitempty"` // of an order, a machine or a proxy
	Why   string            `json:"why,omitempty"`
	Order *maintenance.Spec `json:"order,omitempty"`
}

// does says which entry each word stands for, and whether it names a machine.
var does = map[string]struct {
	kind    maintenance.Kind
	machine bool
}{"pause": {maintenance.Pause, false}, "resume": {maintenance.Resume, false},
	"cancel": {maintenance.Cancel, false}, "forget": {maintenance.Forget, false},
	"out": {maintenance.SetOut, true}, "back": {maintenance.Return, true}, "fail": {maintenance.Fail, true}}

// Work answers an operators' call: what follows the word WORK, STATUS or an Action.
func (n *Node) Work(line string) []byte {
	line = strings.TrimSpace(line)
	if line == "STATUS" {
		line = fmt.Sprintf(`{"id":"status-%x","do":"status"}`, rand.Uint64())
	}
	var a Action
	d := json.NewDecoder(strings.NewReader(line))
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		return fmt.Appendf(nil, "-ERR not a call: %v\n", err)
	}
	call := coordination.Call{ID: a.ID}
	switch w, ok := does[a.Do]; {
	case a.ID == "" || len(a.ID) > 128:
		return []byte("-ERR id: not set, or over 128 bytes\n")
	case a.Do == "status", a.Do == "state":
		call.Status, call.FullState = true, a.Do == "state"
	case a.Do == "submit":
		if a.Order == nil {
			return []byte("-ERR order: not set\n")
		}
		call.Spec = a.Order
	case ok && a.Name == "":
		return []byte("-ERR name: not set\n")
	case ok && w.machine:
		call.Command = &maintenance.Command{Kind: w.kind, Machine: a.Name, Why: a.Why}
	case ok:
		call.Command = &maintenance.Command{Kind: w.kind, Name: a.Name}
	default:
		return fmt.Appendf(nil, "-ERR do: %q is unknown\n", a.Do)
	}
	answer := n.Ask(call)
	switch {
	case answer.Err != "":
		return []byte("-ERR " + strings.ReplaceAll(answer.Err, "\n", " ") + "\n")
	case call.FullState:
		return []byte("+OK\n" + base64.StdEncoding.EncodeToString(answer.State) + "\n.\n")
	case call.Status:
		here := fmt.Sprintf("here %s sent %d heard %d bytes, not understood %d messages and %d connections\n",
			n.name, n.sent.Load(), n.heard.Load(), n.foreign.Load(), n.garbled.Load())
		return []byte("+OK\n" + answer.Status + here + ".\n")
	}
	return []byte("+OK\n")
}

// Leave says that this proxy has ended all it had open, and ends.
func (n *Node) Leave() {
	n.must(coordination.Leaving{})
	select {
	case <-n.left:
	case <-time.After(leaveFor): // it is found out by its lease
	}
	n.Close()
}

// Close ends at once.
func (n *Node) Close() {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return
	}
	n.closed = true
	for c := range n.conns {
		_ = c.Close()
	}
	n.mu.Unlock()
	close(n.done)
	_ = n.ln.Close()
	n.ended.Wait()
}
