package scale

import (
	"context"
	"errors"
	"fmt"
	"runtime"

	"fawnglade/internal/distribution"
)

// Probes of distribution by number of records: an origin, a relay and a subscriber in this process and in virtual time.
// They run one after another, so that their costs are measured separately.

const (
	regions       = 10
	scopesPerNode = 20      // scopes that a node follows
	maxFrames     = 1 << 20 // limit of the frames that a relay sends to one subscriber at once
	frameOverhead = 4       // bytes on the wire for each frame
	methodFrames  = "bytes of frames"
	probeStart    = int64(startTime)
	millisecond   = int64(changeInterval) // nanoseconds
)

var errEndlessFrames = fmt.Errorf("relay: expected at most %d frames for one subscriber at once, got more", maxFrames)

// scopeOf returns the scope of a record: a service in a region.
func scopeOf(i int) string {
	return fmt.Sprintf("r%d/s%04d", i/serviceEndpoints%regions, i/serviceEndpoints/regions)
}

// makeRecord returns a revision of the record with number i. All revisions of a record differ.
type makeRecord func(i, revision int) distribution.Record

// endpointRecord returns an endpoint, active in even revisions and draining in odd ones. Its body has the format of
// discovery's entries.
func endpointRecord(i, revision int) distribution.Record {
	r := distribution.Record{Scope: scopeOf(i), Key: fmt.Sprintf("endpoint/srv-%06d.eu1", i)}
	if revision%2 == 1 {
		r.Class, r.Body = distribution.ClassWithdrawal, entryText(i, "draining", int64(revision))
	} else {
		r.Class, r.Body = distribution.ClassEndpoint, entryText(i, "up", int64(revision))
	}
	return r
}

// routeRecord returns configuration with the typical length of a route.
func routeRecord(i, revision int) distribution.Record {
	return distribution.Record{
		Scope: scopeOf(i), Key: fmt.Sprintf("route/%06d", i), Class: distribution.ClassConfiguration,
		Body: fmt.Appendf(nil, `{"route":"r-%06d","host":"www-%06d.example","path":"/v1/orders/%06d/","service":"s%04d",`+
			`"class":"view","repeat":"safe","deadline_ms":2000,"objective_ms":400,"tries":3,"turn":%d}`,
			i, i%20000, i, i%5000, revision),
	}
}

// tenantRecord returns configuration with the typical length of a tenant.
func tenantRecord(i, revision int) distribution.Record {
	return distribution.Record{
		Scope: fmt.Sprintf("r%d/tenants", i%regions), Key: fmt.Sprintf("tenant/%06d", i), Class: distribution.ClassConfiguration,
		Body: fmt.Appendf(nil, `{"tenant":"t-%06d","portion":0.000001,"turn":%d}`, i, revision),
	}
}

// makeRecords returns the first revisions of n records.
func makeRecords(n int, record makeRecord) []distribution.Record {
	records := make([]distribution.Record, n)
	for i := range records {
		records[i] = record(i, 0)
	}
	return records
}

// allScopes returns a selector of all scopes.
func allScopes() []distribution.Selector {
	return []distribution.Selector{{Scope: "", Prefix: true}}
}

// forwardFrames passes all frames that a relay has for one subscriber to receive, and returns their bytes on the wire.
func forwardFrames(
	now int64, r *distribution.Relay, id int, receive func(now int64, frame []byte) error,
) (bytes float64, err error) {
	for range maxFrames {
		frame, _ := r.Next(now, id)
		if frame == nil {
			return bytes, nil
		}
		bytes += float64(len(frame)) + frameOverhead
		if err := receive(now, frame); err != nil {
			return bytes, err
		}
	}
	return bytes, errEndlessFrames
}

func endpointsProbe() Probe {
	return recordsProbe(recordKind{
		probe: "endpoints", name: "endpoint", sizes: []float64{1200, 4000, 12000, 40000, 120000},
		designSize:       func(d *Design) float64 { return d.Endpoints },
		changesPerSecond: (*Design).EndpointChangesPerSecond, record: endpointRecord,
	})
}

func routesProbe() Probe {
	return recordsProbe(recordKind{
		probe: "routes", name: "route", sizes: []float64{860, 2700, 8600, 27000, 86000},
		designSize:       func(d *Design) float64 { return d.Routes },
		changesPerSecond: (*Design).configurationChangesPerSecond, record: routeRecord,
	})
}

func tenantRecordsProbe() Probe {
	return recordsProbe(recordKind{
		probe: "tenantrecords", name: "tenant", sizes: []float64{9800, 31000, 98000, 310000},
		designSize:       func(d *Design) float64 { return d.Tenants },
		changesPerSecond: (*Design).configurationChangesPerSecond, record: tenantRecord,
	})
}

// recordKind is a kind of record for which distribution is measured.
type recordKind struct {
	probe            string
	name             string // name of the source at the origin
	sizes            []float64
	designSize       func(*Design) float64
	changesPerSecond func(*Design) float64 // as if all configuration changes were of this kind
	record           makeRecord
}

func recordsProbe(kind recordKind) Probe {
	return Probe{
		Name: kind.probe, SizeUnit: kind.name + "s", Sizes: kind.sizes, QuickSizes: []float64{100, 240, 500, 1000}, MinSize: 10,
		DesignSize: kind.designSize,
		Need:       func(n float64) Need { return Need{Bytes: 6000 * n} },
		Figures: []Figure{
			{Name: "origin", Description: "memory of an origin", Unit: "bytes", Role: "origin", Method: methodHeap},
			{
				Name: "replace", Description: "an origin takes a whole list, all of it new",
				Unit: "s", Role: "origin", Method: methodProcessor,
			},
			{
				Name: "replacesame", Description: "an origin takes a whole list in which nothing has changed",
				Unit: "s", Role: "origin", Method: methodProcessor,
			},
			{
				Name: "put", Description: "an origin takes one change",
				Unit: "ms", Role: "origin", Method: methodProcessor,
			},
			{Name: "relay", Description: "memory of a relay", Unit: "bytes", Role: "relay", Method: methodHeap},
			{
				Name: "relaytake", Description: "a relay takes all from the origin, whose sending is in it",
				Unit: "s", Role: "relay", Method: methodProcessor,
			},
			{Name: "wire", Description: "all records on the wire", Unit: "bytes", Role: "relay", Method: methodFrames},
			{
				Name: "subscriber", Description: "memory of a subscriber that takes all",
				Unit: "bytes", Role: "node", Method: methodHeap, Limit: limitMemory,
			},
			{
				Name: "subscribertake", Description: "such a subscriber takes all from a relay, whose sending is in it",
				Unit: "s", Role: "node", Method: methodProcessor,
			},
			{
				Name: "change", Description: "one change through origin, relay and subscriber",
				Unit: "ms", Role: "node", Method: methodProcessor, Limit: limitChange,
			},
			{
				Name: "changewire", Description: "one change on the wire to a subscriber",
				Unit: "bytes", Role: "node", Method: methodFrames,
			},
			{
				Name: "daybytes", Description: "an ordinary day's changes of these, to a node that takes all",
				Unit: "bytes/s", Role: "node", Method: "changewire x their rate", Limit: limitNetwork,
			},
			{
				Name: "burst", Description: "3,900 changes (of all, where there are fewer) through origin, relay and subscriber",
				Unit: "s", Role: "node", Method: methodProcessor, Limit: limitPropagation,
			},
			{
				Name: "burstwire", Description: "the same on the wire to a subscriber",
				Unit: "bytes", Role: "relay", Method: methodFrames,
			},
		},
		Measure: func(_ context.Context, e *Env, size float64) (Measurement, error) {
			c := &recordChain{kind: kind, env: e, size: int(size), now: probeStart, values: Values{}}
			err := c.measure()
			return Measurement{Values: c.values}, err
		},
	}
}

// recordChain is an origin, a relay that follows it and a subscriber that follows the relay.
type recordChain struct {
	kind   recordKind
	env    *Env
	size   int
	now    int64
	values Values

	origin       *distribution.Origin
	relay        *distribution.Relay
	relayID      int // ID of the relay at the origin
	subscriber   *distribution.Subscriber
	subscriberID int // ID of the subscriber at the relay
}

func (c *recordChain) measure() error {
	records := makeRecords(c.size, c.kind.record)
	defer runtime.KeepAlive(records)
	defer runtime.KeepAlive(c)
	for _, step := range []func() error{
		func() error { return c.fillOrigin(records) }, c.fillRelay, c.fillSubscriber, c.measureChange, c.measureBurst, c.measurePut,
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (c *recordChain) fillOrigin(records []distribution.Record) error {
	before := heapInUse()
	c.origin = distribution.NewOrigin(1, distribution.Limits{})
	replace := func() (seconds float64, err error) {
		seconds = cpuTimeOf(func() { _, err = c.origin.Replace(c.now, c.kind.name, records) })
		return seconds, err
	}
	var err error
	c.values["replace"], err = replace()
	if err != nil {
		return err
	}
	c.values["origin"] = heapInUse() - before
	c.values["replacesame"], err = replace()
	return err
}

func (c *recordChain) fillRelay() error {
	before := heapInUse()
	c.relay = distribution.NewRelay(distribution.Limits{})
	if err := c.relay.Follow(allScopes()); err != nil {
		return err
	}
	var err error
	c.relayID, err = c.origin.Relay().Attach(c.now, c.relay.UpstreamHello(c.now), 0)
	if err != nil {
		return err
	}
	c.values["relaytake"] = cpuTimeOf(func() { c.values["wire"], err = c.forwardToRelay() })
	if err != nil {
		return err
	}
	c.values["relay"] = heapInUse() - before
	return nil
}

func (c *recordChain) fillSubscriber() error {
	before := heapInUse()
	var err error
	c.subscriber, err = distribution.NewSubscriber(allScopes(), distribution.Limits{})
	if err != nil {
		return err
	}
	c.subscriberID, err = c.relay.Attach(c.now, c.subscriber.Hello(), 0)
	if err != nil {
		return err
	}
	c.values["subscribertake"] = cpuTimeOf(func() { _, err = c.forwardToSubscriber() })
	if err != nil {
		return err
	}
	c.values["subscriber"] = heapInUse() - before
	if held := c.subscriber.Stats().Records; held != c.size || !c.subscriber.Complete() {
		return fmt.Errorf("subscriber: got %d of %d records, or is not complete", held, c.size)
	}
	return nil
}

func (c *recordChain) forwardToRelay() (bytes float64, err error) {
	return forwardFrames(c.now, c.origin.Relay(), c.relayID, c.relay.Receive)
}

func (c *recordChain) forwardToSubscriber() (bytes float64, err error) {
	return forwardFrames(c.now, c.relay, c.subscriberID, func(now int64, frame []byte) error {
		_, err := c.subscriber.Receive(now, frame)
		return err
	})
}

// put puts one revision of a record to the origin.
func (c *recordChain) put(i, revision int) error {
	r := c.kind.record(i*scatter%c.size, revision)
	_, err := c.origin.Put(c.now, r.Scope, r.Key, r.Class, r.Body)
	return err
}

// change puts a revision of count records to the origin, forwards it to the relay and the subscriber, and returns the
// bytes sent to the subscriber.
func (c *recordChain) change(first, count, revision int) (bytes float64, err error) {
	for i := range count {
		if err := c.put(first+i, revision); err != nil {
			return 0, err
		}
	}
	if _, err := c.forwardToRelay(); err != nil {
		return 0, err
	}
	return c.forwardToSubscriber()
}

// First revisions of the measurements, so that no revision is put twice.
const (
	burstRevision = 1e6
	putRevision   = 2e6
)

func (c *recordChain) measureChange() error {
	var problem error
	bytes, changes := 0.0, 0.0
	c.values["change"] = 1e3 * meanCPUTime(20, pick(c.env, 0.3, 0.01), func(i int) {
		c.now += millisecond
		n, err := c.change(i/2, 1, i+1)
		problem = errors.Join(problem, err)
		bytes += n
		changes++
	})
	c.values["changewire"] = bytes / changes
	c.values["daybytes"] = c.values["changewire"] * c.kind.changesPerSecond(&c.env.Design)
	return problem
}

func (c *recordChain) measureBurst() error {
	const bursts = 3
	seconds, bytes := 0.0, 0.0
	for i := range bursts {
		c.now += millisecond
		var n float64
		var err error
		seconds += cpuTimeOf(func() { n, err = c.change(0, int(c.env.Design.ZoneEndpoints), burstRevision+1+i) })
		if err != nil {
			return err
		}
		bytes += n
	}
	c.values["burst"], c.values["burstwire"] = seconds/bursts, bytes/bursts
	return nil
}

func (c *recordChain) measurePut() error {
	var problem error
	c.values["put"] = 1e3 * meanCPUTime(20, pick(c.env, 0.3, 0.01), func(i int) {
		problem = errors.Join(problem, c.put(i, 2*(putRevision+i)))
	})
	return problem
}
