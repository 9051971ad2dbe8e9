// Package rawserver is a test double of an HTTP server that may send anything as its answer.
//
// # Usage
//
//	address := rawserver.New(t, "HTTP/1.1 000\r\nContent-Length: 2\r\n\r\nok")
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// New starts a server that reads a request on each connection, sends the next of the answers as it
// is, and closes the connection. It accepts as many connections as there are answers. It returns the
// host and port.
func New(t testing.TB, answers ...string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		for _, text := range answers {
			conn, err := l.Accept()
			if err != nil {
				return nil //nolint:nilerr // The listener was closed.
			}
			if err := errors.CombineErrors(answer(conn, text), conn.Close()); err != nil {
				return err
			}
		}
		return nil
	})
	t.Cleanup(func() {
		_ = l.Close()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

// answer reads a request with its body and sends the text.
func answer(conn net.Conn, text string) error {
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return errors.Wrap(err, "read the request")
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return errors.Wrap(err, "read the body of the request")
	}
	_, err = io.WriteString(conn, text)
	return errors.Wrap(err, "send the answer")
}
