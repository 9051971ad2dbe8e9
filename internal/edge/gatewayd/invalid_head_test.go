package gatewayd

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
	"github.com/gladegauge/gladegauge/internal/standin/rawserver"
	"github.com/gladegauge/gladegauge/platform/standin"
)

// An answer with a status that HTTP does not have was passed on, or ended its caller's connection
// without an answer and without a line of the log.
func TestInvalidStatusReachesCaller(t *testing.T) {
	playInvalidHeads(t, standin.InvalidStatuses())
}

// An answer with a blank in the name of a field was passed on. Its body was that of another length
// or framing than its upstream had stated, if that was in this field.
func TestBlankInFieldNameReachesCaller(t *testing.T) {
	playInvalidHeads(t, standin.BlankFieldNames())
}

// An answer with another invalid byte in the name of a field is not passed on.
func TestInvalidByteInFieldName(t *testing.T) {
	playInvalidHeads(t, standin.InvalidFieldNames())
}

// playInvalidHeads checks that no caller gets an answer with one of the heads: another upstream
// answers a request that may be repeated, and others get an error of the gateway.
func playInvalidHeads(t *testing.T, heads []standin.InvalidHead) {
	t.Helper()
	for _, uri := range []string{"/read/1", "/write/1", "/chat/1", "/note/1"} {
		for _, h := range heads {
			t.Run(h.Name+", "+uri, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				kind, body, sound := "text/plain", "other", standin.Reply{Body: "sound"}
				want := sound.Body
				if asksForStream(standin.Request{URI: uri}) {
					kind, body, sound = "text/event-stream", standin.Event(1, "other"), standin.Reply{Events: garbledData}
					want = eventsOf(len(garbledData))
				}
				w := newTestEnv(t, 2, func(n int, r standin.Request) standin.Reply {
					if n == 0 {
						return standin.Reply{Raw: h.Answer(r.ID, kind, body)}
					}
					return sound
				})
				a := w.call(uri)
				is.NoErr(a.Err)
				is.True(a.Whole)
				if slices.Contains([]string{"/read/1", "/note/1"}, uri) {
					is.Equal(a.Status, http.StatusOK)
					is.Equal(a.Body, want)
				} else {
					is.Equal(a.Status, http.StatusBadGateway)
					is.True(!a.Sealed())
					is.Equal(len(w.ran()), 1)
				}
				is.Equal(w.lostAttempts("r-1"), 1) // the attempt has ended, and a line says so
			})
		}
	}
}

// lostAttempts returns the number of lines of the log about lost attempts of the request.
func (w *testEnv) lostAttempts(id string) int {
	n := 0
	for line := range strings.Lines(w.logs.String()) {
		if strings.Contains(line, `"request":"`+id+`"`) && strings.Contains(line, `"failure":"lost"`) {
			n++
		}
	}
	return n
}

// A head that HTTP allows is passed on as it is, however unusual.
func TestUnusualHeadsPass(t *testing.T) {
	const ok, length = "200 OK", "Content-Length: 5\r\n"
	tests := []struct {
		name          string
		status, lines string
		body          string
		field, value  string
		want          int
	}{
		{name: "no reason", status: "200", lines: length, want: 200},
		{name: "empty reason", status: "200 ", lines: length, want: 200},
		{name: "status of no known meaning", status: "299 Any", lines: length, want: 299},
		{name: "error of the caller", status: "404 Not Found", lines: length, want: 404},
		{name: "error of no known meaning", status: "599 Any", lines: length, want: 599},
		{name: "empty value", status: ok, lines: "X-Empty:\r\n" + length, field: "X-Empty", want: 200},
		{name: "blanks around a value", status: ok, lines: "X-Blanks: \t a b \t\r\n" + length, field: "X-Blanks", value: "a b", want: 200},
		{name: "all characters of a name", status: ok, lines: "!#$%&'*+-.^_`|~09azAZ: v\r\n" + length, field: "!#$%&'*+-.^_`|~09azAZ", value: "v", want: 200},
		{name: "folded value", status: ok, lines: "X-Folded: a\r\n b\r\n" + length, field: "X-Folded", value: "a b", want: 200},
		{
			name: "blank in the name of a trailer, which is not passed on", status: ok, lines: "Transfer-Encoding: chunked\r\n",
			body: "5\r\nother\r\n0\r\nBad Name: v\r\n\r\n", want: 200,
		},
	}
	for _, tt := range tests {
		for _, uri := range []string{"/read/1", "/write/1"} {
			t.Run(tt.name+", "+uri, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				w := newTestEnv(t, 2, func(_ int, r standin.Request) standin.Reply {
					return standin.Reply{Raw: standin.RawAnswerWithStatus(r.ID, tt.status, tt.lines, cmp.Or(tt.body, "other")), RawOpen: true}
				})
				a := w.call(uri)
				is.NoErr(a.Err)
				is.True(a.Whole)
				is.Equal(a.Status, tt.want)
				is.Equal(a.Body, "other")
				is.True(a.Sealed())
				if tt.field != "" {
					is.Equal(a.Header[http.CanonicalHeaderKey(tt.field)], []string{tt.value})
				}
			})
		}
	}
}

// An answer to a call between gateways whose length or chunks stood in a field with a blank in its
// name was taken for whole where it was cut: the changes of the store behind the cut were missed.
func TestInvalidHeadOfGateway(t *testing.T) {
	is := is.New(t)
	entries := []*gladegaugev1.StoreEntry{{Key: "a"}, {Key: "b"}}
	whole, err := proto.Marshal(&gladegaugev1.FollowResponse{Revision: 9, Entries: entries})
	is.NoErr(err)
	first, err := proto.Marshal(&gladegaugev1.FollowResponse{Revision: 9, Entries: entries[:1]})
	is.NoErr(err)
	const kind = "Content-Type: application/proto\r\n"
	tests := []struct {
		name, status, lines string
		body                []byte
		valid               bool
	}{
		{"sound", "200 OK", fmt.Sprintf("Content-Length: %d\r\n", len(whole)), whole, true},
		{"cut", "200 OK", fmt.Sprintf("Content-Length: %d\r\n", len(whole)), first, false},
		{"cut, length that is not seen", "200 OK", fmt.Sprintf("Content-Length : %d\r\n", len(whole)), first, false},
		{"blank in a name", "200 OK", fmt.Sprintf("Bad Name: v\r\nContent-Length: %d\r\n", len(whole)), whole, false},
		{"status 000", "000", fmt.Sprintf("Content-Length: %d\r\n", len(whole)), whole, false},
	}
	p := startPeer(t, standin.NewStore(t))
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address := rawserver.New(t, "HTTP/1.1 "+tt.status+"\r\n"+kind+tt.lines+"\r\n"+string(tt.body))
			resp, err := p.peer(address).Follow(t.Context(), connect.NewRequest(&gladegaugev1.FollowRequest{}))
			is.Equal(err == nil, tt.valid)
			if tt.valid {
				is.Equal(len(resp.Msg.GetEntries()), len(entries))
			}
		})
	}
}
