package legs

import (
	"net"
	"sync/atomic"

	"github.com/cloudwego/netpoll"
)

// listener turns away connections beyond the descriptors that callers have, before anything
// else is spent on them. Guards against running out of descriptors between the accepting and
// the reducer's making room.
type listener struct {
	netpoll.Listener
	open, most atomic.Int64
}

// Accept returns no connection and no error when there is nothing to take.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil && conn != nil && l.open.Load() >= l.most.Load() {
		_ = conn.Close()
		return nil, nil
	}
	return conn, err
}

// calm is the number of caller legs up to which the reducer has time to make room.
func calm(callers int) int { return callers * 7 / 8 }
