package responsehead

import (
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func TestCheckStatus(t *testing.T) {
	tests := []struct {
		status int
		valid  bool
	}{
		{0, false},
		{1, false},
		{20, false},
		{99, false},
		{100, true},
		{200, true},
		{299, true},
		{404, true},
		{503, true},
		{599, true},
		{600, false},
		{999, false},
	}
	for _, tt := range tests {
		is := is.New(t)
		err := Check(tt.status, http.Header{"Date": {""}})
		is.Equal(err == nil, tt.valid)
		is.Equal(errors.Is(err, ErrInvalid), !tt.valid)
	}
}

func TestCheckFieldNames(t *testing.T) {
	tests := []struct {
		name  string
		valid bool
	}{
		{"Content-Length", true},
		{"x", true},
		{"!#$%&'*+-.^_`|~0Az", true}, // all characters of a token that are no letters or digits
		{"Bad Name", false},
		{"Bad ", false},
		{" Bad", false},
		{" ", false},
		{"", false},
		{"Bad\tName", false},
		{"Bad\x00", false},
		{"Bad\x7f", false},
		{"Bad\r", false},
		{"Bad:", false},
		{"Bad(", false},
		{"B\xe9d", false},
		{"Bäd", false},
	}
	for _, tt := range tests {
		is := is.New(t)
		err := Check(http.StatusOK, http.Header{"Date": {""}, tt.name: {"v"}})
		is.Equal(err == nil, tt.valid)
		is.Equal(errors.Is(err, ErrInvalid), !tt.valid)
	}
}

// The error of a long name quotes only its beginning.
func TestLongFieldName(t *testing.T) {
	is := is.New(t)
	err := Check(http.StatusOK, http.Header{strings.Repeat("a ", 10_000): {"v"}})
	is.True(errors.Is(err, ErrInvalid))
	is.True(len(err.Error()) < 2*maxQuotedBytes)
}
