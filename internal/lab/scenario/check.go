package scenario

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	minLength    = time.Second
	maxLength    = time.Hour
	maxZones     = 16
	maxNodes     = 1024
	maxEndpoints = 8192
	maxDeadline  = 10 * time.Minute
	maxBody      = 64 << 10

	// On sockets each node is a process, and each endpoint has a listener for each node.
	maxNodesOnSockets     = 40
	maxListenersOnSockets = 8192
)

// mistake is about a key, or about the table that lacks it.
func (s *Scenario) fileError(key, want string, got any) *FileError {
	line := s.lines[key]
	for at := key; line == 0 && strings.Contains(at, "."); line = s.lines[at] {
		at = at[:strings.LastIndex(at, ".")]
	}
	return &FileError{s.Path, line, fmt.Sprintf("%s: expected %s, got %v", key, want, got)}
}

// checker collects all mistakes of a scenario.
type checker struct {
	scenario *Scenario
	errors   []*FileError
}

func (c *checker) require(holds bool, key, want string, got any) {
	if !holds {
		c.errors = append(c.errors, c.scenario.fileError(key, want, got))
	}
}

func (c *checker) fraction(key string, v float64) {
	c.require(v >= 0 && v <= 1, key, "a part from 0 to 1", v)
}

func (c *checker) positive(key string, v Duration) {
	c.require(v > 0, key, "a time above 0", v.Std())
}

func (c *checker) atLeast(key string, v, least float64) {
	c.require(v >= least && v < 1e9, key, fmt.Sprintf("a number of at least %g", least), v)
}

func (c *checker) oneOf(key, v string, of ...string) {
	c.require(slices.Contains(of, v), key, "one of "+strings.Join(of, ", "), fmt.Sprintf("%q", v))
}

func (c *checker) zone(key, v string) {
	c.require(slices.Contains(c.scenario.Network.Zones, v), key, "a zone of network.zones", fmt.Sprintf("%q", v))
}

// err joins the mistakes in the order of their lines.
func (c *checker) err() error {
	slices.SortStableFunc(c.errors, func(a, b *FileError) int { return cmp.Compare(a.Line, b.Line) })
	errs := make([]error, len(c.errors))
	for i, m := range c.errors {
		errs[i] = m
	}
	return errors.Join(errs...)
}

func (s *Scenario) check() error {
	c := &checker{scenario: s}
	c.require(s.Name != "", "name", "a name", "none")
	length := s.Length.Std()
	c.require(length >= minLength && length <= maxLength, "length", "a time from 1s to 1h", length)
	c.checkNetwork()
	c.checkNodes()
	c.checkFleets()
	c.checkReports()
	c.checkRules()
	c.checkLoad()
	c.checkClasses()
	c.checkClients()
	for i := range s.Faults {
		c.checkFault(fmt.Sprintf("fault.%d.", i), &s.Faults[i])
	}
	c.checkLinkFaults()
	c.checkExpect()
	return c.err()
}

func (c *checker) checkNetwork() {
	n := &c.scenario.Network
	c.require(len(n.Zones) > 0 && len(n.Zones) <= maxZones, "network.zones", "1 to 16 zones", len(n.Zones))
	c.require(n.SameZone >= 0 && n.CrossZone >= 0 && n.Client >= 0, "network", "delays of at least 0", "less")
	c.fraction("network.jitter", n.Jitter)
}

func (c *checker) checkNodes() {
	n := &c.scenario.Nodes
	c.require(n.Count >= 1 && n.Count <= maxNodes, "nodes.count", "1 to 1,024", n.Count)
	c.require(len(n.Zones) == 0 || len(n.Zones) == n.Count, "nodes.zones", "one for each node", n.Zones)
	for _, z := range n.Zones {
		c.zone("nodes.zones", z)
	}
	c.require(!n.NoList || !n.StaleList, "nodes.no_list", "not old_list beside it", "both")
	c.require(n.Sockets >= 32, "nodes.sockets", "at least 32", n.Sockets)
	c.require(n.MemoryMB >= 16, "nodes.memory_mb", "at least 16", n.MemoryMB)
	period := n.ProtocolPeriod
	c.require(period >= milliseconds(50) && period <= milliseconds(60000), "nodes.round", "a time from 50ms to 1m", period.Std())
}

func (c *checker) checkFleets() {
	c.require(len(c.scenario.Fleets) > 0, "fleet", "at least one [[fleet]]", "none")
	total, names := 0, map[string]bool{}
	for i := range c.scenario.Fleets {
		f, at := &c.scenario.Fleets[i], fmt.Sprintf("fleet.%d.", i)
		total += f.Count
		c.require(!names[f.Name], at+"name", "a name that no other fleet has", fmt.Sprintf("%q", f.Name))
		names[f.Name] = true
		c.checkFleet(at, f)
	}
	c.require(total >= 1 && total <= maxEndpoints, "fleet", "1 to 8,192 servers", total)
}

func (c *checker) checkFleet(at string, f *Fleet) {
	c.require(f.Count >= 1, at+"count", "at least 1", f.Count)
	for _, z := range f.Zones {
		c.zone(at+"zones", z)
	}
	c.require(f.Cores >= 1 && f.Cores <= 1024, at+"cores", "1 to 1,024", f.Cores)
	c.require(f.Speed > 0, at+"speed", "a number above 0", f.Speed)
	c.require(f.Concurrency >= 1, at+"places", "at least 1", f.Concurrency)
	c.require(f.QueueLimit >= 0, at+"waiting", "at least 0", f.QueueLimit)
	c.require(f.Spread >= 0 && f.Spread < 1, at+"spread", "a part from 0 to under 1", f.Spread)
	c.fraction(at+"error_share", f.ErrorShare)
	capacity := f.SlowStartCapacity
	c.require(capacity > 0 && capacity <= 1, at+"cold_from", "a part above 0, 1 at most", capacity)
	c.require(f.Connections >= 1, at+"connections", "at least 1", f.Connections)
	c.oneOf(at+"cancel", f.Cancel, "nothing", "waiting", "work")
	c.positive(at+"warm_for", f.SlowStartWindow)
	c.positive(at+"idle_close", f.IdleClose)
}

func (c *checker) checkReports() {
	for _, f := range c.scenario.Reports.Fields {
		c.oneOf("reports.fields", f, "inflight", "queue", "util", "latency_ms")
	}
	c.positive("reports.period", c.scenario.Reports.Period)
	c.fraction("reports.noise", c.scenario.Reports.Noise)
}

func (c *checker) checkRules() {
	d := &c.scenario.Discovery
	c.positive("discovery.period", d.UpdateInterval)
	c.require(d.CallTime >= 0 && d.EntryTime >= 0 && d.ChangeDelay >= 0, "discovery", "times of at least 0", "less")
	r := &c.scenario.Rules
	c.positive("rules.stop_sending", r.StopSending)
	c.positive("rules.ask_within", r.PollWithin)
	c.positive("rules.fall_after", r.CrashWindow)
	c.positive("rules.connect_within", r.ConnectTimeout)
	c.atLeast("rules.fall_multiple", r.CrashMultiple, 1)
	c.oneOf("rules.fall_slack", r.CrashSlack, "tight", "chance")
	c.require(r.MaxAttempts >= 1, "rules.most_hand_offs", "at least 1", r.MaxAttempts)
}

func (c *checker) checkLoad() {
	l := &c.scenario.Load
	c.require(l.Rate > 0 && l.Rate <= 100000, "load.rate", "above 0, 100,000 at most", l.Rate)
	c.oneOf("load.shape", l.Shape, "steady", "wave", "burst", "month-end")
	c.fraction("load.swing", l.Swing)
	c.fraction("load.hot_key", l.HotKeyShare)
	c.require(l.NodeSkew >= 0 && l.NodeSkew <= 3, "load.uneven", "from 0 to 3", l.NodeSkew)
	c.positive("load.period", l.Period)
	c.require(l.Body >= 0 && l.Body <= maxBody, "load.body", "0 to 65,536 bytes", l.Body)
	even := len(l.ZoneShare) == 0
	c.require(even || len(l.ZoneShare) == len(c.scenario.Network.Zones), "load.zone_share", "one for each zone", l.ZoneShare)
}

func (c *checker) checkClasses() {
	c.require(len(c.scenario.Classes) > 0, "category", "at least one [[category]]", "none")
	names := map[string]bool{}
	for i := range c.scenario.Classes {
		k, at := &c.scenario.Classes[i], fmt.Sprintf("category.%d.", i)
		valid := k.Name != "" && !names[k.Name] && !strings.ContainsAny(k.Name, "/ \r\n")
		c.require(valid, at+"name", "a name of its own", fmt.Sprintf("%q", k.Name))
		names[k.Name] = true
		c.checkClass(at, k)
	}
	for i := range c.scenario.Tenants {
		t := &c.scenario.Tenants[i]
		c.require(t.Name != "" && t.Share > 0, fmt.Sprintf("customer.%d", i), "a name and a share above 0", t.Name)
	}
}

func (c *checker) checkClass(at string, k *Class) {
	c.oneOf(at+"repeat", k.Idempotency, Idempotent, IdempotentByKey, NonIdempotent)
	if k.Idempotency == IdempotentByKey {
		c.oneOf(at+"group", k.DedupGroup, "fleet", "zone", "pod")
		c.positive(at+"memory", k.DedupWindow)
	}
	c.positive(at+"soft_limit", k.LatencyObjective)
	inOrder := k.Deadline >= k.LatencyObjective && k.Deadline.Std() <= maxDeadline
	c.require(inOrder, at+"hard_limit", "no less than soft_limit, 10m at most", k.Deadline.Std())
	c.positive(at+"work", k.Work)
	c.fraction(at+"vary", k.WorkSpread)
	c.fraction(at+"hand_noise", k.AttemptNoise)
	c.require(k.Share > 0, at+"share", "a number above 0", k.Share)
	c.require(k.PriorityWeight > 0, at+"earnings", "a number above 0", k.PriorityWeight)
}

func (c *checker) checkClients() {
	k := &c.scenario.Clients
	c.require(k.Retries >= 0 && k.Retries <= 10, "clients.retries", "0 to 10", k.Retries)
	c.fraction("clients.honour", k.HonorShare)
	c.fraction("clients.leave", k.CancelShare)
	c.fraction("clients.once", k.OneShotShare)
	share := k.RequestTimeoutShare
	c.require(share > 0 && share <= 1, "clients.try_share", "a part above 0", share)
	c.require(k.MaxConnections >= 1, "clients.connections", "at least 1", k.MaxConnections)
}

func (c *checker) checkExpect() {
	e := &c.scenario.Expect
	c.fraction("expect.earnings_in_time_min", e.MinWeightInTime)
	c.fraction("expect.satisfied_min", e.MinSucceeded)
	c.fraction("expect.declined_max", e.MaxRejected)
	c.fraction("expect.bad_unanswered_max", e.MaxBadUnanswered)
	powerLoss := slices.ContainsFunc(c.scenario.Faults, func(f Fault) bool { return f.Kind == "power" })
	c.require(e.RecoverWithin >= 0 && (powerLoss || e.RecoverWithin == 0),
		"expect.back_within", "a time, where a fault is a loss of power", e.RecoverWithin.Std())
}

// CheckOnSockets tells what keeps a scenario from being run on sockets; nil if nothing does.
func (s *Scenario) CheckOnSockets() error {
	switch endpoints := len(s.EndpointNames()); {
	case s.Nodes.Count > maxNodesOnSockets:
		return s.fileError("nodes.count", "1 to 40 on sockets", s.Nodes.Count)
	case endpoints*s.Nodes.Count > maxListenersOnSockets:
		return s.fileError("fleet", "no more than 8,192 servers over the number of nodes on sockets", endpoints)
	case s.Nodes.ClockSkew > 0 || s.Reports.HealthChecked:
		return s.fileError("nodes", "no skew or probed reports on sockets", "one of them")
	}
	for i := range s.Faults {
		if s.Faults[i].Kind == "clock" {
			key := fmt.Sprintf("fault.%d.kind", i)
			return s.fileError(key, "no clock on sockets, as processes share the system's", `"clock"`)
		}
	}
	return nil
}

// WithNodes changes the number of nodes, keeping the rest. Nodes are then spread over the zones in turn, and faults that
// name nodes by number keep those that there are.
func (s *Scenario) WithNodes(count int) error {
	s.Nodes.Count, s.Nodes.Zones = count, nil
	for i := range s.Faults {
		nodes := slices.Clone(s.Faults[i].Nodes)
		s.Faults[i].Nodes = slices.DeleteFunc(nodes, func(n int) bool { return n >= count })
	}
	return s.check()
}
