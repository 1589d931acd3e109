package scale

// This file owns the costs of the decisions alone, without sockets. It must never count what the host around them costs.

import (
	"context"
	"fawnglade/policy"
	"fmt"
	"runtime"
	"slices"
	"time"
)

const (
	ms         = 1_000_000   // nanoseconds
	tickCookie = 1           // of the decisions' own clock, each second
	longAgo    = int64(1e12) // a moment, in nanoseconds
)

// host notes the last attempt, and does nothing.
type host struct {
	server policy.EndpointID
	sent   bool
}

func (h *host) Send(_ policy.RequestID, s policy.EndpointID, _ time.Duration) {
	h.server, h.sent = s, true
}
func (*host) Cancel(policy.RequestID, int)           {}
func (*host) Reject(policy.RequestID, time.Duration) {}
func (*host) Fail(policy.RequestID)                  {}
func (*host) SetTimer(policy.Time, uint64)           {}
func (*host) WatchEndpoints()                        {}
func (*host) CloseIdle(policy.EndpointID)            {}
func (*host) CheckHealth(policy.EndpointID)          {}
func (*host) Gossip(policy.GossipMessage)            {}

func listOf(n int) []policy.EndpointInfo {
	list := make([]policy.EndpointInfo, n)
	for i := range list {
		list[i] = policy.EndpointInfo{ID: policy.EndpointID(uint32(i+1) * 2654435761), Zone: i % 31, Pod: i / 40, Weight: 1}
	}
	return list
}

// settingsOf is one of many nodes with a number of classes and tenants.
func settingsOf(classes, tenants int) policy.Settings {
	s := policy.Settings{NodeCount: int(TheDesign.Nodes), NodeIndex: 17, MayCancel: true, MaxAttempts: 3, StreamsPerConnection: 1, SlowStartWindow: 20e9, SlowStartMinCapacity: 0.2}
	for range classes {
		s.Classes = append(s.Classes, policy.Class{LatencyObjective: 200 * ms})
	}
	for range tenants {
		s.TenantShares = append(s.TenantShares, 1/float64(tenants))
	}
	return s
}

// leastRequests give a quantile of 99 in 100.
const leastRequests = 500

// requests has an instance do requests at a node's part of the peak, 32 out at a time, its tick each second between them, and returns
// the processor time of each request, seconds, in order: so many, or as many as fit into a time, but leastRequests.
func requests(p *policy.Balancer, h *host, d *Design, now policy.Time, n, tenants, classes int, long float64) []float64 {
	type out struct {
		id     policy.RequestID
		server policy.EndpointID
		at     policy.Time
	}
	var ring [32]out
	ids := make([]policy.RequestID, n)
	for i := range ids {
		ids[i] = policy.RequestID(fmt.Sprint("t", i))
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	took, began, apart, tick := make([]float64, 0, n), threadTime(), policy.Time(float64(second)*d.Nodes/d.Requests), now
	for i, id := range ids {
		if i >= leastRequests && threadTime()-began > long {
			break
		}
		if now += apart; now.Sub(tick) >= time.Second {
			tick = now
			p.TimerFired(now, tickCookie)
		}
		r := &ring[i%len(ring)]
		from := threadTime()
		if r.id != "" {
			p.AttemptEnded(now, policy.AttemptResult{
				Request: r.id, Endpoint: r.server, Outcome: policy.OutcomeSucceeded, Elapsed: now.Sub(r.at) + time.Duration(i%7)*ms/4, RequestDone: true,
				Report: policy.LoadReport{Utilization: -1, QueueLength: float64(i % 3), ServiceTime: -1},
			})
		}
		h.sent = false
		customer := -1
		if tenants > 0 {
			customer = i * 7919 % tenants
		}
		p.RequestArrived(now, policy.Request{ID: id, Deadline: now + 600*ms, Class: i % classes, Tenant: max(customer, 0)})
		took = append(took, threadTime()-from)
		if *r = (out{id, h.server, now}); !h.sent {
			r.id = ""
		}
	}
	slices.Sort(took)
	return took
}

func quantile(sorted []float64, part float64) float64 {
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}

const (
	onHeap    = "heap and stacks in use after a collection, less what was there before"
	processor = "processor time of the process, collections among it"
	thread    = "processor time of the thread, each request by itself"
)

func decisionsProbe() Probe {
	return Probe{
		Name: "decisions", Size: "servers", Sizes: []float64{1200, 4000, 12000, 40000, 120000}, Quick: []float64{100, 200, 500, 1000}, Least: 8,
		At:   func(d *Design) float64 { return d.Servers },
		Need: func(n float64) Need { return Need{Bytes: 1500 * n} },
		Figures: []Figure{
			{Name: "memory", What: "memory of one instance", Unit: "bytes", Role: "node", Method: onHeap, Limit: limitBytes},
			{Name: "change", What: "one change of one server", Unit: "ms", Role: "node", Method: processor, Limit: limitChange},
			{Name: "day", What: "an ordinary day's changes of servers, one by one", Unit: "% of a core", Role: "node", Method: "change x their rate", Limit: limitCores},
			{Name: "burst", What: "3,900 changes told at once", Unit: "s", Role: "node", Method: processor, Limit: limitInForce},
			{Name: "singly", What: "3,900 changes told one by one", Unit: "s", Role: "node", Method: "3,900 x change", Limit: limitInForce},
			{Name: "whole", What: "a whole list taken in by a node that holds it", Unit: "s", Role: "node", Method: processor},
			{Name: "tick", What: "the tick of each second", Unit: "% of a core", Role: "node", Method: processor, Limit: limitCores},
			{Name: "request", What: "one request, mean", Unit: "us", Role: "node", Method: thread},
			{Name: "request99", What: "one request, 99 in 100", Unit: "us", Role: "node", Method: thread, Limit: limitAdded},
			{Name: "added99", What: "the same, and the tick's end that the worst in 100 wait for", Unit: "us", Role: "node", Method: "request99 + tick less 10 ms", Limit: limitAdded},
		},
		Measure: func(_ context.Context, e *Env, size float64) (map[string]float64, string, error) {
			n, v := int(size), map[string]float64{}
			long, many := 0.5, 10000
			if e.Quick {
				long, many = 0.01, 2000
			}
			before := inUse()
			h := &host{}
			p := policy.New(settingsOf(3, 0), 1, h)
			now := policy.Time(longAgo)
			p.EndpointsUpdated(now, listOf(n), true)
			v["memory"] = inUse() - before
			list := listOf(n)
			turn := func(i int) policy.EndpointInfo {
				one := list[i/2*7919%n]
				if one.State = policy.StateDraining; i%2 == 1 {
					one.State, one.StartedAt = policy.StateActive, now
				}
				return one
			}
			v["change"] = 1e3 * each(20, long, func(i int) {
				now += ms
				p.EndpointsUpdated(now, []policy.EndpointInfo{turn(i)}, false)
			})
			v["day"] = v["change"] / 1e3 * e.Design.Endpoints() * 100
			v["singly"] = v["change"] / 1e3 * e.Design.ZoneServers
			burst := int(e.Design.ZoneServers)
			v["burst"] = each(2, long/2, func(i int) {
				now += ms
				lines := make([]policy.EndpointInfo, min(burst, n))
				for k := range lines {
					lines[k] = list[k]
					lines[k].State = policy.EndpointState(i % 2 * int(policy.StateDraining))
				}
				p.EndpointsUpdated(now, lines, false)
			})
			v["whole"] = each(2, long/2, func(int) {
				now += ms
				p.EndpointsUpdated(now, list, true)
			})
			v["tick"] = 100 * each(5, long/2, func(int) {
				now += 1000 * ms
				p.TimerFired(now, tickCookie)
			})
			took := requests(p, h, &e.Design, now, many, 0, 3, 4)
			sum := 0.0
			for _, t := range took {
				sum += t
			}
			v["request"], v["request99"] = 1e6*sum/float64(len(took)), 1e6*quantile(took, 0.99)
			// One loop does all: who comes while it ticks waits. Of requests spread evenly over a second the worst in 100 come in the first
			// 10 ms of a tick, or in all of it where it is shorter.
			v["added99"] = v["request99"] + max(1e4*v["tick"]-1e4, 0)
			runtime.KeepAlive(p)
			return v, "", nil
		},
	}
}

const fewServers = 1200

func tenantsProbe() Probe {
	return Probe{
		Name: "tenants", Size: "tenants", Sizes: []float64{980, 9800, 98000, 980000}, Quick: []float64{100, 300, 500, 1000}, Least: 1,
		At:   func(d *Design) float64 { return d.Tenants },
		Need: func(n float64) Need { return Need{Bytes: 2000*n + 20e6} },
		Figures: []Figure{
			{Name: "memory", What: "memory of one instance, before 1,200 servers", Unit: "bytes", Role: "node", Method: onHeap, Limit: limitBytes},
			{Name: "tick", What: "the tick of each second", Unit: "% of a core", Role: "node", Method: processor, Limit: limitCores},
			{Name: "request", What: "one request, mean", Unit: "us", Role: "node", Method: thread},
			{Name: "request99", What: "one request, 99 in 100", Unit: "us", Role: "node", Method: thread, Limit: limitAdded},
		},
		Measure: func(_ context.Context, e *Env, size float64) (map[string]float64, string, error) {
			return instance(e, fewServers, 3, int(size))
		},
	}
}

func classesProbe() Probe {
	return Probe{
		Name: "classes", Size: "classes", Sizes: []float64{3, 10, 30, 100, 300, 1000}, Quick: []float64{2, 5, 10, 20}, Least: 1,
		Missing: "a node has no notion of a route: a class stands for one",
		At:      func(d *Design) float64 { return d.Routes },
		Need:    func(n float64) Need { return Need{Bytes: 200*n*fewServers + 20e6} },
		Figures: []Figure{
			{Name: "memory", What: "memory of one instance, before 1,200 servers", Unit: "bytes", Role: "node", Method: onHeap, Limit: limitBytes},
			{Name: "tick", What: "the tick of each second", Unit: "% of a core", Role: "node", Method: processor, Limit: limitCores},
			{Name: "request99", What: "one request, 99 in 100", Unit: "us", Role: "node", Method: thread, Limit: limitAdded},
		},
		Measure: func(_ context.Context, e *Env, size float64) (map[string]float64, string, error) {
			return instance(e, fewServers, int(size), 0)
		},
	}
}

// instance measures one with classes and tenants.
func instance(e *Env, servers, classes, tenants int) (map[string]float64, string, error) {
	v, long, many := map[string]float64{}, 0.3, 5000
	if e.Quick {
		servers, long, many = 100, 0.01, 500
	}
	before := inUse()
	h := &host{}
	p := policy.New(settingsOf(classes, tenants), 1, h)
	now := policy.Time(longAgo)
	p.EndpointsUpdated(now, listOf(servers), true)
	v["memory"] = inUse() - before
	v["tick"] = 100 * each(3, long, func(int) {
		now += 1000 * ms
		p.TimerFired(now, tickCookie)
	})
	took := requests(p, h, &e.Design, now, many, tenants, classes, 8)
	sum := 0.0
	for _, t := range took {
		sum += t
	}
	v["request"], v["request99"] = 1e6*sum/float64(len(took)), 1e6*quantile(took, 0.99)
	runtime.KeepAlive(p)
	return v, "", nil
}

func servicesProbe() Probe {
	const servers = 24
	return Probe{
		Name: "services", Size: "services", Sizes: []float64{50, 160, 500, 1600, 5000}, Quick: []float64{5, 10, 20, 50}, Least: 1,
		Missing: "a node serves one service: an instance of the decisions with 24 servers stands for one",
		At:      func(d *Design) float64 { return d.Services },
		Need:    func(n float64) Need { return Need{Bytes: 30e3 * n} },
		Figures: []Figure{
			{Name: "memory", What: "memory of so many instances", Unit: "bytes", Role: "node", Method: onHeap, Limit: limitBytes},
			{Name: "tick", What: "their ticks of each second", Unit: "% of a core", Role: "node", Method: processor, Limit: limitCores},
			{Name: "change", What: "one change of one server of one of them", Unit: "ms", Role: "node", Method: processor, Limit: limitChange},
		},
		Measure: func(_ context.Context, e *Env, size float64) (map[string]float64, string, error) {
			v, long := map[string]float64{}, 0.3
			if e.Quick {
				long = 0.01
			}
			all := make([]*policy.Balancer, int(size))
			list := listOf(servers * len(all))
			before := inUse()
			now := policy.Time(longAgo)
			for i := range all {
				all[i] = policy.New(settingsOf(3, 0), uint64(i), &host{})
				all[i].EndpointsUpdated(now, list[i*servers:(i+1)*servers], true)
			}
			v["memory"] = inUse() - before
			v["tick"] = 100 * each(3, long, func(int) {
				now += 1000 * ms
				for _, p := range all {
					p.TimerFired(now, tickCookie)
				}
			})
			v["change"] = 1e3 * each(200, long, func(i int) {
				now += ms
				which := i * 7919 % len(all)
				one := list[which*servers+i%servers]
				one.StartedAt = now
				all[which].EndpointsUpdated(now, []policy.EndpointInfo{one}, false)
			})
			runtime.KeepAlive(list)
			return v, "", nil
		},
	}
}
