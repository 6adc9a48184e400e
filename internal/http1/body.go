package http1

// MaxStreamedBody is the largest body that is passed on as it comes.
const MaxStreamedBody = 32 << 20

// Body decodes a message's body as it comes, in place: what belongs to the body is handed out as parts of
// what was fed in. The zero value is a body that is not there.
type Body struct {
	Done bool // the body is whole

	frame  framing
	left   int64 // counted: of the body; chunked: of the chunk
	state  chunkState
	digits int
	line   int // bytes of the line that is being read
	framed int // bytes that were not the body's
	came   int64
}

type framing uint8

const (
	noBody framing = iota
	counted
	chunked
	untilClose
)

type chunkState uint8

const (
	chunkSize  chunkState = iota
	chunkSpace            // behind the digits
	chunkExt              // what says more of the chunk, and is skipped
	chunkSizeEnd
	chunkData
	chunkDataCR
	chunkDataLF
	trailerStart
	trailerLine
	trailerLF
	lastLF
)

// Length is the length that the head told, -1 when it told none.
func (d *Body) Length() int64 {
	switch d.frame {
	case noBody:
		return 0
	case counted:
		return d.came + d.left
	}
	return -1
}

// Received is how much of the body has come.
func (d *Body) Received() int64 { return d.came }

// UntilClose tells whether the body ends with its connection.
func (d *Body) UntilClose() bool { return d.frame == untilClose }

// Next takes bytes in. It returns the next part of the body, and what of the input is not looked at yet: it
// is to be called until that is empty or the body is done; then the rest belongs to the next message.
func (d *Body) Next(in []byte) (data, rest []byte, err error) {
	switch d.frame {
	case noBody:
		d.Done = true
		return nil, in, nil
	case counted:
		data = in[:min(int64(len(in)), d.left)]
		d.left -= int64(len(data))
		d.Done = d.left == 0
	case untilClose:
		data = in
	case chunked:
		if in, err = d.framingOf(in); err != nil || d.state != chunkData {
			return nil, in, err
		}
		data = in[:min(int64(len(in)), d.left)]
		if d.left -= int64(len(data)); d.left == 0 {
			d.state = chunkDataCR
		}
	}
	if d.came += int64(len(data)); d.came > MaxStreamedBody {
		return nil, nil, ErrBodySize
	}
	return data, in[len(data):], nil
}

// framingOf reads what stands between a chunked body's data. It returns where data begins, or ends, or
// nothing when all was read.
func (d *Body) framingOf(in []byte) ([]byte, error) {
	for i, c := range in {
		if d.state == chunkData {
			return in[i:], nil
		}
		// Guards against framing without end: it may be several times what it frames, and some more.
		if d.framed++; int64(d.framed) > maxFraming+maxFramingParts*d.came {
			return nil, ErrMalformed
		}
		if d.line++; d.line > MaxHead {
			return nil, ErrMalformed
		}
		ok := true
		switch d.state {
		case chunkSize:
			v := hex(c)
			switch {
			case v >= 0 && d.digits < 15:
				d.left = d.left<<4 | int64(v)
				d.digits++
			case d.digits == 0 || v >= 0:
				ok = false
			case c == '\r':
				d.state = chunkSizeEnd
			case c == ';':
				d.state = chunkExt
			case c == ' ' || c == '\t':
				d.state = chunkSpace
			default:
				ok = false
			}
		case chunkSpace:
			switch c {
			case ' ', '\t':
			case '\r':
				d.state = chunkSizeEnd
			case ';':
				d.state = chunkExt
			default:
				ok = false
			}
		case chunkExt:
			if c == '\r' {
				d.state = chunkSizeEnd
			} else {
				ok = isText(c)
			}
		case chunkSizeEnd:
			d.line, d.digits = 0, 0
			if d.left > MaxStreamedBody-d.came {
				return nil, ErrBodySize
			}
			if ok = c == '\n'; d.left == 0 {
				d.state = trailerStart
			} else {
				d.state = chunkData
			}
		case chunkDataCR:
			ok, d.state = c == '\r', chunkDataLF
		case chunkDataLF:
			d.line = 0
			ok, d.state = c == '\n', chunkSize
		case trailerStart:
			if d.state = trailerLine; c == '\r' {
				d.state = lastLF
			} else {
				ok = isText(c) && c != ' ' && c != '\t'
			}
		case trailerLine:
			if c == '\r' {
				d.state = trailerLF
			} else {
				ok = isText(c)
			}
		case trailerLF:
			ok, d.state = c == '\n', trailerStart
		case lastLF:
			if c != '\n' {
				return nil, ErrMalformed
			}
			d.Done = true
			return in[i+1:], nil
		}
		if !ok {
			return nil, ErrMalformed
		}
	}
	return nil, nil
}

func hex(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}
