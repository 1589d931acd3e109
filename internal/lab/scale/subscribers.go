package scale

import (
	"context"
	"errors"
	"fmt"
	"runtime"

	"fawnglade/internal/distribution"
)

func subscribersProbe() Probe {
	return Probe{
		Name: "subscribers", SizeUnit: "subscribers", MinSize: 1, MaxSize: 8192,
		Sizes: []float64{53, 170, 530, 1700, 5300}, QuickSizes: []float64{3, 6, 15, 30},
		DesignSize: func(d *Design) float64 { return d.Nodes },
		Need:       func(n float64) Need { return Need{Bytes: 1e6*n + 200e6} },
		Figures: []Figure{
			{
				Name: "relay", Description: "memory of a relay for so many, each with 20 scopes of 24 endpoints, of 12,000",
				Unit: "bytes", Role: "relay", Method: methodHeap,
			},
			{
				Name: "subscriber", Description: "memory of one of them",
				Unit: "bytes", Role: "node", Method: methodHeap, Limit: limitMemory,
			},
			{
				Name: "start", Description: "a relay starts them all from nothing",
				Unit: "s", Role: "relay", Method: methodProcessor,
			},
			{
				Name: "startwire", Description: "what it sends to each for that",
				Unit: "bytes", Role: "relay", Method: methodFrames,
			},
			{
				Name: "startnode", Description: "one of them takes its scopes",
				Unit: "s", Role: "node", Method: methodProcessor,
			},
			{
				Name: "resume", Description: "a relay takes them all on anew, each after its position",
				Unit: "s", Role: "relay", Method: methodProcessor,
			},
			{
				Name: "resumewire", Description: "what it sends to each for that",
				Unit: "bytes", Role: "relay", Method: methodFrames,
			},
			{
				Name: "beat", Description: "a relay's heartbeats to all, each second",
				Unit: "% of a core", Role: "relay", Method: methodProcessor,
			},
			{
				Name: "beatwire", Description: "heartbeats to each",
				Unit: "bytes/s", Role: "node", Method: methodFrames, Limit: limitNetwork,
			},
			{
				Name: "beatnode", Description: "one of them takes its heartbeats",
				Unit: "% of a core", Role: "node", Method: methodProcessor, Limit: limitCores,
			},
			{
				Name: "fan", Description: "one change that all of them follow, sent to all",
				Unit: "ms", Role: "relay", Method: methodProcessor,
			},
			{
				Name: "day", Description: "an ordinary day's changes of servers, if all of them followed each",
				Unit: "% of a core", Role: "relay", Method: "fan x their rate",
			},
		},
		Measure: func(_ context.Context, e *Env, size float64) (Measurement, error) {
			s := &subscribers{env: e, size: size, now: probeStart, values: Values{}}
			err := s.measure()
			return Measurement{Values: s.values}, err
		},
	}
}

// subscribers measures many subscribers of one relay, all with the same scopes.
type subscribers struct {
	env    *Env
	size   float64
	now    int64
	values Values

	origin *distribution.Origin
	relay  *distribution.Relay
	all    []*distribution.Subscriber
	ids    []int // IDs of the subscribers at the relay
	// frames buffers the frames for each subscriber, so that the costs of relay and subscribers are measured
	// separately.
	frames [][][]byte
}

func (s *subscribers) measure() error {
	if err := s.setUp(); err != nil {
		return err
	}
	defer runtime.KeepAlive(s)
	for _, step := range []func() error{s.measureStart, s.measureHeartbeats, s.measureFanOut, s.measureResumption} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (s *subscribers) setUp() error {
	s.origin = distribution.NewOrigin(1, distribution.Limits{})
	if _, err := s.origin.Replace(s.now, "endpoint", makeRecords(pick(s.env, 12000, 1200), endpointRecord)); err != nil {
		return err
	}
	s.relay = s.origin.Relay()
	var selectors []distribution.Selector
	for i := range scopesPerNode {
		selectors = append(selectors, distribution.Selector{Scope: scopeOf(i * serviceEndpoints)})
	}
	n := int(s.size)
	s.ids, s.frames = make([]int, n), make([][][]byte, n)
	for range n {
		subscriber, err := distribution.NewSubscriber(selectors, distribution.Limits{})
		if err != nil {
			return err
		}
		s.all = append(s.all, subscriber)
	}
	return nil
}

// hellos returns the hello messages of all subscribers.
func (s *subscribers) hellos() [][]byte {
	var hellos [][]byte
	for _, subscriber := range s.all {
		hellos = append(hellos, subscriber.Hello())
	}
	return hellos
}

// attach attaches all subscribers to the relay and collects the frames for them. It returns the bytes per subscriber.
func (s *subscribers) attach(hellos [][]byte) (bytes float64, err error) {
	for i, hello := range hellos {
		s.ids[i], err = s.relay.Attach(s.now, hello, 0)
		if err != nil {
			return 0, err
		}
	}
	return s.send(), nil
}

// send collects the frames that the relay has for all subscribers, and returns the bytes per subscriber.
func (s *subscribers) send() float64 {
	bytes := 0.0
	for i, id := range s.ids {
		for {
			frame, _ := s.relay.Next(s.now, id)
			if frame == nil {
				break
			}
			bytes += float64(len(frame)) + frameOverhead
			s.frames[i] = append(s.frames[i], frame)
		}
	}
	return bytes / s.size
}

// receive delivers the buffered frames to all subscribers.
func (s *subscribers) receive() error {
	for i, subscriber := range s.all {
		for _, frame := range s.frames[i] {
			if _, err := subscriber.Receive(s.now, frame); err != nil {
				return err
			}
		}
		s.frames[i] = nil
	}
	return nil
}

func (s *subscribers) measureStart() error {
	hellos := s.hellos()
	before := heapInUse()
	var err error
	s.values["start"] = cpuTimeOf(func() { s.values["startwire"], err = s.attach(hellos) })
	if err != nil {
		return err
	}
	sent := heapInUse()
	s.values["startnode"] = cpuTimeOf(func() { err = s.receive() }) / s.size
	if err != nil {
		return err
	}
	runtime.KeepAlive(hellos)
	received := heapInUse()
	frames := s.values["startwire"] * s.size // bytes of the buffered frames, freed by now
	s.values["relay"] = max(sent-before-frames, 0)
	s.values["subscriber"] = max(received-sent+frames, 0) / s.size
	for i, subscriber := range s.all {
		if held := subscriber.Stats().Records; !subscriber.Complete() || held != scopesPerNode*serviceEndpoints {
			return fmt.Errorf("subscriber %d: got %d of %d records, or is not complete", i, held, scopesPerNode*serviceEndpoints)
		}
	}
	return nil
}

func (s *subscribers) measureHeartbeats() error {
	const heartbeats = 5
	relay, nodes, bytes := 0.0, 0.0, 0.0
	for range heartbeats {
		s.now += distribution.HeartbeatNs
		relay += cpuTimeOf(func() { bytes += s.send() })
		var err error
		nodes += cpuTimeOf(func() { err = s.receive() })
		if err != nil {
			return err
		}
	}
	s.values["beat"] = 100 * relay / heartbeats
	s.values["beatwire"] = bytes / heartbeats
	s.values["beatnode"] = 100 * nodes / heartbeats / s.size
	return nil
}

func (s *subscribers) measureFanOut() error {
	const changes = 10
	seconds := 0.0
	for i := range changes {
		s.now += millisecond
		r := endpointRecord(i, 1)
		if _, err := s.origin.Put(s.now, r.Scope, r.Key, r.Class, r.Body); err != nil {
			return err
		}
		seconds += cpuTimeOf(func() {
			s.relay.Ready()
			s.send()
		})
		if err := s.receive(); err != nil {
			return err
		}
	}
	s.values["fan"] = 1e3 * seconds / changes
	s.values["day"] = 100 * seconds / changes * s.env.Design.EndpointChangesPerSecond()
	return nil
}

func (s *subscribers) measureResumption() error {
	for _, id := range s.ids {
		s.relay.Detach(id)
	}
	hellos := s.hellos()
	var err error
	s.values["resume"] = cpuTimeOf(func() { s.values["resumewire"], err = s.attach(hellos) })
	if err := errors.Join(err, s.receive()); err != nil {
		return err
	}
	for i, subscriber := range s.all {
		if stats := subscriber.Stats(); stats.Snapshots+stats.Swept > 0 {
			return fmt.Errorf("subscriber %d: expected to resume from its position, got a snapshot", i)
		}
	}
	return nil
}
