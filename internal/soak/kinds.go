package soak

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// Kinds of request.
const (
	// kindRead is idempotent; kindWrite runs at most once.
	kindRead  = "read"
	kindWrite = "write"
	// kindChat is a stream that runs at most once; kindNote is a stream that another
	// replica may resume, and kindBrief one that is sent to a single replica, so that its
	// caller has to resume it.
	kindChat  = "chat"
	kindNote  = "note"
	kindBrief = "brief"
)

// eventsPerStream is the number of events of a complete stream.
const eventsPerStream = 5

// isStream reports whether the response to requests of the kind is an event stream.
func isStream(kind string) bool { return kind == kindChat || isResumable(kind) }

// isResumable reports whether a caller may resume a stream of the kind.
func isResumable(kind string) bool { return kind == kindNote || kind == kindBrief }

// runsOnce reports whether requests of the kind run at most once.
func runsOnce(kind string) bool { return kind == kindWrite || kind == kindChat }

// kindOf returns the kind of request for a path.
func kindOf(uri string) string {
	for _, kind := range []string{kindRead, kindWrite, kindChat, kindNote, kindBrief} {
		if len(uri) > len(kind) && uri[1:1+len(kind)] == kind {
			return kind
		}
	}
	return ""
}

// streamEvents returns the data of the events of a complete stream, which name the software
// version of the replica.
func streamEvents(id, software string) []string {
	list := make([]string, eventsPerStream)
	for i := range list {
		list[i] = fmt.Sprintf("%s-%d %s", id, i+1, software)
	}
	return list
}

// eventPattern matches one event of a stream.
var eventPattern = regexp.MustCompile(`id: (\d+)\ndata: (\S+) (\S+)\n\n`)

// lastEventOf returns the ID of the last event in a body; empty if there is none.
func lastEventOf(body string) string {
	events := eventPattern.FindAllStringSubmatch(body, -1)
	if len(events) == 0 {
		return ""
	}
	return events[len(events)-1][1]
}

// softwareOf returns the software versions that the events of a body name.
func softwareOf(body string) []string {
	var versions []string
	for _, event := range eventPattern.FindAllStringSubmatch(body, -1) {
		versions = append(versions, event[3])
	}
	return versions
}

// withoutSoftware returns the body of a stream without the software versions.
func withoutSoftware(body string) string {
	return eventPattern.ReplaceAllString(body, "id: $1\ndata: $2\n\n")
}

// expectedBody returns the body of a replica's complete response to the request, after the last
// event that its caller has. The events of a stream are without software versions.
func expectedBody(kind, id, lastEvent string) string {
	if !isStream(kind) {
		return kind + " " + id
	}
	after, _ := strconv.Atoi(lastEvent)
	var b strings.Builder
	for i := after; i < eventsPerStream; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s-%d\n\n", i+1, id, i+1)
	}
	return b.String()
}
