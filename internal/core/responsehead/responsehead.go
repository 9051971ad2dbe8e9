// Package responsehead tells the heads of HTTP responses from those that HTTP does not allow.
//
// The parser of net/http accepts more than the protocol: any status of three characters that make
// a number, and blanks in the names of fields. A field with such a name does not count for it, so
// that the body is read with another length or framing than the server has stated. Who sends such a
// head is no sound server of HTTP, and nothing it says can be relied on.
//
// # Usage
//
//	resp, err := http.ReadResponse(br, req)
//	…
//	if err := responsehead.Check(resp.StatusCode, resp.Header); err != nil { … } // as if no response had come
package responsehead

import (
	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalid is the error of a head that HTTP does not allow.
var ErrInvalid = errors.New("the head of the response is invalid")

// The statuses that HTTP allows (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// maxQuotedBytes is the number of bytes of a field's name that an error quotes.
const maxQuotedBytes = 96

// Check returns an error that wraps ErrInvalid if no response may have the status, or if the name of
// a field is no token (RFC 9110, section 5.1).
func Check(status int, header map[string][]string) error {
	if status < minStatus || status > maxStatus {
		return errors.Wrapf(ErrInvalid, "status %03d", status)
	}
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrInvalid, "field name %q", name[:min(len(name), maxQuotedBytes)])
		}
	}
	return nil
}
