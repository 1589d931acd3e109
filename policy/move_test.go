package policy

import (
	"testing"
	"time"
)

// subsetIDs returns the members of the subset.
func subsetIDs(p *Balancer) map[EndpointID]bool {
	near := map[EndpointID]bool{}
	for _, s := range p.endpoints.all {
		if s.inSubset {
			near[s.ID] = true
		}
	}
	return near
}

// Guards against each of hundreds of nodes holding a connection to every server: servers took 76 to 120, and up to 65%
// of the attempts got none.
func TestHundredsOfNodesSpreadOverTheServers(t *testing.T) {
	const nodes, servers = 400, 50
	sharing, moved := map[EndpointID]int{}, 0
	for at := range nodes {
		set := benchSettings
		set.NodeIndex, set.NodeCount = at, nodes
		p := New(set, 1, &lastSendRecorder{})
		p.EndpointsUpdated(1e12, listOf(servers), true)
		before := subsetIDs(p)
		if len(before) != minSubsetSize {
			t.Fatalf("node %d draws from %d servers, want %d", at, len(before), minSubsetSize)
		}
		for id := range before {
			sharing[id]++
		}
		gone := listOf(servers)[7]
		gone.State = StateRemoved
		p.EndpointsUpdated(1e12, []EndpointInfo{gone}, false)
		for id := range subsetIDs(p) {
			if !before[id] {
				moved++
			}
		}
	}
	for id, n := range sharing {
		if n < 12 || n > 60 {
			t.Errorf("server %d is drawn from by %d nodes, 32 would be even", id, n)
		}
	}
	if len(sharing) < servers || moved > 60 {
		t.Errorf("%d of %d servers are drawn from; one that left moved %d connections, 32 would be even", len(sharing), servers, moved)
	}
}

func TestAFewNodesDrawFromAll(t *testing.T) {
	b := fleet(t, 19, func(s *Settings) { s.NodeIndex, s.NodeCount = 2, 4 })
	if n := len(subsetIDs(b.Balancer)); n != 19 {
		t.Errorf("one of four nodes draws from %d of 19 servers", n)
	}
}

func many(s *Settings) {
	s.NodeIndex, s.NodeCount, s.StreamsPerConnection, s.MayGossip = 3, 300, 100, true
}

func TestSubsetWidensPastUnfitServersAndWithTraffic(t *testing.T) {
	b := fleet(t, 40, many)
	before := subsetIDs(b.Balancer)
	for id := range before {
		b.endpoints.byID[id].health[0].ejected = true
	}
	if b.tick(); len(subsetIDs(b.Balancer)) != minSubsetSize+minSubsetSize/2+1 {
		t.Errorf("with %d servers unfit a node draws from %d", minSubsetSize, len(subsetIDs(b.Balancer)))
	}
	for id := range before {
		b.endpoints.byID[id].health[0].ejected = false
	}
	b.tick()
	for range 60 { // within a second
		b.arrive(0)
	}
	if n := len(subsetIDs(b.Balancer)); n < 8 {
		t.Errorf("asked for 60 tasks in a moment a node draws from %d servers", n)
	}
}

// Guards against servers that leave one class unanswered and serve the others as usual.
func TestOneCategoryUnansweredStrikesItAlone(t *testing.T) {
	b := fleet(t, 1, nil)
	b.serve(60, prompt)
	b.tick()
	b.arrive(2)
	woken, silent := b.cookies[len(b.cookies)-1], b.endpoints.all[0]
	b.now += 100 * ms
	if b.TimerFired(b.now, woken); silent.health[2].ejected {
		t.Error("struck though nothing else was answered since")
	}
	b.serve(1, prompt)
	if b.TimerFired(b.now, woken); !silent.health[2].ejected || silent.health[0].failureRate > 0.01 {
		t.Errorf("standing by category: %+v", silent.health)
	}
}

// Guards against an idempotent request waiting for a silent server to its end where no hedged request is allowed.
func TestOverdueTaskIsRecalledWhereNoCopiesAre(t *testing.T) {
	b := fleet(t, 3, func(s *Settings) { s.MayHedge = false })
	b.serve(60, prompt)
	b.tick()
	id := b.arrive(0)
	first := b.last()
	b.now += 200 * ms
	b.TimerFired(b.now, b.cookies[len(b.cookies)-1])
	if b.recalled != 1 {
		t.Fatalf("%d recalled", b.recalled)
	}
	if b.end(id, 0, OutcomeCanceled, 200*ms); b.last() == first || b.requests.byID[id].inFlight != 1 {
		t.Error("the recalled task did not go to another server")
	}
	exclusive := b.requests.byID[b.arrive(2)]
	b.now += 200 * ms
	b.attemptOverdue(b.now, exclusive, 0)
	if b.recalled != 1 {
		t.Error("an exclusive task was recalled")
	}
}

// Guards against heavy requests being begun again and again: a server that has answered others meanwhile is at work.
func TestAHeavyTaskIsLeftWhereItIs(t *testing.T) {
	for _, answers := range []bool{false, true} {
		b := fleet(t, 1, func(s *Settings) { s.MayHedge = false })
		b.serve(40, prompt)
		id := b.arrive(0)
		cookie := b.cookies[len(b.cookies)-1]
		if answers {
			other := b.arrive(0)
			b.now += 50 * ms
			b.end(other, 0, OutcomeSucceeded, 50*ms)
		}
		b.now += 300 * ms
		b.recalled = 0
		if b.TimerFired(b.now, cookie); b.recalled > 0 == answers {
			t.Errorf("its server answers others: %t; recalled %d times", answers, b.recalled)
		}
		b.ClientGone(b.now, id)
	}
}

// Guards against connections that something between drops unseen: what is sent on one is lost, and the server blamed.
func TestConnectionsThatDieIdleAreClosedBeforeUse(t *testing.T) {
	b := fleet(t, 4, func(s *Settings) { s.StreamsPerConnection = 100 })
	b.serve(40, prompt)
	for n := 0; n < 20 && b.idleConns.trusted.Limit > 1e12; n++ {
		b.now += 2e9
		id := b.arrive(0)
		s := b.endpoints.byID[b.last()]
		b.now += ms
		if b.requests.byID[id].attempts[0].idleTime == 0 { // its connection is new
			b.end(id, 0, OutcomeSucceeded, ms)
			continue
		}
		if b.end(id, 0, OutcomeReset, ms); s.health[0].failureRate > 0.01 {
			t.Errorf("a reset after idleness counts against the server: %+v", s.health[0])
		}
		b.end(id, 1, OutcomeSucceeded, 40*ms)
	}
	if b.idleConns.trusted.Limit > 8e9 {
		t.Fatalf("connections idle for %d ms are still trusted", b.idleConns.trusted.Limit/ms)
	}
	b.released = nil
	for range 8 {
		b.now += 9e9
		b.serve(1, prompt)
	}
	if len(b.released) < 4 {
		t.Errorf("of connections idle for 9 s and more %d were closed before use", len(b.released))
	}
}

// Guards against a node that comes by each server seldom: it lost a request to each before it learned that they die idle.
func TestSilenceOnIdleConnectionsIsASignBeforeItEnds(t *testing.T) {
	for _, most := range []int{1, 2} { // out at once at a server
		b := fleet(t, 6, func(s *Settings) { s.StreamsPerConnection = 1 })
		b.serve(60, prompt)
		for _, s := range b.endpoints.byID {
			s.maxInFlight = most
		}
		for range 3 {
			b.now += 2e9
			b.arrive(0)
			b.now += 400 * ms
			b.TimerFired(b.now, b.cookies[len(b.cookies)-1])
		}
		if learned := b.idleConns.trusted.Limit < 1e12; learned != (most == 1) {
			t.Errorf("%d out at once at a server, where a connection carries one: idle time trusted %d ms", most, b.idleConns.trusted.Limit/ms)
		}
	}
}

// Guards against closing what stands open while new connections are slow or can't be had: the belief ends there.
func TestIdleConnectionsAreKeptWhereNoNewOneCanBeHad(t *testing.T) {
	b := fleet(t, 3, func(s *Settings) { s.StreamsPerConnection = 1 })
	b.serve(30, prompt)
	b.confirmDeadConnection(1e9)
	b.now += 5e9
	id := b.arrive(0)
	if len(b.released) == 0 {
		t.Fatal("a connection idle for 5 s was used")
	}
	b.end(id, 0, OutcomeConnectFailed, 75*ms)
	if b.idleConns.trusted.Limit < 1e12 {
		t.Errorf("idle time trusted %d ms, and no new connection can be had", b.idleConns.trusted.Limit/ms)
	}
}

// Guards against a slow answer or two closing connections everywhere: it takes signs from one node in 25.
func TestIdleNewsNeedManyVoices(t *testing.T) {
	b := fleet(t, 4, many)
	news := GossipMessage{IdleTime: 1200 * ms}
	for n := range 40 {
		if trusted := b.idleConns.trusted.Limit > 1e12; trusted != (n < 12) {
			t.Fatalf("after %d voices of 300 connections are trusted: %v", n, trusted)
		}
		b.GossipReceived(b.now, news)
	}
	if b.idleConns.trusted.Limit != 900*ms {
		t.Errorf("trusted for %d ms", b.idleConns.trusted.Limit/ms)
	}
	for range 200 {
		b.now += Time(recalculationInterval)
		b.tick()
	}
	if b.idleConns.trusted.Limit < 5e9 {
		t.Errorf("200 s later connections are trusted for %d ms only", b.idleConns.trusted.Limit/ms)
	}
}

func TestFailNewsAreHeardUnlessSeenOtherwise(t *testing.T) {
	b := fleet(t, 12, many)
	b.serve(60, prompt)
	var seen, unseen *endpoint
	for _, s := range b.endpoints.all {
		if s.inSubset && s.health[0].samples > 1 {
			seen = s
		} else if !s.inSubset {
			unseen = s
		}
	}
	tell := func(s *endpoint) {
		b.GossipReceived(b.now, GossipMessage{Endpoint: s.ID})
	}
	unseen.State = StateDraining
	for range 3 {
		tell(unseen)
	}
	if unseen.State, unseen.health[0].gossipVotes = StateActive, 0; unseen.health[0].ejected {
		t.Error("news of a server that drains were heeded")
	}
	tell(unseen)
	tell(unseen)
	if unseen.health[0].ejected {
		t.Error("two voices put a server out")
	}
	if tell(unseen); !unseen.health[0].ejected || unseen.health[1].ejected {
		t.Errorf("after three voices %+v", unseen.health)
	}
	for range 20 {
		tell(seen)
	}
	if seen.health[0].ejected {
		t.Error("hearsay overruled what was seen")
	}
}

func TestNonsenseNewsChangeNothing(t *testing.T) {
	b := fleet(t, 4, many)
	for _, news := range []GossipMessage{{}, {Endpoint: 77}, {Endpoint: 1, Class: 3}, {Endpoint: 1, Class: -1}, {IdleTime: -5}, {IdleTime: ms}} {
		for range 100 {
			b.GossipReceived(b.now, news)
		}
	}
	for _, s := range b.endpoints.all {
		for _, st := range s.health {
			if st.ejected || b.idleConns.trusted.Limit < 1e12 {
				t.Fatalf("idle %d, standing %+v", b.idleConns.trusted.Limit, st)
			}
		}
	}
}

// A node tells what it saw, and no more often than once a second.
func TestErrorsAreToldOnceASecond(t *testing.T) {
	b := fleet(t, 4, many)
	b.serve(20, prompt)
	bad := EndpointID(0)
	b.serve(40, func(s EndpointID) (Outcome, time.Duration) {
		if bad == 0 {
			bad = s
		}
		if s == bad {
			return OutcomeError, ms
		}
		return OutcomeSucceeded, ms
	})
	if len(b.told) != 1 || b.told[0] != (GossipMessage{Endpoint: bad}) {
		t.Errorf("told %v", b.told)
	}
}

// Guards against a spell that ends only once the servers have rested: in a long jam a node gives up all requests for a
// while, once; a short one, as a burst makes, changes nothing.
func TestALongJamIsGivenARestOnce(t *testing.T) {
	b := fleet(t, 4, func(s *Settings) { s.ReportsUtilization = true })
	b.serve(40, prompt)
	for range 40 { // slow all the time, but nothing is rejected
		b.estimator.Fleet.A, b.estimator.Fleet.Weight = 400, 40
		b.now += Time(recalculationInterval)
		if b.tick(); b.overload.restUntil > 0 {
			t.Fatal("a rest though nothing was turned away")
		}
	}
	rests := 0
	for second := range 40 {
		b.estimator.Fleet.A, b.estimator.Fleet.Weight, b.estimator.classes[0].SuccessRate = 400, 40, 0.4
		b.now += Time(recalculationInterval)
		b.tick()
		if b.overload.restUntil > b.now {
			rests++
			if second < overloadedSecondsToRest-1 {
				t.Fatalf("a rest after %d s of jam", second+1)
			}
			if b.declined = 0; b.arrive(0) == "" || b.declined != 1 {
				t.Error("a task was taken while the fleet rests")
			}
		}
	}
	if rests != int(restDuration/recalculationInterval) {
		t.Errorf("%d s of rest in one jam, want %d", rests, restDuration/recalculationInterval)
	}
}

// Guards against servers that reset requests for reasons of their own being taken for connections that die idle: closing
// and opening connections all the time cost an incident half of its service.
func TestResetsAmongLongLivedConnectionsAreNoSign(t *testing.T) {
	b := fleet(t, 1, func(s *Settings) { s.StreamsPerConnection = 100 })
	b.serve(40, prompt)
	for n := range 60 {
		b.now += 2e9
		id, o := b.arrive(0), OutcomeSucceeded
		if n%12 == 11 {
			o = OutcomeReset
		}
		b.now += ms
		b.end(id, 0, o, ms)
	}
	if b.idleConns.trusted.Limit < 1e12 {
		t.Errorf("one reset in twelve, and connections idle for %d ms are no longer trusted", b.idleConns.trusted.Limit/ms)
	}
}
