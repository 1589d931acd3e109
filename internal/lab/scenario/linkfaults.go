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
	minLinkRate = 100 // bytes per second
)

// Site returns the names and zones by which link faults refer to the ends of links.
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

// LinkFault converts a fault for the schedule of link faults. It returns false if the fault is not of a link, or names
// ends that do not exist.
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

// namedLinkFault is a valid link fault with the key prefix of its table.
type namedLinkFault struct {
	prefix string
	fault  netfault.Fault
}

// checkLinkFaults checks each link fault, and that no two of them conflict.
func (c *checker) checkLinkFaults() {
	var valid []namedLinkFault
	for i := range c.scenario.Faults {
		f, prefix := &c.scenario.Faults[i], fmt.Sprintf("fault.%d.", i)
		if FaultTargets[f.Kind] != LinkTarget {
			continue
		}
		c.checkLinkKeys(prefix, f)
		fault, ok := c.scenario.LinkFault(f)
		if !ok || !c.checkEnds(prefix, f, &fault) {
			continue
		}
		for k := range valid {
			other := "one in " + strings.TrimSuffix(valid[k].prefix, ".")
			c.require(!netfault.Conflict(&valid[k].fault, &fault), prefix+"kind", "no other "+f.Kind+" on the same link at the same time", other)
		}
		valid = append(valid, namedLinkFault{prefix, fault})
	}
}

func (c *checker) checkLinkKeys(prefix string, f *Fault) {
	c.checkEndNames(prefix+"from", f.From)
	c.checkEndNames(prefix+"to", f.To)
	kind := netfault.Kind(f.Kind)
	if variants := netfault.Variants[kind]; len(variants) > 0 {
		c.oneOf(prefix+"how", f.How, variants...)
	} else {
		c.require(f.How == "", prefix+"how", "none, as "+f.Kind+" has no variants", f.How)
	}
	c.fraction(prefix+"share", f.Share)
	c.require(f.Burst >= 1 && f.Burst <= maxBurst, prefix+"burst", "1 to 10,000 successive messages", f.Burst)
	switch kind {
	case netfault.Delay, netfault.Reorder:
		wait := f.Wait.Std()
		c.require(wait > 0 && wait <= maxWait, prefix+"wait", "a time above 0, 1m at most", wait)
	case netfault.Throttle:
		c.require(f.Rate >= minLinkRate, prefix+"rate", "at least 100 bytes per second", f.Rate)
	}
}

func (c *checker) checkEndNames(key string, names []string) {
	if len(names) == 0 {
		c.require(false, key, "at least one end of a link", "none")
		return
	}
	if _, err := c.scenario.Topology().Ends(names); err != nil {
		want, got, _ := strings.Cut(err.Error(), ", got ")
		c.require(false, key, want, got)
	}
}

// checkEnds checks that there are links between a fault's ends, and that these links can have a fault of its kind. It
// returns false if there are no such links.
func (c *checker) checkEnds(prefix string, f *Fault, fault *netfault.Fault) bool {
	linked, messages, same := true, true, true
	for _, a := range fault.From {
		for _, b := range fault.To {
			link, ofMessages := netfault.CanLink(a.Kind, b.Kind)
			linked, messages, same = linked && link, messages && ofMessages, same && a == b
		}
	}
	c.require(!same, prefix+"to", "an end that from does not name", strings.Join(f.To, " "))
	if !linked {
		ends := strings.Join(f.From, " ") + " and " + strings.Join(f.To, " ")
		c.require(false, prefix+"to", "ends that nodes have links to: one end of a link is always a node", ends)
		return false
	}
	c.require(messages || netfault.AppliesToStreams(fault.Kind),
		prefix+"kind", "link-cut, link-drop, link-delay or link-narrow on a link that carries streams", fmt.Sprintf("%q", f.Kind))
	return true
}
