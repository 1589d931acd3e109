package baseline

import (
	"math"
	"slices"
	"time"

	"fawnglade/policy"
)

// hotCold keeps a small pool of recent load reports. Endpoints above a quantile of reported load are hot; it selects
// the quickest that is not hot, and a hot one only if there is no other.

const (
	maxPooledReports = 16
	maxReportAge     = policy.Time(time.Second)
	hotQuantile      = 0.84
	hotPenalty       = float64(time.Second) // above the cost of any that is not hot
)

// pooledReport is a load report that has not been used yet.
type pooledReport struct {
	at       policy.Time
	endpoint policy.EndpointID
	load     float64 // queue, utilization and own attempts in flight
	latency  float64 // nanoseconds
}

// addReport adds a report to the pool, with a latency for reports that have none, in nanoseconds.
func (d *Decider) addReport(now policy.Time, e *endpoint, report policy.LoadReport, latency float64) {
	load := max(report.QueueLength, 0) + max(report.Utilization, 0) + float64(e.inFlight)
	if report.ServiceTime >= 0 {
		latency = report.ServiceTime * 1e6
	}
	d.reports = append(d.reports, pooledReport{now, e.ID, load, latency})
	if len(d.reports) > maxPooledReports {
		d.reports = d.reports[1:]
	}
}

// selectHotCold selects from the pool, at random while it has fewer than two reports. A report is used once, against
// herding.
func (d *Decider) selectHotCold(now policy.Time, candidates []*endpoint) *endpoint {
	for len(d.reports) > 0 && now-d.reports[0].at > maxReportAge {
		d.reports = d.reports[1:]
	}
	if len(d.reports) < 2 {
		return d.drawEndpoint(candidates)
	}
	hot := d.hotLoad()
	var best *endpoint
	used, lowest := -1, math.Inf(1)
	for i, report := range d.reports {
		e := d.byID[report.endpoint]
		if e == nil || !slices.Contains(candidates, e) {
			continue
		}
		cost := report.latency + float64(e.inFlight)
		if report.load > hot {
			cost = hotPenalty + report.load
		}
		if cost < lowest {
			best, used, lowest = e, i, cost
		}
	}
	if best == nil {
		return d.drawEndpoint(candidates)
	}
	d.reports = append(d.reports[:used:used], d.reports[used+1:]...)
	return best
}

// hotLoad is the reported load above which an endpoint is hot.
func (d *Decider) hotLoad() float64 {
	var loads []float64
	for _, report := range d.reports {
		loads = append(loads, report.load)
	}
	slices.Sort(loads)
	return loads[int(hotQuantile*float64(len(loads)-1))]
}
