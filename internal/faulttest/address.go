package faulttest

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// Addresses for processes that are started again: ports under those that the system draws for connections.
const (
	firstPort = 10_000
	ports     = 20_000
)

var lastPort atomic.Uint32

// freeAddress is an address that nobody listens on, and that no connection gets by chance.
func freeAddress() (string, error) {
	lastPort.CompareAndSwap(0, rand.Uint32N(ports))
	for range ports {
		at := fmt.Sprintf("127.0.0.1:%d", firstPort+lastPort.Add(1)%ports)
		// Asked by connecting: a port that was only just listened on may not be had again at once.
		conn, err := net.DialTimeout("tcp", at, time.Second)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return at, nil
		}
		if err == nil {
			_ = conn.Close()
		}
	}
	return "", errors.New("no free port")
}

// listen opens an address that may have been closed only just now.
func listen(at string) (ln net.Listener, err error) {
	for range 100 {
		if ln, err = net.Listen("tcp", at); !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
		time.Sleep(pollEvery)
	}
	return ln, err
}
