package scale

import (
	"errors"
	"os"
	"runtime"
	"strconv"
	"strings"
)

// Machine describes the machine on which figures were measured.
type Machine struct {
	Cores       int     `json:"cores"`
	MemoryBytes float64 `json:"memory_bytes"`
	Go          string  `json:"go"` // version
}

// ThisMachine returns the description of this machine.
func ThisMachine() (Machine, error) {
	m := Machine{Cores: runtime.NumCPU(), Go: runtime.Version()}
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return m, err
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "MemTotal:" {
			continue
		}
		kib, err := strconv.ParseFloat(fields[1], 64)
		m.MemoryBytes = kib * 1024
		return m, err
	}
	return m, errors.New("/proc/meminfo: expected MemTotal, found none")
}
