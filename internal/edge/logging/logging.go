// Package logging makes the logger of a program.
//
// Lines are JSON, or readable on a terminal. A program counts events in its
// metrics and logs changes of state only.
//
// # Usage
//
//	log := logging.New(os.Stderr, "info", "gladegauge-entry", id)
package logging

import (
	"os"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/rs/zerolog"
)

// Levels are the levels that a setting may name.
var Levels = []string{"debug", "info", "warn", "error"}

// New returns a logger to the file.
func New(f *os.File, level, program, id string) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	lv, err := zerolog.ParseLevel(level)
	if err != nil {
		lv = zerolog.InfoLevel
	}
	log := zerolog.New(f)
	if isatty.IsTerminal(f.Fd()) {
		log = zerolog.New(zerolog.ConsoleWriter{Out: f, TimeFormat: time.TimeOnly})
	}
	return log.Level(lv).With().Timestamp().Str("program", program).Str("id", id).Logger()
}
