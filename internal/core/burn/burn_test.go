package burn

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestReport(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	first, second := NewLedger(), NewLedger()
	for i := range 100 {
		at := now.Add(-time.Duration(i) * 30 * time.Second)
		first.Add(at, "counter", "reef", Hit)
		second.Add(at, "counter", "reef", Hit)
	}
	first.Add(now, "counter", "reef", Miss)
	second.Add(now, "counter", "coast", Refusal)
	second.Add(now, "unknown", "coast", Miss)
	lines := Report(now, Merge(first.Cells(), second.Cells()), map[string]float64{"counter": 0.99}, true)
	is.Equal(len(lines), 3)
	all := lines[0]
	is.Equal(all.Organisation, "")
	hour := all.Rates[1]
	is.Equal(hour.Total, uint64(202))
	is.Equal(hour.Missed, uint64(2))
	is.Equal(hour.Refused, uint64(1))
	is.True(math.Abs(hour.Burn-2.0/202/0.01) < 1e-9)
	is.True(math.Abs(all.Left-(1-hour.Burn)) < 1e-9)
	is.Equal(lines[1].Organisation, "coast")
	is.True(math.Abs(lines[1].Left-(1-100)) < 1e-9)
}

// TestLedgerIsBounded adds requests of many organisations. The number of cells must
// stay bounded without losing a count of the class.
func TestLedgerIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	l := NewLedger()
	const minutes, each = 90, 1000
	for minute := range minutes {
		for i := range each {
			l.Add(now.Add(time.Duration(minute)*time.Minute), "counter", fmt.Sprint(i), Miss)
		}
	}
	is.True(len(l.Cells()) <= maxCells+each)
	var total uint64
	for _, c := range l.Cells() {
		total += c.Total
	}
	is.Equal(total, uint64(minutes*each))
}

func TestLedgerDeletesOldCells(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	l := NewLedger()
	l.Add(now, "counter", "reef", Hit)
	l.Add(now.Add(Retention+time.Hour), "counter", "reef", Hit)
	is.Equal(len(l.Cells()), 1)
}
