package policy

import "time"

// The load of an endpoint is the paper's transmit rate (section VI.A), derived from load reports. It is the first of
// these that the deployment offers: utilization (a fraction) times service time (milliseconds); utilization; or one
// plus the queue length. Between reports, each send of this node adds to the load the last rise divided by the number
// of sends during which it occurred (the paper's drift, formula 1). If the load fell, or rose without a send, a send
// adds nothing. A report with the same value as the previous one counts as the same report, received with another
// response.
//
// See docs/design.md: "Load: what w is made of".

const (
	// recalculationInterval is the maximum time between two recalculations of a load.
	recalculationInterval = time.Second
	// requestsPerHealthCheck is the number of requests per health check, where load reports come with health checks
	// only.
	requestsPerHealthCheck = 32
)

// applyReport applies the load report of a response or a health check.
func (b *Balancer) applyReport(now Time, ep *endpoint, report *LoadReport) {
	load, reported := b.settings.loadOf(report)
	if reported && (!ep.HasReport || load != ep.LastReport) {
		ep.updateLoad(now, load)
	}
}

// loadOf returns the load in a report. reported is false if the report has no usable value.
func (s *Settings) loadOf(report *LoadReport) (load float64, reported bool) {
	if s.ReportsUtilization && report.Utilization >= 0 {
		if s.ReportsServiceTime && report.ServiceTime >= 0 {
			// The same utilization means a higher load at a slower endpoint.
			return report.Utilization * report.ServiceTime, true
		}
		return report.Utilization, true
	}
	return 1 + report.QueueLength, report.QueueLength >= 0
}

// updateLoad sets the load from a report, and the rise that each later send adds to it.
func (ep *endpoint) updateLoad(now Time, load float64) {
	rise := load - ep.LastReport
	ep.RisePerSend = 0
	if ep.HasReport && rise > 0 && ep.sendsSinceReport > 0 && now < ep.recalculateAt {
		ep.RisePerSend = rise / float64(ep.sendsSinceReport)
	}
	if ep.HasReport && rise > 0 && ep.firstRiseAt == 0 {
		ep.firstRiseAt = now
	}
	ep.Load = load
	ep.LastReport = load
	ep.HasReport = true
	ep.sendsSinceReport = 0
	ep.recalculateAt = now.Add(recalculationInterval)
}

// countSend counts an attempt in the load and in the attempts in flight.
func (ep *endpoint) countSend(now Time, inFlight int) {
	if now >= ep.recalculateAt { // no report within the interval
		ep.RisePerSend = 0
		ep.sendsSinceReport = 0
		ep.recalculateAt = now.Add(recalculationInterval)
	}
	ep.inFlight += inFlight
	ep.maxInFlight = max(ep.maxInFlight, ep.inFlight)
	ep.sendsSinceReport++
	ep.Load += ep.RisePerSend
}

// healthChecks determines which endpoint is checked next.
type healthChecks struct {
	requestCount int // requests that have arrived so far
}

// checkHealthRoundRobin sends health checks to the endpoints of the subset in turn, where responses carry no load
// reports.
func (b *Balancer) checkHealthRoundRobin() {
	b.healthChecks.requestCount++
	if !b.settings.MayCheckHealth || !b.settings.HealthChecksReport {
		return
	}
	if b.healthChecks.requestCount%requestsPerHealthCheck != 0 || len(b.subset.members) == 0 {
		return
	}
	index := b.healthChecks.requestCount / requestsPerHealthCheck % len(b.subset.members)
	b.effects.CheckHealth(b.subset.members[index].ID)
}
