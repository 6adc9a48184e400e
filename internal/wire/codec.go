// Package wire speaks the simulator's binary protocol: it turns batches of records into
// events for lilacglade.Balancers and their actions into replies. It decides nothing.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	lg "lilacglade"
	"lilacglade/internal/settings"
)

const (
	batchHeader = 16
	replyHeader = 8
	eventSize   = 48
	actionSize  = 24
	entrySize   = 23
)

// Event codes.
const (
	evReturned     = 0
	evCreate       = 1
	evSampled      = 2
	evFired        = 3
	evInstance     = 4
	evMembership   = 5
	evTable        = 6
	evRetire       = 7
	evPeerData     = 8
	evKnock        = 9
	evHeadReceived = 10
	evClientLeft   = 11
)

// Action codes.
const (
	acIssue       = 64
	acShed        = 65
	acFollow      = 67
	acRecord      = 68
	acTimer       = 69
	acFinishError = 71
	acContext     = 74
	acGiveIn      = 76
)

var order = binary.BigEndian

// batch is one frame of events, checked as a whole.
type batch struct {
	count int
	now   time.Duration
	body  []byte // records
	tail  []byte
}

// record returns the i-th record.
func (b *batch) record(i int) []byte { return b.body[i*eventSize : (i+1)*eventSize] }

// piece returns the part of the tail that the offset and length at rec[at:] name, where
// each unit of length takes size bytes.
func (b *batch) piece(rec []byte, at, size int) ([]byte, error) {
	off, n := uint64(order.Uint32(rec[at:])), uint64(order.Uint32(rec[at+4:]))
	if end := off + n*uint64(size); end > uint64(len(b.tail)) {
		return nil, fmt.Errorf("content at %d of %d x %d bytes runs past the tail of %d bytes",
			off, n, size, len(b.tail))
	}
	return b.tail[off : off+n*uint64(size)], nil
}

// readBatch reads one frame into buf, which it may grow. At a clean end of input it
// returns io.EOF.
func readBatch(r io.Reader, buf []byte) (*batch, []byte, error) {
	var head [batchHeader]byte
	if n, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, buf, io.EOF
		}
		return nil, buf, fmt.Errorf("frame header: %d of %d bytes: %w", n, batchHeader, err)
	}
	count, size := order.Uint32(head[0:]), order.Uint32(head[4:])
	ms := math.Float64frombits(order.Uint64(head[8:]))
	if need := batchHeader + uint64(count)*eventSize; uint64(size) < need {
		return nil, buf, fmt.Errorf("frame header: length %d, but %d records take %d", size, count, need)
	}
	now := settings.Millis(ms)
	if now == 0 && ms != 0 {
		return nil, buf, fmt.Errorf("frame header: clock %v", ms)
	}
	// The buffer grows with what arrives, not with what the header claims.
	want := int(size) - batchHeader
	buf = buf[:0]
	for len(buf) < want {
		chunk := min(want-len(buf), 1<<20)
		at := len(buf)
		buf = append(buf, make([]byte, chunk)...)
		if n, err := io.ReadFull(r, buf[at:]); err != nil {
			return nil, buf, fmt.Errorf("frame body: %d of %d bytes: %w", at+n, want, io.ErrUnexpectedEOF)
		}
	}
	cut := int(count) * eventSize
	return &batch{count: int(count), now: now, body: buf[:cut], tail: buf[cut:want]}, buf, nil
}

func toMillis(d time.Duration) float64 { return float64(d) / 1e6 }

func millisAt(rec []byte, at int) time.Duration {
	return settings.Millis(math.Float64frombits(order.Uint64(rec[at:])))
}

// serverID packs address and port, serverAt unpacks nothing but the bytes as they came.
func serverID(rec []byte, at int) lg.ServerID {
	return lg.ServerID(order.Uint32(rec[at:]))<<16 | lg.ServerID(order.Uint16(rec[at+4:]))
}

func putServer(rec []byte, at int, id lg.ServerID) {
	order.PutUint32(rec[at:], uint32(id>>16))
	order.PutUint16(rec[at+4:], uint16(id))
}

func loadAt(rec []byte, at int) (lg.LoadReport, error) {
	n := int(rec[at])
	if n > 4 {
		return lg.LoadReport{}, fmt.Errorf("load report of %d values, at most 4 fit", n)
	}
	l := lg.LoadReport{N: n}
	for i := range n {
		l.Values[i] = float64(math.Float32frombits(order.Uint32(rec[at+1+4*i:])))
	}
	return l, nil
}

var results = map[uint16]lg.Result{1: lg.OK, 2: lg.ServerError, 3: lg.Full, 4: lg.TimedOut,
	5: lg.ConnectFailed, 6: lg.Reset, 7: lg.Canceled, 8: lg.Moot}

func resultAt(rec []byte, at int) (lg.Result, error) {
	code := order.Uint16(rec[at:])
	r, ok := results[code]
	if !ok {
		return 0, fmt.Errorf("unknown ending %d", code)
	}
	return r, nil
}

// entries decodes a table.
func entries(raw []byte) ([]lg.Server, error) {
	list := make([]lg.Server, 0, len(raw)/entrySize)
	for ; len(raw) > 0; raw = raw[entrySize:] {
		s := lg.Server{
			ID:      serverID(raw, 0),
			Zone:    int(raw[6]),
			Kind:    int(raw[7]),
			Cell:    int(order.Uint16(raw[8:])),
			Weight:  float64(math.Float32frombits(order.Uint32(raw[11:]))),
			Started: millisAt(raw, 15),
		}
		switch raw[10] {
		case 0:
			s.State = lg.Draining
		case 1:
			s.State = lg.Gone
		case 2:
			s.State = lg.Ready
		default:
			return nil, fmt.Errorf("entry %d: unknown status %d", len(list), raw[10])
		}
		list = append(list, s)
	}
	return list, nil
}

// reply gathers the actions of one batch.
type reply struct {
	recs []byte
	tail []byte
}

func (r *reply) reset() {
	r.recs, r.tail = append(r.recs[:0], make([]byte, replyHeader)...), r.tail[:0]
}

func (r *reply) add(code byte) []byte {
	at := len(r.recs)
	r.recs = append(r.recs, make([]byte, actionSize)...)
	r.recs[at] = code
	return r.recs[at:]
}

func (r *reply) text(code byte, s string) {
	rec := r.add(code)
	order.PutUint32(rec[1:], uint32(len(r.tail)))
	order.PutUint32(rec[5:], uint32(len(s)))
	r.tail = append(r.tail, s...)
}

func (r *reply) float(rec []byte, at int, d time.Duration) {
	order.PutUint64(rec[at:], math.Float64bits(toMillis(d)))
}

// action encodes one action of the current instance.
func (r *reply) action(a lg.Action) {
	switch a.Do {
	case lg.Send:
		rec := r.add(acIssue)
		order.PutUint32(rec[1:], uint32(a.Request))
		putServer(rec, 5, a.Server)
		r.float(rec, 11, a.For)
	case lg.Refuse:
		rec := r.add(acShed)
		order.PutUint32(rec[1:], uint32(a.Request))
		r.float(rec, 5, a.For)
	case lg.Fail:
		order.PutUint32(r.add(acFinishError)[1:], uint32(a.Request))
	case lg.SetTimer:
		rec := r.add(acTimer)
		r.float(rec, 1, a.For)
		order.PutUint32(rec[9:], a.Token)
	case lg.Subscribe:
		r.add(acFollow)[1] = 1
	case lg.Log:
		r.text(acRecord, a.Text)
	}
}

// bytes closes the frame.
func (r *reply) bytes() []byte {
	order.PutUint32(r.recs[0:], uint32((len(r.recs)-replyHeader)/actionSize))
	order.PutUint32(r.recs[4:], uint32(len(r.recs)+len(r.tail)))
	return append(r.recs, r.tail...)
}
