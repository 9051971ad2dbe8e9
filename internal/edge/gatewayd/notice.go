package gatewayd

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/gladegauge/gladegauge/internal/core/balance"
	"github.com/gladegauge/gladegauge/platform"
)

// Kinds of notices in metrics.
const (
	noticeLeaving  = "leaving"
	noticeBackoff  = "rest"
	noticeLimit    = "limit"
	noticeUnparsed = "unread"
	// noticeUnknownIncarnation is for notices that name no listed incarnation.
	noticeUnknownIncarnation = "nobody"
)

// maxLoggedText is the number of bytes of an unparsable notice that are logged.
const maxLoggedText = 60

// handleNotice processes what a response's header announces about its upstream. It is called
// for every header that arrives, including those of refusals, of errors and of responses to
// other requests: the platform's list may show the same many seconds later, or never.
func (x *request) handleNotice(choice balance.Choice, r *http.Response) {
	n := platform.DecodeNotice(r.StatusCode, r.Header)
	s := x.server
	if !n.Any() && !(*s.closed.Load()).LimitReported(choice.IncarnationKey()) {
		return
	}
	if r.StatusCode >= http.StatusOK && x.owns(r, false) {
		n.SentAt = x.sentAt
	}
	var result balance.NoticeResult
	s.control.DoWithoutCancel(func(now time.Time) {
		result = s.table.Notice(now, choice.Instance, n)
		switch {
		case result.NewlyLeaving:
			s.publishUpstreams(now, s.roster.Current(now))
		case result.BackoffExtended, result.LimitChanged:
			s.publishClosed(now)
		}
	})
	line := func(kind string) *zerolog.Event {
		s.metrics.notices.WithLabelValues(kind).Inc()
		return x.log().
			Str("upstream", result.Sender.ID).Uint64("start", result.Sender.IncarnationKey()).Bool("listed", result.Listed).
			Str("address", choice.Address).Int("status", r.StatusCode)
	}
	if result.Sender.ID == "" && n.Any() {
		line(noticeUnknownIncarnation).Str("sent_to", choice.ID).Str("named", n.Sender).Msg("notice from an incarnation that is not listed")
	}
	if result.NewlyLeaving {
		line(noticeLeaving).Msg("upstream announced that it is leaving")
	}
	if result.BackoffExtended {
		backoff := result.State.BackoffUntil().Sub(s.now())
		line(noticeBackoff).Dur("asked", n.Backoff).Dur("rest", backoff).Msg("upstream requested a backoff")
	}
	if result.LimitChanged {
		limit := result.State.Announced()
		line(noticeLimit).Bool("limited", limit.Announced).Float64("per_second", limit.PerSecond).Msg("upstream changes its limit")
	}
	if result.NewlyUnparsed {
		text := n.Unparsed[:min(len(n.Unparsed), maxLoggedText)]
		line(noticeUnparsed).Str("text", text).Msg("upstream sent a notice that cannot be parsed")
	}
}
