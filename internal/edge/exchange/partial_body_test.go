package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// An upstream that answers without length and gets only a part of the body, as the caller's broke
// off, may end its answer in good order without having completed it.
func TestAnswerToPartOfBodyLooksWhole(t *testing.T) {
	is := is.New(t)
	address := serveOnce(t, func(conn net.Conn) error {
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return err
		}
		if _, err := io.WriteString(conn, unframedHead+firstPart); err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, req.Body)
		if !errors.Is(err, io.ErrUnexpectedEOF) {
			return errors.Newf("the body ended with %v", err)
		}
		return nil
	})
	body, callerBody := io.Pipe()
	c, _ := client(&fakeClock{now: time.Unix(1000, 0)})
	a := post(t, c, address, body)
	got := make([]byte, len(firstPart))
	_, err := io.ReadFull(a, got)
	is.NoErr(err)
	is.NoErr(callerBody.CloseWithError(errors.New("the caller has gone")))
	_, err = io.ReadAll(a)
	var bodyErr *BodyError
	is.True(errors.As(err, &bodyErr))
	a.Abort()
}
