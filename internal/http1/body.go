package http1

// MaxStreamedBody is the size in bytes of the largest body that is accepted, streamed or buffered.
const MaxStreamedBody = 32 << 20

// Body decodes a message body incrementally and in place: decoded data is returned as slices of the
// input. The zero value is an absent body.
type Body struct {
	Done bool // the body is complete

	framing      bodyFraming
	remaining    int64 // bytes left, of the body if its length is fixed, of the current chunk if it is chunked
	state        chunkState
	sizeDigits   int   // hexadecimal digits read of the chunk size
	lineLength   int   // bytes read of the current framing line
	framingBytes int   // bytes of chunk sizes, extensions, line ends and trailers
	received     int64 // bytes of decoded data
}

// bodyFraming is the way in which the end of a body is found (RFC 9112, section 6).
type bodyFraming uint8

const (
	noBody bodyFraming = iota
	fixedLength
	chunked
	untilClose
)

// chunkState is what the decoder of a chunked body expects next.
type chunkState uint8

const (
	chunkSize      chunkState = iota
	chunkSizeSpace            // whitespace after the digits
	chunkExtension            // skipped
	chunkSizeLF
	chunkData
	chunkDataCR
	chunkDataLF
	trailerLineStart
	trailerLine
	trailerLF
	finalLF
)

// Length returns the length in bytes that the head declares, or -1 if it declares none.
func (d *Body) Length() int64 {
	switch d.framing {
	case noBody:
		return 0
	case fixedLength:
		return d.received + d.remaining
	}
	return -1
}

// Received returns the number of body bytes decoded so far.
func (d *Body) Received() int64 { return d.received }

// UntilClose reports whether the body ends when its connection closes.
func (d *Body) UntilClose() bool { return d.framing == untilClose }

// Next decodes input. It returns the next part of the body and the input that is not decoded yet. The
// caller repeats the call until rest is empty or Done is set; after that, rest belongs to the next
// message.
func (d *Body) Next(input []byte) (data, rest []byte, err error) {
	switch d.framing {
	case noBody:
		d.Done = true
		return nil, input, nil
	case fixedLength:
		data = input[:min(int64(len(input)), d.remaining)]
		d.remaining -= int64(len(data))
		d.Done = d.remaining == 0
	case untilClose:
		data = input
	case chunked:
		if input, err = d.skipFraming(input); err != nil || d.state != chunkData {
			return nil, input, err
		}
		data = input[:min(int64(len(input)), d.remaining)]
		if d.remaining -= int64(len(data)); d.remaining == 0 {
			d.state = chunkDataCR
		}
	}
	if d.received += int64(len(data)); d.received > MaxStreamedBody {
		return nil, nil, ErrBodySize
	}
	return data, input[len(data):], nil
}

// skipFraming reads the framing around the data of a chunked body. It returns the input from the next chunk
// data on or, after the body, from the next message on, and nil when all input was framing.
func (d *Body) skipFraming(input []byte) ([]byte, error) {
	for i, c := range input {
		if d.state == chunkData {
			return input[i:], nil
		}
		// Prevents endless framing around little data: framing may exceed the data it frames only by a
		// constant factor and a constant.
		if d.framingBytes++; int64(d.framingBytes) > maxFramingBase+maxFramingPerByte*d.received {
			return nil, ErrMalformed
		}
		if d.lineLength++; d.lineLength > MaxHead {
			return nil, ErrMalformed
		}
		ok := true
		switch d.state {
		case chunkSize:
			digit := hexDigit(c)
			switch {
			case digit >= 0 && d.sizeDigits < 15: // 60 bits, which an int64 holds
				d.remaining = d.remaining<<4 | int64(digit)
				d.sizeDigits++
			case d.sizeDigits == 0 || digit >= 0:
				ok = false
			case c == '\r':
				d.state = chunkSizeLF
			case c == ';':
				d.state = chunkExtension
			case c == ' ' || c == '\t':
				d.state = chunkSizeSpace
			default:
				ok = false
			}
		case chunkSizeSpace:
			switch c {
			case ' ', '\t':
			case '\r':
				d.state = chunkSizeLF
			case ';':
				d.state = chunkExtension
			default:
				ok = false
			}
		case chunkExtension:
			if c == '\r' {
				d.state = chunkSizeLF
			} else {
				ok = isText(c)
			}
		case chunkSizeLF:
			d.lineLength, d.sizeDigits = 0, 0
			if d.remaining > MaxStreamedBody-d.received {
				return nil, ErrBodySize
			}
			if ok = c == '\n'; d.remaining == 0 {
				d.state = trailerLineStart
			} else {
				d.state = chunkData
			}
		case chunkDataCR:
			ok, d.state = c == '\r', chunkDataLF
		case chunkDataLF:
			d.lineLength = 0
			ok, d.state = c == '\n', chunkSize
		case trailerLineStart:
			if d.state = trailerLine; c == '\r' {
				d.state = finalLF
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
			ok, d.state = c == '\n', trailerLineStart
		case finalLF:
			if c != '\n' {
				return nil, ErrMalformed
			}
			d.Done = true
			return input[i+1:], nil
		}
		if !ok {
			return nil, ErrMalformed
		}
	}
	return nil, nil
}

// hexDigit returns the value of a hexadecimal digit, or -1 if c is none.
func hexDigit(c byte) int {
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
