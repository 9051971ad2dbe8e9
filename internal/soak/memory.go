package soak

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// memoryPoll is the interval at which the memory of the gateways is read.
const memoryPoll = 100 * time.Millisecond

// RecordMemory records the largest resident memory of each gateway, until the context ends.
func (h *Harness) RecordMemory(ctx context.Context) {
	for ctx.Err() == nil {
		for _, p := range h.procs {
			h.record.addMemory(p.n, p.residentBytes())
		}
		time.Sleep(memoryPoll)
	}
}

// residentBytes returns the resident memory of the process; 0 if it does not run.
func (p *process) residentBytes() int {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := bytes.Fields(data) // the second one is the number of resident pages
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(string(fields[1]))
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize()
}

// addMemory records the resident memory of a gateway.
func (r *Record) addMemory(gateway, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Memory[gateway] = max(r.Memory[gateway], n)
}

// memoryBounded: no gateway exceeds the memory of its host, whatever bytes it gets.
func memoryBounded(r *Record) []string {
	var violations []string
	for gateway, n := range r.Memory {
		if n > standin.MemoryMB*1_000_000 {
			violations = append(violations, fmt.Sprintf("gateway %d held %d bytes of %d MB", gateway, n, standin.MemoryMB))
		}
	}
	return violations
}
