package config

import (
	"fmt"
	"strings"
)

// Fault is a validation error of one field of the document.
type Fault struct {
	Field   string
	Problem string
	// Transient is true if a later read of the same document may not have the fault, for
	// example if a shard was truncated in transit.
	Transient bool
}

// String returns "field: problem".
func (f Fault) String() string {
	return f.Field + ": " + f.Problem
}

// Faults holds all validation errors of one document.
type Faults []Fault

// String joins the faults, one per line.
func (f Faults) String() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Add appends a fault.
func (f *Faults) Add(field, format string, args ...any) {
	*f = append(*f, Fault{Field: field, Problem: fmt.Sprintf(format, args...)})
}

// addTransient appends a fault of the transport rather than of the document.
func (f *Faults) addTransient(field, problem string) {
	*f = append(*f, Fault{Field: field, Problem: problem, Transient: true})
}
