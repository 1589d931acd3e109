package netfault

import (
	"fmt"
	"slices"
	"strings"
)

// Reachability describes which nodes could reach each other in one second of a run.
type Reachability struct {
	Partitions []string `json:"parts"`              // nodes that reach one another in both directions, such as n0..n5
	OneWay     []string `json:"one_way,omitempty"`  // cuts of one direction, such as link-cut n3 -> n0
	Faults     []string `json:"troubled,omitempty"` // all other active faults
}

// ReachabilityAt returns which nodes reach each other at a time, and which faults are active.
func (s *Schedule) ReachabilityAt(now int64, nodes int) Reachability {
	var r Reachability
	seen := make([]bool, nodes)
	for i := range nodes {
		if !seen[i] {
			r.Partitions = append(r.Partitions, NodeRanges(s.partitionOf(now, i, seen)))
		}
	}
	for i := range s.faults {
		f := &s.faults[i]
		switch {
		case !f.active(now):
		case f.Kind == Cut && f.OneWay:
			r.OneWay = append(r.OneWay, f.String())
		default:
			r.Faults = append(r.Faults, f.String())
		}
	}
	return r
}

// partitionOf returns the nodes that a node reaches in both directions, directly or through others, sorted, and marks
// them as seen.
func (s *Schedule) partitionOf(now int64, node int, seen []bool) []int {
	seen[node] = true
	partition := []int{node}
	for k := 0; k < len(partition); k++ {
		a := End{Node, partition[k]}
		for j := range seen {
			b := End{Node, j}
			if !seen[j] && s.Open(now, a, b) && s.Open(now, b, a) {
				seen[j] = true
				partition = append(partition, j)
			}
		}
	}
	slices.Sort(partition)
	return partition
}

// String returns the fault's kind and ends.
func (f *Fault) String() string {
	arrow := "<->"
	if f.OneWay {
		arrow = "->"
	}
	return fmt.Sprintf("%s %s %s %s", f.Kind, endNames(f.From), arrow, endNames(f.To))
}

func endNames(ends []End) string {
	byKind := map[EndKind][]int{}
	for _, e := range ends {
		byKind[e.Kind] = append(byKind[e.Kind], e.Index)
	}
	var names []string
	if indexes := byKind[Node]; len(indexes) > 0 {
		names = append(names, NodeRanges(indexes))
	}
	if indexes := byKind[Endpoint]; len(indexes) > 0 {
		names = append(names, "server "+numberRanges(indexes))
	}
	if len(byKind[Discovery]) > 0 {
		names = append(names, "discovery")
	}
	if indexes := byKind[Client]; len(indexes) > 0 {
		names = append(names, "clients "+numberRanges(indexes))
	}
	return strings.Join(names, " ")
}

// numberRanges formats like NodeRanges, without the letter n.
func numberRanges(nodes []int) string { return strings.ReplaceAll(NodeRanges(nodes), "n", "") }

// NodeRanges formats sorted node numbers as ranges, such as n0..n3 n7.
func NodeRanges(nodes []int) string {
	var ranges []string
	for i := 0; i < len(nodes); {
		j := i
		for j+1 < len(nodes) && nodes[j+1] == nodes[j]+1 {
			j++
		}
		text := fmt.Sprintf("n%d", nodes[i])
		if j > i {
			text = fmt.Sprintf("%s..n%d", text, nodes[j])
		}
		ranges = append(ranges, text)
		i = j + 1
	}
	return strings.Join(ranges, " ")
}
