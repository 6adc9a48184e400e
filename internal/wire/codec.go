// Package wire implements the simulator's binary protocol: it decodes batches of records into
// events for lilacglade.Balancers and encodes their actions into replies. It makes no load
// balancing decisions.
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

// Sizes of the parts of a frame, in bytes.
const (
	batchHeader = 16
	replyHeader = 8
	eventSize   = 48
	actionSize  = 24
	entrySize   = 23
)

// Codes of the events that the simulator sends, by their names in the protocol.
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

// Codes of the actions that a reply contains, by their names in the protocol.
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

// order is the byte order of all numbers in the protocol.
var order = binary.BigEndian

// batch is one frame of events whose lengths have been checked against its header.
type batch struct {
	count   int
	now     time.Duration
	records []byte
	tail    []byte // data of variable length that records refer to by offset
}

// record returns the i-th record, counted from 0.
func (b *batch) record(i int) []byte { return b.records[i*eventSize : (i+1)*eventSize] }

// tailData returns the part of the tail that a record refers to. The offset in bytes and the
// length in units are at rec[field:]; a unit takes unitSize bytes.
func (b *batch) tailData(rec []byte, field, unitSize int) ([]byte, error) {
	offset, length := uint64(order.Uint32(rec[field:])), uint64(order.Uint32(rec[field+4:]))
	if end := offset + length*uint64(unitSize); end > uint64(len(b.tail)) {
		return nil, fmt.Errorf("data at offset %d, %d x %d bytes, runs past the tail of %d bytes",
			offset, length, unitSize, len(b.tail))
	}
	return b.tail[offset : offset+length*uint64(unitSize)], nil
}

// readBatch reads one frame into buf, which it may grow, and also returns the buffer for the
// next call. If the input ends before the first byte of a frame, it returns io.EOF.
func readBatch(r io.Reader, buf []byte) (*batch, []byte, error) {
	var header [batchHeader]byte
	if n, err := io.ReadFull(r, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, buf, io.EOF
		}
		return nil, buf, fmt.Errorf("frame header: %d of %d bytes: %w", n, batchHeader, err)
	}
	count, frameSize := order.Uint32(header[0:]), order.Uint32(header[4:])
	clockMillis := math.Float64frombits(order.Uint64(header[8:]))
	if minSize := batchHeader + uint64(count)*eventSize; uint64(frameSize) < minSize {
		return nil, buf, fmt.Errorf("frame header: length %d, but %d records take %d", frameSize, count, minSize)
	}
	now := settings.Millis(clockMillis)
	if now == 0 && clockMillis != 0 {
		return nil, buf, fmt.Errorf("frame header: invalid clock %v", clockMillis)
	}
	// The buffer grows with the data that arrives, so that a wrong length in the header does not
	// allocate up to 4 GiB at once.
	bodySize := int(frameSize) - batchHeader
	buf = buf[:0]
	for len(buf) < bodySize {
		chunk := min(bodySize-len(buf), 1<<20)
		filled := len(buf)
		buf = append(buf, make([]byte, chunk)...)
		if n, err := io.ReadFull(r, buf[filled:]); err != nil {
			return nil, buf, fmt.Errorf("frame body: %d of %d bytes: %w", filled+n, bodySize, io.ErrUnexpectedEOF)
		}
	}
	recordsSize := int(count) * eventSize
	return &batch{count: int(count), now: now,
		records: buf[:recordsSize], tail: buf[recordsSize:bodySize]}, buf, nil
}

// toMillis returns d in milliseconds.
func toMillis(d time.Duration) float64 { return float64(d) / 1e6 }

// millisAt decodes the duration at rec[at:], a 64-bit float in milliseconds.
func millisAt(rec []byte, at int) time.Duration {
	return settings.Millis(math.Float64frombits(order.Uint64(rec[at:])))
}

// serverIDAt decodes the IPv4 address (4 bytes) and port (2 bytes) at rec[at:] into one server ID.
func serverIDAt(rec []byte, at int) lg.ServerID {
	return lg.ServerID(order.Uint32(rec[at:]))<<16 | lg.ServerID(order.Uint16(rec[at+4:]))
}

// putServerID encodes id at rec[at:] as address and port.
func putServerID(rec []byte, at int, id lg.ServerID) {
	order.PutUint32(rec[at:], uint32(id>>16))
	order.PutUint16(rec[at+4:], uint16(id))
}

// loadAt decodes the load report at rec[at:]: the number of values in one byte, then the values as
// 32-bit floats.
func loadAt(rec []byte, at int) (lg.LoadReport, error) {
	n := int(rec[at])
	if n > 4 {
		return lg.LoadReport{}, fmt.Errorf("load report of %d values, at most 4 fit", n)
	}
	load := lg.LoadReport{N: n}
	for i := range n {
		load.Values[i] = float64(math.Float32frombits(order.Uint32(rec[at+1+4*i:])))
	}
	return load, nil
}

// resultByCode maps the protocol's codes of results to results.
var resultByCode = map[uint16]lg.Result{1: lg.OK, 2: lg.ServerError, 3: lg.Full, 4: lg.TimedOut,
	5: lg.ConnectFailed, 6: lg.Reset, 7: lg.Canceled, 8: lg.Moot}

// resultAt decodes the result code at rec[at:].
func resultAt(rec []byte, at int) (lg.Result, error) {
	code := order.Uint16(rec[at:])
	result, ok := resultByCode[code]
	if !ok {
		return 0, fmt.Errorf("unknown ending %d", code)
	}
	return result, nil
}

// decodeTable decodes the entries of a table of servers. The length of raw must be a multiple of
// entrySize.
func decodeTable(raw []byte) ([]lg.Server, error) {
	servers := make([]lg.Server, 0, len(raw)/entrySize)
	for ; len(raw) > 0; raw = raw[entrySize:] {
		server := lg.Server{
			ID:      serverIDAt(raw, 0),
			Zone:    int(raw[6]),
			Kind:    int(raw[7]),
			Cell:    int(order.Uint16(raw[8:])),
			Weight:  float64(math.Float32frombits(order.Uint32(raw[11:]))),
			Started: millisAt(raw, 15),
		}
		switch raw[10] {
		case 0:
			server.State = lg.Draining
		case 1:
			server.State = lg.Gone
		case 2:
			server.State = lg.Ready
		default:
			return nil, fmt.Errorf("entry %d: unknown status %d", len(servers), raw[10])
		}
		servers = append(servers, server)
	}
	return servers, nil
}

// reply collects the encoded actions of one batch.
type reply struct {
	records []byte
	tail    []byte
}

// reset empties the reply and reserves space for its header.
func (r *reply) reset() {
	r.records, r.tail = append(r.records[:0], make([]byte, replyHeader)...), r.tail[:0]
}

// addRecord appends an action record with the given code, zero otherwise, and returns it to be filled
// in. The record is valid until the next one is added.
func (r *reply) addRecord(code byte) []byte {
	at := len(r.records)
	r.records = append(r.records, make([]byte, actionSize)...)
	r.records[at] = code
	return r.records[at:]
}

// addText appends an action record that refers to s, and s to the tail.
func (r *reply) addText(code byte, s string) {
	rec := r.addRecord(code)
	order.PutUint32(rec[1:], uint32(len(r.tail)))
	order.PutUint32(rec[5:], uint32(len(s)))
	r.tail = append(r.tail, s...)
}

// putMillis encodes d at rec[at:] as a 64-bit float in milliseconds.
func (r *reply) putMillis(rec []byte, at int, d time.Duration) {
	order.PutUint64(rec[at:], math.Float64bits(toMillis(d)))
}

// addAction encodes one action of the selected instance.
func (r *reply) addAction(a lg.Action) {
	switch a.Do {
	case lg.Send:
		rec := r.addRecord(acIssue)
		order.PutUint32(rec[1:], uint32(a.Request))
		putServerID(rec, 5, a.Server)
		r.putMillis(rec, 11, a.For)
	case lg.Refuse:
		rec := r.addRecord(acShed)
		order.PutUint32(rec[1:], uint32(a.Request))
		r.putMillis(rec, 5, a.For)
	case lg.Fail:
		order.PutUint32(r.addRecord(acFinishError)[1:], uint32(a.Request))
	case lg.SetTimer:
		rec := r.addRecord(acTimer)
		r.putMillis(rec, 1, a.For)
		order.PutUint32(rec[9:], a.Token)
	case lg.Subscribe:
		r.addRecord(acFollow)[1] = 1
	case lg.Log:
		r.addText(acRecord, a.Text)
	}
}

// frame fills in the header and returns the whole frame.
func (r *reply) frame() []byte {
	order.PutUint32(r.records[0:], uint32((len(r.records)-replyHeader)/actionSize))
	order.PutUint32(r.records[4:], uint32(len(r.records)+len(r.tail)))
	return append(r.records, r.tail...)
}
