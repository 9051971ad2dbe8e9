package retry

import (
	"testing"

	"github.com/matryer/is"
)

// TestAmplification fails part of all attempts. Retries stay within a tenth of the
// successes plus the reserve.
func TestAmplification(t *testing.T) {
	tests := []struct {
		name string
		// fails reports whether attempt n fails.
		fails func(n int) bool
	}{
		{"all fail", func(int) bool { return true }},
		{"half fail", func(n int) bool { return n%2 == 0 }},
		{"none fails", func(int) bool { return false }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := NewBudget(DefaultRatio, DefaultReserve)
			const requests = 1000
			attempts := 0
			for range requests {
				attempts++
				if !tt.fails(attempts) {
					b.Success()
					continue
				}
				if b.Spend() {
					attempts++
				}
			}
			is.True(float64(attempts) <= (1+DefaultRatio)*requests+DefaultReserve)
		})
	}
}
