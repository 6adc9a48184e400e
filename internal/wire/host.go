package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	lg "lilacglade"
	"lilacglade/internal/settings"
)

// maxTableNumber is the highest number of a table of servers.
const maxTableNumber = 15

// Host runs a number of simulated proxy instances, each with its own Balancer, and answers the
// simulator's batches of events with the Balancers' actions.
type Host struct {
	instances     map[uint16]*lg.Balancer // by instance number
	tables        map[uint16][]lg.Server  // by table number
	reply         reply
	replyInstance int // instance named by the last Context action of the reply, -1 for none
}

// NewHost returns a Host without instances.
func NewHost() *Host {
	return &Host{instances: map[uint16]*lg.Balancer{}, tables: map[uint16][]lg.Server{}}
}

// Serve reads batches from r and writes a reply to each to w until the input ends. It returns nil
// if the input ends between two batches. The error for a malformed frame names the batch, the
// record and the fault.
func (h *Host) Serve(r io.Reader, w io.Writer) error {
	in := bufio.NewReaderSize(r, 1<<16)
	var buffer []byte
	for batchIndex := 0; ; batchIndex++ {
		b, grownBuffer, err := readBatch(in, buffer)
		buffer = grownBuffer
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("batch %d: %w", batchIndex, err)
		}
		frame, err := h.handleBatch(b)
		if err != nil {
			return fmt.Errorf("batch %d: %w", batchIndex, err)
		}
		if _, err := w.Write(frame); err != nil {
			return fmt.Errorf("batch %d: writing the reply: %w", batchIndex, err)
		}
	}
}

// handleBatch handles the records of a batch in order and returns the reply's frame, which is valid
// until the next call.
func (h *Host) handleBatch(b *batch) ([]byte, error) {
	h.reply.reset()
	h.replyInstance = -1
	instance := -1
	for i := range b.count {
		rec := b.record(i)
		switch code := rec[0]; {
		case code == evInstance:
			instance = int(order.Uint16(rec[1:]))
			continue
		case code == evTable:
			if err := h.storeTable(b, rec); err != nil {
				return nil, fmt.Errorf("record %d: Table: %w", i, err)
			}
			continue
		case code > evClientLeft:
			return nil, fmt.Errorf("record %d: unknown event code %d", i, code)
		}
		if instance < 0 {
			return nil, fmt.Errorf("record %d: event %d before any Instance", i, rec[0])
		}
		if err := h.handleEvent(b, uint16(instance), rec); err != nil {
			return nil, fmt.Errorf("record %d: instance %d: %w", i, instance, err)
		}
	}
	return h.reply.frame(), nil
}

// storeTable decodes a table of servers and keeps it for later Membership events.
func (h *Host) storeTable(b *batch, rec []byte) error {
	raw, err := b.tailData(rec, 3, entrySize)
	if err != nil {
		return err
	}
	tableNumber := order.Uint16(rec[1:])
	if tableNumber > maxTableNumber {
		return fmt.Errorf("table %d does not exist, the last is %d", tableNumber, maxTableNumber)
	}
	servers, err := decodeTable(raw)
	h.tables[tableNumber] = servers
	return err
}

// handleEvent decodes one record for an instance. It creates or removes the instance, or passes the
// event to the instance's Balancer.
func (h *Host) handleEvent(b *batch, inst uint16, rec []byte) error {
	switch rec[0] {
	case evCreate:
		raw, err := b.tailData(rec, 9, 1)
		if err != nil {
			return fmt.Errorf("Create: %w", err)
		}
		decoded, err := settings.Decode(raw)
		if err != nil {
			return fmt.Errorf("Create: %w", err)
		}
		h.instances[inst], err = lg.New(decoded.Settings, order.Uint64(rec[1:]))
		if err != nil {
			return fmt.Errorf("Create: %w", err)
		}
		return nil
	case evRetire:
		if h.instances[inst] == nil {
			return errors.New("Retire: no such instance")
		}
		delete(h.instances, inst)
		return nil
	}
	balancer := h.instances[inst]
	if balancer == nil {
		return fmt.Errorf("event %d: no such instance", rec[0])
	}
	ev, err := h.decodeEvent(b, rec)
	if err != nil {
		return err
	}
	h.runBalancer(inst, balancer, b.now, ev)
	return nil
}

// runBalancer passes an event to an instance's Balancer and encodes the resulting actions. A panic of
// the Balancer is reported as a GiveIn action, with the panic's value as its text.
func (h *Host) runBalancer(inst uint16, balancer *lg.Balancer, now time.Duration, ev lg.Event) {
	defer func() {
		if p := recover(); p != nil {
			h.selectInstance(inst)
			h.reply.addText(acGiveIn, fmt.Sprint(p))
		}
	}()
	for _, a := range balancer.Handle(now, ev) {
		h.selectInstance(inst)
		h.reply.addAction(a)
	}
}

// selectInstance makes the actions that follow belong to inst: it adds a Context action unless the
// last one already names inst.
func (h *Host) selectInstance(inst uint16) {
	if h.replyInstance != int(inst) {
		order.PutUint16(h.reply.addRecord(acContext)[1:], inst)
		h.replyInstance = int(inst)
	}
}

// decodeEvent decodes a record into an event of the Balancer.
func (h *Host) decodeEvent(b *batch, rec []byte) (lg.Event, error) {
	switch rec[0] {
	case evReturned:
		res, err := resultAt(rec, 5)
		if err != nil {
			return nil, fmt.Errorf("Returned: %w", err)
		}
		load, err := loadAt(rec, 24)
		if err != nil {
			return nil, fmt.Errorf("Returned: %w", err)
		}
		return lg.Outcome{Request: lg.RequestID(order.Uint32(rec[1:])), Result: res,
			Attempt: int(order.Uint16(rec[7:])), Server: serverIDAt(rec, 9), Closed: rec[15] != 0,
			Latency: millisAt(rec, 16), Load: load}, nil
	case evSampled:
		res, err := resultAt(rec, 15)
		if err != nil {
			return nil, fmt.Errorf("Sampled: %w", err)
		}
		load, err := loadAt(rec, 17)
		if err != nil {
			return nil, fmt.Errorf("Sampled: %w", err)
		}
		return lg.ProbeResult{Server: serverIDAt(rec, 9), Result: res, Latency: millisAt(rec, 1), Load: load}, nil
	case evFired:
		return lg.Timer{Token: order.Uint32(rec[1:])}, nil
	case evMembership:
		kind := rec[1]
		if kind > uint8(lg.ListFailed) {
			return nil, fmt.Errorf("Membership: unknown scope %d", kind)
		}
		l := lg.List{Kind: lg.ListKind(kind)}
		if l.Kind != lg.ListFailed {
			tableNumber := order.Uint16(rec[6:])
			list, ok := h.tables[tableNumber]
			if !ok {
				return nil, fmt.Errorf("Membership: no table %d", tableNumber)
			}
			l.Servers = list
		}
		return l, nil
	case evPeerData:
		body, err := b.tailData(rec, 3, 1)
		if err != nil {
			return nil, fmt.Errorf("PeerData: %w", err)
		}
		return lg.PeerMessage{From: int(order.Uint16(rec[1:])), Body: body}, nil
	case evKnock:
		r := lg.Request{ID: lg.RequestID(order.Uint32(rec[1:])), Class: int(order.Uint16(rec[5:])),
			Tenant: int(order.Uint32(rec[7:])), Key: order.Uint64(rec[11:]), Budget: millisAt(rec, 19)}
		r.HasKey = r.Key != 0
		if ms := math.Float64frombits(order.Uint64(rec[27:])); rec[35]&1 != 0 && ms > 0 {
			r.Cost = settings.Millis(ms)
		}
		r.Repeat = rec[35]&2 != 0
		return r, nil
	case evHeadReceived:
		return lg.AnswerStarted{Request: lg.RequestID(order.Uint32(rec[1:])),
			Attempt: int(order.Uint16(rec[5:])), Server: serverIDAt(rec, 7)}, nil
	default: // evClientLeft, the highest code that handleBatch accepts
		return lg.Departed{Request: lg.RequestID(order.Uint32(rec[1:]))}, nil
	}
}
