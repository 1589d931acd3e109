package netfault

import (
	"fmt"
	"slices"
	"strings"
)

// Reach tells which nodes could reach each other in one second of a run.
type Reachability struct {
	Partitions []string `json:"parts"`              // nodes that reach one another, both ways, as n0..n5
	OneWay     []string `json:"one_way,omitempty"`  // cuts of one direction, as link-cut n3 -> n0
	Faults     []string `json:"troubled,omitempty"` // all other active faults
}

// ReachabilityAt tells which nodes reach each other at a moment, and which faults are active.
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

// partitionOf returns the nodes that a node reaches both ways, directly or through others, in order, and marks them as seen.
func (s *Schedule) partitionOf(now int64, node int, seen []bool) []int {
	seen[node] = true
	part := []int{node}
	for k := 0; k < len(part); k++ {
		a := End{Node, part[k]}
		for j := range seen {
			b := End{Node, j}
			if !seen[j] && s.Open(now, a, b) && s.Open(now, b, a) {
				seen[j] = true
				part = append(part, j)
			}
		}
	}
	slices.Sort(part)
	return part
}

// String names the fault with its ends.
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
	if of := byKind[Node]; len(of) > 0 {
		names = append(names, NodeRanges(of))
	}
	if of := byKind[Endpoint]; len(of) > 0 {
		names = append(names, "server "+numberRanges(of))
	}
	if len(byKind[Discovery]) > 0 {
		names = append(names, "discovery")
	}
	if of := byKind[Client]; len(of) > 0 {
		names = append(names, "clients "+numberRanges(of))
	}
	return strings.Join(names, " ")
}

// numbers is Ranges without the letter for nodes.
func numberRanges(list []int) string { return strings.ReplaceAll(NodeRanges(list), "n", "") }

// Ranges puts numbers of nodes, in order, into words: n0..n3 n7.
func NodeRanges(list []int) string {
	var words []string
	for i := 0; i < len(list); {
		j := i
		for j+1 < len(list) && list[j+1] == list[j]+1 {
			j++
		}
		word := fmt.Sprintf("n%d", list[i])
		if j > i {
			word = fmt.Sprintf("%s..n%d", word, list[j])
		}
		words = append(words, word)
		i = j + 1
	}
	return strings.Join(words, " ")
}
