// Package convert converts between values of the core packages and protobuf messages.
//
// # Usage
//
//	msg := convert.Load(agent.Load(), version)
package convert

import (
	"strings"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/agent"
	"github.com/gladegauge/gladegauge/internal/core/dispatch"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// Load returns the message for a load.
func Load(l agent.Load, v *gladegaugev1.Version) *gladegaugev1.Load {
	msg := &gladegaugev1.Load{
		FreeSlots: uint32(l.FreeSlots),
		Queued:    uint32(l.Queued),
		Leaving:   l.Leaving,
		Version:   v,
	}
	for _, w := range l.Wait {
		msg.WaitMs = append(msg.WaitMs, Milliseconds(w))
	}
	return msg
}

// LoadFromMessage returns the load in a message.
func LoadFromMessage(msg *gladegaugev1.Load) agent.Load {
	l := agent.Load{
		FreeSlots: int(msg.GetFreeSlots()),
		Queued:    int(msg.GetQueued()),
		Leaving:   msg.GetLeaving(),
	}
	for i, w := range msg.GetWaitMs() {
		if i < len(l.Wait) {
			l.Wait[i] = time.Duration(w) * time.Millisecond
		}
	}
	return l
}

// Milliseconds converts a duration and rounds up, so that a short duration does not
// become 0.
func Milliseconds(d time.Duration) uint32 {
	const limit = time.Duration(1<<32-1) * time.Millisecond
	d = min(max(d, 0), limit)
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

// Reason returns the message value of a reason. The numbers of both enums are the same.
func Reason(r agent.Reason) gladegaugev1.RefusalReason {
	return gladegaugev1.RefusalReason(r)
}

// Refusal returns the refusal in a message.
func Refusal(msg *gladegaugev1.Refused) dispatch.Refusal {
	return dispatch.Refusal{
		Reason:      agent.Reason(msg.GetReason()),
		RetryAfter:  time.Duration(msg.GetRetryAfterMs()) * time.Millisecond,
		Incarnation: msg.GetIncarnation(),
	}
}

// IsEventStream reports whether a response is an event stream (server-sent events).
func IsEventStream(h *gladegaugev1.Head) bool {
	for _, header := range h.GetHeaders() {
		if strings.EqualFold(header.GetName(), "Content-Type") {
			return strings.HasPrefix(header.GetValue(), "text/event-stream")
		}
	}
	return false
}
