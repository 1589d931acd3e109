package scenario

// This file owns what a file says of ways between the parts of a day: which ends there are, and which faults of ways make sense
// together. It must never draw or play one.

import (
	"fawnglade/internal/lab/netfault"
	"fmt"
	"strings"
)

// Site tells what the ends of ways are called.
func (s *Scenario) Site() *netfault.Site {
	site := &netfault.Site{Zones: s.Network.Zones, EndpointNames: s.EndpointNames()}
	for i := range s.Nodes.Count {
		if len(s.Nodes.Zones) == s.Nodes.Count {
			site.NodeZones = append(site.NodeZones, s.Nodes.Zones[i])
		} else {
			site.NodeZones = append(site.NodeZones, s.Network.Zones[i%max(len(s.Network.Zones), 1)])
		}
	}
	for i := range s.Fleets {
		for n := range s.Fleets[i].Count {
			site.EndpointZones = append(site.EndpointZones, s.Fleets[i].Zones[n%len(s.Fleets[i].Zones)])
		}
	}
	return site
}

// Way is a fault as the schedule of ways takes it; false if it is none of ways, or names what is not there.
func (s *Scenario) LinkFault(f *Fault) (netfault.Fault, bool) {
	if FaultKinds[f.Kind] != "ways" {
		return netfault.Fault{}, false
	}
	site := s.Site()
	from, err := site.Ends(f.From)
	to, err2 := site.Ends(f.To)
	end := int64(f.At + f.For)
	if f.For == 0 {
		end = int64(f.At) + 2*int64(s.Length)
	}
	return netfault.Fault{
		Kind: netfault.Kind(f.Kind), From: from, To: to, OneWay: f.OneWay, Begin: int64(f.At), End: end, Variant: f.How, Share: f.Share,
		Burst: f.Burst, Wait: int64(f.Wait), Rate: f.Rate,
	}, err == nil && err2 == nil && len(from) > 0 && len(to) > 0
}

// checkWays checks faults of ways, each and against one another.
func (s *Scenario) checkLinkFaults(c *checker) {
	type known struct {
		at  string
		way netfault.Fault
	}
	var sound []known
	site := s.Site()
	for i := range s.Faults {
		f, at := &s.Faults[i], fmt.Sprintf("fault.%d.", i)
		if FaultKinds[f.Kind] != "ways" {
			continue
		}
		for key, list := range map[string][]string{"from": f.From, "to": f.To} {
			_, err := site.Ends(list)
			switch {
			case len(list) == 0:
				c.must(false, at+key, "one end of the way at least", "none")
			case err != nil:
				want, got, _ := strings.Cut(err.Error(), ", got ")
				c.must(false, at+key, want, got)
			}
		}
		trouble := netfault.Kind(f.Kind)
		if hows := netfault.Variants[trouble]; len(hows) > 0 {
			c.oneOf(at+"how", f.How, hows...)
		} else {
			c.must(f.How == "", at+"how", "none, as "+f.Kind+" has one way only", f.How)
		}
		c.part(at+"share", f.Share)
		c.must(f.Burst >= 1 && f.Burst <= 10000, at+"burst", "1 to 10,000 messages", f.Burst)
		switch trouble {
		case netfault.Delay, netfault.Reorder:
			c.must(f.Wait > 0 && f.Wait <= ms(60000), at+"wait", "a time above 0, 1m at most", f.Wait.Std())
		case netfault.Narrow:
			c.must(f.Rate >= 100, at+"rate", "at least 100 bytes a second", f.Rate)
		}
		way, ok := s.LinkFault(f)
		if !ok {
			continue
		}
		joined, messages, same := true, true, true
		for _, a := range way.From {
			for _, b := range way.To {
				ways, single := netfault.CanLink(a.Kind, b.Kind)
				joined, messages, same = joined && ways, messages && single, same && a == b
			}
		}
		c.must(!same, at+"to", "another end than from", strings.Join(f.To, " "))
		if c.must(joined, at+"to", "ends that nodes have ways to: one side of a way is always a node", strings.Join(f.From, " ")+" and "+strings.Join(f.To, " ")); !joined {
			continue
		}
		c.must(messages || netfault.AppliesToStreams(trouble), at+"kind", "link-cut, link-drop, link-delay or link-narrow where the way carries streams", fmt.Sprintf("%q", f.Kind))
		for k := range sound {
			c.must(!netfault.Conflict(&sound[k].way, &way), at+"kind", "no other "+f.Kind+" of one of its ways at one time", "one in "+strings.TrimSuffix(sound[k].at, "."))
		}
		sound = append(sound, known{at, way})
	}
}
