package gatewayd

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/platform"
)

// upstreamRequest returns the request as it is sent to the upstream.
func (x *request) upstreamRequest(choice balance.Choice, now time.Time) *http.Request {
	f := platform.Forward{
		Upstream:     choice.ID,
		Organisation: x.organisation(),
		Remaining:    x.admission.Deadline.Sub(now),
		Urgency:      x.admission.Urgency,
		LastEvent:    x.lastEventID,
		FetchFrom:    choice.FetchFrom,
		BackupAt:     choice.Backup.Address,
	}
	if x.continuing {
		f.ContinueFrom = choice.Address
	}
	req := &http.Request{
		Method: x.r.Method,
		URL:    upstreamURL(x.r),
		Host:   x.r.Host,
		Header: platform.UpstreamHeader(x.r.Header, f),
	}
	if x.body.source != nil {
		req.Body = x.body.reader()
		req.ContentLength = x.body.length
	}
	return req
}

// upstreamURL returns a URL with the caller's path and query exactly as they were received.
func upstreamURL(r *http.Request) *url.URL {
	if strings.HasPrefix(r.RequestURI, "/") && !strings.HasPrefix(r.RequestURI, "//") {
		return &url.URL{Opaque: r.RequestURI}
	}
	return r.URL
}
