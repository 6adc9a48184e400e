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

// Host runs many instances, each with a Balancer of its own.
type Host struct {
	instances map[uint16]*lg.Balancer
	tables    map[uint16][]lg.Server
	out       reply
	context   int // instance that the reply's last Context names, -1 for none
}

// NewHost returns a Host without instances.
func NewHost() *Host {
	return &Host{instances: map[uint16]*lg.Balancer{}, tables: map[uint16][]lg.Server{}}
}

// Serve answers the batches of r on w until the input ends. It returns nil at a clean end
// and an error that names what was wrong and where on a malformed frame.
func (h *Host) Serve(r io.Reader, w io.Writer) error {
	in := bufio.NewReaderSize(r, 1<<16)
	var buf []byte
	for n := 0; ; n++ {
		b, grown, err := readBatch(in, buf)
		buf = grown
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("batch %d: %w", n, err)
		}
		frame, err := h.answer(b)
		if err != nil {
			return fmt.Errorf("batch %d: %w", n, err)
		}
		if _, err := w.Write(frame); err != nil {
			return fmt.Errorf("batch %d: writing the reply: %w", n, err)
		}
	}
}

// answer handles a batch's records in order. What it returns is valid until the next call.
func (h *Host) answer(b *batch) ([]byte, error) {
	h.out.reset()
	h.context = -1
	inst := -1
	for i := range b.count {
		rec := b.record(i)
		switch code := rec[0]; {
		case code == evInstance:
			inst = int(order.Uint16(rec[1:]))
			continue
		case code == evTable:
			if err := h.table(b, rec); err != nil {
				return nil, fmt.Errorf("record %d: Table: %w", i, err)
			}
			continue
		case code > evClientLeft:
			return nil, fmt.Errorf("record %d: unknown event code %d", i, code)
		}
		if inst < 0 {
			return nil, fmt.Errorf("record %d: event %d before any Instance", i, rec[0])
		}
		if err := h.event(b, uint16(inst), rec); err != nil {
			return nil, fmt.Errorf("record %d: instance %d: %w", i, inst, err)
		}
	}
	return h.out.bytes(), nil
}

func (h *Host) table(b *batch, rec []byte) error {
	raw, err := b.piece(rec, 3, entrySize)
	if err != nil {
		return err
	}
	page := order.Uint16(rec[1:])
	if page > 15 {
		return fmt.Errorf("page %d, the last is 15", page)
	}
	list, err := entries(raw)
	h.tables[page] = list
	return err
}

// event decodes one record for an instance and acts on it.
func (h *Host) event(b *batch, inst uint16, rec []byte) error {
	switch rec[0] {
	case evCreate:
		raw, err := b.piece(rec, 9, 1)
		if err != nil {
			return fmt.Errorf("Create: %w", err)
		}
		set, err := settings.Decode(raw)
		if err != nil {
			return fmt.Errorf("Create: %w", err)
		}
		h.instances[inst], err = lg.New(set.Settings, order.Uint64(rec[1:]))
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
	bal := h.instances[inst]
	if bal == nil {
		return fmt.Errorf("event %d: no such instance", rec[0])
	}
	ev, err := h.decode(b, rec)
	if err != nil {
		return err
	}
	h.act(inst, bal, b.now, ev)
	return nil
}

// act hands the event over and encodes the actions; a panic becomes GiveIn.
func (h *Host) act(inst uint16, bal *lg.Balancer, now time.Duration, ev lg.Event) {
	defer func() {
		if p := recover(); p != nil {
			h.enter(inst)
			h.out.text(acGiveIn, fmt.Sprint(p))
		}
	}()
	for _, a := range bal.Handle(now, ev) {
		h.enter(inst)
		h.out.action(a)
	}
}

// enter makes inst the instance of the actions that follow.
func (h *Host) enter(inst uint16) {
	if h.context != int(inst) {
		order.PutUint16(h.out.add(acContext)[1:], inst)
		h.context = int(inst)
	}
}

func (h *Host) decode(b *batch, rec []byte) (lg.Event, error) {
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
			Attempt: int(order.Uint16(rec[7:])), Server: serverID(rec, 9), Closed: rec[15] != 0,
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
		return lg.ProbeResult{Server: serverID(rec, 9), Result: res, Latency: millisAt(rec, 1), Load: load}, nil
	case evFired:
		return lg.Timer{Token: order.Uint32(rec[1:])}, nil
	case evMembership:
		kind := rec[1]
		if kind > uint8(lg.ListFailed) {
			return nil, fmt.Errorf("Membership: unknown scope %d", kind)
		}
		l := lg.List{Kind: lg.ListKind(kind)}
		if l.Kind != lg.ListFailed {
			page := order.Uint16(rec[6:])
			list, ok := h.tables[page]
			if !ok {
				return nil, fmt.Errorf("Membership: no table %d", page)
			}
			l.Servers = list
		}
		return l, nil
	case evPeerData:
		body, err := b.piece(rec, 3, 1)
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
			Attempt: int(order.Uint16(rec[5:])), Server: serverID(rec, 7)}, nil
	default: // evClientLeft, the last code that answer lets through
		return lg.Departed{Request: lg.RequestID(order.Uint32(rec[1:]))}, nil
	}
}
