package soak

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// garbledPercent is the percentage of the requests for streams that are answered with a stream in
// which not all bytes are of their run.
const garbledPercent = 4

// garbledReply returns an answer to a request for a stream with bytes that its run did not make. Its
// events go on after the last one that the request names. If there are no later events, it repeats
// the last one, as engines do.
func garbledReply(req standin.Request, software string) standin.Reply {
	events := streamEvents(req.ID, software)
	after, _ := strconv.Atoi(req.LastEvent)
	after = min(after, len(events)-1)
	list := standin.GarbledStreams(after+1, events[after:])
	hash := xxhash.Sum64String(req.ID)
	n := uint64(len(standin.Framings))
	return list[hash/n%uint64(len(list))].Reply(req, standin.Framings[hash%n])
}
