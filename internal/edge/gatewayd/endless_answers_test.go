package gatewayd

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// endlessReadBytes bounds what an upstream can send of bytes without end before its connection is
// closed: what the gateway reads, and the buffers of the kernel on both sides.
const endlessReadBytes = 24 << 20

// An upstream whose answer has bytes without end, at any place, costs its caller no more than
// another attempt: the request is tried elsewhere or answered with the truth, long before the
// deadline, and the connection of the upstream is closed soon. Callers waited for their whole
// deadline where these bytes belonged to another request, came slowly, or followed a refusal.
func TestAnswersWithoutEnd(t *testing.T) {
	for i, e := range standin.EndlessAnswers("") {
		for _, uri := range []string{"/read/1", "/write/1", "/chat/1"} {
			t.Run(e.Name+" "+uri, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				w := newTestEnv(t, 2, func(n int, r standin.Request) standin.Reply {
					if n == 0 {
						return standin.Reply{Endless: &standin.EndlessAnswers(r.ID)[i]}
					}
					return standin.Reply{Body: "good"}
				})
				began := time.Now()
				a := w.call(uri)
				took := time.Since(began)
				is.NoErr(a.Err)
				is.True(took < time.Second) // the deadline is 1.5 s
				switch {
				case e.Whole:
					is.Equal(a.Status, http.StatusOK)
					is.Equal(a.Body, standin.EndlessBody)
				case uri == "/read/1", e.Refusal:
					is.Equal(a.Status, http.StatusOK)
					is.Equal(a.Body, "good")
				default:
					is.Equal(a.Status, http.StatusBadGateway) // its outcome is unknown
					is.Equal(len(w.ran()), 1)
				}
				is.True(a.Whole)
				w.await(func() bool { return len(w.endless()) == 1 })
				is.True(w.endless()[0].Bytes <= endlessReadBytes)
				if !e.Whole {
					is.True(time.Since(began) < 2*time.Second) // the connection is closed as well
				}
			})
		}
	}
}

// An upstream that begins an answer and sends its body byte by byte, or none of it, costs the
// caller of a request that may be repeated no more than one that does not answer: another upstream
// is tried. The caller waited until its deadline.
func TestSlowBodyOfRepeatableRequest(t *testing.T) {
	tests := []struct {
		name  string
		lines string
		again string
	}{
		{"with a length", "Content-Length: 1000\r\n", "x"},
		{"in chunks", "Transfer-Encoding: chunked\r\n", "1\r\nx\r\n"},
		{"the line of a chunk", "Transfer-Encoding: chunked\r\n", "0"},
		{"without length or chunks", "", "x"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newTestEnv(t, 2, func(n int, r standin.Request) standin.Reply {
				if n == 0 {
					return standin.Reply{Endless: &standin.EndlessAnswer{
						Begin: standin.RawAnswer(r.ID, http.StatusOK, tt.lines, ""), Again: tt.again, Pause: 20 * time.Millisecond,
					}}
				}
				return standin.Reply{Body: "good"}
			})
			a := w.call("/read/1")
			is.NoErr(a.Err)
			is.Equal(a.Status, http.StatusOK)
			is.Equal(a.Body, "good")
			is.True(a.Whole)
		})
	}
}

// A success without end is passed on until the deadline, and its caller can tell that it is not
// whole.
func TestSuccessWithoutEndIsVisiblyCut(t *testing.T) {
	piece := strings.Repeat("x", 16<<10)
	tests := []struct {
		name  string
		lines string
		again string
	}{
		{"with a length", "Content-Length: 900000000000\r\n", piece},
		{"in chunks", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)},
		{"without length or chunks", "", piece},
	}
	for _, tt := range tests {
		for _, uri := range []string{"/read/1", "/write/1"} {
			t.Run(tt.name+" "+uri, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				w := newTestEnv(t, 1, func(_ int, r standin.Request) standin.Reply {
					return standin.Reply{Endless: &standin.EndlessAnswer{
						Begin: standin.RawAnswer(r.ID, http.StatusOK, tt.lines, ""), Again: tt.again, Pause: 10 * time.Millisecond,
					}}
				})
				a := w.call(uri)
				is.NoErr(a.Err)
				is.Equal(a.Status, http.StatusOK)
				is.True(len(a.Body) > maxBufferedBytes)
				is.True(!a.Whole)
				w.await(func() bool { return len(w.endless()) == 1 })
			})
		}
	}
}

// Answers that have no body by their nature end with their head, whatever follows it.
func TestAnswersWithoutBodyAreWhole(t *testing.T) {
	tests := []struct {
		name   string
		method string
		status int
	}{
		{"HEAD", http.MethodHead, http.StatusOK},
		{"204", http.MethodPost, http.StatusNoContent},
		{"304", http.MethodGet, http.StatusNotModified},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newTestEnv(t, 1, func(n int, r standin.Request) standin.Reply {
				if n > 0 {
					return standin.Reply{Body: "good"}
				}
				return standin.Reply{Endless: &standin.EndlessAnswer{Begin: standin.RawAnswer(r.ID, tt.status, "", ""), Again: "x"}}
			})
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			began := time.Now()
			a := w.caller.Call(ctx, standin.Request{ID: "r-1", Method: tt.method, Host: "x.example", URI: "/read/1", Key: "key-a", DeadlineMs: 1500})
			is.NoErr(a.Err)
			is.Equal(a.Status, tt.status)
			is.Equal(a.Body, "")
			is.True(time.Since(began) < time.Second)
			is.Equal(w.call("/read/2").Body, "good") // and not the bytes that follow
		})
	}
}

// endless returns what all replicas sent of bytes without end.
func (w *testEnv) endless() []standin.Sent {
	var all []standin.Sent
	for _, r := range w.replicas {
		all = append(all, r.Endless()...)
	}
	return all
}
