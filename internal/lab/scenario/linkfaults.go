package scenario

import (
	"fmt"
	"strings"
	"time"

	"fawnglade/internal/lab/netfault"
)

const (
	maxBurst    = 10000
	maxWait     = time.Minute
	minLinkRate = 100 // bytes a second
)

// Site returns what the ends of links are called.
func (s *Scenario) Topology() *netfault.Topology {
	site := &netfault.Topology{Zones: s.Network.Zones, EndpointNames: s.EndpointNames()}
	for i := range s.Nodes.Count {
		site.NodeZones = append(site.NodeZones, s.NodeZone(i))
	}
	for i := range s.Fleets {
		for n := range s.Fleets[i].Count {
			site.EndpointZones = append(site.EndpointZones, s.Fleets[i].Zones[n%len(s.Fleets[i].Zones)])
		}
	}
	return site
}

// LinkFault returns a fault for the schedule of link faults; false if it is of no link, or names ends that do not exist.
func (s *Scenario) LinkFault(f *Fault) (netfault.Fault, bool) {
	if FaultTargets[f.Kind] != LinkTarget {
		return netfault.Fault{}, false
	}
	site := s.Topology()
	from, errFrom := site.Ends(f.From)
	to, errTo := site.Ends(f.To)
	end := int64(f.At + f.For)
	if f.For == 0 {
		end = int64(f.At) + 2*int64(s.Length)
	}
	return netfault.Fault{
		Kind: netfault.Kind(f.Kind), Variant: f.How, From: from, To: to, OneWay: f.OneWay, Begin: int64(f.At), End: end,
		Share: f.Share, Burst: f.Burst, Wait: int64(f.Wait), Rate: f.Rate,
	}, errFrom == nil && errTo == nil && len(from) > 0 && len(to) > 0
}

// namedLinkFault is a valid fault with the key of its table.
type namedLinkFault struct {
	prefix string
	fault  netfault.Fault
}

// checkLinkFaults checks faults of links, each and against one another.
func (c *checker) checkLinkFaults() {
	var valid []namedLinkFault
	for i := range c.scenario.Faults {
		f, at := &c.scenario.Faults[i], fmt.Sprintf("fault.%d.", i)
		if FaultTargets[f.Kind] != LinkTarget {
			continue
		}
		c.checkLinkKeys(at, f)
		fault, ok := c.scenario.LinkFault(f)
		if !ok || !c.checkEnds(at, f, &fault) {
			continue
		}
		for k := range valid {
			other := "one in " + strings.TrimSuffix(valid[k].prefix, ".")
			c.require(!netfault.Conflict(&valid[k].fault, &fault), at+"kind", "no other "+f.Kind+" of one of its ways at one time", other)
		}
		valid = append(valid, namedLinkFault{at, fault})
	}
}

func (c *checker) checkLinkKeys(at string, f *Fault) {
	c.checkEndNames(at+"from", f.From)
	c.checkEndNames(at+"to", f.To)
	kind := netfault.Kind(f.Kind)
	if variants := netfault.Variants[kind]; len(variants) > 0 {
		c.oneOf(at+"how", f.How, variants...)
	} else {
		c.require(f.How == "", at+"how", "none, as "+f.Kind+" has one way only", f.How)
	}
	c.fraction(at+"share", f.Share)
	c.require(f.Burst >= 1 && f.Burst <= maxBurst, at+"burst", "1 to 10,000 messages", f.Burst)
	switch kind {
	case netfault.Delay, netfault.Reorder:
		wait := f.Wait.Std()
		c.require(wait > 0 && wait <= maxWait, at+"wait", "a time above 0, 1m at most", wait)
	case netfault.Throttle:
		c.require(f.Rate >= minLinkRate, at+"rate", "at least 100 bytes a second", f.Rate)
	}
}

func (c *checker) checkEndNames(key string, names []string) {
	if len(names) == 0 {
		c.require(false, key, "one end of the way at least", "none")
		return
	}
	if _, err := c.scenario.Topology().Ends(names); err != nil {
		want, got, _ := strings.Cut(err.Error(), ", got ")
		c.require(false, key, want, got)
	}
}

// checkEnds checks that a fault's ends are linked, and by links that can have such a fault; false if they are not linked.
func (c *checker) checkEnds(at string, f *Fault, fault *netfault.Fault) bool {
	linked, messages, same := true, true, true
	for _, a := range fault.From {
		for _, b := range fault.To {
			link, ofMessages := netfault.CanLink(a.Kind, b.Kind)
			linked, messages, same = linked && link, messages && ofMessages, same && a == b
		}
	}
	c.require(!same, at+"to", "another end than from", strings.Join(f.To, " "))
	if !linked {
		ends := strings.Join(f.From, " ") + " and " + strings.Join(f.To, " ")
		c.require(false, at+"to", "ends that nodes have ways to: one side of a way is always a node", ends)
		return false
	}
	c.require(messages || netfault.AppliesToStreams(fault.Kind),
		at+"kind", "link-cut, link-drop, link-delay or link-narrow where the way carries streams", fmt.Sprintf("%q", f.Kind))
	return true
}
