// Package retry bounds how many attempts are made again.
//
// A budget earns a share of each success and pays one for each retry, so that
// a failing pool never sees many more attempts than it was sent requests.
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

// Defaults of a budget.
const (
	// DefaultShare is the number of retries earned by one success.
	DefaultShare = 0.1
	// DefaultReserve is the number of retries that can be saved up.
	DefaultReserve = 10
)

// Budget counts the retries that are left. It is not safe for concurrent use.
type Budget struct {
	share   float64
	reserve float64
	left    float64
}

// NewBudget returns a budget with its reserve full.
func NewBudget(share, reserve float64) *Budget {
	return &Budget{share: share, reserve: reserve, left: reserve}
}

// With returns a budget with other bounds and as many retries left, as far as
// the reserve allows.
func (b *Budget) With(share, reserve float64) *Budget {
	return &Budget{share: share, reserve: reserve, left: min(b.left, reserve)}
}

// Success earns a share of a retry.
func (b *Budget) Success() {
	b.left = min(b.reserve, b.left+b.share)
}

// Spend takes one retry, or reports that none is left.
func (b *Budget) Spend() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// Left returns the number of retries left.
func (b *Budget) Left() float64 { return b.left }
