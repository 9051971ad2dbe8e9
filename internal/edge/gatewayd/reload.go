package gatewayd

import (
	"context"
	"os"
	"time"

	"github.com/gladegauge/gladegauge/platform"
)

// reloadEvery is how often the settings file is looked at: it may change
// without a signal.
const reloadEvery = 2 * time.Second

// Reload takes changed settings at a signal, or when the file has changed,
// until the context ends. Addresses hold from the next start on.
func (s *Server) Reload(ctx context.Context, signals <-chan os.Signal) error {
	t := time.NewTicker(reloadEvery)
	defer t.Stop()
	changed := changedAt(s.o.SettingsPath)
	for {
		cause := "file changed"
		select {
		case <-signals:
			cause = "signal"
		case <-t.C:
			if changedAt(s.o.SettingsPath).Equal(changed) {
				continue
			}
		case <-ctx.Done():
			return nil
		}
		changed = changedAt(s.o.SettingsPath)
		s.reload(cause)
	}
}

func changedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload takes the bounds of new settings; faulty settings change nothing.
func (s *Server) reload(cause string) {
	next, faults := platform.ReadSettings(s.o.SettingsPath)
	if len(faults) > 0 {
		s.log.Error().Str("cause", cause).Str("faults", faults.String()).Msg("settings: faulty, nothing changed")
		return
	}
	bounds := boundsOf(next.Bounds)
	s.bounds.Store(&bounds)
	s.control.DoWithoutCancel(func(time.Time) {
		s.promised = next.Bounds
		s.table.SetColdLimits(coldLimits(next.Bounds), s.holds)
		if t := s.view.Load().Table; t != nil {
			s.table.SetPools(t)
		}
		s.boundBudgets()
	})
	s.log.Info().Str("cause", cause).Msg("settings: taken")
}
