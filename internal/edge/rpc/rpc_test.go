package rpc

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// An answer of another process whose head exceeds the bound fails the call. Heads of up to 10 MB
// were held in memory.
func TestLongHead(t *testing.T) {
	tests := []struct {
		name  string
		bytes int
		ok    bool
	}{
		{"within the bound", MaxHeaderBytes / 2, true},
		{"beyond the bound", 2 * MaxHeaderBytes, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			k := &Keys{Plaintext: true}
			s, err := k.Server(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Long", strings.Repeat("x", tt.bytes))
			}))
			is.NoErr(err)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			var group errgroup.Group
			group.Go(func() error { return k.Serve(s, l) })
			client, err := k.Client()
			is.NoErr(err)
			resp, err := client.Get(k.URL(l.Addr().String())) //nolint:noctx // The server answers at once.
			is.Equal(err == nil, tt.ok)
			if err == nil {
				is.NoErr(resp.Body.Close())
			}
			is.NoErr(s.Close())
			is.NoErr(group.Wait())
		})
	}
}
