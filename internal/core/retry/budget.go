// Package retry bounds the number of retries.
//
// A budget earns a fraction of a retry with each success and spends one for each retry, so
// that a failing pool never gets many more attempts than requests.
//
// # Usage
//
//	b := retry.NewBudget(retry.DefaultShare, retry.DefaultReserve)
//	b.Success()
//	if b.Spend() {
//		tryAgain()
//	}
//
//	w := retry.NewWindow(share, reserve, 10*time.Second)
//	w.Request(now)
//	if w.Spend(now) {
//		tryAgain()
//	}
package retry

const (
	// DefaultShare is the number of retries earned by one success.
	DefaultShare = 0.1
	// DefaultReserve is the maximum number of retries in reserve.
	DefaultReserve = 10
)

// Budget counts the remaining retries. It is not safe for concurrent use.
type Budget struct {
	share   float64
	reserve float64
	left    float64
}

// NewBudget returns a budget with a full reserve.
func NewBudget(share, reserve float64) *Budget {
	return &Budget{share: share, reserve: reserve, left: reserve}
}

// With returns a budget with other bounds and the same remaining retries, capped at the new
// reserve.
func (b *Budget) With(share, reserve float64) *Budget {
	return &Budget{share: share, reserve: reserve, left: min(b.left, reserve)}
}

// Success adds the share of one success.
func (b *Budget) Success() {
	b.left = min(b.reserve, b.left+b.share)
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
