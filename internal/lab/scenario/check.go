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

	// When emulated, each node is a process, and each endpoint has a listener for each node.
	maxNodesOnSockets     = 40
	maxListenersOnSockets = 8192
)

// fileError returns an error about the value of a key. Its line is that of the key, or of the table that lacks the key.
func (s *Scenario) fileError(key, want string, got any) *FileError {
	line := s.lines[key]
	for prefix := key; line == 0 && strings.Contains(prefix, "."); line = s.lines[prefix] {
		prefix = prefix[:strings.LastIndex(prefix, ".")]
	}
	return &FileError{s.Path, line, fmt.Sprintf("%s: expected %s, got %v", key, want, got)}
}

// checker collects all errors of a scenario.
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
	c.require(v >= 0 && v <= 1, key, "a fraction from 0 to 1", v)
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

// err joins the errors in the order of their lines; nil if there are none.
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
	c.require(len(n.Zones) == 0 || len(n.Zones) == n.Count, "nodes.zones", "one zone for each node", n.Zones)
	for _, z := range n.Zones {
		c.zone("nodes.zones", z)
	}
	c.require(!n.NoList || !n.StaleList, "nodes.no_list", "either no_list or old_list", "both")
	c.require(n.Sockets >= 32, "nodes.sockets", "at least 32", n.Sockets)
	c.require(n.MemoryMB >= 16, "nodes.memory_mb", "at least 16", n.MemoryMB)
	period := n.ProtocolPeriod
	c.require(period >= milliseconds(50) && period <= milliseconds(60000), "nodes.round", "a time from 50ms to 1m", period.Std())
}

func (c *checker) checkFleets() {
	c.require(len(c.scenario.Fleets) > 0, "fleet", "at least one [[fleet]]", "none")
	total, names := 0, map[string]bool{}
	for i := range c.scenario.Fleets {
		f, prefix := &c.scenario.Fleets[i], fmt.Sprintf("fleet.%d.", i)
		total += f.Count
		c.require(!names[f.Name], prefix+"name", "a name that is unique among the fleets", fmt.Sprintf("%q", f.Name))
		names[f.Name] = true
		c.checkFleet(prefix, f)
	}
	c.require(total >= 1 && total <= maxEndpoints, "fleet", "1 to 8,192 servers in all", total)
}

func (c *checker) checkFleet(prefix string, f *Fleet) {
	c.require(f.Count >= 1, prefix+"count", "at least 1", f.Count)
	for _, z := range f.Zones {
		c.zone(prefix+"zones", z)
	}
	c.require(f.Cores >= 1 && f.Cores <= 1024, prefix+"cores", "1 to 1,024", f.Cores)
	c.require(f.Speed > 0, prefix+"speed", "a number above 0", f.Speed)
	c.require(f.Concurrency >= 1, prefix+"places", "at least 1", f.Concurrency)
	c.require(f.QueueLimit >= 0, prefix+"waiting", "at least 0", f.QueueLimit)
	c.require(f.Spread >= 0 && f.Spread < 1, prefix+"spread", "a fraction from 0 to less than 1", f.Spread)
	c.fraction(prefix+"error_share", f.ErrorShare)
	capacity := f.SlowStartCapacity
	c.require(capacity > 0 && capacity <= 1, prefix+"cold_from", "a fraction above 0, 1 at most", capacity)
	c.require(f.Connections >= 1, prefix+"connections", "at least 1", f.Connections)
	c.oneOf(prefix+"cancel", f.Cancel, "nothing", "waiting", "work")
	c.positive(prefix+"warm_for", f.SlowStartWindow)
	c.positive(prefix+"idle_close", f.IdleClose)
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
	c.require(even || len(l.ZoneShare) == len(c.scenario.Network.Zones), "load.zone_share", "one number for each zone", l.ZoneShare)
}

func (c *checker) checkClasses() {
	c.require(len(c.scenario.Classes) > 0, "category", "at least one [[category]]", "none")
	names := map[string]bool{}
	for i := range c.scenario.Classes {
		class, prefix := &c.scenario.Classes[i], fmt.Sprintf("category.%d.", i)
		valid := class.Name != "" && !names[class.Name] && !strings.ContainsAny(class.Name, "/ \r\n")
		c.require(valid, prefix+"name", "a unique name without blanks or slashes", fmt.Sprintf("%q", class.Name))
		names[class.Name] = true
		c.checkClass(prefix, class)
	}
	for i := range c.scenario.Tenants {
		t := &c.scenario.Tenants[i]
		c.require(t.Name != "" && t.Share > 0, fmt.Sprintf("customer.%d", i), "a name and a share above 0", t.Name)
	}
}

func (c *checker) checkClass(prefix string, class *Class) {
	c.oneOf(prefix+"repeat", class.Idempotency, Idempotent, IdempotentByKey, NonIdempotent)
	if class.Idempotency == IdempotentByKey {
		c.oneOf(prefix+"group", class.DedupGroup, "fleet", "zone", "pod")
		c.positive(prefix+"memory", class.DedupWindow)
	}
	c.positive(prefix+"soft_limit", class.LatencyObjective)
	inOrder := class.Deadline >= class.LatencyObjective && class.Deadline.Std() <= maxDeadline
	c.require(inOrder, prefix+"hard_limit", "at least soft_limit, 10m at most", class.Deadline.Std())
	c.positive(prefix+"work", class.Work)
	c.fraction(prefix+"vary", class.WorkSpread)
	c.fraction(prefix+"hand_noise", class.AttemptNoise)
	c.require(class.Share > 0, prefix+"share", "a number above 0", class.Share)
	c.require(class.PriorityWeight > 0, prefix+"earnings", "a number above 0", class.PriorityWeight)
}

func (c *checker) checkClients() {
	clients := &c.scenario.Clients
	c.require(clients.Retries >= 0 && clients.Retries <= 10, "clients.retries", "0 to 10", clients.Retries)
	c.fraction("clients.honour", clients.HonorShare)
	c.fraction("clients.leave", clients.CancelShare)
	c.fraction("clients.once", clients.OneShotShare)
	share := clients.RequestTimeoutShare
	c.require(share > 0 && share <= 1, "clients.try_share", "a fraction above 0, 1 at most", share)
	c.require(clients.MaxConnections >= 1, "clients.connections", "at least 1", clients.MaxConnections)
}

func (c *checker) checkExpect() {
	e := &c.scenario.Expect
	c.fraction("expect.earnings_in_time_min", e.MinWeightInTime)
	c.fraction("expect.satisfied_min", e.MinSucceeded)
	c.fraction("expect.declined_max", e.MaxRejected)
	c.fraction("expect.bad_unanswered_max", e.MaxBadUnanswered)
	powerLoss := slices.ContainsFunc(c.scenario.Faults, func(f Fault) bool { return f.Kind == "power" })
	c.require(e.RecoverWithin >= 0 && (powerLoss || e.RecoverWithin == 0),
		"expect.back_within", "a time of at least 0, and 0 without a power fault", e.RecoverWithin.Std())
}

// CheckOnSockets returns an error if the scenario can be simulated but not emulated on sockets.
func (s *Scenario) CheckOnSockets() error {
	switch endpoints := len(s.EndpointNames()); {
	case s.Nodes.Count > maxNodesOnSockets:
		return s.fileError("nodes.count", "1 to 40 on sockets", s.Nodes.Count)
	case endpoints*s.Nodes.Count > maxListenersOnSockets:
		return s.fileError("fleet", "at most 8,192 servers divided by the number of nodes on sockets", endpoints)
	case s.Nodes.ClockSkew > 0 || s.Reports.HealthChecked:
		return s.fileError("nodes", "neither skew nor probed reports on sockets", "one of them")
	}
	for i := range s.Faults {
		if s.Faults[i].Kind == "clock" {
			key := fmt.Sprintf("fault.%d.kind", i)
			return s.fileError(key, "a kind other than clock on sockets, where all nodes share the system clock", `"clock"`)
		}
	}
	return nil
}

// WithNodes changes the number of nodes and checks the scenario again. Nodes are then assigned to the zones in turn,
// and faults drop the numbers of nodes that do not exist.
func (s *Scenario) WithNodes(count int) error {
	s.Nodes.Count, s.Nodes.Zones = count, nil
	for i := range s.Faults {
		nodes := slices.Clone(s.Faults[i].Nodes)
		s.Faults[i].Nodes = slices.DeleteFunc(nodes, func(n int) bool { return n >= count })
	}
	return s.check()
}
