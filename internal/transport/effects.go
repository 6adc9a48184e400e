package transport

import (
	"fmt"
	"time"

	"lilacglade/internal/http1"
	"lilacglade/internal/reducer"
)

// step passes an event to the reducer and executes the effects that it returns.
func (p *proxy) step(event reducer.Event) {
	wallTime := time.Now()
	now := p.at(wallTime)
	p.observer.checkWallClock(wallTime, now)
	for _, effect := range p.state.Step(now, event) {
		p.execute(effect)
	}
}

// execute carries out one effect.
func (p *proxy) execute(effect reducer.Effect) {
	switch effect.Do {
	case reducer.AnswerClient:
		if conn := p.clientConns[effect.Conn]; conn != nil {
			conn.busy = true
			conn.requestPending.Store(true)
			if stream, ok := effect.Payload.(*bodyStream); ok && effect.Verdict == reducer.Served {
				stream.http10 = conn.http10
				conn.holdMessage(stream.message.Memory())
				conn.write(p.streamJob(stream, conn, stream.message.ForwardResponseHead(fieldLoad, stream.length,
					stream.http10, effect.Last)))
				return
			}
			p.observer.recordUnserved(conn, effect, p.now())
			conn.holdMessage(answerMemory(effect))
			conn.write(writeJob{buffers: encodeAnswer(effect), report: true})
		}
	case reducer.CheckClientIdle:
		if conn := p.clientConns[effect.Conn]; conn != nil {
			p.inbox.post(idleCheck{conn})
		}
	case reducer.CloseClientWrite:
		if conn := p.clientConns[effect.Conn]; conn != nil {
			conn.closeWrite()
		}
	case reducer.CloseClientConn:
		if conn := p.clientConns[effect.Conn]; conn != nil {
			conn.close()
		}
	case reducer.Dial:
		conn := &connection{id: effect.Conn, inbox: p.inbox, memory: p.memory, clock: p.clock,
			parser: http1.Parser{Responses: true}}
		p.serverConns[effect.Conn] = conn
		go conn.dial(p.servers.Address(effect.Server), effect.At)
	case reducer.Forward:
		if conn := p.serverConns[effect.Conn]; conn != nil {
			p.forward(conn, effect)
		}
	case reducer.CloseServerConn:
		if conn := p.serverConns[effect.Conn]; conn != nil {
			delete(p.serverConns, effect.Conn)
			if conn.upload != nil {
				conn.upload.stop(conn)
			}
			conn.releaseMemory()
			conn.close()
		}
	case reducer.StreamResponse:
		if conn := p.serverConns[effect.Conn]; conn != nil && conn.busy {
			conn.parser.MarkLarge()
			if conn.readPending {
				conn.interruptRead()
			} else {
				p.inbox.post(bytesIn{conn: conn, readAt: time.Now()}) // looked at once this effect is done
			}
		}
	case reducer.ArmTimer:
		p.timer.Reset(p.until(effect.At))
	case reducer.Watch:
		p.watch(effect)
	case reducer.Publish:
		metrics := effect.Payload.(*reducer.Metrics)
		metrics.Sockets = p.observer.metrics
		p.publish(metrics)
	case reducer.ReportFencing:
		status := effect.Payload.(reducer.FencingStatus)
		p.peers.Stopped(status.Index, status.Clear, status.OwnGrant)
	case reducer.Log:
		p.logEffect(effect)
	case reducer.DrainAcceptQueue:
		go p.listener.awaitPending(func() { p.inbox.post(acceptQueueDrained{}) })
	case reducer.ClaimName:
		p.names.registry.Claim(effect.Name, effect.Unsafe)
	case reducer.ReleaseName:
		p.names.registry.Release(effect.Name)
	case reducer.Finish:
		p.done = true
	}
}

// answerMemory returns the bytes of memory that an answer holds until it is written.
func answerMemory(effect reducer.Effect) int {
	if message, ok := effect.Payload.(*http1.Message); ok {
		return message.Memory()
	}
	return 0 // it is short
}

// forward has a request written to a server. If the connection became unusable or the client has
// left, it posts that to the reducer instead, in the order of events.
func (p *proxy) forward(conn *connection, effect reducer.Effect) {
	if !conn.usable() {
		p.inbox.post(connUnusable{conn})
		return
	}
	if client := p.clientConns[effect.Client]; client != nil && client.hungUp() {
		p.inbox.post(clientHungUp{client})
		p.inbox.post(requestUnsent{conn})
		return
	}
	conn.busy, conn.responseStarted, conn.interimResponses = true, false, 0
	timeout := fmt.Sprint(max(1, (effect.At - p.now()).Milliseconds()))
	if stream, ok := effect.Payload.(*bodyStream); ok {
		conn.upload = stream
		conn.holdUpload(stream.message.Memory())
		job := p.streamJob(stream, conn, stream.message.ForwardRequestHead(fieldTimeout, timeout, stream.length))
		job.tooLate = p.tooLateCheck(effect, written{conn: conn, stream: stream})
		conn.write(job)
		return
	}
	message := effect.Payload.(*http1.Message)
	conn.holdMessage(message.Memory())
	buffers := message.ForwardRequest(fieldTimeout, timeout)
	conn.write(writeJob{buffers: buffers, deadline: effect.At, report: true,
		tooLate: p.tooLateCheck(effect, written{conn: conn})})
}

// watch sends a call to discovery.
func (p *proxy) watch(effect reducer.Effect) {
	if p.watcher == nil || p.watcher.address != effect.Text || effect.NewConn {
		if p.watcher != nil {
			p.watcher.stop()
		}
		if p.watcher != nil && p.watcher.address != effect.Text {
			p.servers.RequestFull()
		}
		p.watcher = newWatcher(effect.Text, p.inbox, p.clock, p.decoder)
		go p.watcher.run()
	}
	p.watcher.request(call{p.servers.Query(p.now(), effect.At), effect.GiveUpAt + callTimeoutSlack})
}
