package scenario

// This file owns the check of a file: strict decoding, impossible figures, faults that name nobody. It must find the
// line of what is wrong and say what was expected; it never mends a file.

import (
	"bytes"
	"cmp"
	"errors"
	"fawnglade/internal/lab/netfault"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Kinds of fault, with what each must name: servers, nodes, or nothing for what is there once.
var FaultKinds = map[string]string{
	"slow": "servers", "silent": "servers", "fail": "servers", "pause": "servers", "reset": "servers", "cut": "servers",
	"die": "servers", "replace": "servers", "drain": "servers", "unlisted": "servers", "crowd": "servers",
	"spoil": "servers", "turn-away": "servers", "restart-servers": "servers",
	"discovery-down": "", "discovery-move": "", "discovery-slow": "",
	"kill": "nodes", "stop": "nodes", "freeze": "nodes", "cut-node": "nodes",
	"bad-clients": "", "wait": "", "lists-late": "",
	"power": "power", "clock": "nodes", "state": "nodes",
	"link-cut": "ways", "link-drop": "ways", "link-delay": "ways", "link-twice": "ways", "link-reorder": "ways", "link-spoil": "ways",
	"link-narrow": "ways",
}

// StateKinds are what can become of a node's directory.
var StateFaultKinds = []string{"lost", "torn", "older"}

// SpoilKinds are the ways in which an answer can be spoilt; SoundKinds those that bring more than the answer.
var (
	CorruptKinds = []string{"noise", "endless-head", "short", "long"}
	IntactKinds  = []string{"twice", "interim", "bad-report", "other-body"}
)

// Mistake is what is wrong in a file.
type Mistake struct {
	Path string
	Line int // 0 if it lies in no one line
	What string
}

func (m *Mistake) Error() string {
	if m.Line == 0 {
		return fmt.Sprintf("%s: %s", m.Path, m.What)
	}
	return fmt.Sprintf("%s:%d: %s", m.Path, m.Line, m.What)
}

// Parse decodes and checks a file's text.
func Parse(path string, text []byte) (*Scenario, error) {
	s := Default()
	s.Path = path
	in := toml.NewDecoder(bytes.NewReader(text))
	in.DisallowUnknownFields()
	if err := in.Decode(s); err != nil {
		var strict *toml.StrictMissingError
		var decode *toml.DecodeError
		switch {
		case errors.As(err, &strict):
			line, _ := strict.Errors[0].Position()
			return nil, &Mistake{path, line, fmt.Sprintf("unknown key %s; expected one of the keys that docs/operate/lab.md lists",
				strings.Join(strict.Errors[0].Key(), "."))}
		case errors.As(err, &decode):
			line, _ := decode.Position()
			return nil, &Mistake{path, line, strings.TrimPrefix(decode.Error(), "toml: ")}
		}
		return nil, &Mistake{path, 0, strings.TrimPrefix(err.Error(), "toml: ")}
	}
	s.lines = linesOf(text)
	for i := range s.Fleets {
		fleetDefault(&s.Fleets[i])
		if len(s.Fleets[i].Zones) == 0 {
			s.Fleets[i].Zones = s.Network.Zones
		}
	}
	for i := range s.Classes {
		classDefault(&s.Classes[i])
	}
	for i := range s.Tenants {
		setDefault(&s.Tenants[i].Quota, s.Tenants[i].Share)
	}
	for i := range s.Faults {
		faultDefault(&s.Faults[i])
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

func faultDefault(f *Fault) {
	setDefault(&f.AttemptShare, 1)
	switch f.Kind {
	case "slow":
		setDefault(&f.Factor, 0.2)
	case "discovery-slow":
		setDefault(&f.Factor, 20)
	case "crowd":
		setDefault(&f.Factor, 0.5)
	case "bad-clients":
		setDefault(&f.Rate, 20)
	case "lists-late":
		setDefault(&f.Wait, ms(3000))
	case "clock":
		setDefault(&f.Factor, 1)
	case "link-drop", "link-spoil", "link-twice", "link-reorder":
		setDefault(&f.Share, 0.3)
	}
	if strings.HasPrefix(f.Kind, "link-") {
		if hows := netfault.Variants[netfault.Kind(f.Kind)]; len(hows) > 0 {
			setDefault(&f.How, hows[0])
		}
		setDefault(&f.Burst, 1)
	}
}

// linesOf tells where each key stands, as path with an index for each repeated table.
func linesOf(text []byte) map[string]int {
	lines, seen, prefix := map[string]int{}, map[string]int{}, ""
	var p unstable.Parser
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for key := e.Key(); key.Next(); {
			parts = append(parts, string(key.Node().Data))
			line = p.Shape(key.Node().Raw).Start.Line
		}
		path := strings.Join(parts, ".")
		switch e.Kind {
		case unstable.Table:
			prefix = path + "."
			lines[path] = line
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s.%d.", path, seen[path])
			lines[strings.TrimSuffix(prefix, ".")] = line
			seen[path]++
		case unstable.KeyValue:
			lines[prefix+path] = line
		}
	}
	return lines
}

// complaint makes a mistake of a key, or of the table that lacks it.
func (s *Scenario) complaint(key, want string, got any) *Mistake {
	line := s.lines[key]
	for at := key; line == 0 && strings.Contains(at, "."); line = s.lines[at] {
		at = at[:strings.LastIndex(at, ".")]
	}
	return &Mistake{s.Path, line, fmt.Sprintf("%s: expected %s, got %v", key, want, got)}
}

// checker keeps all complaints.
type checker struct {
	s   *Scenario
	all []error
}

func (c *checker) must(holds bool, key, want string, got any) {
	if !holds {
		c.all = append(c.all, c.s.complaint(key, want, got))
	}
}

func (c *checker) part(key string, v float64) { c.must(v >= 0 && v <= 1, key, "a part from 0 to 1", v) }

func (c *checker) positive(key string, v Duration) {
	c.must(v > 0, key, "a time above 0", v.Std())
}

func (c *checker) atLeast(key string, v, least float64) {
	c.must(v >= least && v < 1e9, key, fmt.Sprintf("a number of at least %g", least), v)
}

func (c *checker) oneOf(key, v string, of ...string) {
	c.must(slices.Contains(of, v), key, "one of "+strings.Join(of, ", "), fmt.Sprintf("%q", v))
}

func (c *checker) zone(key, v string) {
	c.must(slices.Contains(c.s.Network.Zones, v), key, "a zone of network.zones", fmt.Sprintf("%q", v))
}

func (s *Scenario) check() error {
	c := &checker{s: s}
	c.must(s.Name != "", "name", "a name", "none")
	c.must(s.Length >= Duration(1e9) && s.Length <= Duration(3600e9), "length", "a time from 1s to 1h", s.Length.Std())
	n := &s.Network
	c.must(len(n.Zones) > 0 && len(n.Zones) <= 16, "network.zones", "1 to 16 zones", len(n.Zones))
	c.must(n.SameZone >= 0 && n.CrossZone >= 0 && n.Client >= 0, "network", "delays of at least 0", "less")
	c.part("network.jitter", n.Jitter)
	c.must(s.Nodes.Count >= 1 && s.Nodes.Count <= 1024, "nodes.count", "1 to 1,024", s.Nodes.Count)
	c.must(len(s.Nodes.Zones) == 0 || len(s.Nodes.Zones) == s.Nodes.Count, "nodes.zones", "one for each node", s.Nodes.Zones)
	for _, z := range s.Nodes.Zones {
		c.zone("nodes.zones", z)
	}
	c.must(!s.Nodes.NoList || !s.Nodes.StaleList, "nodes.no_list", "not old_list beside it", "both")
	c.must(s.Nodes.Sockets >= 32, "nodes.sockets", "at least 32", s.Nodes.Sockets)
	c.must(s.Nodes.MemoryMB >= 16, "nodes.memory_mb", "at least 16", s.Nodes.MemoryMB)
	c.must(s.Nodes.ProtocolPeriod >= ms(50) && s.Nodes.ProtocolPeriod <= ms(60000), "nodes.round", "a time from 50ms to 1m", s.Nodes.ProtocolPeriod.Std())
	c.must(len(s.Fleets) > 0, "fleet", "at least one [[fleet]]", "none")
	total, names := 0, map[string]bool{}
	for i := range s.Fleets {
		total += s.Fleets[i].Count
		s.checkFleet(c, fmt.Sprintf("fleet.%d.", i), &s.Fleets[i], names)
	}
	c.must(total >= 1 && total <= 8192, "fleet", "1 to 8,192 servers", total)
	for _, f := range s.Reports.Fields {
		c.oneOf("reports.fields", f, "inflight", "queue", "util", "latency_ms")
	}
	c.positive("reports.period", s.Reports.Period)
	c.part("reports.noise", s.Reports.Noise)
	d := &s.Discovery
	c.positive("discovery.period", d.UpdateInterval)
	c.must(d.CallTime >= 0 && d.EntryTime >= 0 && d.ChangeDelay >= 0, "discovery", "times of at least 0", "less")
	r := &s.Rules
	c.positive("rules.stop_sending", r.StopSending)
	c.positive("rules.ask_within", r.PollWithin)
	c.positive("rules.fall_after", r.CrashWindow)
	c.positive("rules.connect_within", r.ConnectTimeout)
	c.atLeast("rules.fall_multiple", r.CrashMultiple, 1)
	c.oneOf("rules.fall_slack", r.CrashSlack, "tight", "chance")
	c.must(r.MaxAttempts >= 1, "rules.most_hand_offs", "at least 1", r.MaxAttempts)
	s.checkLoad(c)
	for i := range s.Faults {
		s.checkFault(c, fmt.Sprintf("fault.%d.", i), &s.Faults[i])
	}
	s.checkLinkFaults(c)
	c.part("expect.earnings_in_time_min", s.Expect.WeightInTime)
	c.part("expect.satisfied_min", s.Expect.Succeeded)
	c.part("expect.declined_max", s.Expect.Rejected)
	c.part("expect.bad_unanswered_max", s.Expect.BadUnanswered)
	lost := slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.Kind == "power" })
	c.must(s.Expect.RecoverWithin >= 0 && (lost || s.Expect.RecoverWithin == 0), "expect.back_within", "a time, where a fault is a loss of power", s.Expect.RecoverWithin.Std())
	slices.SortStableFunc(c.all, func(a, b error) int { return cmp.Compare(a.(*Mistake).Line, b.(*Mistake).Line) })
	return errors.Join(c.all...)
}

func (s *Scenario) checkFleet(c *checker, at string, f *Fleet, names map[string]bool) {
	c.must(!names[f.Name], at+"name", "a name that no other fleet has", fmt.Sprintf("%q", f.Name))
	names[f.Name] = true
	c.must(f.Count >= 1, at+"count", "at least 1", f.Count)
	for _, z := range f.Zones {
		c.zone(at+"zones", z)
	}
	c.must(f.Cores >= 1 && f.Cores <= 1024, at+"cores", "1 to 1,024", f.Cores)
	c.must(f.Speed > 0, at+"speed", "a number above 0", f.Speed)
	c.must(f.Concurrency >= 1, at+"places", "at least 1", f.Concurrency)
	c.must(f.QueueLimit >= 0, at+"waiting", "at least 0", f.QueueLimit)
	c.must(f.Spread >= 0 && f.Spread < 1, at+"spread", "a part from 0 to under 1", f.Spread)
	c.part(at+"error_share", f.ErrorShare)
	c.must(f.SlowStartCapacity > 0 && f.SlowStartCapacity <= 1, at+"cold_from", "a part above 0, 1 at most", f.SlowStartCapacity)
	c.must(f.Connections >= 1, at+"connections", "at least 1", f.Connections)
	c.oneOf(at+"cancel", f.Cancel, "nothing", "waiting", "work")
	c.positive(at+"warm_for", f.SlowStartWindow)
	c.positive(at+"idle_close", f.IdleClose)
}

func (s *Scenario) checkLoad(c *checker) {
	l := &s.Load
	c.must(l.Rate > 0 && l.Rate <= 100000, "load.rate", "above 0, 100,000 at most", l.Rate)
	c.oneOf("load.shape", l.Shape, "steady", "wave", "burst", "month-end")
	c.part("load.swing", l.Swing)
	c.part("load.hot_key", l.HotKeyShare)
	c.must(l.NodeSkew >= 0 && l.NodeSkew <= 3, "load.uneven", "from 0 to 3", l.NodeSkew)
	c.positive("load.period", l.Period)
	c.must(l.Body >= 0 && l.Body <= 64<<10, "load.body", "0 to 65,536 bytes", l.Body)
	c.must(len(l.ZoneShare) == 0 || len(l.ZoneShare) == len(s.Network.Zones), "load.zone_share", "one for each zone", l.ZoneShare)
	c.must(len(s.Classes) > 0, "category", "at least one [[category]]", "none")
	names := map[string]bool{}
	for i := range s.Classes {
		k, at := &s.Classes[i], fmt.Sprintf("category.%d.", i)
		c.must(k.Name != "" && !names[k.Name] && !strings.ContainsAny(k.Name, "/ \r\n"), at+"name", "a name of its own", fmt.Sprintf("%q", k.Name))
		names[k.Name] = true
		c.oneOf(at+"repeat", k.Idempotency, "rerunnable", "ticketed", "exclusive")
		if k.Idempotency == "ticketed" {
			c.oneOf(at+"group", k.DedupGroup, "fleet", "zone", "pod")
			c.positive(at+"memory", k.DedupWindow)
		}
		c.positive(at+"soft_limit", k.LatencyObjective)
		c.must(k.Deadline >= k.LatencyObjective && k.Deadline <= Duration(600e9), at+"hard_limit", "no less than soft_limit, 10m at most", k.Deadline.Std())
		c.positive(at+"work", k.Work)
		c.part(at+"vary", k.WorkSpread)
		c.part(at+"hand_noise", k.AttemptNoise)
		c.must(k.Share > 0, at+"share", "a number above 0", k.Share)
		c.must(k.PriorityWeight > 0, at+"earnings", "a number above 0", k.PriorityWeight)
	}
	for i := range s.Tenants {
		c.must(s.Tenants[i].Name != "" && s.Tenants[i].Share > 0, fmt.Sprintf("customer.%d", i), "a name and a share above 0", s.Tenants[i].Name)
	}
	c.must(s.Clients.Retries >= 0 && s.Clients.Retries <= 10, "clients.retries", "0 to 10", s.Clients.Retries)
	c.part("clients.honour", s.Clients.HonorShare)
	c.part("clients.leave", s.Clients.LeaveShare)
	c.part("clients.once", s.Clients.OneShotShare)
	c.must(s.Clients.RequestTimeoutShare > 0 && s.Clients.RequestTimeoutShare <= 1, "clients.try_share", "a part above 0", s.Clients.RequestTimeoutShare)
	c.must(s.Clients.MaxConnections >= 1, "clients.connections", "at least 1", s.Clients.MaxConnections)
}

func (s *Scenario) checkFault(c *checker, at string, f *Fault) {
	names, known := FaultKinds[f.Kind]
	var all []string
	for k := range FaultKinds {
		all = append(all, k)
	}
	slices.Sort(all)
	if c.must(known, at+"kind", "one of "+strings.Join(all, ", "), fmt.Sprintf("%q", f.Kind)); !known {
		return
	}
	c.must(f.At >= 0 && f.At < s.Length, at+"at", "a time within the day", f.At.Std())
	c.must(f.For >= 0, at+"for", "a time of at least 0", f.For.Std())
	if names == "ways" {
		return // checkWays has the rest
	}
	c.must(len(f.From)+len(f.To) == 0, at+"from", "none, as the fault is of no way", f.From)
	c.part(at+"share", f.Share)
	c.part(at+"hand_offs", f.AttemptShare)
	c.must(f.Factor >= 0, at+"factor", "a number of at least 0", f.Factor)
	if f.Zone != "" {
		c.zone(at+"zone", f.Zone)
	}
	switch names {
	case "servers":
		c.must(len(f.Nodes) == 0, at+"nodes", "none, as the fault is the servers'", f.Nodes)
		for _, name := range f.Endpoints {
			c.must(slices.Contains(s.EndpointNames(), name), at+"servers", "names such as "+s.EndpointNames()[0], fmt.Sprintf("%q", name))
		}
		c.must(len(f.Endpoints) > 0 || f.Count > 0 || f.Share > 0 || f.Zone != "", at+"servers", "servers, a count, a share or a zone", "a fault that names nobody")
		c.must(f.Count <= len(s.EndpointNames()), at+"count", "no more than there are servers", f.Count)
	case "nodes":
		for _, i := range f.Nodes {
			c.must(i >= 0 && i < s.Nodes.Count, at+"nodes", fmt.Sprintf("numbers from 0 to %d", s.Nodes.Count-1), i)
		}
		c.must(len(f.Nodes) > 0 || f.Count > 0 || f.Share > 0 || f.Zone != "" && f.Kind != "cut-node", at+"nodes", "numbers of nodes, a count, a share or a zone", "a fault that names nobody")
	}
	switch f.Kind {
	case "power":
		for _, i := range f.Nodes {
			c.must(i >= 0 && i < s.Nodes.Count, at+"nodes", fmt.Sprintf("numbers from 0 to %d", s.Nodes.Count-1), i)
		}
		for _, name := range f.Endpoints {
			c.must(slices.Contains(s.EndpointNames(), name), at+"servers", "names such as "+s.EndpointNames()[0], fmt.Sprintf("%q", name))
		}
		c.must(f.NodesBack >= 0 && f.EndpointsBack >= 0 && f.DiscoveryBack >= 0 && f.Each >= 0, at+"nodes_back", "times of at least 0", "less")
	case "clock":
		c.must(f.Wait != 0 || f.Factor != 1, at+"wait", "a step, or a factor for its drift", "neither")
		c.must(f.Factor > 0.5 && f.Factor < 2, at+"factor", "between 0.5 and 2", f.Factor)
	case "state":
		c.oneOf(at+"how", f.How, StateFaultKinds...)
	}
	if f.Kind == "wait" {
		c.positive(at+"wait", f.Wait)
		c.must((f.Class == "") != (f.Tenant == ""), at+"category", "a category or a customer", "neither or both")
		c.must(f.Class == "" || slices.ContainsFunc(s.Classes, func(k Class) bool { return k.Name == f.Class }), at+"category", "a category's name", f.Class)
		c.must(f.Tenant == "" || slices.ContainsFunc(s.Tenants, func(k Tenant) bool { return k.Name == f.Tenant }), at+"customer", "a customer's name", f.Tenant)
	}
	if f.Kind == "spoil" {
		c.oneOf(at+"how", f.How, append(slices.Clone(CorruptKinds), IntactKinds...)...)
	}
}

// ServerNames lists the servers of the day's beginning in their order.
func (s *Scenario) EndpointNames() []string {
	var names []string
	for i := range s.Fleets {
		for n := range s.Fleets[i].Count {
			names = append(names, fmt.Sprintf("%s-%d", s.Fleets[i].Name, n))
		}
	}
	return names
}

// OnSockets tells what keeps a day from being played on sockets, nil if nothing does.
func (s *Scenario) OnSockets() error {
	switch servers := len(s.EndpointNames()); {
	case s.Nodes.Count > 40:
		return s.complaint("nodes.count", "1 to 40 on sockets", s.Nodes.Count)
	case servers*s.Nodes.Count > 8192:
		return s.complaint("fleet", "no more than 8,192 servers over the number of nodes on sockets", servers)
	case s.Nodes.ClockSkew > 0 || s.Reports.HealthChecked:
		return s.complaint("nodes", "no skew or probed reports on sockets", "one of them")
	}
	for i := range s.Faults {
		if s.Faults[i].Kind == "clock" {
			return s.complaint(fmt.Sprintf("fault.%d.kind", i), "no clock on sockets, as processes share the system's", `"clock"`)
		}
	}
	return nil
}

// WithNodes changes the number of nodes, keeping the rest. Nodes are then spread over the zones in turn, and faults that name
// nodes by number keep those that there are.
func (s *Scenario) WithNodes(count int) error {
	s.Nodes.Count, s.Nodes.Zones = count, nil
	for i := range s.Faults {
		s.Faults[i].Nodes = slices.DeleteFunc(slices.Clone(s.Faults[i].Nodes), func(n int) bool { return n >= count })
	}
	return s.check()
}
