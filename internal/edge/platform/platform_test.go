package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/config"
)

// A value whose head or body exceeds its bound is an error, also if it has no end. Heads of up to
// 10 MB were held in memory.
func TestLongValues(t *testing.T) {
	tests := []struct {
		name  string
		write func(w http.ResponseWriter)
		ok    bool
	}{
		{"within the bounds", func(w http.ResponseWriter) { _, _ = w.Write(make([]byte, config.MaxShardBytes)) }, true},
		{"long head", func(w http.ResponseWriter) { w.Header().Set("X-Long", strings.Repeat("x", 2*maxHeadBytes)) }, false},
		{"long body", func(w http.ResponseWriter) { _, _ = w.Write(make([]byte, config.MaxShardBytes+1)) }, false},
		{"body without end", func(w http.ResponseWriter) {
			for piece, err := make([]byte, 64<<10), error(nil); err == nil; {
				_, err = w.Write(piece)
			}
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(VersionHeader, "1")
				tt.write(w)
			}))
			defer server.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, err := New(server.URL, NewHTTPClient(), func(string, string) {}).Read(ctx, ManifestName)
			is.Equal(err == nil, tt.ok)
			is.NoErr(ctx.Err())
		})
	}
}
