package netfault

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Site is what names of ends are resolved against.
type Topology struct {
	Zones         []string
	NodeZones     []string // by node
	EndpointNames []string
	EndpointZones []string // by endpoint
}

// Ends resolves the names of a scenario file: n3, n0..n5, nodes, nodes:ZONE, an endpoint's name, servers, servers:ZONE,
// discovery, clients, clients:ZONE. An error says what was expected and what was found.
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

// endsIn returns the ends of one kind in a zone, or all of them where it is empty. zones has the zone of each.
func endsIn(kind EndKind, zones []string, zone, name string) ([]End, error) {
	var ends []End
	for i, z := range zones {
		if zone == "" || z == zone {
			ends = append(ends, End{kind, i})
		}
	}
	if len(ends) == 0 {
		return nil, fmt.Errorf("a name that somebody has, got %q", name)
	}
	return ends, nil
}

// nodeRange resolves n3 and n0..n5.
func (s *Topology) nodeRange(name string) ([]End, error) {
	first, last, ranged := strings.Cut(name, "..")
	if !ranged {
		last = first
	}
	a, errA := nodeNumber(first)
	b, errB := nodeNumber(last)
	if errA != nil || errB != nil || a < 0 || a > b || b >= len(s.NodeZones) {
		return nil, fmt.Errorf("n0 to n%d, a range as n0..n%d, nodes, servers, clients (each with :ZONE), "+
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
