package suspect

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

// A repeated request is recognised by what it asks for and for whom, and by nothing else.
func TestPrintOf(t *testing.T) {
	is := is.New(t)
	base := Content{Organisation: "o", Method: "POST", Host: "x.example", URI: "/chat/1?a=b", Body: []byte("hello"), Length: 5}
	tests := []struct {
		name   string
		change func(c *Content)
		same   bool
	}{
		{"again", func(*Content) {}, true},
		{"a host in another case", func(c *Content) { c.Host = "X.example" }, true},
		{"another organisation", func(c *Content) { c.Organisation = "p" }, false},
		{"another method", func(c *Content) { c.Method = "GET" }, false},
		{"another host", func(c *Content) { c.Host = "y.example" }, false},
		{"another path", func(c *Content) { c.URI = "/chat/2?a=b" }, false},
		{"another query", func(c *Content) { c.URI = "/chat/1?a=c" }, false},
		{"another body", func(c *Content) { c.Body = []byte("hullo") }, false},
		{"another length", func(c *Content) { c.Length = 6 }, false},
		{"bytes moved from one field to the next", func(c *Content) { c.Organisation, c.Method = "oP", "OST" }, false},
	}
	for _, tt := range tests {
		c := base
		tt.change(&c)
		is.Equal(PrintOf(c) == PrintOf(base), tt.same) // the name says which
	}
	is.Equal(len(PrintOf(base).String()), 32)
}

// BenchmarkPrintOf measures the cost of a fingerprint per request.
func BenchmarkPrintOf(b *testing.B) {
	c := Content{Organisation: "o", Method: "POST", Host: "x.example", URI: "/chat/1", Body: bytes.Repeat([]byte("x"), 5000), Length: 5000}
	for b.Loop() {
		PrintOf(c)
	}
}
