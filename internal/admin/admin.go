// Package admin serves the operators' line protocol on a listener of its own. A connection sends one
// line, the command, and gets one answer. HEALTH and DUMP are answered from the metrics that the
// reducer published last, so they never wait for the reducer.
package admin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	lg "lilacglade"
	"lilacglade/internal/reducer"
	"lilacglade/internal/sendguard"
	"lilacglade/internal/transient"
)

// Limits of one connection and of all together.
const (
	maxLine            = 128              // bytes of a command, its line end included
	maxWork            = 64 << 10         // bytes of a command that begins with WORK
	maxConns           = 24               // a further connection closes the oldest one
	connectionLifetime = 6 * time.Second  // from the accept; the connection is closed after it
	writeTimeout       = 10 * time.Second // an answer that the client does not read is dropped after it
)

// Server answers operators' commands.
type Server struct {
	// Work answers a WORK command; it gets what follows the word WORK. If it is nil the command is unknown. It
	// may wait for other proxies, so an answer can take some seconds. It must be set before Listen.
	Work    func(command string) []byte
	metrics atomic.Pointer[reducer.Metrics]

	mu    sync.Mutex
	conns []*clientConn // oldest first
}

// clientConn is a connection of an operator.
type clientConn struct {
	conn netpoll.Connection
	fd   int
	line []byte // the part of the command received so far
	done bool   // it was answered
}

// Publish sets the metrics that answers are made from. The caller must not modify them afterwards.
func (s *Server) Publish(metrics *reducer.Metrics) { s.metrics.Store(metrics) }

// clientConnKey is the context key of a connection's clientConn.
type clientConnKey struct{}

// Listen listens on the address and answers commands until the process ends.
func (s *Server) Listen(address string) error {
	var ln netpoll.Listener
	if err := transient.Retry(listenRetryTimeout, transient.Opening, func() (err error) {
		ln, err = netpoll.CreateListener("tcp", address)
		return err
	}); err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	loop, err := netpoll.NewEventLoop(s.handleInput, netpoll.WithOnPrepare(s.addConn))
	if err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	go func() { _ = loop.Serve(retryingListener{ln}) }() // runs until the process ends
	return nil
}

// retryingListener hides accept errors from the poller, other than that of a closed listener, so that
// it keeps accepting. The pause after an error is short because the poller also serves all other
// connections; without it the poller would spin.
type retryingListener struct{ netpoll.Listener }

// listenRetryTimeout is how long listening is retried after a transient error.
const listenRetryTimeout = 3 * time.Second

// acceptPause is the pause after a failed accept, before the poller tries again.
const acceptPause = time.Millisecond

// Accept accepts a connection. After a failure it returns nil without an error.
func (l retryingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		time.Sleep(acceptPause)
		return nil, nil
	}
	return conn, err
}

// addConn registers an accepted connection. Beyond maxConns it closes the oldest one, because otherwise
// clients that hold idle connections would lock others out.
func (s *Server) addConn(conn netpoll.Connection) context.Context {
	client := &clientConn{conn: conn, fd: -1}
	if withFd, ok := conn.(netpoll.Conn); ok {
		client.fd = withFd.Fd()
	}
	_ = conn.AddCloseCallback(func(netpoll.Connection) error { s.removeConn(client); return nil })
	s.mu.Lock()
	s.conns = append(s.conns, client)
	var oldest *clientConn
	if len(s.conns) > maxConns {
		oldest = s.conns[0]
		s.conns = s.conns[1:]
	}
	s.mu.Unlock()
	if oldest != nil {
		_ = oldest.conn.Close()
	}
	time.AfterFunc(connectionLifetime, func() { _ = conn.Close() })
	return context.WithValue(context.Background(), clientConnKey{}, client)
}

// removeConn removes a closed connection from the list.
func (s *Server) removeConn(client *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.conns {
		if other == client {
			s.conns = append(s.conns[:i:i], s.conns[i+1:]...)
			return
		}
	}
}

// handleInput reads input and answers a complete command. netpoll never runs it concurrently for the same
// connection.
func (s *Server) handleInput(ctx context.Context, conn netpoll.Connection) error {
	client, _ := ctx.Value(clientConnKey{}).(*clientConn)
	reader := conn.Reader()
	available := reader.Len()
	maxLength := maxLine
	if s.Work != nil {
		maxLength = maxWork
	}
	input, err := reader.Next(min(available, maxLength+1))
	if err == nil && !client.done {
		client.line = append(client.line, input...)
	}
	if available > maxLength+1 {
		_ = reader.Skip(available - maxLength - 1)
	}
	_ = reader.Release()
	if client.done {
		return nil
	}
	line, _, complete := bytes.Cut(client.line, []byte("\n"))
	work, isWork := strings.CutPrefix(string(line), "WORK ")
	switch {
	case complete && isWork && s.Work != nil:
		s.answer(client, s.Work(strings.TrimSuffix(work, "\r")))
	case complete && len(line) < maxLine:
		s.answer(client, Answer(string(bytes.TrimSuffix(line, []byte("\r"))), s.metrics.Load()))
	case len(client.line) > maxLength || complete || len(client.line) > maxLine && !isWork:
		s.answer(client, []byte("-ERR the call is too long\n"))
	}
	return nil
}

// answer writes an answer and closes the sending side. It writes to the descriptor directly, because
// netpoll treats a client that has shut down its sending side as disconnected. The descriptor stays
// open while answer runs.
func (s *Server) answer(client *clientConn, text []byte) {
	client.done, client.line = true, nil
	for deadline := time.Now().Add(writeTimeout); len(text) > 0; {
		n, err := syscall.Write(client.fd, text)
		if n > 0 {
			text = text[n:]
		}
		if err == syscall.EAGAIN && time.Now().Before(deadline) {
			time.Sleep(10 * time.Millisecond) // the send buffer is full: the client is not reading
		} else if err != nil && err != syscall.EINTR {
			break
		}
	}
	// Only the sending side is shut down: a full close could send a reset that overtakes the answer.
	// The client closes the connection, or connectionLifetime ends.
	_ = syscall.Shutdown(client.fd, syscall.SHUT_WR)
}

// Answer returns the answer to a command other than WORK. The metrics are nil until the first Publish.
func Answer(command string, metrics *reducer.Metrics) []byte {
	switch {
	case command != "HEALTH" && command != "DUMP":
		return []byte("-ERR unknown call; known are HEALTH and DUMP\n")
	case metrics == nil:
		return []byte("-ERR starting\n")
	case command == "DUMP":
		return append(append([]byte("+OK\n"), Dump(metrics)...), ".\n"...)
	case !metrics.Ready:
		return []byte("-ERR this process takes no requests\n")
	}
	return []byte("+OK serving\n")
}

// metricPrefix begins the name of every metric.
const metricPrefix = "node_"

// Dump returns the metrics in text form, one per line.
func Dump(metrics *reducer.Metrics) []byte {
	var out []byte
	appendLine := func(name string, value uint64) {
		out = append(out, metricPrefix...)
		out = append(out, name...)
		out = append(out, ' ')
		out = append(strconv.AppendUint(out, value, 10), '\n')
	}
	for _, handled := range metrics.Handled {
		for _, count := range []struct {
			outcome string
			value   uint64
		}{{"passed", handled.Passed}, {"dropped", handled.Dropped}, {"bad_gateway", handled.BadGateway}} {
			appendLine("handled{category="+strconv.Quote(handled.Class)+
				",outcome="+strconv.Quote(count.outcome)+"}", count.value)
		}
	}
	appendLine("in_progress", uint64(max(0, metrics.InProgress)))
	appendLine("upstream_tries", metrics.RequestsWritten)
	appendLine("known_album_servers", uint64(metrics.KnownServers))
	appendLine("skipped_album_servers", uint64(metrics.SkippedServers))
	appendLine("loads", metrics.Loads)
	appendLine("load_errors", metrics.LoadErrors)
	for result, count := range metrics.Attempts {
		appendLine("attempts{result="+strconv.Quote(lg.Result(result).String())+"}", count)
	}
	for cause, count := range metrics.Closes {
		appendLine("client_closes{cause="+strconv.Quote(reducer.CloseCause(cause).String())+"}", count)
	}
	for rule, count := range metrics.Violations {
		if rule := sendguard.Rule(rule); rule != sendguard.None {
			appendLine("violations{rule="+strconv.Quote(rule.String())+"}", count)
		}
	}
	appendLine("list_heard", boolValue(metrics.List.Received))
	appendLine("list_unheard_ms", millis(metrics.List.SinceAnswer))
	appendLine("list_longest_pause_ms", millis(metrics.List.LongestPause))
	appendLine("list_calls_failed_in_a_row", uint64(max(0, metrics.List.FailedCalls)))
	appendLine("list_outdated_attempts", metrics.List.OutdatedAttempts)
	appendLine("list_expired", metrics.List.LeaseExpirations)
	appendLine("list_withheld_attempts", metrics.List.WithheldAttempts)
	appendLine("discovery_calls{outcome=\"answered\"}", metrics.Sockets.CallsAnswered)
	appendLine("discovery_calls{outcome=\"failed\"}", metrics.Sockets.CallsFailed)
	appendLine("answers_unwritten", metrics.Sockets.UnwrittenAnswers)
	appendLine("clock_steps", metrics.Sockets.ClockSteps)
	appendLine("reducer_slow_events", metrics.Sockets.SlowEvents)
	appendLine("reducer_longest_event_us", micros(metrics.Sockets.LongestEvent))
	appendLine("reducer_longest_queued_us", micros(metrics.Sockets.LongestQueued))
	appendLine("reducer_longest_list_us", micros(metrics.Sockets.LongestListUpdate))
	return out
}

// boolValue returns 1 for true and 0 for false.
func boolValue(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

// millis converts a duration to whole milliseconds; a negative one becomes 0.
func millis(d time.Duration) uint64 { return uint64(max(0, d).Milliseconds()) }

// micros converts a duration to whole microseconds; a negative one becomes 0.
func micros(d time.Duration) uint64 { return uint64(max(0, d).Microseconds()) }
