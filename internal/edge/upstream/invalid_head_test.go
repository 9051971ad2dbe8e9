package upstream

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/responsehead"
	"github.com/gladegauge/gladegauge/internal/standin/rawserver"
)

// forward calls an upstream that sends the bytes. It returns the number of chunks that are forwarded,
// with the head, and the end.
func forward(t *testing.T, text string) (int, End) {
	t.Helper()
	forwarded := 0
	end := New("http://"+rawserver.New(t, text), NewHTTPClient()).Do(t.Context(), Call{Method: http.MethodPost, Path: "/", Headers: make(http.Header)}, func(Chunk) error {
		forwarded++
		return nil
	})
	return forwarded, end
}

// A response with an invalid status, or with a blank in the name of a field, was forwarded as whole.
func TestInvalidHeadIsForwarded(t *testing.T) {
	tests := []struct{ name, status, lines string }{
		{"status 000", "000", "Content-Length: 5\r\n"},
		{"status 099", "099 Any", "Content-Length: 5\r\n"},
		{"status with a sign", "+20 OK", "Content-Length: 5\r\n"},
		{"status above 599", "600 Any", "Content-Length: 5\r\n"},
		{"blank inside a name", "200 OK", "Bad Name: v\r\nContent-Length: 5\r\n"},
		{"blank before a colon", "200 OK", "Bad : v\r\nContent-Length: 5\r\n"},
		{"length that is not seen", "200 OK", "Content-Length : 999\r\n"},
		{"chunks that are not seen", "200 OK", "Transfer-Encoding : chunked\r\n"},
		{"blank in a name of an error", "500 Internal Server Error", "Bad Name: v\r\nContent-Length: 5\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			forwarded, end := forward(t, "HTTP/1.1 "+tt.status+"\r\n"+tt.lines+"\r\nother")
			is.Equal(forwarded, 0)
			is.Equal(end.Result, Aborted)
			is.True(errors.Is(end.Err, responsehead.ErrInvalid))
		})
	}
}

// A state whose head has an invalid status, or whose length or chunks are not seen, is not taken for
// what the engine has loaded.
func TestInvalidHeadOfState(t *testing.T) {
	const state = `{"version":"7"}`
	tests := []struct{ name, status, lines, body string }{
		{"status 000", "000", "Content-Length: 15\r\n", state},
		{"status with a sign", "+20 OK", "Content-Length: 15\r\n", state},
		{"length that is not seen", "200 OK", "Content-Length : 15\r\n", state[:len(state)-1]},
		{"chunks that are not seen", "200 OK", "Transfer-Encoding : chunked\r\n", "f\r\n" + state + "\r\n0\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address := rawserver.New(t, "HTTP/1.1 "+tt.status+"\r\n"+tt.lines+"\r\n"+tt.body)
			_, err := New("http://"+address, NewHTTPClient()).State(t.Context())
			is.True(err != nil)
		})
	}
}

// A byte that no name may hold is refused by net/http.
func TestInvalidByteInFieldName(t *testing.T) {
	for _, name := range []string{"Bad\x01Name", "Bad\x00", "Bad\t", "B\xe9d", ""} {
		t.Run(strconv.Quote(name), func(t *testing.T) {
			is := is.New(t)
			forwarded, end := forward(t, "HTTP/1.1 200 OK\r\n"+name+": v\r\nContent-Length: 5\r\n\r\nother")
			is.Equal(forwarded, 0)
			is.Equal(end.Result, Aborted)
		})
	}
}
