package config

import (
	"fmt"
	"strings"
)

// Fault names a field of the document and what is wrong with it.
type Fault struct {
	Field   string
	Problem string
	// Transient is true if the same document may be read without the fault
	// later, such as a shard that was cut short on its way.
	Transient bool
}

// String returns "field: problem".
func (f Fault) String() string {
	return f.Field + ": " + f.Problem
}

// Faults are all faults of one document.
type Faults []Fault

// String joins the faults, a line each.
func (f Faults) String() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Add notes one more fault.
func (f *Faults) Add(field, format string, args ...any) {
	*f = append(*f, Fault{Field: field, Problem: fmt.Sprintf(format, args...)})
}

// addTransient notes a fault of the transport rather than of the document.
func (f *Faults) addTransient(field, problem string) {
	*f = append(*f, Fault{Field: field, Problem: problem, Transient: true})
}
