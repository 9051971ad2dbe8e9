// Command gladegauge-ctl is the command-line tool for operators.
//
// # Usage
//
//	gladegauge-ctl check examples/salish
//	gladegauge-ctl build -out out/values examples/salish
//	gladegauge-ctl status -processes 10.0.0.5:7443,10.0.0.6:7443
package main

import (
	"github.com/gladegauge/gladegauge/internal/edge/ctl"
	"github.com/gladegauge/gladegauge/internal/edge/program"
)

func main() {
	program.Main(append(ctl.Commands(), program.VersionCommand())...)
}
