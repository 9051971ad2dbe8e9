package soak

import (
	"fmt"
	"strings"
)

// Kinds of request.
const (
	// kindRead may be repeated, kindWrite runs at most once.
	kindRead  = "read"
	kindWrite = "write"
	// kindChat is a stream that runs at most once; kindNote is one that another
	// replica may resume.
	kindChat = "chat"
	kindNote = "note"
)

// events is the number of events of a whole stream.
const events = 5

// streams reports whether requests of the kind are answered with events.
func streams(kind string) bool { return kind == kindChat || kind == kindNote }

// runsOnce reports whether requests of the kind run at most once.
func runsOnce(kind string) bool { return kind == kindWrite || kind == kindChat }

// kindOf is the kind of request at a path.
func kindOf(uri string) string {
	for _, kind := range []string{kindRead, kindWrite, kindChat, kindNote} {
		if len(uri) > len(kind) && uri[1:1+len(kind)] == kind {
			return kind
		}
	}
	return ""
}

// eventsOf is the data of the events of a whole stream.
func eventsOf(id string) []string {
	list := make([]string, events)
	for i := range list {
		list[i] = fmt.Sprintf("%s-%d", id, i+1)
	}
	return list
}

// body is what a replica answers to the request.
func body(kind, id string) string {
	if !streams(kind) {
		return kind + " " + id
	}
	var b strings.Builder
	for i, data := range eventsOf(id) {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i+1, data)
	}
	return b.String()
}
