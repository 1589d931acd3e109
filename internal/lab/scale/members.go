package scale

import (
	"context"
	"fmt"
	"runtime"

	"fawnglade/internal/lab/fleet"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/members"
)

// Probe of membership: package members runs for all nodes in virtual time, on a network that loses some datagrams.

const (
	datagramLoss     = 0.05
	maxMembers       = 4096 // limit of package members
	upTimeout        = 300 * second
	detectionTimeout = 200 * second
	idleTimeout      = 600 * second
	// maxIdleDatagramBytes is a bound on the mean size of the datagrams of a fleet without membership updates.
	maxIdleDatagramBytes = 100
	idleMeasurementTime  = 20 * second
	deathPoll            = 100 * millisecond
	methodMembers        = "virtual time, 5% of datagrams lost"
	membersSeed          = 1 // random seed of the fleet
)

func membersProbe() Probe {
	return Probe{
		Name: "members", SizeUnit: "nodes", MinSize: 3, MaxSize: maxMembers, NodeMax: maxMembers,
		Sizes: []float64{100, 200, 400, 1000}, QuickSizes: []float64{4, 8, 20, 40},
		DesignSize: func(d *Design) float64 { return d.Nodes },
		Need:       func(n float64) Need { return Need{Bytes: 400*n*n + 20e6} },
		Figures: []Figure{
			{
				Name: "memory", Description: "memory of one node's view",
				Unit: "bytes", Role: "node", Method: methodHeap, Limit: limitMemory,
			},
			{
				Name: "cpu", Description: "one node's view, nothing happening",
				Unit: "% of a core", Role: "node", Method: methodProcessor + ", the virtual network's too", Limit: limitCores,
			},
			{
				Name: "bytes", Description: "sent, and as much heard, a node",
				Unit: "bytes/s", Role: "node", Method: methodMembers, Limit: limitNetwork,
			},
			{Name: "datagrams", Description: "sent a node", Unit: "1/s", Role: "node", Method: methodMembers},
			{
				Name: "up", Description: "all nodes start at once: until each knows all",
				Unit: "s", Role: "node", Method: methodMembers, Limit: limitReady,
			},
			{
				Name: "told", Description: "until the start is no longer told, and the fleet is at rest",
				Unit: "s", Role: "node", Method: methodMembers,
			},
			{
				Name: "busy50", Description: "a node dies while the start is still told: until half of the others hold it silent",
				Unit: "s", Role: "node", Method: methodMembers,
			},
			{Name: "busy90", Description: "until 90 in 100 do", Unit: "s", Role: "node", Method: methodMembers},
			{
				Name: "busy99", Description: "until 99 in 100 do",
				Unit: "s", Role: "node", Method: methodMembers, Limit: limitPropagation,
			},
			{
				Name: "busy100", Description: "until all do",
				Unit: "s", Role: "node", Method: methodMembers, Limit: limitPropagation,
			},
			{
				Name: "death50", Description: "a node dies, the fleet at rest: until half of the others hold it silent",
				Unit: "s", Role: "node", Method: methodMembers,
			},
			{Name: "death90", Description: "until 90 in 100 do", Unit: "s", Role: "node", Method: methodMembers},
			{
				Name: "death99", Description: "until 99 in 100 do",
				Unit: "s", Role: "node", Method: methodMembers, Limit: limitPropagation,
			},
			{
				Name: "death100", Description: "until all do",
				Unit: "s", Role: "node", Method: methodMembers, Limit: limitPropagation,
			},
		},
		Measure: func(ctx context.Context, e *Env, size float64) (Measurement, error) {
			m := &membersMeasurement{ctx: ctx, env: e, size: size, values: Values{}}
			note, err := m.measure()
			return Measurement{m.values, note}, err
		},
	}
}

// membersMeasurement measures a fleet in virtual time.
type membersMeasurement struct {
	ctx       context.Context
	env       *Env
	size      float64
	values    Values
	fleet     *fleet.Virtual
	startedAt int64 // virtual time when all nodes had been started, nanoseconds
}

// measure runs all measurements. If one does not finish in time, it returns a note; earlier values are kept.
func (m *membersMeasurement) measure() (note string, err error) {
	before := heapInUse()
	if err := m.start(); err != nil {
		return "", err
	}
	defer runtime.KeepAlive(m)
	for _, step := range []func() (string, error){
		m.waitUntilUp,
		func() (string, error) { return m.measureDeath(1, "busy") },
		m.waitUntilIdle,
	} {
		if note, err := step(); err != nil || note != "" {
			return note, err
		}
	}
	m.values["memory"] = (heapInUse() - before) / m.size
	m.measureIdle()
	return m.measureDeath(2, "death")
}

// start starts all nodes at once.
func (m *membersMeasurement) start() error {
	n := int(m.size)
	m.fleet = fleet.NewVirtual(n, membersSeed)
	for i := range n {
		if err := m.fleet.Start(i); err != nil {
			return err
		}
	}
	all := fleet.NodeEnds(fleet.NodeRange(0, n))
	m.fleet.AddFaults(netfault.Fault{Kind: netfault.Drop, From: all, To: all, Share: datagramLoss, Burst: 1, Seed: 11})
	m.startedAt = m.fleet.Now()
	return nil
}

// sinceStart returns the seconds of virtual time since the start of the nodes.
func (m *membersMeasurement) sinceStart() float64 { return float64(m.fleet.Now()-m.startedAt) / 1e9 }

func (m *membersMeasurement) waitUntilUp() (note string, err error) {
	for !allSeeAllAlive(m.fleet) {
		if m.fleet.Now()-m.startedAt > upTimeout {
			return fmt.Sprintf("not all knew all within %d s", upTimeout/second), nil
		}
		if err := m.ctx.Err(); err != nil {
			return "", err
		}
		m.fleet.Run(second / 2)
	}
	m.values["up"] = m.sinceStart()
	m.env.logf("  all nodes see all nodes as alive after %.1f s", m.values["up"])
	return "", nil
}

// waitUntilIdle waits until datagrams carry almost no membership updates.
func (m *membersMeasurement) waitUntilIdle() (note string, err error) {
	for atRest := false; !atRest; {
		if m.fleet.Now()-m.startedAt > idleTimeout {
			return fmt.Sprintf("still telling of the start after %d s, so nothing was measured of a fleet at rest", idleTimeout/second), nil
		}
		if err := m.ctx.Err(); err != nil {
			return "", err
		}
		sent := m.watchTraffic(5 * second)
		atRest = sent.bytes <= maxIdleDatagramBytes*sent.datagrams
	}
	m.values["told"] = m.sinceStart()
	m.env.logf("  updates about the start have ended after %.1f s", m.values["told"])
	return "", nil
}

// measureIdle measures the fleet while nothing changes.
func (m *membersMeasurement) measureIdle() {
	duration := pick(m.env, idleMeasurementTime, idleMeasurementTime/4)
	seconds := float64(duration) / 1e9
	var sent traffic
	m.values["cpu"] = 100 * cpuTimeOf(func() { sent = m.watchTraffic(duration) }) / m.size / seconds
	m.values["datagrams"] = sent.datagrams / m.size / seconds
	m.values["bytes"] = sent.bytes / m.size / seconds
}

// measureDeath kills a node, and measures the time until 50%, 90%, 99% and 100% of the others consider it dead.
func (m *membersMeasurement) measureDeath(victim int, name string) (note string, err error) {
	m.fleet.Kill(victim)
	killed := m.fleet.Now()
	others := float64(countRunning(m.fleet))
	for _, percent := range []int{50, 90, 99, 100} {
		figure := fmt.Sprint(name, percent)
		for float64(countNodesSeeing(m.fleet, victim, members.Dead)) < float64(percent)/100*others || m.fleet.Now() == killed {
			if m.fleet.Now()-killed > detectionTimeout {
				return fmt.Sprintf("%s: %d of %.0f held it silent after %d s",
					figure, countNodesSeeing(m.fleet, victim, members.Dead), others, detectionTimeout/second), nil
			}
			if err := m.ctx.Err(); err != nil {
				return "", err
			}
			m.fleet.Run(deathPoll)
		}
		m.values[figure] = float64(m.fleet.Now()-killed) / 1e9
		m.env.logf("  %s: %d%% of nodes detected the death after %.1f s", name, percent, m.values[figure])
	}
	return "", nil
}

// traffic is the traffic sent by all nodes over some time.
type traffic struct {
	datagrams, bytes float64
}

func (t *traffic) add(v *fleet.Virtual, sign float64) {
	for i := range v.Len() {
		if node := v.Members(i); node != nil {
			counters := node.Counters()
			t.datagrams += sign * float64(counters.Sent)
			t.bytes += sign * float64(counters.SentBytes)
		}
	}
}

// watchTraffic advances time by duration, and returns the traffic sent in it.
func (m *membersMeasurement) watchTraffic(duration int64) traffic {
	var sent traffic
	sent.add(m.fleet, -1)
	m.fleet.Run(duration)
	sent.add(m.fleet, 1)
	return sent
}

// countRunning returns the number of running nodes.
func countRunning(v *fleet.Virtual) int {
	n := 0
	for i := range v.Len() {
		if v.Members(i) != nil {
			n++
		}
	}
	return n
}

// countNodesSeeing returns the number of nodes that see the target in the given state.
func countNodesSeeing(v *fleet.Virtual, target int, state members.State) int {
	n := 0
	for i := range v.Len() {
		if observer := v.Members(i); i != target && observer != nil && observer.StateOf(target) == state {
			n++
		}
	}
	return n
}

func allSeeAllAlive(v *fleet.Virtual) bool {
	for i := range v.Len() {
		for _, state := range v.Members(i).States() {
			if state != members.Alive {
				return false
			}
		}
	}
	return true
}
