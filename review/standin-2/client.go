package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// exchange makes one call on a connection of its own.
func exchange(address, request string, limit time.Duration) (status int, body string, _ error) {
	conn, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(conn, request); err != nil {
		return 0, "", err
	}
	return readAnswer(bufio.NewReader(conn))
}

// newReader returns a reader of a connection.
func newReader(conn net.Conn) *bufio.Reader { return bufio.NewReader(conn) }

// readAnswer reads a whole answer.
func readAnswer(reader *bufio.Reader) (status int, body string, _ error) {
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer answer.Body.Close()
	raw, err := io.ReadAll(answer.Body)
	return answer.StatusCode, string(raw), err
}

// client is a client with one connection, which it keeps.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// requestText returns a request of a class. A keyed one has its id as its key.
func requestText(c class, id, body string, timeout time.Duration) string {
	key := ""
	if c.semantics == "keyed" {
		key = "Idempotency-Key: key-" + id + "\r\n"
	}
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\nRequest-Class: %s\r\n"+
		"Tenant: port-alder\r\nAffinity-Key: a-%s\r\nRequest-Timeout-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		id, c.name, id, timeout.Milliseconds(), key, len(body), body)
}

// do sends a request and waits for its answer. When the proxy has closed the connection between two
// requests, the request is sent once more on a new one, as the protocol says.
func (c *client) do(text string, limit time.Duration) (status int, body string, err error) {
	for range 2 {
		fresh := c.conn == nil
		if fresh {
			if c.conn, err = net.DialTimeout("tcp", c.address, limit); err != nil {
				c.conn = nil
				return 0, "", err
			}
			c.reader = bufio.NewReader(c.conn)
		}
		_ = c.conn.SetDeadline(time.Now().Add(limit))
		_, err = io.WriteString(c.conn, text)
		if err == nil {
			var answer *http.Response
			if _, err = c.reader.Peek(1); err == nil {
				if answer, err = http.ReadResponse(c.reader, nil); err == nil {
					var raw []byte
					raw, err = io.ReadAll(answer.Body)
					_ = answer.Body.Close()
					if answer.Close || err != nil {
						c.close()
					}
					return answer.StatusCode, string(raw), err
				}
			}
		}
		c.close()
		if fresh || errors.Is(err, os.ErrDeadlineExceeded) { // not closed by the proxy: it is not sent again
			return 0, "", err
		}
	}
	return 0, "", err
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
