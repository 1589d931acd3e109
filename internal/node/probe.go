package node

// This file owns probes: one short question to a server for its load, outside any task. It must never resend, and a
// probe that fails says nothing but that it failed.

import (
	"net/http"
	"time"

	"fawnglade/policy"
)

const (
	mostProbes    = 8 // out at once; one more is not made
	longestReport = 64 << 10
)

// probe asks a server for its load, without the loop waiting for it.
func (s *servers) probe(to place) {
	select {
	case s.probing <- struct{}{}:
	default:
		s.node.counters.add(probesFailed)
		return
	}
	go func() {
		defer func() { <-s.probing }()
		defer s.node.caught("probe", func() {})
		outcome, report := s.askLoad(to)
		if outcome == policy.OutcomeSucceeded {
			s.node.counters.add(probesAnswered)
		} else {
			s.node.counters.add(probesFailed)
		}
		s.node.loop.enter(func() { s.node.loop.probed(to.server, outcome, report) })
	}()
}

func (s *servers) askLoad(to place) (policy.Outcome, policy.LoadReport) {
	wanted := func() bool { return !s.node.orders.isOut(to.server) && s.stands(to) }
	if !wanted() {
		return policy.OutcomeNotSent, reportOf("")
	}
	limit := time.Now().Add(2 * time.Duration(s.node.settings.ConnectTimeout))
	c, err := s.connection(&handOff{place: to}, limit)
	if err != nil {
		return policy.OutcomeConnectFailed, reportOf("")
	}
	if !wanted() { // since it began to connect
		s.close(c)
		return policy.OutcomeNotSent, reportOf("")
	}
	c.SetDeadline(limit)
	if _, err := c.Write([]byte(loadQuestion(to.address))); err == nil {
		if r, m, err := c.fromServer(&http.Request{Method: http.MethodGet}); err == nil {
			body, whole, err := m.collect(nil, longestReport)
			m.end()
			if outcome := outcomeOf(r.StatusCode, r.Header); err == nil && whole && outcome == policy.OutcomeSucceeded {
				if len(c.pending()) == 0 && !r.Close {
					s.keep(c)
				} else {
					s.close(c)
				}
				return outcome, reportOf(string(body))
			}
		}
	}
	s.close(c)
	return policy.OutcomeError, reportOf("")
}
