package gatewayd

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// The bytes of both bodies of a call are counted for its kind, and those of other calls
// are not.
func TestBytesOfCalls(t *testing.T) {
	is := is.New(t)
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "four")
	}))
	defer other.Close()
	m := newServerMetrics(nil, func() uint64 { return 0 })
	tr := newPeerTransport(m.peerBytes)
	client := &http.Client{Transport: tr}
	for _, path := range []string{"/gladegauge.v1.GatewayService/Follow", "/gladegauge.v1.GatewayService/Follow", "/else"} {
		resp, err := client.Post(other.URL+path, "text/plain", strings.NewReader("seven77"))
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
	}
	families, err := m.registry.Gather()
	is.NoErr(err)
	count := func(direction string) float64 {
		return valueOf(families, "gladegauge_gateway_peer_bytes_total", map[string]string{"call": "follow", "direction": direction})
	}
	is.Equal(count(directionSent), 14.0)
	is.Equal(count(directionReceived), 8.0)
	var line strings.Builder
	log := zerolog.New(&line)
	log.Info().Dict("sent", tr.byteTotals(directionSent)).Send()
	is.True(strings.Contains(line.String(), `"follow":14`))
	is.True(strings.Contains(line.String(), `"exchange":0`))
}
