// Package responsehead tells the heads of HTTP responses from those that HTTP does not allow.
//
// The parser of net/http accepts more than the protocol: any status of three characters that make
// a number. Who sends such a head is no sound server of HTTP, and nothing it says can be relied on.
//
// # Usage
//
//	resp, err := http.ReadResponse(br, req)
//	…
//	if err := responsehead.Check(resp.StatusCode); err != nil { … } // as if no response had come
package responsehead

import "github.com/cockroachdb/errors"

// ErrInvalid is the error of a head that HTTP does not allow.
var ErrInvalid = errors.New("the head of the response is invalid")

// The statuses that HTTP allows (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// Check returns an error that wraps ErrInvalid if no response may have the status.
func Check(status int) error {
	if status < minStatus || status > maxStatus {
		return errors.Wrapf(ErrInvalid, "status %03d", status)
	}
	return nil
}
