package suspect

import (
	"encoding/binary"
	"testing"
	"time"
)

// FuzzReceive feeds a registry with arbitrary messages of another gateway. The registry
// stays within its bounds, and blocks nothing on the report of a single witness.
func FuzzReceive(f *testing.F) {
	f.Add([]byte{})
	f.Add(binary.BigEndian.AppendUint64(make([]byte, 40), 1<<63))
	f.Add([]byte("\x01\x00\x00\x00\x00\x00\x00\x00\x01\x01\x01\x00\x00\x00\x00\x00\x00\x00\x02\x01\x01\x00\x00\x00\x00\x00\x00\x00\x03\x01"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := NewRegistry(1, 1)
		const size = 11
		now := t0
		for ; len(data) >= size; data = data[size:] {
			w := Observation{
				Print:   Print{data[0]},
				Round:   uint32(data[1]) << (data[1] % 32),
				Start:   binary.BigEndian.Uint64(data[2:]),
				Witness: 7,
				At:      now.Add(-time.Duration(data[10]) * time.Hour),
				Ran:     time.Duration(data[9]) * time.Hour,
			}
			position := Position{Epoch: uint64(data[0]), At: binary.BigEndian.Uint64(data[2:])}
			r.Receive(now, "a", Message{Words: []Observation{w}, After: position, Upto: position, Heard: position}, 0)
			now = now.Add(time.Second)
			if r.Check(now, Request{Print: w.Print}).Verdict == Blocked {
				t.Fatal("blocked on the report of one witness")
			}
			if r.Known() > maxRecords || len(r.NextMessage("a", false).Words) > maxPerMessage {
				t.Fatal("size limits exceeded")
			}
		}
		r.Sweep(now)
	})
}
