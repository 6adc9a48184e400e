package transport

import (
	"bytes"
	"time"

	"lilacglade/internal/http1"
	"lilacglade/internal/reducer"
)

// readClient looks for the next request on a client connection. Requests are processed one at a
// time. Truncated reports that the client had sent more than is read ahead.
func (p *proxy) readClient(conn *connection, truncated bool) {
	if conn.closing {
		return
	}
	if conn.busy {
		// Limits a client that keeps sending without waiting for responses. Its first request is
		// still answered.
		if truncated || conn.parser.Buffered() > maxPipelinedBytes {
			conn.discarding.Store(true)
			conn.parser = http1.Parser{} // no request follows the one in progress
			if conn.isDetached {         // its end may follow what it has sent, and must be seen
				conn.startDiscarding()
			}
			p.step(reducer.ClientFlooding{Conn: conn.id})
		}
		return
	}
	message, err := conn.parser.Next()
	if err != nil || message != nil || truncated {
		conn.busy = true
		conn.requestPending.Store(true)
	}
	switch {
	case err != nil:
		p.step(parseFailure(conn.id, err))
	case message != nil:
		p.handleRequest(conn, message)
		p.readClient(conn, truncated)
	case truncated:
		p.step(parseFailure(conn.id, http1.ErrBodySize))
	case conn.parser.Partial():
		if conn.parser.WantsContinue() {
			conn.write(writeJob{buffers: http1.Continue()})
		}
		if conn.parser.Large() && conn.isDetached {
			p.startUpload(conn)
			return
		}
		if lastRead := conn.arrivals.last(); conn.parser.HeadComplete() && conn.headTime.IsZero() {
			conn.headTime = lastRead
		}
		p.reportReading(conn)
		if conn.parser.Large() {
			conn.requestDetach(false)
		}
	}
}

// reportReading reports to the reducer that more of an incomplete request has arrived.
func (p *proxy) reportReading(conn *connection) {
	event := reducer.ClientReading{Conn: conn.id}
	if !conn.headTime.IsZero() {
		arrived := conn.parser.Received() + int64(conn.pause.unread)
		event.BodyAllowance = time.Duration(arrived) * time.Second / minUploadRate
		event.Deadline = min(p.at(conn.headTime)+uploadPauseBudget+event.BodyAllowance, p.now()+maxUploadPause)
	}
	p.step(event)
}

// handleRequest passes on a complete request.
func (p *proxy) handleRequest(conn *connection, message *http1.Message) {
	conn.http10, conn.headTime = message.HTTP10, time.Time{}
	conn.holdMessage(message.Memory())
	message.Close = message.Close || message.HTTP10
	p.step(p.parsedRequest(conn, message, conn.arrivals.take(conn.parser.Buffered())))
}

// parsedRequest returns the event of a request whose last byte so far was read at the given time. A
// request that was on its way when its class was dropped must not be rejected, so classes count as of
// that time.
func (p *proxy) parsedRequest(conn *connection, message *http1.Message, lastRead time.Time) reducer.Event {
	readAt := p.at(lastRead)
	event := requestEvent(&p.settings, readAt < p.staleClassesUntil, conn.id, message, readAt-conn.requestDelay)
	conn.requestDelay = 0
	if request, ok := event.(reducer.RequestReceived); ok {
		conn.requestID = request.Name
		if p.names != nil && p.names.claiming {
			p.claimName(&request)
			event = request
		}
	}
	return event
}

// startUpload starts to stream a request whose body is large.
func (p *proxy) startUpload(conn *connection) {
	conn.busy = true
	conn.requestPending.Store(true)
	message, body, rest := conn.parser.Stream()
	if body.Done { // all of it had been read before reading could be paused
		conn.parser.Feed(bytes.Clone(rest))
		p.handleRequest(conn, message)
		return
	}
	conn.holdUpload(message.Memory())
	closeAfter := message.Close || message.HTTP10
	message.Close = true // no other request can follow one that is answered before its end
	conn.http10, conn.headTime = message.HTTP10, time.Time{}
	lastRead := conn.arrivals.take(0)
	event := p.parsedRequest(conn, message, lastRead)
	if request, ok := event.(reducer.RequestReceived); ok {
		stream := &bodyStream{message: message, source: conn, length: body.Length(),
			buffers: p.buffers, peeks: &p.peeks, isUpload: true, body: body}
		conn.streaming = true
		stream.timeout = request.Deadline - p.at(lastRead)
		watchUpload(stream, lastRead)
		remaining := stream.length - body.Received()
		if stream.length < 0 {
			remaining = http1.MaxStreamedBody
		}
		request.Stream, request.Timeout, request.Last, request.Payload =
			true, stream.timeout, closeAfter, stream
		request.Deadline += uploadPauseBudget + time.Duration(remaining)*time.Second/minUploadRate
		event = request
	}
	p.step(event)
}
