package policy

import (
	"fmt"
	"testing"
)

// Guards against each of many nodes gathering a key at endpoints of its own, so that no node saves work.
func TestNodesAgreeOnAffinityEndpoint(t *testing.T) {
	const keys = 40
	at := map[string]map[EndpointID]int{}
	for node := range 5 {
		b := newTestFleet(t, 12, func(s *Settings) { s.KeyAffinity, s.NodeIndex, s.NodeCount = true, node, 5 })
		for i := range 3 * keys {
			key := fmt.Sprint(i % keys)
			b.RequestArrived(b.now, Request{ID: RequestID(fmt.Sprint(i)), Deadline: b.now + 1000*ms, Key: key})
			if at[key] == nil {
				at[key] = map[EndpointID]int{}
			}
			at[key][b.lastSent()]++
			b.endAttempt(RequestID(fmt.Sprint(i)), 0, OutcomeSucceeded, 40*ms)
			b.now += 40 * ms
		}
	}
	kept := 0
	for _, endpoints := range at {
		most := 0
		for _, n := range endpoints {
			most = max(most, n)
		}
		kept += most
	}
	if kept < 5*3*keys*9/10 {
		t.Errorf("%d of %d requests went where most of their key's go", kept, 5*3*keys)
	}
}

// Guards against a home that is cold, ejected or overloaded getting its keys' requests all the same.
func TestAffinityYieldsToLoadAndSlowStart(t *testing.T) {
	b := newTestFleet(t, 8, func(s *Settings) { s.KeyAffinity, s.Classes[0].LatencyObjective = true, 200*ms })
	b.serve(40, respondPromptly)
	for i := range 200 {
		b.affinity.keys.Observe(fmt.Sprint("another", i), 8)
	}
	ask := func() EndpointID {
		b.requestCount++
		b.RequestArrived(b.now, Request{ID: RequestID(fmt.Sprint(b.requestCount)), Deadline: b.now + 1000*ms, Key: "k"})
		return b.lastSent()
	}
	home := ask()
	if next := ask(); next != home {
		t.Errorf("with one out at its home the key goes to %d, not %d", next, home)
	}
	for range 12 {
		ask()
	}
	if n := b.endpoints.byID[home].inFlight; n > 8 {
		t.Errorf("%d out at the home, 7 elsewhere stand idle", n)
	}
	b.EndpointsUpdated(b.now, []EndpointInfo{{ID: home, Pod: 9, StartedAt: b.now}}, false)
	if ask(); len(b.affinity.preferred) == 0 || b.affinity.preferred[0].ID == home {
		t.Error("a cold endpoint is a home, and nodes do not agree on the next")
	}
}
