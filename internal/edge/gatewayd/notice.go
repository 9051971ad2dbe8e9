package gatewayd

import (
	"net/http"

	"github.com/rs/zerolog"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/internal/core/notice"
	"github.com/gladegauge/gladegauge/platform"
)

// Kinds of notices in metrics.
const (
	noticeLeaving = "leaving"
	noticeRest    = "rest"
	noticeUnread  = "unread"
)

// unreadMost bounds what a log line shows of a word that could not be read.
const unreadMost = 60

// notice takes what the head of an answer says of its upstream. It is shown each head
// that comes: those of refusals and errors, and of answers to other requests.
func (x *request) notice(choice balance.Choice, r *http.Response) {
	n := platform.DecodeNotice(r.StatusCode, r.Header)
	if !n.Any() {
		return
	}
	if n.Leaving {
		x.server.metrics.notices.WithLabelValues(noticeLeaving).Inc()
		x.logNotice(choice, r, n).Msg("upstream says that it leaves")
	}
	if n.Rest > 0 {
		x.server.metrics.notices.WithLabelValues(noticeRest).Inc()
		x.logNotice(choice, r, n).Dur("rest", n.Rest).Msg("upstream asks for rest")
	}
	if n.Unread != "" {
		x.server.metrics.notices.WithLabelValues(noticeUnread).Inc()
		x.logNotice(choice, r, n).Str("text", n.Unread[:min(len(n.Unread), unreadMost)]).Msg("upstream says what cannot be read")
	}
}

// logNotice begins a line about what an answer says of its upstream.
func (x *request) logNotice(choice balance.Choice, r *http.Response, n notice.Notice) *zerolog.Event {
	return x.log().
		Str("upstream", choice.ID).
		Uint64("start", choice.Start()).
		Str("address", choice.Address).
		Str("named", n.Of).
		Bool("elsewhere", n.Elsewhere).
		Int("status", r.StatusCode)
}
