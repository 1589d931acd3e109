package netfault

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Topology holds the zones, nodes and endpoints that names of ends refer to.
type Topology struct {
	Zones         []string
	NodeZones     []string // by node
	EndpointNames []string
	EndpointZones []string // by endpoint
}

// Ends resolves names as used in scenario files: n3, n0..n5, nodes, nodes:ZONE, an endpoint's name, servers,
// servers:ZONE, discovery, clients, clients:ZONE. Errors read as the expected form and the name that was given.
func (s *Topology) Ends(names []string) ([]End, error) {
	var all []End
	for _, name := range names {
		ends, err := s.resolve(name)
		if err != nil {
			return nil, err
		}
		all = append(all, ends...)
	}
	slices.SortFunc(all, func(a, b End) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Index, b.Index))
	})
	return slices.Compact(all), nil
}

func (s *Topology) resolve(name string) ([]End, error) {
	group, zone, zoned := strings.Cut(name, ":")
	if zoned && !slices.Contains(s.Zones, zone) {
		return nil, fmt.Errorf("a zone of network.zones after the colon, got %q", name)
	}
	switch group {
	case "nodes":
		return endsIn(Node, s.NodeZones, zone, name)
	case "servers":
		return endsIn(Endpoint, s.EndpointZones, zone, name)
	case "clients":
		return endsIn(Client, s.Zones, zone, name)
	case "discovery":
		return []End{{Discovery, 0}}, nil
	}
	if i := slices.Index(s.EndpointNames, name); i >= 0 {
		return []End{{Endpoint, i}}, nil
	}
	return s.nodeRange(name)
}

// endsIn returns the ends of one kind in a zone, or all of them if the zone is empty. zones holds the zone of each end;
// name is the resolved name, for the error.
func endsIn(kind EndKind, zones []string, zone, name string) ([]End, error) {
	var ends []End
	for i, z := range zones {
		if zone == "" || z == zone {
			ends = append(ends, End{kind, i})
		}
	}
	if len(ends) == 0 {
		return nil, fmt.Errorf("a name that matches at least one node, server or zone, got %q", name)
	}
	return ends, nil
}

// nodeRange resolves names such as n3 and n0..n5.
func (s *Topology) nodeRange(name string) ([]End, error) {
	first, last, ranged := strings.Cut(name, "..")
	if !ranged {
		last = first
	}
	a, errA := nodeNumber(first)
	b, errB := nodeNumber(last)
	if errA != nil || errB != nil || a < 0 || a > b || b >= len(s.NodeZones) {
		return nil, fmt.Errorf("n0 to n%d, a range such as n0..n%d, nodes, servers, clients (each with :ZONE), "+
			"a server's name or discovery, got %q", len(s.NodeZones)-1, len(s.NodeZones)-1, name)
	}
	var ends []End
	for i := a; i <= b; i++ {
		ends = append(ends, End{Node, i})
	}
	return ends, nil
}

func nodeNumber(name string) (int, error) {
	digits, found := strings.CutPrefix(name, "n")
	if !found {
		return 0, strconv.ErrSyntax
	}
	return strconv.Atoi(digits)
}
