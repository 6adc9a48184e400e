package transport

import (
	"errors"
	"log"
	"os"
	"time"

	lg "lilacglade"
	"lilacglade/internal/http1"
	"lilacglade/internal/reducer"
)

// handleItem turns an inbox item into events of the reducer.
func (p *proxy) handleItem(item any) {
	switch item := item.(type) {
	case accepted:
		p.clientConns[item.conn.id] = item.conn
		p.step(reducer.ClientOpened{Conn: item.conn.id})
	case bytesIn:
		p.handleBytes(item)
	case detached:
		p.handleDetached(item.conn)
	case bodyArrived:
		if !item.stream.complete { // else its connection may carry another request by now
			p.step(reducer.RequestBodyArrived{Conn: item.stream.source.id, ArrivedAt: p.at(item.arrivedAfter)})
		}
	case bodyComplete:
		p.uploadRead(item)
	case bodyFailed:
		if id := item.stream.source.id; !item.stream.complete {
			p.step(reducer.RequestBodyFailed{Conn: id, Payload: parseFailure(id, item.err).Payload,
				TimedOut: errors.Is(item.err, os.ErrDeadlineExceeded)})
		}
	case connUnusable:
		p.step(reducer.ServerConnUnusable{Conn: item.conn.id})
	case requestUnsent:
		item.conn.busy, item.conn.upload = false, nil
		p.step(reducer.RequestUnsent{Conn: item.conn.id})
	case clientHungUp:
		p.handleConnClosed(item.conn, true)
	case connClosed:
		p.handleConnClosed(item.conn, item.reset)
	case written:
		p.handleWritten(item)
	case dialed:
		p.handleDialed(item)
	case discoveryConnected:
		if item.watcher == p.watcher {
			p.step(reducer.ListConnected{})
		}
	case listDocument:
		if item.from == p.watcher {
			p.applyList(item)
		} else if p.watcher != nil && item.from.address == p.watcher.address {
			p.applyLateList(item)
		}
	case reloaded:
		p.handleReload(item.reload)
	case fencingUpdated:
		p.step(reducer.FencingUpdated{Facts: item.facts, OwnGrant: item.ownGrant})
	case idleCheck:
		if !item.conn.closing && !item.conn.busy && item.conn.idle() {
			p.step(reducer.ClientIdleConfirmed{Conn: item.conn.id})
		}
	case acceptQueueDrained:
		p.step(reducer.AcceptQueueDrained{})
	case otherProcesses:
		p.otherProcessesChanged(item)
	case pausedReadsDue:
		p.lookAtPausedReads()
	case overlapEnded:
		p.applyLimits()
	case stopping:
		// Where no other process accepts them, clients still connect for a while.
		p.listener.closed.Store(p.socketShared)
		p.applyLimits()
		p.step(reducer.Stopping{})
	}
}

// handleBytes parses bytes that were read on a connection.
func (p *proxy) handleBytes(item bytesIn) {
	conn := item.conn
	conn.queuedBytes.Add(-int64(len(item.data)))
	p.memory.addInput(-len(item.data) - item.reserved)
	if item.fromDetached {
		conn.readPending = false
	}
	if conn.closing {
		return
	}
	conn.parser.Feed(item.data)
	if conn.isClient {
		conn.arrivals.add(len(item.data), item.readAt)
		conn.requestDelay = max(conn.requestDelay, item.delay)
	}
	p.readConn(conn, item.truncated)
}

// handleDetached continues with a connection that the library has let go of.
func (p *proxy) handleDetached(conn *connection) {
	conn.isDetached = true
	switch {
	case conn.closedLocally:
		conn.close()
	case conn.discarding.Load():
		conn.startDiscarding()
	default:
		p.readConn(conn, false)
	}
}

// handleWritten handles the end of a write.
func (p *proxy) handleWritten(item written) {
	conn := item.conn
	switch {
	case item.stream != nil:
		p.finishStream(item)
	case !conn.isClient:
		conn.holdMessage(0)
		p.step(reducer.RequestWritten{Conn: conn.id, OK: item.err == nil})
	default:
		conn.busy = false
		conn.holdMessage(0)
		conn.requestPending.Store(false)
		p.observer.recordUnwritten(conn, item.err, p.now())
		p.step(reducer.ResponseWritten{Conn: conn.id, OK: item.err == nil})
		p.readConn(conn, false)
	}
}

// handleDialed handles the result of a dial.
func (p *proxy) handleDialed(item dialed) {
	conn := item.conn
	if conn.closing { // closed while it was being opened
		if item.socket != nil {
			_ = item.socket.Close()
		}
		return
	}
	ok := item.socket != nil && conn.open(item.socket)
	if !ok {
		delete(p.serverConns, conn.id)
	}
	p.step(reducer.ServerDialed{Conn: conn.id, OK: ok, LocalFault: item.localFault})
}

// handleReload applies a new configuration, or reports that it was rejected.
func (p *proxy) handleReload(reload Reload) {
	if reload.Err != nil {
		log.Printf("reload: %v; the configuration is unchanged", reload.Err)
		p.step(reducer.ReloadFailed{})
		return
	}
	node := reload.Node
	log.Printf("a new configuration: discovery at %s", node.Discovery)
	known := p.applySettings(node.Settings)
	p.limits = node.Limits
	p.applyLimits()
	maxClients, maxServers := connectionLimits(node.Limits)
	p.listener.maxConns.Store(int64(maxClients))
	p.step(reducer.Reloaded{Settings: &p.settings.Settings, Discovery: node.Discovery,
		MaxClients: softClientLimit(maxClients), MaxServerConns: maxServers})
	if known != nil {
		p.applyKnownList(known)
	}
}

// readConn parses what has arrived on a connection, and continues reading where that has to be
// requested.
func (p *proxy) readConn(conn *connection, truncated bool) {
	if conn.isClient {
		p.readClient(conn, truncated)
	} else {
		p.readServer(conn, truncated)
	}
	conn.countMemory()
	if !conn.discarding.Load() {
		p.readOn(conn)
	}
}

// handleConnClosed handles the end of a connection. Reset reports that it was not closed in good order.
func (p *proxy) handleConnClosed(conn *connection, reset bool) {
	responsePending := conn.busy && !conn.closing
	if conn.isDetached || conn.isClient { // whoever learned of it first: nobody else may come to close it
		conn.close()
	}
	if conn.upload != nil {
		conn.upload.stop(conn)
	}
	if conn.isClient {
		delete(p.clientConns, conn.id)
		conn.releaseMemory()
		p.step(reducer.ClientClosed{Conn: conn.id})
		return
	}
	// Otherwise a large response would be lost that had arrived completely, together with the end
	// of its connection, before the connection could be paused.
	var message *http1.Message
	if !reset {
		message = conn.parser.End()
	}
	if message == nil && conn.parser.Large() {
		if large, body, _ := conn.parser.Stream(); body.Done || body.UntilClose() && !reset {
			message = large
		}
	}
	if message != nil && responsePending {
		p.finishResponse(conn, responseEvent(&p.settings, conn.id, message, false))
	}
	delete(p.serverConns, conn.id)
	conn.releaseMemory()
	p.step(reducer.ServerClosed{Conn: conn.id})
}

// applyLateList applies a list that arrived on a watch while that watch was being abandoned: it
// counts as received.
func (p *proxy) applyLateList(document listDocument) {
	if document.err != nil {
		return
	}
	if list, ok := p.servers.ApplyLate(document.list, p.now()); ok {
		p.logListChanges()
		p.step(reducer.ListReceived{List: list, Late: true})
		p.publishInventory()
	}
}

// applyList applies the result of the current call to discovery.
func (p *proxy) applyList(document listDocument) {
	start := time.Now()
	list, err, unusable := lg.List{Kind: lg.ListFailed}, document.err, document.malformed
	if document.malformed {
		p.servers.RequestFull()
	}
	if err == nil {
		var update lg.List
		if update, err = p.servers.Apply(document.list, p.now()); err == nil {
			list = update
		}
		unusable = err != nil
	}
	p.observer.recordCall(document, err, p.now())
	var replaced []lg.ServerID
	if err == nil {
		replaced = p.servers.Replaced()
		p.logListChanges()
	}
	p.step(reducer.ListReceived{List: list, NextFull: !p.servers.CanWatch(), Complete: document.list.IsFull(),
		Unusable:       unusable,
		Replaced:       replaced,
		ProcessingTime: document.decodeTime + time.Since(start)})
	if err == nil {
		p.publishInventory()
	}
}
