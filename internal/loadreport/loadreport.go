// Package loadreport parses the load reports that endpoints send in responses to requests and to health checks.
package loadreport

import (
	"math"
	"strconv"
	"strings"

	"fawnglade/policy"
)

const unknown = -1 // value of a field that the endpoint did not report

// Parse parses a report such as "util=0.4,queue=2,latency_ms=3.5". Unknown names and invalid values are skipped.
func Parse(text string) policy.LoadReport {
	report := policy.LoadReport{Utilization: unknown, QueueLength: unknown, ServiceTime: unknown}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		load, ok := parseLoad(value)
		if !ok {
			continue
		}
		switch strings.TrimSpace(name) {
		case "util":
			report.Utilization = load
		case "queue":
			report.QueueLength = load
		case "latency_ms":
			report.ServiceTime = load
		}
	}
	return report
}

// parseLoad parses a number that is finite and not negative.
func parseLoad(text string) (load float64, ok bool) {
	load, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	return load, err == nil && load >= 0 && !math.IsInf(load, 0)
}
