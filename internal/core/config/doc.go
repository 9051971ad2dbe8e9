// Package config holds a configuration that was accepted as a whole.
//
// A Config is immutable. It is built from the protobuf document by New, which
// is a pure function: every process, and the operators' check before
// publication, reaches the same verdict with the same faults.
//
// # Usage
//
//	cfg, faults := config.New(document)
//	if len(faults) > 0 {
//		return faults // each names its field
//	}
//	class, ok := cfg.Class("counter")
package config
