package soak

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"otterturn/internal/soak/audit"
)

const memoryCheckInterval = 10 * time.Millisecond

// watchMemory records the peak memory of a process until it ends. Like the platform, it kills a process that exceeds its limit.
func (f *front) watchMemory(running *os.Process, process int, ended <-chan struct{}) {
	tick := time.NewTicker(memoryCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ended:
			return
		case <-tick.C:
		}
		resident := residentBytes(running.Pid)
		f.run.record.UpdateProcess(process, func(p *audit.Process) { p.PeakMemory = max(p.PeakMemory, resident) })
		if resident > f.run.record.MemoryLimit {
			running.Kill()
			return
		}
	}
}

// residentBytes returns the resident memory of a process in bytes, 0 if it has ended.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := bytes.Fields(text)
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
