package scale

// This file owns the costs of distribution: origin, relay and subscriber as they are, one after the other in this process and in
// virtual time. It must never count a part's cost as another's.

import (
	"context"
	"fawnglade/internal/distribution"
	"fmt"
	"runtime"
)

const (
	regions      = 10
	ofAService   = 24 // endpoints of a service in a region
	scopesOfNode = 20 // that a node serves
	mostPump     = 1 << 20
)

func scopeOf(i int) string {
	return fmt.Sprintf("r%d/s%04d", i/ofAService%regions, i/ofAService/regions)
}

// maker makes the record of a number as it is after a number of turns: another with each.
type maker func(i, turn int) distribution.Record

// endpointOf serves on even turns and drains on odd ones; its body is discovery's own form.
func endpointOf(i, turn int) distribution.Record {
	r := distribution.Record{Scope: scopeOf(i), Key: fmt.Sprintf("endpoint/srv-%06d.eu1", i), Class: distribution.ClassEndpoint}
	if r.Body = entryText(nil, i, "up", int64(turn)); turn%2 == 1 {
		r.Class, r.Body = distribution.ClassWithdrawal, entryText(nil, i, "draining", int64(turn))
	}
	return r
}

// routeOf and tenantOf are configuration of the length that such has; nothing reads them yet.
func routeOf(i, turn int) distribution.Record {
	return distribution.Record{Scope: scopeOf(i), Key: fmt.Sprintf("route/%06d", i), Class: distribution.ClassConfiguration, Body: fmt.Appendf(nil,
		`{"route":"r-%06d","host":"www-%06d.example","path":"/v1/orders/%06d/","service":"s%04d","class":"view","repeat":"safe","deadline_ms":2000,"objective_ms":400,"tries":3,"turn":%d}`,
		i, i%20000, i, i%5000, turn)}
}

func tenantOf(i, turn int) distribution.Record {
	return distribution.Record{
		Scope: fmt.Sprintf("r%d/tenants", i%regions), Key: fmt.Sprintf("tenant/%06d", i), Class: distribution.ClassConfiguration,
		Body: fmt.Appendf(nil, `{"tenant":"t-%06d","portion":0.000001,"turn":%d}`, i, turn),
	}
}

func records(n int, of maker) []distribution.Record {
	out := make([]distribution.Record, n)
	for i := range out {
		out[i] = of(i, 0)
	}
	return out
}

// taker is a relay or a subscriber below another.
type taker func(now int64, frame []byte) error

// pump hands all frames that a relay has for one subscriber to it, and returns their number and bytes.
func pump(now int64, r *distribution.Relay, id int, take taker) (frames, bytes float64, err error) {
	for range mostPump {
		frame, _ := r.Next(now, id)
		if frame == nil {
			return frames, bytes, nil
		}
		frames, bytes = frames+1, bytes+float64(len(frame))+4
		if err := take(now, frame); err != nil {
			return frames, bytes, err
		}
	}
	return frames, bytes, fmt.Errorf("a relay that goes on for over %d frames", mostPump)
}

func everything() []distribution.Selector {
	return []distribution.Selector{{Scope: "", Prefix: true}}
}

func endpointsProbe() Probe {
	return recordsProbe("endpoints", "endpoint", []float64{1200, 4000, 12000, 40000, 120000}, func(d *Design) float64 { return d.Servers },
		(*Design).Endpoints, endpointOf)
}

func routesProbe() Probe {
	return recordsProbe("routes", "route", []float64{860, 2700, 8600, 27000, 86000}, func(d *Design) float64 { return d.Routes }, configurations, routeOf)
}

func tenantRecordsProbe() Probe {
	return recordsProbe("tenantrecords", "tenant", []float64{9800, 31000, 98000, 310000}, func(d *Design) float64 { return d.Tenants }, configurations, tenantOf)
}

// configurations are an ordinary day's changes of configuration, a second, as if all were of the kind at hand.
func configurations(d *Design) float64 { return d.Configurations / 86_400 }

func recordsProbe(name, kind string, sizes []float64, at, rate func(*Design) float64, of maker) Probe {
	return Probe{
		Name: name, Size: kind + "s", Sizes: sizes, Quick: []float64{100, 240, 500, 1000}, Least: 10,
		At:   at,
		Need: func(n float64) Need { return Need{Bytes: 6000 * n} },
		Figures: []Figure{
			{Name: "origin", What: "memory of an origin", Unit: "bytes", Role: "origin", Method: onHeap},
			{Name: "replace", What: "an origin takes a whole list, all of it new", Unit: "s", Role: "origin", Method: processor},
			{Name: "replacesame", What: "an origin takes a whole list in which nothing has changed", Unit: "s", Role: "origin", Method: processor},
			{Name: "put", What: "an origin takes one change", Unit: "ms", Role: "origin", Method: processor},
			{Name: "relay", What: "memory of a relay", Unit: "bytes", Role: "relay", Method: onHeap},
			{Name: "relaytake", What: "a relay takes all from the origin, whose sending is in it", Unit: "s", Role: "relay", Method: processor},
			{Name: "wire", What: "all records on the wire", Unit: "bytes", Role: "relay", Method: "bytes of frames"},
			{Name: "subscriber", What: "memory of a subscriber that takes all", Unit: "bytes", Role: "node", Method: onHeap, Limit: limitBytes},
			{Name: "subscribertake", What: "such a subscriber takes all from a relay, whose sending is in it", Unit: "s", Role: "node", Method: processor},
			{Name: "change", What: "one change through origin, relay and subscriber", Unit: "ms", Role: "node", Method: processor, Limit: limitChange},
			{Name: "changewire", What: "one change on the wire to a subscriber", Unit: "bytes", Role: "node", Method: "bytes of frames"},
			{Name: "daybytes", What: "an ordinary day's changes of these, to a node that takes all", Unit: "bytes/s", Role: "node", Method: "changewire x their rate", Limit: limitNetwork},
			{Name: "burst", What: "3,900 changes (of all, where there are fewer) through origin, relay and subscriber", Unit: "s", Role: "node", Method: processor, Limit: limitInForce},
			{Name: "burstwire", What: "the same on the wire to a subscriber", Unit: "bytes", Role: "relay", Method: "bytes of frames"},
		},
		Measure: func(_ context.Context, e *Env, size float64) (v map[string]float64, note string, err error) {
			n, now := int(size), longAgo
			v = map[string]float64{}
			all := records(n, of)
			before := inUse()
			o := distribution.NewOrigin(1, distribution.Limits{})
			v["replace"] = spent(func() { _, err = o.Replace(now, kind, all) })
			if err != nil {
				return v, "", err
			}
			v["origin"] = inUse() - before
			v["replacesame"] = spent(func() { _, err = o.Replace(now, kind, all) })
			if err != nil {
				return v, "", err
			}
			before = inUse()
			r := distribution.NewRelay(distribution.Limits{})
			if err := r.Follow(everything()); err != nil {
				return v, "", err
			}
			up, err := o.Relay().Attach(now, r.UpstreamHello(now), 0)
			if err != nil {
				return v, "", err
			}
			v["relaytake"] = spent(func() { _, v["wire"], err = pump(now, o.Relay(), up, r.Receive) })
			if err != nil {
				return v, "", err
			}
			v["relay"] = inUse() - before
			before = inUse()
			s, err := distribution.NewSubscriber(everything(), distribution.Limits{})
			if err != nil {
				return v, "", err
			}
			take := func(now int64, frame []byte) error { _, err := s.Receive(now, frame); return err }
			down, err := r.Attach(now, s.Hello(), 0)
			if err != nil {
				return v, "", err
			}
			v["subscribertake"] = spent(func() { _, _, err = pump(now, r, down, take) })
			if err != nil {
				return v, "", err
			}
			v["subscriber"] = inUse() - before
			if s.Stats().Records != n || !s.Complete() {
				return v, "", fmt.Errorf("a subscriber holds %d of %d records", s.Stats().Records, n)
			}
			through := func(first, count, turn int) (bytes float64) {
				for k := range count {
					if err != nil {
						return bytes
					}
					one := of((first+k)*7919%n, turn)
					_, err = o.Put(now, one.Scope, one.Key, one.Class, one.Body)
				}
				if err == nil {
					_, _, err = pump(now, o.Relay(), up, r.Receive)
				}
				if err == nil {
					_, bytes, err = pump(now, r, down, take)
				}
				return bytes
			}
			long, sum, times := 0.3, 0.0, 0.0
			if e.Quick {
				long = 0.01
			}
			v["change"] = 1e3 * each(20, long, func(i int) {
				now += ms
				sum, times = sum+through(i/2, 1, i+1), times+1
			})
			v["changewire"] = sum / times
			v["daybytes"] = v["changewire"] * rate(&e.Design)
			bursts, took, bytes := 0, 0.0, 0.0
			for ; bursts < 3 && err == nil; bursts++ {
				now += ms
				took += spent(func() { bytes += through(0, int(e.Design.ZoneServers), 1e6+1+bursts) })
			}
			v["burst"], v["burstwire"] = took/float64(bursts), bytes/float64(bursts)
			v["put"] = 1e3 * each(20, long, func(i int) {
				if err == nil {
					one := of(i*7919%n, 2*(2e6+i))
					_, err = o.Put(now, one.Scope, one.Key, one.Class, one.Body)
				}
			})
			runtime.KeepAlive(all)
			runtime.KeepAlive(s)
			return v, "", err
		},
	}
}

func subscribersProbe() Probe {
	return Probe{
		Name: "subscribers", Size: "subscribers", Sizes: []float64{53, 170, 530, 1700, 5300}, Quick: []float64{3, 6, 15, 30}, Least: 1, Most: 8192,
		At:   func(d *Design) float64 { return d.Nodes },
		Need: func(n float64) Need { return Need{Bytes: 1e6*n + 200e6} },
		Figures: []Figure{
			{Name: "relay", What: "memory of a relay for so many, each with 20 scopes of 24 endpoints, of 12,000", Unit: "bytes", Role: "relay", Method: onHeap},
			{Name: "subscriber", What: "memory of one of them", Unit: "bytes", Role: "node", Method: onHeap, Limit: limitBytes},
			{Name: "start", What: "a relay starts them all from nothing", Unit: "s", Role: "relay", Method: processor},
			{Name: "startwire", What: "what it sends to each for that", Unit: "bytes", Role: "relay", Method: "bytes of frames"},
			{Name: "startnode", What: "one of them takes its scopes", Unit: "s", Role: "node", Method: processor},
			{Name: "resume", What: "a relay takes them all on anew, each after its position", Unit: "s", Role: "relay", Method: processor},
			{Name: "resumewire", What: "what it sends to each for that", Unit: "bytes", Role: "relay", Method: "bytes of frames"},
			{Name: "beat", What: "a relay's heartbeats to all, each second", Unit: "% of a core", Role: "relay", Method: processor},
			{Name: "beatwire", What: "heartbeats to each", Unit: "bytes/s", Role: "node", Method: "bytes of frames", Limit: limitNetwork},
			{Name: "beatnode", What: "one of them takes its heartbeats", Unit: "% of a core", Role: "node", Method: processor, Limit: limitCores},
			{Name: "fan", What: "one change that all of them follow, sent to all", Unit: "ms", Role: "relay", Method: processor},
			{Name: "day", What: "an ordinary day's changes of servers, if all of them followed each", Unit: "% of a core", Role: "relay", Method: "fan x their rate"},
		},
		Measure: measureSubscribers,
	}
}

func measureSubscribers(_ context.Context, e *Env, size float64) (v map[string]float64, note string, err error) {
	n, held := int(size), 12000
	if e.Quick {
		held = 1200
	}
	v = map[string]float64{}
	now := longAgo
	o := distribution.NewOrigin(1, distribution.Limits{})
	if _, err := o.Replace(now, "endpoint", records(held, endpointOf)); err != nil {
		return v, "", err
	}
	r := o.Relay()
	var selectors []distribution.Selector
	for i := range scopesOfNode {
		selectors = append(selectors, distribution.Selector{Scope: scopeOf(i * ofAService)})
	}
	subs, ids := make([]*distribution.Subscriber, n), make([]int, n)
	// Frames wait in between, so that the relay's cost and the subscribers' are each by themselves.
	sent := make([][][]byte, n)
	toAll := func() (bytes float64) {
		for i, id := range ids {
			for {
				frame, _ := r.Next(now, id)
				if frame == nil {
					break
				}
				bytes += float64(len(frame)) + 4
				sent[i] = append(sent[i], frame)
			}
		}
		return bytes / size
	}
	takeAll := func() {
		for i, s := range subs {
			for _, frame := range sent[i] {
				if err == nil {
					_, err = s.Receive(now, frame)
				}
			}
			sent[i] = nil
		}
	}
	attach := func(hellos [][]byte) {
		for i := range hellos {
			if err == nil {
				ids[i], err = r.Attach(now, hellos[i], 0)
			}
		}
	}
	hello := func() (out [][]byte) {
		for _, s := range subs {
			out = append(out, s.Hello())
		}
		return out
	}
	for i := range subs {
		if subs[i], err = distribution.NewSubscriber(selectors, distribution.Limits{}); err != nil {
			return v, "", err
		}
	}
	hellos := hello()
	before := inUse()
	v["start"] = spent(func() { attach(hellos); v["startwire"] = toAll() })
	if err != nil {
		return v, "", err
	}
	had := inUse()
	v["startnode"] = spent(takeAll) / size
	runtime.KeepAlive(hellos)
	after := inUse()
	frames := v["startwire"] * size // they waited in memory before, and are held by nobody now
	v["relay"], v["subscriber"] = max(had-before-frames, 0), max(after-had+frames, 0)/size
	for i, s := range subs {
		if err == nil && (!s.Complete() || s.Stats().Records != scopesOfNode*ofAService) {
			err = fmt.Errorf("subscriber %d holds %d of %d records", i, s.Stats().Records, scopesOfNode*ofAService)
		}
	}
	if err != nil {
		return v, "", err
	}
	const beats = 5
	relay, node, wire := 0.0, 0.0, 0.0
	for range beats {
		now += distribution.HeartbeatNs
		relay += spent(func() { wire += toAll() })
		node += spent(takeAll)
	}
	v["beat"], v["beatwire"], v["beatnode"] = 100*relay/beats, wire/beats, 100*node/beats/size
	const changes = 10
	fan := 0.0
	for k := range changes {
		now += ms
		if one := endpointOf(k, 1); err == nil {
			_, err = o.Put(now, one.Scope, one.Key, one.Class, one.Body)
		}
		fan += spent(func() { r.Ready(); toAll() })
		takeAll()
	}
	v["fan"] = 1e3 * fan / changes
	v["day"] = 100 * fan / changes * e.Design.Endpoints()
	for _, id := range ids {
		r.Detach(id)
	}
	hellos = hello()
	v["resume"] = spent(func() { attach(hellos); v["resumewire"] = toAll() })
	takeAll()
	for i, s := range subs {
		if err == nil && s.Stats().Snapshots+s.Stats().Swept > 0 {
			err = fmt.Errorf("subscriber %d was sent its scopes anew", i)
		}
	}
	runtime.KeepAlive(o)
	return v, "", err
}
