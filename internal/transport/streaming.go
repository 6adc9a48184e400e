package transport

import (
	"errors"
	"os"
	"time"

	"lilacglade/internal/http1"
	"lilacglade/internal/reducer"
)

// finishStream handles the end of a bodyStream, at the connection that received it.
func (p *proxy) finishStream(result written) {
	destination, stream, ok := result.conn, result.stream, result.err == nil
	source := stream.source
	if destination.isClient {
		destination.busy, source.streaming = false, false
		destination.requestPending.Store(false)
		destination.holdMessage(0)
		p.observer.recordUnwritten(destination, result.err, p.now())
		reusable := ok && len(stream.leftover) == 0 && !stream.message.Close
		p.step(reducer.ResponseWritten{Conn: destination.id, OK: ok, Reusable: reusable})
		p.readConn(destination, false)
		source.readNext()
		return
	}
	destination.upload = nil
	destination.holdMessage(0)
	consumed := stream.stop(destination)
	p.step(reducer.RequestWritten{Conn: destination.id, OK: ok, BodyConsumed: consumed})
}

// uploadRead handles that the last byte of an upload was read. From here on its client's connection reads for
// itself again, whatever becomes of the upload, as any connection does whose request is in progress.
func (p *proxy) uploadRead(item bodyComplete) {
	stream, source := item.stream, item.stream.source
	if stream.complete {
		return // another attempt has reported it
	}
	stream.complete = true
	p.step(reducer.RequestBodyComplete{Conn: source.id, ReadAt: p.at(item.readAt)})
	source.streaming = false
	if source.closing {
		return
	}
	if len(stream.leftover) > 0 {
		source.parser.Feed(stream.leftover)
		source.arrivals.add(len(stream.leftover), item.readAt)
	}
	p.readConn(source, false)
}

// streamJob returns the job that copies a bodyStream to a connection. It runs on the goroutine that
// writes on that connection.
func (p *proxy) streamJob(stream *bodyStream, destination *connection, head [][]byte) writeJob {
	stream.setDestination(destination)
	return writeJob{stream: func() {
		err := stream.copyTo(destination, head, func() {
			if stream.isUpload {
				p.inbox.post(bodyComplete{stream, time.Now()})
			}
		})
		if err != nil && destination.isClient && stream.length < 0 && stream.http10 {
			destination.resetOnClose()
		}
		switch {
		case err == nil, errors.Is(err, errStopped), errors.Is(err, errReceiver), !stream.isUpload:
		case errors.Is(err, os.ErrDeadlineExceeded), err == http1.ErrMalformed, err == http1.ErrBodySize:
			p.inbox.post(bodyFailed{stream, err})
		default:
			p.inbox.post(connClosed{stream.source, true})
		}
		p.inbox.post(written{conn: destination, err: err, stream: stream})
	}}
}
