// Package loadreport owns the form in which a server tells its load. It must never take for a load what can't be one.
package loadreport

import (
	"fawnglade/policy"
	"math"
	"strconv"
	"strings"
)

// Parse reads a load report and skips what it does not know or cannot be a load.
func Parse(text string) policy.LoadReport {
	r := policy.LoadReport{Utilization: -1, QueueLength: -1, ServiceTime: -1}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !(v >= 0) || math.IsInf(v, 0) {
			continue
		}
		switch strings.TrimSpace(name) {
		case "util":
			r.Utilization = v
		case "queue":
			r.QueueLength = v
		case "latency_ms":
			r.ServiceTime = v
		}
	}
	return r
}
