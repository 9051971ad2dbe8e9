package configdir

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/config"
)

func write(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

func TestExamplesAreAccepted(t *testing.T) {
	for _, name := range []string{"tallowbark", "salish"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, err := Read(filepath.Join("..", "..", "..", "examples", name))
			is.NoErr(err)
			cfg, faults := config.New(s.Configuration)
			is.Equal(faults, nil)
			is.Equal(cfg.OrganisationCount(), 10)
		})
	}
}

func TestFaultsNameFileAndField(t *testing.T) {
	is := is.New(t)
	dir := write(t, map[string]string{
		"a.yaml": "revision: 1\nclasses: [{name: good, tier: 1, firstTokenMs: 5}]",
		"b.yaml": "classes: [{name: bad, tier: 9, firstTokenMs: 5}]\npools: [{name: p, kind: POOL_KIND_SERVICE, slots: 1, classes: [good, bad]}]",
		"c.yaml": "organisations: [{name: hall, weight: -1}]",
	})
	s, err := Read(dir)
	is.NoErr(err)
	_, faults := config.New(s.Configuration)
	var lines []string
	for _, f := range faults {
		lines = append(lines, s.Locate(f.Field))
	}
	text := strings.Join(lines, "\n")
	is.True(strings.Contains(text, "b.yaml: classes[0].tier"))
	is.True(strings.Contains(text, `c.yaml: organisations["hall"].weight`))
}

func TestReadFaults(t *testing.T) {
	tests := []struct {
		name  string
		files map[string]string
		want  string
	}{
		{"empty folder", nil, "no .yaml files"},
		{"not YAML", map[string]string{"a.yaml": "a: ["}, "a.yaml"},
		{"unknown field", map[string]string{"a.yaml": "speed: 3"}, "speed"},
		{"field twice", map[string]string{"a.yaml": "revision: 1\nrevision: 2"}, "revision"},
		{"revision in two files", map[string]string{"a.yaml": "revision: 1", "b.yaml": "revision: 2"}, "b.yaml: revision"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Read(write(t, tt.files))
			is.True(err != nil && strings.Contains(err.Error(), tt.want))
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("revision: 1\nclasses: [{name: a, tier: 1}]"))
	f.Add([]byte("{"))
	f.Fuzz(func(_ *testing.T, text []byte) {
		if part, err := Parse(text); err == nil {
			_, _ = config.New(part)
		}
	})
}
