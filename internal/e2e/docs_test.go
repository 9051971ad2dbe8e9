package e2e

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var updateDocs = flag.Bool("update-docs", false, "write the settings table anew")

const (
	tableBegin = "<!-- settings: begin -->\n"
	tableEnd   = "<!-- settings: end -->"
)

// settingLine matches one line of the output of the settings command.
var settingLine = regexp.MustCompile(`(?m)^(-\S+) +(GLADEGAUGE_\S+) +"(.*?)" +default +(.+?) *$`)

// settingsTable returns the table of settings according to the programs.
func settingsTable() string {
	type setting struct{ flag, env, value, meaning, programs string }
	var order []*setting
	known := map[string]*setting{}
	for _, program := range []string{"entry", "agent", "gateway"} {
		text, _ := exec.Command(filepath.Join(binaries, "gladegauge-"+program), "settings").CombinedOutput()
		for _, m := range settingLine.FindAllStringSubmatch(string(text), -1) {
			s, ok := known[m[1]]
			if !ok {
				s = &setting{flag: m[1], env: m[2], value: m[3], meaning: m[4]}
				known[m[1]] = s
				order = append(order, s)
			}
			s.programs = strings.TrimPrefix(s.programs+", "+program, ", ")
		}
	}
	var b strings.Builder
	b.WriteString("| setting | environment | default | program | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, s := range order {
		b.WriteString("| `" + s.flag + "` | `" + s.env + "` | " + s.value + " | " + s.programs + " | " + s.meaning + " |\n")
	}
	return b.String()
}

// TestSettingsTable checks that the settings table of the operators' page matches the
// programs.
func TestSettingsTable(t *testing.T) {
	is := is.New(t)
	const page = "../../docs/OPERATIONS.md"
	text, err := os.ReadFile(page)
	is.NoErr(err)
	before, rest, ok := strings.Cut(string(text), tableBegin)
	is.True(ok)
	documented, after, ok := strings.Cut(rest, tableEnd)
	is.True(ok)
	want := settingsTable()
	is.True(strings.Contains(want, "`-upstream-url`"))
	if *updateDocs {
		is.NoErr(os.WriteFile(page, []byte(before+tableBegin+want+tableEnd+after), 0o600))
		return
	}
	is.Equal(documented, want)
}
