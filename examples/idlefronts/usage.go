package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	bytesPerMB = 1 << 20
	bytesPerKB = 1 << 10
	kbPerMB    = 1 << 10
	// clockTicksPerSecond is the unit of the times in /proc/PID/stat.
	clockTicksPerSecond = 100
)

// usage is what a process has used since it started.
type usage struct {
	cpuSeconds float64
	residentMB float64
	peakMB     float64
	// writtenBytes counts what was written to sockets and files.
	writtenBytes float64
}

// readUsage reads the usage of a process from /proc; what can't be read is 0.
func readUsage(pid int) usage {
	u := usage{
		residentMB:   readField(pid, "status", "VmRSS:") / kbPerMB,
		peakMB:       readField(pid, "status", "VmHWM:") / kbPerMB,
		writtenBytes: readField(pid, "io", "wchar:"),
	}
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	// Fields 14 and 15 are the user and the system time.
	if fields := strings.Fields(string(raw)); len(fields) > 15 {
		user, _ := strconv.ParseFloat(fields[13], 64)
		system, _ := strconv.ParseFloat(fields[14], 64)
		u.cpuSeconds = (user + system) / clockTicksPerSecond
	}
	return u
}

// readField reads the number after a name in /proc/PID/file.
func readField(pid int, file, name string) float64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	for line := range strings.SplitSeq(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, name); ok {
			x, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return x
		}
	}
	return 0
}

// meter prints what this process and the control nodes use.
type meter struct {
	// pids are this process first, then the control nodes.
	pids []int
}

func newMeter(controlPIDs []int) meter {
	return meter{pids: append([]int{os.Getpid()}, controlPIDs...)}
}

// measure prints what was used while do ran, and until span was over.
func (m meter) measure(what string, span time.Duration, do func()) {
	before := make([]usage, len(m.pids))
	for i, pid := range m.pids {
		before[i] = readUsage(pid)
	}
	begun := time.Now()
	do()
	time.Sleep(span - min(span, time.Since(begun)))
	seconds := time.Since(begun).Seconds()
	for i, pid := range m.pids {
		name := "control node"
		if i == 0 {
			name = "all fronts"
		}
		now := readUsage(pid)
		writtenKB := (now.writtenBytes - before[i].writtenBytes) / bytesPerKB
		fmt.Printf("%s, %s: %.4f cores, %.1f KB/s (%.0f KB) written, %.1f MB (peak %.1f)\n", what, name,
			(now.cpuSeconds-before[i].cpuSeconds)/seconds, writtenKB/seconds, writtenKB, now.residentMB, now.peakMB)
	}
}
