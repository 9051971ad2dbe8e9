package responsehead

import (
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
		is.Equal(Check(tt.status) == nil, tt.valid)
		is.Equal(errors.Is(Check(tt.status), ErrInvalid), !tt.valid)
	}
}
