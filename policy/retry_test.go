package policy

import (
	"testing"
)

// Guards against a request whose body still comes being judged as a slow server's, counted as its crowd, or sent again when
// part of its body is held no more.
func TestStreamingBody(t *testing.T) {
	for class, repeat := range []Idempotency{Idempotent, IdempotentByKey, NonIdempotent} {
		for _, o := range []Outcome{OutcomeConnectFailed, OutcomeError} {
			b := newTestFleet(t, 4, nil)
			b.serve(40, answersPromptly)
			b.timers = nil
			b.RequestArrived(b.now, Request{ID: "long", Class: class, Deadline: b.now + 1000*ms, StreamingBody: true})
			s := b.endpoints.byID[b.last()]
			if len(b.timers) != 0 || s.inFlight != 0 {
				t.Errorf("%d timers wait for it, %d out at its server", len(b.timers), s.inFlight)
			}
			sent := len(b.sent)
			b.AttemptEnded(b.now+ms, AttemptResult{Request: "long", Endpoint: s.ID, Outcome: o, BodyConsumed: true, Report: LoadReport{-1, -1, -1}})
			declined := repeat == Idempotent || o == OutcomeConnectFailed
			if len(b.sent) != sent || s.inFlight != 0 || (b.rejected == 1) != declined || (b.failed == 1) == declined {
				t.Errorf("repeat %d, outcome %d: %d more hand-offs, %d out, %d declined, %d broken off", repeat, o, len(b.sent)-sent, s.inFlight, b.rejected, b.failed)
			}
		}
	}
}
