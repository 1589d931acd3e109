package policy

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// A small world of servers, clients and nodes in which a trouble comes and goes. A server works on so many requests at once and
// keeps others waiting; a client that is rejected asks again at once, twice at most.
const (
	places, room        = 8, 40
	workMean            = 20 * ms
	troubleAt, endsAt   = 4, 9 // seconds
	lastsFor, coldPlace = 24, 7
	softAt              = 250 * ms
)

type happening struct {
	at   Time
	what func()
}

type agenda []happening

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

type job struct {
	work time.Duration
	done func()
	gone bool
}

type shop struct {
	busy  int
	queue []*job
	sent  [lastsFor]time.Duration // work that reached it, by second
}

type smallWorld struct {
	*rand.Rand
	now         Time
	agenda      agenda
	shops       []*shop
	nodes       []*worldNode
	waits       func(category, customer int) time.Duration // what the trouble adds
	asked, good [lastsFor]float64                          // by the second in which a client first asked
}

func (w *smallWorld) in(after time.Duration, what func()) {
	heap.Push(&w.agenda, happening{w.now.Add(after), what})
}

func (w *smallWorld) second(at Time) int { return int((at - worldStart) / 1e9) }

const worldStart = Time(1e12)

func (w *smallWorld) begin(s *shop, j *job) {
	s.busy++
	w.in(j.work, func() {
		if s.busy--; !j.gone {
			j.done()
		}
		for len(s.queue) > 0 && s.busy < places {
			next := s.queue[0]
			if s.queue = s.queue[1:]; !next.gone {
				w.begin(s, next)
			}
		}
	})
}

// worldNode is the host of one instance.
type worldNode struct {
	*smallWorld
	p     *Balancer
	asked map[RequestID]*asking
}

type asking struct {
	category, customer, tries int
	since, hardLimit          Time
	handOffs                  []*job
	sentAt                    []Time
	to                        []EndpointID
}

func (n *worldNode) ask(a *asking) {
	id := RequestID(fmt.Sprint(n.Uint64()))
	a.hardLimit, a.tries = n.now+1000*ms, a.tries+1
	a.handOffs, a.sentAt, a.to = nil, nil, nil
	n.asked[id] = a
	n.p.RequestArrived(n.now, Request{ID: id, Class: a.category, Tenant: a.customer, Deadline: a.hardLimit, ClientRetry: a.tries > 1})
}

func (n *worldNode) end(id RequestID, number int, o Outcome) {
	a := n.asked[id]
	final := a == nil
	if o == OutcomeSucceeded && !final {
		if delete(n.asked, id); n.now.Sub(a.since) <= softAt {
			n.good[n.second(a.since)]++
		}
		final = true
	}
	t := n.p.requests.byID[id]
	if t == nil || number >= len(t.attempts) {
		return
	}
	h := t.attempts[number]
	n.p.AttemptEnded(n.now, AttemptResult{
		Request: id, Attempt: number, Endpoint: h.endpoint.ID, Outcome: o, Elapsed: n.now.Sub(h.sentAt),
		RequestDone: final, Report: LoadReport{-1, -1, -1},
	})
}

func (n *worldNode) Send(id RequestID, to EndpointID, timeOut time.Duration) {
	a, s := n.asked[id], n.shops[to-1]
	number, j := len(a.handOffs), &job{work: time.Duration(n.ExpFloat64() * float64(workMean))}
	s.sent[n.second(n.now)] += j.work
	if at := n.second(n.now); at >= troubleAt && at < endsAt {
		j.work += n.waits(a.category, a.customer)
	}
	a.handOffs = append(a.handOffs, j)
	j.done = func() { j.gone = true; n.end(id, number, OutcomeSucceeded) }
	n.in(timeOut, func() {
		if !j.gone {
			j.gone = true
			n.end(id, number, OutcomeTimedOut)
		}
	})
	switch {
	case s.busy < places:
		n.begin(s, j)
	case len(s.queue) < room:
		s.queue = append(s.queue, j)
	default:
		j.gone = true
		n.in(ms, func() { n.end(id, number, OutcomeRejected) })
	}
}

func (n *worldNode) Cancel(id RequestID, number int) {
	if a := n.asked[id]; a != nil && !a.handOffs[number].gone {
		a.handOffs[number].gone = true
		n.in(0, func() { n.end(id, number, OutcomeCanceled) })
	}
}

func (n *worldNode) Reject(id RequestID, _ time.Duration) {
	a := n.asked[id]
	if delete(n.asked, id); a.tries < 3 {
		n.in(ms, func() { n.ask(a) })
	}
}

func (n *worldNode) Fail(id RequestID) { delete(n.asked, id) }
func (n *worldNode) SetTimer(at Time, cookie uint64) {
	n.in(max(at.Sub(n.now), 1), func() { n.p.TimerFired(n.now, cookie) })
}
func (n *worldNode) WatchEndpoints()        {}
func (n *worldNode) CloseIdle(EndpointID)   {}
func (n *worldNode) CheckHealth(EndpointID) {}
func (n *worldNode) Gossip(GossipMessage)   {}

// arrive has requests come to a node, a second kind of either sort among four.
func (n *worldNode) arrive(every time.Duration) {
	a := &asking{since: n.now, category: n.IntN(4) / 3, customer: n.IntN(4) / 3}
	n.smallWorld.asked[n.second(n.now)]++
	n.ask(a)
	n.in(time.Duration(n.ExpFloat64()*float64(every)), func() { n.arrive(every) })
}

func playReturn(nodes int, waits func(category, customer int) time.Duration) *smallWorld {
	const servers, rate = 12, 1500
	w := &smallWorld{Rand: rand.New(rand.NewPCG(7, uint64(nodes))), now: worldStart, waits: waits}
	var list []EndpointInfo
	for id := range servers {
		w.shops = append(w.shops, &shop{})
		list = append(list, EndpointInfo{ID: EndpointID(id + 1), Pod: id / 3, Weight: 1})
	}
	for at := range nodes {
		n := &worldNode{smallWorld: w, asked: map[RequestID]*asking{}}
		n.p = New(Settings{
			Classes:      []Class{{LatencyObjective: softAt, Idempotency: Idempotent, PriorityWeight: 1}, {LatencyObjective: softAt, Idempotency: Idempotent, PriorityWeight: 1}},
			TenantShares: []float64{0.75, 0.25}, MaxAttempts: 3, MayCancel: true, MaySetRetryAfter: true, SlowStartMinCapacity: 0.2, SlowStartWindow: 2e10, NodeIndex: at,
			NodeCount: nodes, ClockResolution: 2 * ms,
		}, uint64(at), n)
		w.nodes = append(w.nodes, n)
		n.p.EndpointsUpdated(w.now, list, true)
		w.in(time.Duration(w.Float64()*1e9), func() { n.arrive(time.Duration(nodes) * 1e9 / rate) })
	}
	w.in(endsAt*1e9, func() { // one starts anew as the trouble ends
		list[coldPlace-1].StartedAt = w.now
		for _, n := range w.nodes {
			n.p.EndpointsUpdated(w.now, list[coldPlace-1:coldPlace], false)
		}
	})
	for len(w.agenda) > 0 && w.agenda[0].at < worldStart+lastsFor*1e9 {
		next := heap.Pop(&w.agenda).(happening)
		w.now = next.at
		next.what()
	}
	return w
}

// Guards against beliefs that outlive their cause, and against the trouble of some being read as that of all: requests were
// rejected by nine in ten for as long as a day lasted, for a class that had waited and no longer did.
func TestServiceIsBackAfterATrouble(t *testing.T) {
	for name, c := range map[string]struct {
		nodes, within int // seconds after its end
		others        float64
		waits         func(category, customer int) time.Duration
	}{
		"a category, one node":        {1, 2, 0.7, func(c, _ int) time.Duration { return time.Duration(c) * 600 * ms }},
		"a category, 100 nodes":       {100, 4, 0.4, func(c, _ int) time.Duration { return time.Duration(c) * 600 * ms }},
		"a customer, one node":        {1, 2, 0.7, func(_, u int) time.Duration { return time.Duration(u) * 600 * ms }},
		"a customer, 100 nodes":       {100, 4, 0.4, func(_, u int) time.Duration { return time.Duration(u) * 600 * ms }},
		"every server's, one node":    {1, 3, 0, func(int, int) time.Duration { return 600 * ms }},
		"every server's, 100 nodes":   {100, 5, 0, func(int, int) time.Duration { return 600 * ms }},
		"most of the work, one node":  {1, 2, 0.08, func(c, _ int) time.Duration { return time.Duration(1-c) * 600 * ms }},
		"most of the work, 100 nodes": {100, 4, 0.12, func(c, _ int) time.Duration { return time.Duration(1-c) * 600 * ms }},
	} {
		t.Run(name, func(t *testing.T) {
			w := playReturn(c.nodes, c.waits)
			part := func(from, to int) float64 {
				good, asked := 0.0, 0.0
				for s := from; s < to; s++ {
					good, asked = good+w.good[s], asked+w.asked[s]
				}
				return good / asked
			}
			before, during, after := part(1, troubleAt), part(troubleAt+2, endsAt), part(endsAt+c.within, lastsFor-2)
			t.Logf(name+": in time %.3f before, %.3f in it, %.3f from %d s after it; by second %.2f", before, during, after, c.within,
				func() (by []float64) {
					for s := range lastsFor - 2 {
						by = append(by, part(s, s+1))
					}
					return by
				}())
			if after < before-0.02 {
				t.Errorf("in time %.3f before, %.3f from %d s after its end", before, after, c.within)
			}
			if during < c.others {
				t.Errorf("in time %.3f while it lasts, at least %.2f are not struck", during, c.others)
			}
			for s := endsAt; s < lastsFor; s++ {
				can := places * 1e9 * (0.2 + 0.8*min(1, float64(s-endsAt)/20))
				if sent := float64(w.shops[coldPlace-1].sent[s]); sent > 3*can {
					t.Errorf("second %d: a cold server is sent %.1f times what it can do", s, sent/can)
				}
			}
		})
	}
}
