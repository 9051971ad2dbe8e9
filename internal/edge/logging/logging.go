// Package logging creates the logger of a program.
//
// Lines are JSON, or human-readable on a terminal. Programs count events in their metrics and
// log only changes of state.
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

// Levels are the log levels that a setting accepts.
var Levels = []string{"debug", "info", "warn", "error"}

// New returns a logger that writes to the file.
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
