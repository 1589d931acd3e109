package node

// Health checks. A health check reads an endpoint's load report with one short request of its own; there is no other
// kind of check. It is not retried here: the balancer requests the next one (policy.Effects.CheckHealth).

import (
	"errors"
	"net/http"
	"time"

	"fawnglade/policy"
)

const (
	maxHealthChecks = 8        // in flight; further ones are not sent
	maxReportBytes  = 64 << 10 // maximum size of a load report
)

// checkHealth starts a health check and posts its result to the event loop. If maxHealthChecks are already in flight,
// it counts a failed one and posts nothing. It is called on the event loop.
func (u *upstreams) checkHealth(target upstreamTarget) {
	select {
	case u.healthChecks <- struct{}{}:
	default:
		u.node.counters.add(healthChecksFailed)
		return
	}
	go func() {
		defer func() { <-u.healthChecks }()
		defer u.node.recoverPanic("health check", func() {})
		outcome, report := u.readLoadReport(target)
		if outcome == policy.OutcomeSucceeded {
			u.node.counters.add(healthChecksAnswered)
		} else {
			u.node.counters.add(healthChecksFailed)
		}
		u.node.loop.post(func() { u.node.loop.healthChecked(target.endpoint, outcome, report) })
	}()
}

// readLoadReport requests an endpoint's load report. The report is empty unless the outcome is OutcomeSucceeded.
func (u *upstreams) readLoadReport(target upstreamTarget) (policy.Outcome, policy.LoadReport) {
	noReport := parseLoadReport("")
	if !u.mayUse(target) {
		return policy.OutcomeNotSent, noReport
	}
	deadline := time.Now().Add(2 * time.Duration(u.node.settings.ConnectTimeout))
	conn, err := u.acquire(&attempt{target: target}, deadline)
	if err != nil {
		return policy.OutcomeConnectFailed, noReport
	}
	if !u.mayUse(target) { // the list or the overrides may have changed during the dial
		u.closeConn(conn, closeIneligible)
		return policy.OutcomeNotSent, noReport
	}
	conn.SetDeadline(deadline)
	conn.beginRequest("")
	text, reusable, err := conn.getLoadReport()
	if err != nil {
		conn.failure = err.Error()
		u.closeConn(conn, closeHealthCheckFailed)
		return policy.OutcomeError, noReport
	}
	switch {
	case len(conn.buffered()) > 0:
		u.closeConn(conn, closeUnsolicitedInput)
	case !reusable:
		u.closeConn(conn, closeAskedByUpstream)
	default:
		u.putIdle(conn)
	}
	return policy.OutcomeSucceeded, parseLoadReport(text)
}

var errNoReport = errors.New("response is not a load report")

// getLoadReport requests a load report. reusable reports whether the connection can be used again.
func (c *upstreamConn) getLoadReport() (text string, reusable bool, err error) {
	if _, err := c.Write([]byte(healthCheckHead(c.target.address))); err != nil {
		return "", false, err
	}
	head, m, err := c.readResponseHead(http.MethodGet)
	if err != nil {
		return "", false, err
	}
	body, complete, err := m.readUpTo(nil, maxReportBytes)
	c.lastDigest = digestResponse(m.digest, body)
	c.lastResponseAt = time.Now()
	m.end()
	if err != nil {
		return "", false, err
	}
	if !complete || outcomeOf(head.StatusCode, head.Header) != policy.OutcomeSucceeded {
		return "", false, errNoReport
	}
	return string(body), !head.Close, nil
}
