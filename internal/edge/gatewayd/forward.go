package gatewayd

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/platform"
)

// upstreamRequest is the request as the upstream gets it.
func (x *request) upstreamRequest(choice balance.Choice, now time.Time) *http.Request {
	f := platform.Forward{
		Upstream:     choice.ID,
		Organisation: x.organisation(),
		Remaining:    x.admission.Deadline.Sub(now),
		Urgency:      x.admission.Urgency,
		LastEvent:    x.lastEvent,
		FetchFrom:    choice.FetchFrom,
		BackupAt:     choice.Backup.Address,
	}
	if x.continuing {
		f.ContinueFrom = choice.Address
	}
	req := &http.Request{
		Method: x.r.Method,
		URL:    targetOf(x.r),
		Host:   x.r.Host,
		Header: platform.UpstreamHeader(x.r.Header, f),
	}
	if x.r.Body != nil && x.r.Body != http.NoBody {
		req.Body = x.body.reader()
		req.ContentLength = x.body.length
	}
	return req
}

// targetOf keeps the caller's path and query as they were written.
func targetOf(r *http.Request) *url.URL {
	if strings.HasPrefix(r.RequestURI, "/") && !strings.HasPrefix(r.RequestURI, "//") {
		return &url.URL{Opaque: r.RequestURI}
	}
	return r.URL
}
