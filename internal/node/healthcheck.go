package node

// This file owns probes: one short question to a server for its load, outside any request. It must never resend, and a
// probe that fails says nothing but that it failed.

import (
	"fawnglade/policy"
	"net/http"
	"time"
)

const (
	maxHealthChecks = 8 // out at once; one more is not made
	maxReportBytes  = 64 << 10
)

// checkHealth asks a server for its load, without the loop waiting for it.
func (s *upstreams) checkHealth(to upstreamTarget) {
	select {
	case s.healthChecks <- struct{}{}:
	default:
		s.node.counters.add(healthChecksFailed)
		return
	}
	go func() {
		defer func() { <-s.healthChecks }()
		defer s.node.recoverPanic("probe", func() {})
		outcome, report := s.readLoadReport(to)
		if outcome == policy.OutcomeSucceeded {
			s.node.counters.add(healthChecksAnswered)
		} else {
			s.node.counters.add(healthChecksFailed)
		}
		s.node.loop.post(func() { s.node.loop.healthChecked(to.endpoint, outcome, report) })
	}()
}

func (s *upstreams) readLoadReport(to upstreamTarget) (policy.Outcome, policy.LoadReport) {
	wanted := func() bool { return !s.node.overrides.isDisabled(to.endpoint) && s.isEligible(to) }
	if !wanted() {
		return policy.OutcomeNotSent, parseLoadReport("")
	}
	limit := time.Now().Add(2 * time.Duration(s.node.settings.ConnectTimeout))
	c, err := s.acquire(&attempt{target: to}, limit)
	if err != nil {
		return policy.OutcomeConnectFailed, parseLoadReport("")
	}
	if !wanted() { // since it began to connect
		s.closeConn(c)
		return policy.OutcomeNotSent, parseLoadReport("")
	}
	c.SetDeadline(limit)
	if _, err := c.Write([]byte(healthCheckHead(to.address))); err == nil {
		if r, m, err := c.readResponseHead(&http.Request{Method: http.MethodGet}); err == nil {
			body, whole, err := m.readUpTo(nil, maxReportBytes)
			m.end()
			if outcome := outcomeOf(r.StatusCode, r.Header); err == nil && whole && outcome == policy.OutcomeSucceeded {
				if len(c.buffered()) == 0 && !r.Close {
					s.putIdle(c)
				} else {
					s.closeConn(c)
				}
				return outcome, parseLoadReport(string(body))
			}
		}
	}
	s.closeConn(c)
	return policy.OutcomeError, parseLoadReport("")
}
