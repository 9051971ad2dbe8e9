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
	noticeUnread  = "unread"
	// noticeNobody is of words that name no start that is listed.
	noticeNobody = "nobody"
)

// unreadMost bounds what a log line shows of a word that could not be read.
const unreadMost = 60

// notice takes what the head of an answer says of its upstream. It is shown each head
// that comes: those of refusals and errors, and of answers to other requests. Known from
// the platform's list alone, an upstream that left got requests 12.3 s after its word.
func (x *request) notice(choice balance.Choice, r *http.Response) {
	n := platform.DecodeNotice(r.StatusCode, r.Header)
	if !n.Any() {
		return
	}
	s := x.server
	var said balance.Said
	s.control.Must(func(now time.Time) {
		said = s.table.Notice(now, choice.Instance, n)
		if said.Leaves || said.Rests {
			s.publish(now, s.roster.Current(now))
		}
	})
	line := func() *zerolog.Event {
		return x.log().
			Str("upstream", said.Of.ID).Uint64("start", said.Of.Start()).Bool("listed", said.Listed).
			Str("address", choice.Address).Int("status", r.StatusCode)
	}
	count := func(kind string) { s.metrics.notices.WithLabelValues(kind).Inc() }
	if said.Leaves {
		count(noticeLeaving)
		line().Msg("upstream says that it leaves")
	}
	if said.Rests {
		count(noticeRest)
		line().Dur("asked", n.Rest).Dur("rest", said.State.RestUntil().Sub(s.now())).Msg("upstream asks for rest")
	}
	if n.Unread != "" {
		count(noticeUnread)
		line().Str("text", n.Unread[:min(len(n.Unread), unreadMost)]).Msg("upstream says what cannot be read")
	}
	if said.Of.ID == "" {
		count(noticeNobody)
		line().Str("sent_to", choice.ID).Str("named", n.Of).Msg("a word of nobody that is listed")
	}
}
