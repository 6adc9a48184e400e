package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// server is an album server. It begins a request once its last byte has come, works on it and answers.
type server struct {
	run      *run
	id, zone string
	address  string
	work     time.Duration
	// afterAnswer is called after an answer, with the bytes of it; nil: nothing follows an answer.
	afterAnswer func(conn net.Conn, reader *bufio.Reader, answer []byte)
	onHead      func(id string) // the head of a request has come
	onBegin     func(id string) // the last byte of a request has come
	// readBody reads the body of a request; nil: all of it.
	readBody   func(conn net.Conn, request *http.Request) (int64, error)
	onConn     func(net.Conn)    // a connection was accepted
	inFlight   atomic.Int64      // requests that it holds
	listener   net.Listener      // nil once it is stopped
	mu         sync.Mutex        // guards conns
	conns      map[net.Conn]bool // open connections
	ran        map[string]int    // how often each request was begun
	firstBytes []firstByte       // of all requests
}

// errReset is the error of a request whose connection the server has reset.
var errReset = errors.New("the server has reset its connection")

// firstByte is when the first byte of a request came.
type firstByte struct {
	id string
	at time.Duration
}

// serve starts the server on its address, or a free one.
func (s *server) serve() error {
	if s.address == "" {
		s.address = freeAddress()
	}
	ln, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.listener, s.conns = ln, map[net.Conn]bool{}
	if s.ran == nil {
		s.ran = map[string]int{}
	}
	s.run.note("server %s: listens on %s", s.id, s.address)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			if s.onConn != nil {
				s.onConn(conn)
			}
			go s.handle(conn)
		}
	}()
	return nil
}

// stop ends the server as a process that dies: its connections are reset, new ones are refused.
func (s *server) stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	s.run.note("server %s: its process has ended", s.id)
}

// handle carries the requests of one connection.
func (s *server) handle(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		arrived := s.run.at()
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		if s.onHead != nil {
			s.onHead(id)
		}
		s.mu.Lock()
		s.firstBytes = append(s.firstBytes, firstByte{id, arrived})
		s.mu.Unlock()
		var length int64
		if s.readBody != nil {
			length, err = s.readBody(conn, request)
		} else {
			length, err = io.Copy(io.Discard, request.Body)
		}
		if err != nil {
			s.run.note("server %s: request %s ends after %d bytes of its body, it never runs: %v", s.id, id,
				length, err)
			return
		}
		s.mu.Lock()
		s.ran[id]++
		s.mu.Unlock()
		s.run.note("server %s: begins request %s (%d bytes of body, Request-Timeout-Ms %s)", s.id, id, length,
			request.Header.Get("Request-Timeout-Ms"))
		if s.onBegin != nil {
			s.onBegin(id)
		}
		load := s.inFlight.Add(1)
		time.Sleep(s.work)
		s.inFlight.Add(-1)
		body := answerFor(id)
		answer := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nServer-Load: inflight=" +
			strconv.FormatInt(load, 10) + ",latency_ms=" + strconv.FormatInt(max(1, s.work.Milliseconds()), 10) +
			"\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if s.afterAnswer != nil {
			s.afterAnswer(conn, reader, answer)
		}
	}
}

// answerFor returns the body that a server gives for a request.
func answerFor(id string) string { return fmt.Sprintf("album of request %s", id) }

// quietFor reports whether nothing arrives on a connection for some time.
func quietFor(conn net.Conn, reader *bufio.Reader, wait time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	_, err := reader.Peek(1)
	_ = conn.SetReadDeadline(time.Time{})
	return errors.Is(err, os.ErrDeadlineExceeded)
}
