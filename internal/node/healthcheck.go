package node

// Health checks. A health check only reads an endpoint's load report, with one short request outside any client's
// request; no other test of health is made. It is not repeated here: the decisions ask for the next.

import (
	"errors"
	"net/http"
	"time"

	"fawnglade/policy"
)

const (
	maxHealthChecks = 8        // in flight; one more fails at once
	maxReportBytes  = 64 << 10 // of a load report
)

// checkHealth has an endpoint asked for its load; the event loop, which calls it, gets the result as an event. Beyond
// maxHealthChecks nothing is done but counted.
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

// readLoadReport asks an endpoint for its load. The report is empty unless the outcome is OutcomeSucceeded.
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
	if !u.mayUse(target) { // it may have changed while the connection was opened
		u.closeConn(conn)
		return policy.OutcomeNotSent, noReport
	}
	conn.SetDeadline(deadline)
	text, reusable, err := conn.getLoadReport()
	if err != nil {
		u.closeConn(conn)
		return policy.OutcomeError, noReport
	}
	if reusable {
		u.putIdle(conn)
	} else {
		u.closeConn(conn)
	}
	return policy.OutcomeSucceeded, parseLoadReport(text)
}

var errNoReport = errors.New("the response is no load report")

// getLoadReport asks for a load report, and reports whether the connection can be used again.
func (c *upstreamConn) getLoadReport() (text string, reusable bool, err error) {
	if _, err := c.Write([]byte(healthCheckHead(c.target.address))); err != nil {
		return "", false, err
	}
	head, m, err := c.readResponseHead(http.MethodGet)
	if err != nil {
		return "", false, err
	}
	body, complete, err := m.readUpTo(nil, maxReportBytes)
	m.end()
	if err != nil {
		return "", false, err
	}
	if !complete || outcomeOf(head.StatusCode, head.Header) != policy.OutcomeSucceeded {
		return "", false, errNoReport
	}
	return string(body), len(c.buffered()) == 0 && !head.Close, nil
}
