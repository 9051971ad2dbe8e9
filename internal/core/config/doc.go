// Package config holds a validated configuration.
//
// A Config is immutable. New builds it from the protobuf document as a pure function:
// every process, and the operators' check before publication, reaches the same result
// with the same faults.
//
// # Usage
//
//	cfg, faults := config.New(document)
//	if len(faults) > 0 {
//		return faults // each names its field
//	}
//	class, ok := cfg.Class("counter")
package config
