// Package retry bounds the number of retries.
//
// A budget earns a fraction of a retry with each success and spends one for each retry, so
// that a failing pool never gets many more attempts than requests.
//
// # Usage
//
//	b := retry.NewBudget(retry.DefaultRatio, retry.DefaultReserve)
//	b.Success()
//	if b.Spend() {
//		tryAgain()
//	}
//
//	w := retry.NewWindow(ratio, reserve, 10*time.Second)
//	w.Request(now)
//	if w.Spend(now) {
//		tryAgain()
//	}
package retry

const (
	// DefaultRatio is the number of retries earned by one success.
	DefaultRatio = 0.1
	// DefaultReserve is the maximum number of retries in reserve.
	DefaultReserve = 10
)

// Budget counts the remaining retries. It is not safe for concurrent use.
type Budget struct {
	ratio   float64
	reserve float64
	left    float64
}

// NewBudget returns a budget with a full reserve.
func NewBudget(ratio, reserve float64) *Budget {
	return &Budget{ratio: ratio, reserve: reserve, left: reserve}
}

// With returns a budget with other bounds and the same remaining retries, capped at the new
// reserve.
func (b *Budget) With(ratio, reserve float64) *Budget {
	return &Budget{ratio: ratio, reserve: reserve, left: min(b.left, reserve)}
}

// Success adds the retries earned by one success.
func (b *Budget) Success() {
	b.left = min(b.reserve, b.left+b.ratio)
}

// Spend takes one retry, or returns false if none is left.
func (b *Budget) Spend() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// Left is the number of remaining retries.
func (b *Budget) Left() float64 { return b.left }
