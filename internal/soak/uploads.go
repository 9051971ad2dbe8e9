package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// Parameters of the callers that send long bodies.
const (
	uploaderCount = 4
	// uploadPrefix begins the IDs of their requests.
	uploadPrefix = "up-"
	// uploadPiece is the size in bytes, and uploadPause the pause after each of the pieces of a
	// body.
	uploadPiece = 10_000
	uploadPause = 5 * time.Millisecond
	// maxPieces is the largest number of pieces of a body, so that the largest is sent in time.
	maxPieces = 80
	// stopOneIn is the number of bodies of which one is not sent to its end, and stopAfter the
	// number of its bytes that are sent.
	stopOneIn = 8
	stopAfter = 70_000
	// earlyPercent is the percentage of long bodies that replicas answer before they have read
	// them, and readOnDelay the time after which they read on.
	earlyPercent = 50
	readOnDelay  = 30 * time.Millisecond
	// slowOneIn is the number of early answers of which one is of a replica that reads on only
	// after slowReadOn. cutPercent is the percentage of them whose connection the replica's host
	// resets after cutDelay, in the middle of an answer without length.
	slowOneIn  = 4
	slowReadOn = 600 * time.Millisecond
	cutPercent = 40
	cutDelay   = 50 * time.Millisecond
	// pipelinedOneIn is the number of requests of which one is followed by another one on its
	// connection before its answer has begun.
	pipelinedOneIn = 4
	// uploadTimeout bounds the wait of a caller for the answer.
	uploadTimeout = 2 * callTimeout
)

// maxUpload is the maximum size of a body in bytes.
const maxUpload = 4 << 20

// uploadSizes are the sizes of long bodies in bytes. What is left of them after an early answer
// is more or less than a server reads by itself, or than the buffers of a connection hold.
var uploadSizes = []int{80_000, 110_000, 400_000, maxUpload}

// Upload is one request with a long body as its caller observed it.
type Upload struct {
	ID      string
	Kind    string
	Gateway int
	// Size is the length of the whole body in bytes. Stopped is true if it was not sent to its
	// end.
	Size    int
	Stopped bool
	// Pipelined is true if it was sent before the answer to the previous request was read.
	Pipelined bool
	// Sent is when the caller had sent what it sends, Done when it had its answer or none.
	Sent   time.Time
	Done   time.Time
	Status int
	Whole  bool
	Sealed bool
	Body   string
}

// body returns the whole body of the request.
func (u Upload) body() string { return standin.NumberedBody(u.ID, u.Size) }

// answer returns the body of the complete answer.
func (u Upload) answer() string {
	if u.Kind == kindChat {
		return strings.ReplaceAll(expectedBody(kindChat, u.ID, ""), "\n\n", " \n\n") // without a software version
	}
	return uploadAnswer(u.ID)
}

// uploadAnswer returns the body of the complete answer to an upload. It is smaller or larger
// than the buffers of a server.
func uploadAnswer(id string) string {
	sizes := []int{300, 4_000, 100_000}
	return strings.Repeat("a", sizes[xxhash.Sum64String(id)%uint64(len(sizes))])
}

// isUpload reports whether a request has a long body.
func isUpload(id string) bool { return strings.HasPrefix(id, uploadPrefix) }

// SendUploads runs the callers that send long bodies until the context ends.
func (h *Harness) SendUploads(ctx context.Context, seed uint64) {
	var group errgroup.Group
	for n := range uploaderCount {
		rng := rand.New(rand.NewPCG(seed, uint64(1000+n))) //nolint:gosec // Seeded on purpose.
		group.Go(func() error {
			h.runUploader(ctx, n, rng)
			return nil
		})
	}
	_ = group.Wait()
}

// runUploader sends the requests of the n-th such caller, one after the other. It keeps its
// connection to a gateway as long as that is possible.
func (h *Harness) runUploader(ctx context.Context, n int, rng *rand.Rand) {
	connections := make([]*standin.Upload, len(h.procs))
	defer func() {
		for _, c := range connections {
			if c != nil {
				c.Close()
			}
		}
	}()
	for i := 0; ctx.Err() == nil; i++ {
		u := h.drawUpload(rng, fmt.Sprintf("%s%d-%d", uploadPrefix, n, i))
		chunked := rng.IntN(2) == 0
		c := connections[u.Gateway]
		if c == nil {
			c, _ = standin.DialUpload(h.procs[u.Gateway].settings.Callers)
		}
		connections[u.Gateway] = nil
		if c != nil && h.upload(c, chunked, u.withNext()...) {
			connections[u.Gateway] = c
		}
		time.Sleep(randomBelow(rng, 2*thinkTime))
	}
}

// drawUpload returns a request with the ID that is not sent yet.
func (h *Harness) drawUpload(rng *rand.Rand, id string) Upload {
	u := Upload{
		ID: id, Kind: kindWrite, Gateway: rng.IntN(len(h.procs)),
		Size: uploadSizes[rng.IntN(len(uploadSizes))], Stopped: rng.IntN(stopOneIn) == 0,
	}
	if rng.IntN(2) == 0 {
		u.Kind = kindChat
	}
	return u
}

// withNext returns the request, and one that is to be pipelined behind it if its ID says so.
func (u Upload) withNext() []Upload {
	if u.Stopped || xxhash.Sum64String(u.ID)%pipelinedOneIn != 0 {
		return []Upload{u}
	}
	next := u
	next.ID, next.Pipelined = u.ID+"-next", true
	return []Upload{u, next}
}

// upload sends the requests, reads their answers and records them. It reports whether the
// connection can be used again, and closes it otherwise.
func (h *Harness) upload(c *standin.Upload, chunked bool, list ...Upload) bool {
	c.SetDeadline(time.Now().Add(uploadTimeout))
	usable := true
	for i, u := range list {
		usable = sendUpload(c, u, chunked) == nil && usable
		list[i].Sent = time.Now()
	}
	for _, u := range list {
		a := c.Answer()
		u.Done, u.Status, u.Whole, u.Sealed, u.Body = time.Now(), a.Status, a.Whole, a.Sealed(), a.Body
		h.record.addUpload(u)
		usable = usable && !u.Stopped && a.Err == nil && !a.Closing
	}
	if !usable {
		c.Close()
	}
	return usable
}

// sendUpload sends the request, to the end of its body or to where its caller stops.
func sendUpload(c *standin.Upload, u Upload, chunked bool) error {
	length := u.Size
	if chunked {
		length = -1
	}
	req := standin.Request{ID: u.ID, Host: host, URI: "/" + u.Kind + "/up", Key: permanentKey, DeadlineMs: callTimeoutMs}
	if err := c.Begin(req, length); err != nil {
		return err
	}
	rest := u.body()
	if u.Stopped {
		rest = rest[:stopAfter]
	}
	if err := c.SendPieces(rest, max(uploadPiece, len(rest)/maxPieces), uploadPause); err != nil {
		return err
	}
	if u.Stopped {
		return nil
	}
	return c.End()
}

// uploadReply returns a replica's answer to an upload.
func uploadReply(req standin.Request) standin.Reply {
	if kindOf(req.URI) == kindChat {
		return standin.Reply{Events: streamEvents(req.ID, ""), Pause: closedAfter(streamPause)}
	}
	return standin.Reply{Body: uploadAnswer(req.ID)}
}

// answerEarly chooses the uploads that a replica answers before it has read them.
func (h *Harness) answerEarly(replica string, head standin.Request) (standin.Early, bool) {
	if !isUpload(head.ID) || h.randomPercent() >= earlyPercent {
		return standin.Early{}, false
	}
	h.record.addArrival(Arrival{ID: head.ID, Replica: replica, At: time.Now()})
	h.record.addRun(Run{ID: head.ID, Replica: replica, At: time.Now(), Organisation: head.Tenant})
	delay := readOnDelay
	if xxhash.Sum64String(head.ID)%slowOneIn == 0 {
		delay = slowReadOn
	}
	e := standin.Early{Reply: uploadReply(head), ReadOn: closedAfter(delay), OnRead: h.record.addBody}
	e.Reply.Unframed = xxhash.Sum64String(head.ID)%unframedOneIn == 0
	if h.randomPercent() < cutPercent {
		e.Reply, e.Reset = firstPart(e.Reply), closedAfter(cutDelay)
	}
	return e, true
}

// firstPart returns the first part of an answer, without length.
func firstPart(whole standin.Reply) standin.Reply {
	if whole.Events != nil {
		return standin.Reply{Events: whole.Events[:1], Unframed: true}
	}
	return standin.Reply{Body: whole.Body[:len(whole.Body)/2], Unframed: true}
}

// closedAfter returns a channel that is closed after d.
func closedAfter(d time.Duration) <-chan struct{} {
	c := make(chan struct{})
	time.AfterFunc(d, func() { close(c) })
	return c
}
