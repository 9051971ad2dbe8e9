package platform

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/standin/rawserver"
)

// A value whose length stood in a field with a blank in its name was taken for whole where it was
// cut. A list of hosts or shards that is cut behind an item can be read.
func TestInvalidHeadOfValue(t *testing.T) {
	const (
		data    = "0123456789"
		version = VersionHeader + ": 3\r\n"
	)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(data))
	tests := []struct {
		name, status, lines, body string
		valid                     bool
	}{
		{"sound", "200 OK", version + length, data, true},
		{"cut", "200 OK", version + length, data[:5], false},
		{"cut, length that is not seen", "200 OK", version + "Content-Length : 10\r\n", data[:5], false},
		{"chunks that are not seen", "200 OK", version + "Transfer-Encoding : chunked\r\n", "a\r\n" + data + "\r\n0\r\n\r\n", false},
		{"blank in a name", "200 OK", "Bad Name: v\r\n" + version + length, data, false},
		{"blank before the colon of the version", "200 OK", VersionHeader + " : 3\r\n" + length, data, false},
		{"status 000", "000", version + length, data, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			url := "http://" + rawserver.New(t, "HTTP/1.1 "+tt.status+"\r\n"+tt.lines+"\r\n"+tt.body)
			v, err := New(url, NewHTTPClient(), func(string, string) {}).Read(t.Context(), ManifestName)
			is.Equal(err == nil, tt.valid)
			if tt.valid {
				is.Equal(v, Value{Version: 3, Data: []byte(data)})
			}
		})
	}
}
