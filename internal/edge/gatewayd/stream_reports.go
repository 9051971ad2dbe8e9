package gatewayd

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/core/rollout"
	"github.com/gladegauge/gladegauge/internal/core/stream"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

const (
	// reportCopies is the number of other gateways that know each stream: one of them may be
	// gone as well when the caller comes back.
	reportCopies = 2
	// maxHold is how long the first event of a stream is held until another gateway knows the
	// stream. It is several round trips within a region, and far less than callers notice.
	maxHold = 20 * time.Millisecond
	// streamReportTimeout bounds the report to one gateway.
	streamReportTimeout = 250 * time.Millisecond
	// maxQueuedReports bounds the reports that wait for the previous one to the same gateway.
	// At most maxReportedStreams streams are in one message.
	maxQueuedReports   = 1024
	maxReportedStreams = 4096
	// maxReceivedStreams is the largest number of streams in a message that is accepted.
	maxReceivedStreams = 2 * maxReportedStreams
)

// streamReport tells other gateways at which version streams began.
type streamReport struct {
	version  rollout.Version
	attempts []stream.Attempt
	// wait is how long the callers of the streams wait at most; 0 if unspecified.
	wait time.Duration
	// acknowledge is called once another gateway knows them, or there is none.
	acknowledge func()
}

// reportQueues hold the reports to each of the recorders that get a copy.
type reportQueues [reportCopies]chan streamReport

func newReportQueues() reportQueues {
	var q reportQueues
	for i := range q {
		q[i] = make(chan streamReport, maxQueuedReports)
	}
	return q
}

// report queues a report of streams whose callers wait for so long at most. It returns a channel
// that is closed once another gateway knows the streams, or there is none to know them.
func (s *Server) report(v rollout.Version, wait time.Duration, attempts []stream.Attempt) <-chan struct{} {
	acknowledged := make(chan struct{})
	r := streamReport{version: v, wait: wait, attempts: attempts, acknowledge: sync.OnceFunc(func() { close(acknowledged) })}
	if s.o.Settings.Peers == "" {
		r.acknowledge()
		return acknowledged
	}
	for _, queue := range s.reportQueues {
		select {
		case queue <- r:
		default:
			s.metrics.reportsDropped.Inc()
		}
	}
	return acknowledged
}

// reportAll reports the streams that this gateway began while its pools had a single version.
// It runs in the control loop.
func (s *Server) reportAll(now time.Time) {
	for v, attempts := range s.streams.Own(now) {
		for len(attempts) > 0 {
			n := min(len(attempts), maxReportedStreams)
			s.report(v, s.streams.Windows().Record, attempts[:n])
			attempts = attempts[n:]
		}
	}
}

// awaitReport waits for a report to be acknowledged, but not for long: without it, a stream
// whose gateway is lost cannot be resumed, and nothing else is at stake.
func awaitReport(ctx context.Context, acknowledged <-chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, maxHold)
	defer cancel()
	select {
	case <-acknowledged:
	case <-ctx.Done():
	}
}

// streamReportLoop sends the reports of one queue, one message at a time. What is queued meanwhile
// goes into the next one.
func (s *Server) streamReportLoop(ctx context.Context, queue int) error {
	for {
		select {
		case r := <-s.reportQueues[queue]:
			s.sendStreamReports(ctx, queue, s.takeQueued(queue, r))
		case <-ctx.Done():
			return nil
		}
	}
}

// takeQueued returns the report and those that wait behind it, as far as they fit a message.
func (s *Server) takeQueued(queue int, first streamReport) []streamReport {
	list := []streamReport{first}
	for n := len(first.attempts); n < maxReportedStreams; {
		select {
		case r := <-s.reportQueues[queue]:
			list = append(list, r)
			n += len(r.attempts)
		default:
			return list
		}
	}
	return list
}

// sendStreamReports sends the reports to the recorder of the queue. If that one does not
// answer, the next recorder takes its place and gets them too.
func (s *Server) sendStreamReports(ctx context.Context, queue int, list []streamReport) {
	const attempts = 2
	for range attempts {
		var recorders []string
		s.control.DoWithoutCancel(func(now time.Time) { recorders = s.fleet.Recorders(now, reportCopies) })
		if len(recorders) > queue && !s.sendStreamsTo(ctx, recorders[queue], list) {
			continue
		}
		if len(recorders) > queue || len(recorders) == 0 {
			for _, r := range list {
				r.acknowledge()
			}
		}
		return
	}
}

// sendStreamsTo reports whether the gateway at the address knows the streams now.
func (s *Server) sendStreamsTo(ctx context.Context, address string, list []streamReport) bool {
	ctx, cancel := context.WithTimeout(ctx, streamReportTimeout)
	defer cancel()
	_, err := s.peer(address).ReportStreams(ctx, connect.NewRequest(encodeStreams(list)))
	s.metrics.peerCall("report_streams", err)
	if err != nil {
		s.control.DoWithoutCancel(func(now time.Time) { s.fleet.RecorderFailed(now, address) })
	}
	return err == nil
}

// encodeStreams converts reports to their message.
func encodeStreams(list []streamReport) *gladegaugev1.ReportStreamsRequest {
	req := &gladegaugev1.ReportStreamsRequest{}
	groups := make(map[rollout.Version]*gladegaugev1.BegunStreams)
	for _, r := range list {
		group, ok := groups[r.version]
		if !ok {
			group = &gladegaugev1.BegunStreams{Version: uint32(r.version)}
			groups[r.version] = group
			req.Streams = append(req.Streams, group)
		}
		group.WaitMs = max(group.GetWaitMs(), wholeMilliseconds(r.wait))
		for _, a := range r.attempts {
			group.Attempts = append(group.Attempts, uint64(a))
		}
	}
	return req
}

// ReportStreams records at which versions streams began at another gateway.
func (s *Server) ReportStreams(_ context.Context, req *connect.Request[gladegaugev1.ReportStreamsRequest]) (*connect.Response[gladegaugev1.ReportStreamsResponse], error) {
	n := 0
	for _, group := range req.Msg.GetStreams() {
		n += len(group.GetAttempts())
	}
	if n > maxReceivedStreams {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.Newf("streams.attempts: %d are more than %d", n, maxReceivedStreams))
	}
	s.control.DoWithoutCancel(func(now time.Time) {
		for _, group := range req.Msg.GetStreams() {
			wait := time.Duration(group.GetWaitMs()) * time.Millisecond
			for _, a := range group.GetAttempts() {
				s.streams.Record(now, rollout.Version(group.GetVersion()), wait, stream.Attempt(a))
			}
		}
	})
	return connect.NewResponse(&gladegaugev1.ReportStreamsResponse{}), nil
}
