package scale

import (
	"context"
	"runtime"

	"fawnglade/policy"
)

// Methods of measurement.
const (
	methodHeap      = "heap and stacks in use after a collection, less what was there before"
	methodProcessor = "processor time of the process, collections among it"
	methodThread    = "processor time of the thread, each request by itself"
)

const decisionsClasses = 3

func decisionsProbe() Probe {
	return Probe{
		Name: "decisions", SizeUnit: "servers", MinSize: 8,
		Sizes: []float64{1200, 4000, 12000, 40000, 120000}, QuickSizes: []float64{100, 200, 500, 1000},
		DesignSize: func(d *Design) float64 { return d.Endpoints },
		Need:       func(n float64) Need { return Need{Bytes: 1500 * n} },
		Figures: []Figure{
			{
				Name: "memory", Description: "memory of one instance",
				Unit: "bytes", Role: "node", Method: methodHeap, Limit: limitMemory,
			},
			{
				Name: "change", Description: "one change of one server",
				Unit: "ms", Role: "node", Method: methodProcessor, Limit: limitChange,
			},
			{
				Name: "day", Description: "an ordinary day's changes of servers, one by one",
				Unit: "% of a core", Role: "node", Method: "change x their rate", Limit: limitCores,
			},
			{
				Name: "burst", Description: "3,900 changes told at once",
				Unit: "s", Role: "node", Method: methodProcessor, Limit: limitPropagation,
			},
			{
				Name: "singly", Description: "3,900 changes told one by one",
				Unit: "s", Role: "node", Method: "3,900 x change", Limit: limitPropagation,
			},
			{
				Name: "whole", Description: "a whole list taken in by a node that holds it",
				Unit: "s", Role: "node", Method: methodProcessor,
			},
			{
				Name: "tick", Description: "the tick of each second",
				Unit: "% of a core", Role: "node", Method: methodProcessor, Limit: limitCores,
			},
			{Name: "request", Description: "one request, mean", Unit: "us", Role: "node", Method: methodThread},
			{
				Name: "request99", Description: "one request, 99 in 100",
				Unit: "us", Role: "node", Method: methodThread, Limit: limitAdded,
			},
			{
				Name: "added99", Description: "the same, and the tick's end that the worst in 100 wait for",
				Unit: "us", Role: "node", Method: "request99 + tick less 10 ms", Limit: limitAdded,
			},
		},
		Measure: measureDecisions,
	}
}

func measureDecisions(_ context.Context, e *Env, size float64) (Measurement, error) {
	n := int(size)
	seconds := pick(e, 0.5, 0.01)
	v := Values{}
	before := heapInUse()
	in := newInstance(decisionsClasses, 0, 1, endpointInfos(n))
	v["memory"] = heapInUse() - before

	list := endpointInfos(n)
	v["change"] = 1e3 * meanCPUTime(20, seconds, func(i int) { in.changeOne(list, i) })
	v["day"] = v["change"] / 1e3 * e.Design.EndpointChangesPerSecond() * 100
	v["singly"] = v["change"] / 1e3 * e.Design.ZoneEndpoints
	burst := min(int(e.Design.ZoneEndpoints), n)
	v["burst"] = meanCPUTime(2, seconds/2, func(i int) { in.changeMany(list[:burst], i) })
	v["whole"] = meanCPUTime(2, seconds/2, func(int) {
		in.now += changeInterval
		in.balancer.EndpointsUpdated(in.now, list, true)
	})
	v["tick"] = in.tickCost(5, seconds/2)
	costs := in.requestCosts(&e.Design, pick(e, 10000, 2000), 4)
	v["request"], v["request99"] = costs.mean(), costs.quantile(0.99)
	// The node has one event loop, so a request that arrives during a tick waits for its end. Of requests spread evenly
	// over a second, the 1% that wait longest arrive in the first 10 ms of the tick, or during all of it if it is
	// shorter.
	v["added99"] = v["request99"] + max(1e4*v["tick"]-1e4, 0)
	runtime.KeepAlive(in)
	return Measurement{Values: v}, nil
}

// changeOne drains an endpoint if i is even, and restarts the same endpoint if i is odd.
func (in *instance) changeOne(list []policy.EndpointInfo, i int) {
	in.now += changeInterval
	changed := list[i/2*scatter%len(list)]
	if i%2 == 0 {
		changed.State = policy.StateDraining
	} else {
		changed.State = policy.StateActive
		changed.StartedAt = in.now
	}
	in.balancer.EndpointsUpdated(in.now, []policy.EndpointInfo{changed}, false)
}

// changeMany changes the state of endpoints in one update: to active if i is even, to draining if it is odd.
func (in *instance) changeMany(list []policy.EndpointInfo, i int) {
	in.now += changeInterval
	update := make([]policy.EndpointInfo, len(list))
	for k := range update {
		update[k] = list[k]
		update[k].State = policy.EndpointState(i % 2 * int(policy.StateDraining))
	}
	in.balancer.EndpointsUpdated(in.now, update, false)
}
