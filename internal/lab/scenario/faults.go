package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// FaultTarget is the type of the targets of a kind of fault. The fault's table must name or select targets of that
// type.
type FaultTarget int

// Types of targets. Faults with NoTarget affect something that exists only once, such as discovery.
const (
	NoTarget FaultTarget = iota
	EndpointTarget
	NodeTarget
	PowerTarget // endpoints, nodes and discovery
	LinkTarget
)

// FaultTargets maps each kind of fault to the type of its targets.
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

// StateFaultKinds lists the variants of a state fault, which damages a node's state directory.
var StateFaultKinds = []string{"lost", "torn", "older"}

// Variants of a spoil fault. With CorruptKinds the response itself is corrupt; with IntactKinds it is complete, but
// comes with data that does not belong to it.
var (
	CorruptKinds = []string{"noise", "endless-head", "short", "long"}
	IntactKinds  = []string{"twice", "late-copy", "interim", "bad-report", "other-body"}
)

func (c *checker) checkFault(prefix string, f *Fault) {
	target, known := FaultTargets[f.Kind]
	if !known {
		kinds := slices.Sorted(maps.Keys(FaultTargets))
		c.require(false, prefix+"kind", "one of "+strings.Join(kinds, ", "), fmt.Sprintf("%q", f.Kind))
		return
	}
	c.require(f.At >= 0 && f.At < c.scenario.Length, prefix+"at", "a time before the end of the run", f.At.Std())
	c.require(f.For >= 0, prefix+"for", "a time of at least 0", f.For.Std())
	if target == LinkTarget {
		return // checkLinkFaults checks the remaining keys
	}
	c.require(len(f.From)+len(f.To) == 0, prefix+"from", "none, as the fault is not of a link", f.From)
	c.fraction(prefix+"share", f.Share)
	c.fraction(prefix+"hand_offs", f.AttemptShare)
	c.require(f.Factor >= 0, prefix+"factor", "a number of at least 0", f.Factor)
	if f.Zone != "" {
		c.zone(prefix+"zone", f.Zone)
	}
	switch target {
	case EndpointTarget:
		c.checkEndpointFault(prefix, f)
	case NodeTarget:
		c.checkNodeFault(prefix, f)
	}
	c.checkFaultKind(prefix, f)
}

// StopAmidSignals is the variant (Fault.How) of a stop that comes with other signals: reloads, dumps of the counters
// and further stops.
const StopAmidSignals = "signals"

const noTargetNamed = "a fault without targets"

func (c *checker) checkEndpointFault(prefix string, f *Fault) {
	c.require(len(f.Nodes) == 0, prefix+"nodes", "none, as the fault hits servers", f.Nodes)
	c.checkEndpointNames(prefix, f)
	named := len(f.Endpoints) > 0 || f.Count > 0 || f.Share > 0 || f.Zone != ""
	c.require(named, prefix+"servers", "servers, a count, a share or a zone", noTargetNamed)
	c.require(f.Count <= len(c.scenario.EndpointNames()), prefix+"count", "at most the number of servers", f.Count)
}

func (c *checker) checkNodeFault(prefix string, f *Fault) {
	c.checkNodeNumbers(prefix, f)
	byZone := f.Zone != "" && f.Kind != "cut-node" // the zone of cut-node selects the endpoints to cut off
	named := len(f.Nodes) > 0 || f.Count > 0 || f.Share > 0 || byZone
	c.require(named, prefix+"nodes", "numbers of nodes, a count, a share or a zone", noTargetNamed)
}

func (c *checker) checkEndpointNames(prefix string, f *Fault) {
	names := c.scenario.EndpointNames()
	for _, name := range f.Endpoints {
		c.require(slices.Contains(names, name), prefix+"servers", "names such as "+names[0], fmt.Sprintf("%q", name))
	}
}

func (c *checker) checkNodeNumbers(prefix string, f *Fault) {
	count := c.scenario.Nodes.Count
	for _, i := range f.Nodes {
		c.require(i >= 0 && i < count, prefix+"nodes", fmt.Sprintf("numbers from 0 to %d", count-1), i)
	}
}

// checkFaultKind checks the keys that apply to one kind of fault only.
func (c *checker) checkFaultKind(prefix string, f *Fault) {
	switch f.Kind {
	case "power":
		c.checkNodeNumbers(prefix, f)
		c.checkEndpointNames(prefix, f)
		positive := f.NodesBack >= 0 && f.EndpointsBack >= 0 && f.DiscoveryBack >= 0 && f.Each >= 0
		c.require(positive, prefix+"nodes_back", "times of at least 0", "less")
	case "clock":
		c.require(f.Wait != 0 || f.Factor != 1, prefix+"wait", "a step of the clock, or a factor of its speed other than 1", "neither")
		c.require(f.Factor > 0.5 && f.Factor < 2, prefix+"factor", "between 0.5 and 2", f.Factor)
	case "stop":
		c.require(f.How == "" || f.How == StopAmidSignals, prefix+"how", "no value or "+StopAmidSignals, f.How)
	case "state":
		c.oneOf(prefix+"how", f.How, StateFaultKinds...)
	case "wait":
		c.checkWait(prefix, f)
	case "spoil":
		c.oneOf(prefix+"how", f.How, slices.Concat(CorruptKinds, IntactKinds)...)
	}
}

func (c *checker) checkWait(prefix string, f *Fault) {
	c.positive(prefix+"wait", f.Wait)
	c.require((f.Class == "") != (f.Tenant == ""), prefix+"category", "either a category or a customer", "neither or both")
	hasClass := slices.ContainsFunc(c.scenario.Classes, func(k Class) bool { return k.Name == f.Class })
	c.require(f.Class == "" || hasClass, prefix+"category", "the name of a category", f.Class)
	hasTenant := slices.ContainsFunc(c.scenario.Tenants, func(t Tenant) bool { return t.Name == f.Tenant })
	c.require(f.Tenant == "" || hasTenant, prefix+"customer", "the name of a customer", f.Tenant)
}
