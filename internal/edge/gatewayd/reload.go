package gatewayd

import (
	"context"
	"os"
	"time"

	"github.com/gladegauge/gladegauge/platform"
)

// reloadInterval is the interval at which the settings file is checked, because it may
// change without a signal.
const reloadInterval = 2 * time.Second

// Reload applies changed settings on a signal, or when the file has changed, until the
// context ends. Changed addresses take effect at the next start.
func (s *Server) Reload(ctx context.Context, signals <-chan os.Signal) error {
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	changed := modTime(s.o.SettingsPath)
	for {
		cause := "file changed"
		select {
		case <-signals:
			cause = "signal"
		case <-t.C:
			if modTime(s.o.SettingsPath).Equal(changed) {
				continue
			}
		case <-ctx.Done():
			return nil
		}
		changed = modTime(s.o.SettingsPath)
		s.reload(cause)
	}
}

func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the bounds of new settings. Invalid settings change nothing.
func (s *Server) reload(cause string) {
	next, faults := platform.ReadSettings(s.o.SettingsPath)
	if len(faults) > 0 {
		s.log.Error().Str("cause", cause).Str("faults", faults.String()).Msg("settings: invalid, nothing changed")
		return
	}
	bounds := admissionBounds(next.Bounds)
	s.bounds.Store(&bounds)
	s.control.DoWithoutCancel(func(time.Time) {
		s.operatorBounds = next.Bounds
		s.table.SetColdLimits(coldLimits(next.Bounds), s.holds)
		if t := s.view.Load().Table; t != nil {
			s.table.SetPools(t)
		}
		s.updateBudgets()
	})
	s.log.Info().Str("cause", cause).Msg("settings: reloaded")
}
