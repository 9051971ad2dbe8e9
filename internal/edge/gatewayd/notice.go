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
	noticeLeaving = "leaving"
	noticeRest    = "rest"
	noticeLimit   = "limit"
	noticeUnread  = "unread"
	// noticeNobody is of words that name no start that is listed.
	noticeNobody = "nobody"
)

// unreadMost bounds what a log line shows of a word that could not be read.
const unreadMost = 60

// notice takes what the head of an answer says of its upstream. It is shown each head
// that comes: those of refusals and errors, and of answers to other requests. The platform's
// list may tell of them many seconds later, or never.
func (x *request) notice(choice balance.Choice, r *http.Response) {
	n := platform.DecodeNotice(r.StatusCode, r.Header)
	s := x.server
	if !n.Any() && !(*s.closed.Load()).LimitReported(choice.IncarnationKey()) {
		return
	}
	if r.StatusCode >= http.StatusOK && x.owns(r) {
		n.SentAt = x.sentAt
	}
	var said balance.NoticeResult
	s.control.DoWithoutCancel(func(now time.Time) {
		said = s.table.Notice(now, choice.Instance, n)
		switch {
		case said.NewlyLeaving:
			s.publishUpstreams(now, s.roster.Current(now))
		case said.BackoffExtended, said.LimitChanged:
			s.publishClosed(now)
		}
	})
	line := func(kind string) *zerolog.Event {
		s.metrics.notices.WithLabelValues(kind).Inc()
		return x.log().
			Str("upstream", said.Sender.ID).Uint64("start", said.Sender.IncarnationKey()).Bool("listed", said.Listed).
			Str("address", choice.Address).Int("status", r.StatusCode)
	}
	if said.Sender.ID == "" && n.Any() {
		line(noticeNobody).Str("sent_to", choice.ID).Str("named", n.Sender).Msg("a word of nobody that is listed")
	}
	if said.NewlyLeaving {
		line(noticeLeaving).Msg("upstream says that it leaves")
	}
	if said.BackoffExtended {
		rest := said.State.BackoffUntil().Sub(s.now())
		line(noticeRest).Dur("asked", n.Backoff).Dur("rest", rest).Msg("upstream asks for rest")
	}
	if said.LimitChanged {
		limit := said.State.Announced()
		line(noticeLimit).Bool("limited", limit.Announced).Float64("per_second", limit.PerSecond).Msg("upstream changes its limit")
	}
	if said.NewlyUnparsed {
		text := n.Unparsed[:min(len(n.Unparsed), unreadMost)]
		line(noticeUnread).Str("text", text).Msg("upstream says what cannot be read")
	}
}
