package transport

import (
	lg "lilacglade"
	"lilacglade/internal/http1"
	"lilacglade/internal/reducer"
)

// readServer looks for the response on a server connection. Any other data makes the connection
// unusable: the next request could take it for its response.
func (p *proxy) readServer(conn *connection, truncated bool) {
	if !conn.busy {
		if conn.parser.Partial() {
			p.step(reducer.UnexpectedServerData{Conn: conn.id})
		}
		return
	}
	message, err := conn.parser.Next()
	for ; err == nil && message != nil && message.Status < 200; message, err = conn.parser.Next() {
		if conn.interimResponses++; conn.interimResponses > maxInterimResponses || message.Status == 101 {
			err = http1.ErrMalformed
			break
		}
	}
	if message == nil && conn.parser.Status() == 200 && p.memory.isFull() {
		conn.parser.MarkLarge() // the rest is passed on as it arrives
	}
	switch {
	case err != nil, message == nil && truncated:
		p.finishResponse(conn, reducer.ServerAnswered{Conn: conn.id, Result: lg.ServerError})
	case message != nil:
		p.finishResponse(conn, responseEvent(&p.settings, conn.id, message, !conn.parser.Partial() && !truncated))
	case conn.parser.Large() && !conn.isDetached:
		conn.requestDetach(false)
	case conn.parser.Large() && conn.readPending: // the bytes of the pending read come first
		conn.interruptRead()
	case conn.parser.Large():
		p.startDownload(conn)
	case conn.parser.LengthUnknown() && conn.parser.Status() == 200 && !conn.responseStarted:
		conn.responseStarted = true
		p.step(reducer.ResponseStarted{Conn: conn.id})
	}
}

// finishResponse handles the end of the pending response of a server connection. An upload that is
// still being written to it is stopped.
func (p *proxy) finishResponse(conn *connection, event reducer.ServerAnswered) {
	conn.busy = false
	if conn.upload != nil {
		event.BodyConsumed = conn.upload.stop(conn)
	}
	p.step(event)
}

// startDownload starts to stream a response whose body is large.
func (p *proxy) startDownload(conn *connection) {
	message, body, rest := conn.parser.Stream()
	event := responseEvent(&p.settings, conn.id, message, len(rest) == 0)
	early := conn.upload != nil && !conn.upload.complete
	if body.Done || event.Result != lg.OK || early {
		if !body.Done || early { // a response to an incomplete request is not streamed either
			event = reducer.ServerAnswered{Conn: conn.id, Result: lg.ServerError, Load: event.Load}
		}
		p.finishResponse(conn, event)
		return
	}
	conn.busy, conn.streaming = false, true
	p.step(reducer.ResponseStreaming{Conn: conn.id, Load: event.Load, Payload: &bodyStream{message: message,
		source: conn, length: body.Length(), buffers: p.buffers, body: body}})
}
