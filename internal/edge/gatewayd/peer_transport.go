package gatewayd

import (
	"io"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/rs/zerolog"

	"github.com/gladegauge/gladegauge/internal/core/responsehead"
	"github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1/gladegaugev1connect"
)

// Directions of the bytes of calls to other gateways, as seen by the caller.
const (
	directionSent     = "sent"
	directionReceived = "received"
)

// callKinds are the kinds of calls between gateways, by procedure.
var callKinds = map[string]string{
	gladegaugev1connect.GatewayServiceExchangeProcedure:      "exchange",
	gladegaugev1connect.GatewayServiceFollowProcedure:        "follow",
	gladegaugev1connect.GatewayServiceTellLoadsProcedure:     "tell_loads",
	gladegaugev1connect.GatewayServiceBorrowTurnProcedure:    "borrow_turn",
	gladegaugev1connect.GatewayServiceReportStreamsProcedure: "report_streams",
	gladegaugev1connect.GatewayServiceFindStreamProcedure:    "find_stream",
}

// peerTransport counts the bytes of the bodies of calls to other gateways, by kind and
// direction. The caller counts both directions, so that the sum over all gateways counts
// each byte once.
type peerTransport struct {
	next  http.RoundTripper
	bytes *prometheus.CounterVec
}

// RoundTrip makes the call and counts the bytes that are read of both bodies.
func (t *peerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	kind, ok := callKinds[r.URL.Path]
	if !ok {
		return t.roundTrip(r)
	}
	if r.Body != nil && r.Body != http.NoBody {
		r = r.WithContext(r.Context())
		r.Body = &countingBody{r.Body, t.bytes.WithLabelValues(kind, directionSent)}
	}
	resp, err := t.roundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = &countingBody{resp.Body, t.bytes.WithLabelValues(kind, directionReceived)}
	return resp, nil
}

// roundTrip makes the call. It fails if the head of the response is invalid: a message that was cut
// can look whole to its decoder.
func (t *peerTransport) roundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err //nolint:wrapcheck // The transport's errors are the caller's.
	}
	if err := responsehead.Check(resp.StatusCode, resp.Header); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// byteTotals returns the bytes so far in the direction, by kind, for a log line.
func (t *peerTransport) byteTotals(direction string) *zerolog.Event {
	dict := zerolog.Dict()
	for _, kind := range callKinds {
		var m dto.Metric
		if err := t.bytes.WithLabelValues(kind, direction).Write(&m); err == nil {
			dict = dict.Float64(kind, m.GetCounter().GetValue())
		}
	}
	return dict
}

// countingBody counts the bytes that are read of a body.
type countingBody struct {
	io.ReadCloser
	bytes prometheus.Counter
}

func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes.Add(float64(n))
	return n, err //nolint:wrapcheck // A reader passes its errors on, io.EOF among them.
}
