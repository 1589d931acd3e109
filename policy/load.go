package policy

import "time"

// The load of an endpoint is the paper's transmit rate (section VI.A), taken from its load reports: utilization (a
// fraction) times service time (milliseconds), utilization alone, or one plus the queue length, whichever the
// deployment offers first. Between reports each send of this node adds the last rise over the number of sends in which
// it came about (the paper's drift, formula 1); a load that fell, or rose with nothing sent, adds nothing. A report
// that repeats the last value is taken for the same report, carried by another answer. docs/design.md: "Load: what w is
// made of".

const (
	// recalculationInterval is the longest time between two recalculations of a load.
	recalculationInterval = time.Second
	// requestsPerHealthCheck: where reports come with health checks alone, one check goes out for so many requests.
	requestsPerHealthCheck = 32
)

// applyReport takes the load values that came with an answer or a health check.
func (b *Balancer) applyReport(now Time, ep *endpoint, report *LoadReport) {
	load, reported := b.settings.loadOf(report)
	if reported && (!ep.HasReport || load != ep.LastReport) {
		ep.updateLoad(now, load)
	}
}

// loadOf returns the load in a report, if there is any.
func (s *Settings) loadOf(report *LoadReport) (load float64, reported bool) {
	if s.ReportsUtilization && report.Utilization >= 0 {
		if s.ReportsServiceTime && report.ServiceTime >= 0 {
			// The same utilization of a slower endpoint is a greater load.
			return report.Utilization * report.ServiceTime, true
		}
		return report.Utilization, true
	}
	return 1 + report.QueueLength, report.QueueLength >= 0
}

// updateLoad recalculates the load and what each send from here on adds to it.
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

// countSend adds an attempt to the load and to what is in flight.
func (ep *endpoint) countSend(now Time, inFlight int) {
	if now >= ep.recalculateAt { // no report came for the longest time
		ep.RisePerSend = 0
		ep.sendsSinceReport = 0
		ep.recalculateAt = now.Add(recalculationInterval)
	}
	ep.inFlight += inFlight
	ep.maxInFlight = max(ep.maxInFlight, ep.inFlight)
	ep.sendsSinceReport++
	ep.Load += ep.RisePerSend
}

// healthChecks says which endpoint is checked next.
type healthChecks struct {
	requestCount int // arrived ever
}

// checkHealthRoundRobin asks one endpoint of the subset after another for its load, where answers bring none.
func (b *Balancer) checkHealthRoundRobin() {
	b.healthChecks.requestCount++
	if !b.settings.MayCheckHealth || !b.settings.HealthChecksReport {
		return
	}
	if b.healthChecks.requestCount%requestsPerHealthCheck != 0 || len(b.subset.members) == 0 {
		return
	}
	turn := b.healthChecks.requestCount / requestsPerHealthCheck % len(b.subset.members)
	b.effects.CheckHealth(b.subset.members[turn].ID)
}
