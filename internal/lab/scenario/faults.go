package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// FaultTarget is what faults of a kind hit, and so what their table must name.
type FaultTarget int

// The targets. Faults of NoTarget hit what there is once, such as discovery.
const (
	NoTarget FaultTarget = iota
	EndpointTarget
	NodeTarget
	PowerTarget // endpoints, nodes and discovery
	LinkTarget
)

// FaultTargets has the target of each kind of fault.
var FaultTargets = map[string]FaultTarget{
	"slow": EndpointTarget, "silent": EndpointTarget, "fail": EndpointTarget, "pause": EndpointTarget,
	"reset": EndpointTarget, "cut": EndpointTarget, "die": EndpointTarget, "replace": EndpointTarget,
	"drain": EndpointTarget, "unlisted": EndpointTarget, "crowd": EndpointTarget, "spoil": EndpointTarget,
	"turn-away": EndpointTarget, "restart-servers": EndpointTarget,

	"discovery-down": NoTarget, "discovery-move": NoTarget, "discovery-slow": NoTarget,
	"bad-clients": NoTarget, "wait": NoTarget, "lists-late": NoTarget,

	"kill": NodeTarget, "stop": NodeTarget, "freeze": NodeTarget, "cut-node": NodeTarget,
	"clock": NodeTarget, "state": NodeTarget,

	"power": PowerTarget,

	"link-cut": LinkTarget, "link-drop": LinkTarget, "link-delay": LinkTarget, "link-twice": LinkTarget,
	"link-reorder": LinkTarget, "link-spoil": LinkTarget, "link-narrow": LinkTarget,
}

// StateFaultKinds are what can become of a node's state directory.
var StateFaultKinds = []string{"lost", "torn", "older"}

// CorruptKinds are the ways in which a response can be corrupt; with IntactKinds it is whole, beside what should not be
// there.
var (
	CorruptKinds = []string{"noise", "endless-head", "short", "long"}
	IntactKinds  = []string{"twice", "interim", "bad-report", "other-body"}
)

func (c *checker) checkFault(at string, f *Fault) {
	target, known := FaultTargets[f.Kind]
	if !known {
		kinds := slices.Sorted(maps.Keys(FaultTargets))
		c.require(false, at+"kind", "one of "+strings.Join(kinds, ", "), fmt.Sprintf("%q", f.Kind))
		return
	}
	c.require(f.At >= 0 && f.At < c.scenario.Length, at+"at", "a time within the day", f.At.Std())
	c.require(f.For >= 0, at+"for", "a time of at least 0", f.For.Std())
	if target == LinkTarget {
		return // checkLinkFaults has the rest
	}
	c.require(len(f.From)+len(f.To) == 0, at+"from", "none, as the fault is of no way", f.From)
	c.fraction(at+"share", f.Share)
	c.fraction(at+"hand_offs", f.AttemptShare)
	c.require(f.Factor >= 0, at+"factor", "a number of at least 0", f.Factor)
	if f.Zone != "" {
		c.zone(at+"zone", f.Zone)
	}
	switch target {
	case EndpointTarget:
		c.checkEndpointFault(at, f)
	case NodeTarget:
		c.checkNodeFault(at, f)
	}
	c.checkFaultKind(at, f)
}

// StopAmidSignals is the Fault.How of a stop among other signals: a reload, a print of the counters, further stops.
const StopAmidSignals = "signals"

const noTargetNamed = "a fault that names nobody"

func (c *checker) checkEndpointFault(at string, f *Fault) {
	c.require(len(f.Nodes) == 0, at+"nodes", "none, as the fault is the servers'", f.Nodes)
	c.checkEndpointNames(at, f)
	named := len(f.Endpoints) > 0 || f.Count > 0 || f.Share > 0 || f.Zone != ""
	c.require(named, at+"servers", "servers, a count, a share or a zone", noTargetNamed)
	c.require(f.Count <= len(c.scenario.EndpointNames()), at+"count", "no more than there are servers", f.Count)
}

func (c *checker) checkNodeFault(at string, f *Fault) {
	c.checkNodeNumbers(at, f)
	byZone := f.Zone != "" && f.Kind != "cut-node" // which takes the zone for the endpoints that are cut off
	named := len(f.Nodes) > 0 || f.Count > 0 || f.Share > 0 || byZone
	c.require(named, at+"nodes", "numbers of nodes, a count, a share or a zone", noTargetNamed)
}

func (c *checker) checkEndpointNames(at string, f *Fault) {
	names := c.scenario.EndpointNames()
	for _, name := range f.Endpoints {
		c.require(slices.Contains(names, name), at+"servers", "names such as "+names[0], fmt.Sprintf("%q", name))
	}
}

func (c *checker) checkNodeNumbers(at string, f *Fault) {
	count := c.scenario.Nodes.Count
	for _, i := range f.Nodes {
		c.require(i >= 0 && i < count, at+"nodes", fmt.Sprintf("numbers from 0 to %d", count-1), i)
	}
}

// checkFaultKind checks the keys that one kind of fault alone has.
func (c *checker) checkFaultKind(at string, f *Fault) {
	switch f.Kind {
	case "power":
		c.checkNodeNumbers(at, f)
		c.checkEndpointNames(at, f)
		positive := f.NodesBack >= 0 && f.EndpointsBack >= 0 && f.DiscoveryBack >= 0 && f.Each >= 0
		c.require(positive, at+"nodes_back", "times of at least 0", "less")
	case "clock":
		c.require(f.Wait != 0 || f.Factor != 1, at+"wait", "a step, or a factor for its drift", "neither")
		c.require(f.Factor > 0.5 && f.Factor < 2, at+"factor", "between 0.5 and 2", f.Factor)
	case "stop":
		c.require(f.How == "" || f.How == StopAmidSignals, at+"how", "nothing or "+StopAmidSignals, f.How)
	case "state":
		c.oneOf(at+"how", f.How, StateFaultKinds...)
	case "wait":
		c.checkWait(at, f)
	case "spoil":
		c.oneOf(at+"how", f.How, slices.Concat(CorruptKinds, IntactKinds)...)
	}
}

func (c *checker) checkWait(at string, f *Fault) {
	c.positive(at+"wait", f.Wait)
	c.require((f.Class == "") != (f.Tenant == ""), at+"category", "a category or a customer", "neither or both")
	hasClass := slices.ContainsFunc(c.scenario.Classes, func(k Class) bool { return k.Name == f.Class })
	c.require(f.Class == "" || hasClass, at+"category", "a category's name", f.Class)
	hasTenant := slices.ContainsFunc(c.scenario.Tenants, func(t Tenant) bool { return t.Name == f.Tenant })
	c.require(f.Tenant == "" || hasTenant, at+"customer", "a customer's name", f.Tenant)
}
