package soak

import (
	"fmt"
	"strings"
)

// Kinds of request.
const (
	// kindRead is idempotent; kindWrite runs at most once.
	kindRead  = "read"
	kindWrite = "write"
	// kindChat is a stream that runs at most once; kindNote is a stream that another
	// replica may resume.
	kindChat = "chat"
	kindNote = "note"
)

// eventsPerStream is the number of events of a complete stream.
const eventsPerStream = 5

// isStream reports whether the response to requests of the kind is an event stream.
func isStream(kind string) bool { return kind == kindChat || kind == kindNote }

// runsOnce reports whether requests of the kind run at most once.
func runsOnce(kind string) bool { return kind == kindWrite || kind == kindChat }

// kindOf returns the kind of request for a path.
func kindOf(uri string) string {
	for _, kind := range []string{kindRead, kindWrite, kindChat, kindNote} {
		if len(uri) > len(kind) && uri[1:1+len(kind)] == kind {
			return kind
		}
	}
	return ""
}

// streamEvents returns the data of the events of a complete stream.
func streamEvents(id string) []string {
	list := make([]string, eventsPerStream)
	for i := range list {
		list[i] = fmt.Sprintf("%s-%d", id, i+1)
	}
	return list
}

// expectedBody returns the body of a replica's complete response to the request.
func expectedBody(kind, id string) string {
	if !isStream(kind) {
		return kind + " " + id
	}
	var b strings.Builder
	for i, data := range streamEvents(id) {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i+1, data)
	}
	return b.String()
}
