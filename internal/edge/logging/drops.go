package logging

import (
	"bytes"
	"time"

	"github.com/rs/zerolog"
)

// Drops describes dropped log lines.
type Drops struct {
	Lines uint64
	// Since is when the first of them was dropped; zero if there is none.
	Since time.Time
}

// With returns the drops with n more lines, of which the first was dropped at the given time.
func (d Drops) With(n uint64, since time.Time) Drops {
	if d.Lines == 0 || since.Before(d.Since) {
		d.Since = since
	}
	d.Lines += n
	return d
}

// ReportDrops makes the writer log how many lines were dropped, and since when, as soon as
// lines can be written again. The line has the context of the logger, at any of its levels.
func (b *Bounded) ReportDrops(log zerolog.Logger) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.log = &log
}

// drop counts n lines as dropped.
func (b *Bounded) drop(n uint64, since time.Time) {
	b.dropped.Add(n)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unreported = b.unreported.With(n, since)
}

// writeReport writes the line about dropped lines. It runs in the writer goroutine, so that
// no caller of Write waits for the output. The drops are reported later if that fails.
func (b *Bounded) writeReport(log *zerolog.Logger, d Drops) {
	if log == nil || d.Lines == 0 {
		return
	}
	var line bytes.Buffer
	l := log.Output(&line).Level(zerolog.WarnLevel)
	l.Warn().Uint64("lines", d.Lines).Time("since", d.Since).Msg("log lines were dropped")
	if _, err := b.out.Write(line.Bytes()); err != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.unreported = b.unreported.With(d.Lines, d.Since)
	}
}
