// Package eventstream tells the events of a run from other bytes in an event stream (server-sent
// events).
//
// A stream consists of blocks, each of which ends with a blank line. A block is an event,
// padding, which callers ignore (comments, blank lines and reconnection times), or neither: bytes
// that no run of the request made. Behind such bytes nothing can be trusted, as what looks like the
// rest of the run may belong to another one.
//
// # Usage
//
//	block, fault := eventstream.Parse(raw)
//	if fault == eventstream.Sound && !block.Padding {
//		run, fault = run.With(block)
//	}
//	if fault != eventstream.Sound { … } // nothing more of this stream can be used
package eventstream

import (
	"bytes"
	"strconv"
)

// Fault is why a block can be neither an event of the run nor padding.
type Fault string

// Faults of a block.
const (
	// Sound means that the block has no fault.
	Sound Fault = ""
	// ResponseHead means that a line begins like the head of an HTTP response.
	ResponseHead Fault = "response_head"
	// InvalidLine means that a line is no field of an event stream.
	InvalidLine Fault = "invalid_line"
	// NoID means that an event has no ID, or an empty one.
	NoID Fault = "no_id"
	// InvalidID means that an ID is not a decimal number, so that IDs cannot be shown to rise.
	InvalidID Fault = "invalid_id"
	// SecondID means that a block has several IDs: the beginning of one event and another one.
	SecondID Fault = "second_id"
	// NotRising means that an ID is not higher than the one before it in the same response.
	NotRising Fault = "not_rising"
)

// Block is what a block holds.
type Block struct {
	// ID is the value of the field "id"; empty if there is none.
	ID string
	// HasData is true if there is a field "data".
	HasData bool
	// HasHeader is true if the first line is a header line: a name in lower case, a colon and a
	// whole number. Upstreams announce with it that a version has changed.
	HasHeader bool
	// Padding is true if the block holds nothing that callers take for an event.
	Padding bool
}

// Fields of an event stream.
const (
	fieldData  = "data"
	fieldEvent = "event"
	fieldID    = "id"
	fieldRetry = "retry"
)

var responsePrefix = []byte("HTTP/")

// Parse returns what a block holds, which includes the blank line that ends it, and the fault of
// its first line that has one. IDs are not checked.
func Parse(raw []byte) (Block, Fault) {
	b := Block{Padding: true}
	ids := 0
	for first := true; len(raw) > 0; first = false {
		line, rest, _ := bytes.Cut(raw, []byte("\n"))
		raw = rest
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, hasColon := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.ContainsRune(line, '\r'):
			return b, InvalidLine
		case len(line) == 0, len(name) == 0, string(name) == fieldRetry:
			continue
		case string(name) == fieldID:
			ids++
			b.ID = string(trimBlanks(value))
		case string(name) == fieldData:
			b.HasData = true
		case string(name) == fieldEvent:
		case bytes.HasPrefix(line, responsePrefix):
			return b, ResponseHead
		case first && hasColon && isHeaderLine(name, value):
			b.HasHeader = true
		default:
			return b, InvalidLine
		}
		b.Padding = false
	}
	if ids > 1 {
		return b, SecondID
	}
	return b, Sound
}

// isHeaderLine reports whether a line consists of a name in lower case and a whole number.
func isHeaderLine(name, value []byte) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	_, err := strconv.ParseUint(string(trimBlanks(value)), 10, 64)
	return err == nil
}

// trimBlanks returns the value of a field without the blanks round it.
func trimBlanks(value []byte) []byte { return bytes.Trim(value, " \t") }

// Run is what is known of the events of one response. The zero value knows none.
type Run struct {
	lastID uint64
	// any is true once there was an event.
	any bool
}

// Reaches reports whether the run comes to the last event of another one, or beyond it.
func (r Run) Reaches(other Run) bool { return !other.any || (r.any && r.lastID >= other.lastID) }

// With returns the run after an event, or why the event cannot belong to it: the IDs of a run are
// numbers that rise.
func (r Run) With(b Block) (Run, Fault) {
	if b.ID == "" {
		return r, NoID
	}
	id, err := strconv.ParseUint(b.ID, 10, 64)
	if err != nil {
		return r, InvalidID
	}
	if r.any && id <= r.lastID {
		return r, NotRising
	}
	return Run{lastID: id, any: true}, Sound
}
