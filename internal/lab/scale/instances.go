package scale

import (
	"context"
	"runtime"

	"fawnglade/policy"
)

// Probes of the decisions by number of tenants, classes and services.

const (
	fixedEndpoints   = 1200 // in probes that vary another size
	serviceEndpoints = 24   // endpoints of each service
)

func tenantsProbe() Probe {
	return Probe{
		Name: "tenants", SizeUnit: "tenants", MinSize: 1,
		Sizes: []float64{980, 9800, 98000, 980000}, QuickSizes: []float64{100, 300, 500, 1000},
		DesignSize: func(d *Design) float64 { return d.Tenants },
		Need:       func(n float64) Need { return Need{Bytes: 2000*n + 20e6} },
		Figures: []Figure{
			{
				Name: "memory", Description: "memory of one instance, before 1,200 servers",
				Unit: "bytes", Role: "node", Method: methodHeap, Limit: limitMemory,
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
		},
		Measure: func(_ context.Context, e *Env, size float64) (Measurement, error) {
			return measureInstance(e, 3, int(size)), nil
		},
	}
}

func classesProbe() Probe {
	return Probe{
		Name: "classes", SizeUnit: "classes", MinSize: 1,
		Sizes: []float64{3, 10, 30, 100, 300, 1000}, QuickSizes: []float64{2, 5, 10, 20},
		Substitute: "a node has no notion of a route: a class stands for one",
		DesignSize: func(d *Design) float64 { return d.Routes },
		Need:       func(n float64) Need { return Need{Bytes: 200*n*fixedEndpoints + 20e6} },
		Figures: []Figure{
			{
				Name: "memory", Description: "memory of one instance, before 1,200 servers",
				Unit: "bytes", Role: "node", Method: methodHeap, Limit: limitMemory,
			},
			{
				Name: "tick", Description: "the tick of each second",
				Unit: "% of a core", Role: "node", Method: methodProcessor, Limit: limitCores,
			},
			{
				Name: "request99", Description: "one request, 99 in 100",
				Unit: "us", Role: "node", Method: methodThread, Limit: limitAdded,
			},
		},
		Measure: func(_ context.Context, e *Env, size float64) (Measurement, error) {
			return measureInstance(e, int(size), 0), nil
		},
	}
}

// measureInstance measures one instance with the given numbers of classes and tenants.
func measureInstance(e *Env, classes, tenants int) Measurement {
	v := Values{}
	before := heapInUse()
	in := newInstance(classes, tenants, 1, endpointInfos(pick(e, fixedEndpoints, 100)))
	v["memory"] = heapInUse() - before
	v["tick"] = in.tickCost(3, pick(e, 0.3, 0.01))
	costs := in.requestCosts(&e.Design, pick(e, 5000, 500), 8)
	v["request"], v["request99"] = costs.mean(), costs.quantile(0.99)
	runtime.KeepAlive(in)
	return Measurement{Values: v}
}

func servicesProbe() Probe {
	return Probe{
		Name: "services", SizeUnit: "services", MinSize: 1,
		Sizes: []float64{50, 160, 500, 1600, 5000}, QuickSizes: []float64{5, 10, 20, 50},
		Substitute: "a node serves one service: an instance of the decisions with 24 servers stands for one",
		DesignSize: func(d *Design) float64 { return d.Services },
		Need:       func(n float64) Need { return Need{Bytes: 30e3 * n} },
		Figures: []Figure{
			{
				Name: "memory", Description: "memory of so many instances",
				Unit: "bytes", Role: "node", Method: methodHeap, Limit: limitMemory,
			},
			{
				Name: "tick", Description: "their ticks of each second",
				Unit: "% of a core", Role: "node", Method: methodProcessor, Limit: limitCores,
			},
			{
				Name: "change", Description: "one change of one server of one of them",
				Unit: "ms", Role: "node", Method: methodProcessor, Limit: limitChange,
			},
		},
		Measure: measureServices,
	}
}

func measureServices(_ context.Context, e *Env, size float64) (Measurement, error) {
	seconds := pick(e, 0.3, 0.01)
	v := Values{}
	services := make([]*policy.Balancer, int(size))
	list := endpointInfos(serviceEndpoints * len(services))
	before := heapInUse()
	now := startTime
	for i := range services {
		services[i] = policy.New(balancerSettings(decisionsClasses, 0), uint64(i), &discardEffects{})
		services[i].EndpointsUpdated(now, list[i*serviceEndpoints:(i+1)*serviceEndpoints], true)
	}
	v["memory"] = heapInUse() - before
	v["tick"] = 100 * meanCPUTime(3, seconds, func(int) {
		now += tickInterval
		for _, balancer := range services {
			balancer.TimerFired(now, tickTimer)
		}
	})
	v["change"] = 1e3 * meanCPUTime(200, seconds, func(i int) {
		now += changeInterval
		service := i * scatter % len(services)
		changed := list[service*serviceEndpoints+i%serviceEndpoints]
		changed.StartedAt = now
		services[service].EndpointsUpdated(now, []policy.EndpointInfo{changed}, false)
	})
	runtime.KeepAlive(list)
	return Measurement{Values: v}, nil
}
