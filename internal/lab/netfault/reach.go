package netfault

// This file owns the words for who could reach whom. It must never leave out a way that is cut.

import (
	"fmt"
	"slices"
	"strings"
)

// Reach is who could reach whom in one second of a day.
type Reach struct {
	Parts  []string `json:"parts"`             // nodes that reach one another, both ways, as n0..n5
	OneWay []string `json:"one_way,omitempty"` // as n3 -> n0: the first is heard by the second, and does not hear it
	Faults []string `json:"troubled,omitempty"`
}

// ReachAt tells who reaches whom among the nodes at a moment, and what else is wrong with ways.
func (s *Schedule) ReachAt(now int64, nodes int) Reach {
	var r Reach
	group := make([]int, nodes)
	for i := range group {
		group[i] = -1
	}
	for i := range nodes {
		if group[i] >= 0 {
			continue
		}
		group[i] = i
		members := []int{i}
		for k := 0; k < len(members); k++ {
			for j := range nodes {
				if a, b := (End{Node, members[k]}), (End{Node, j}); group[j] < 0 && s.Open(now, a, b) && s.Open(now, b, a) {
					group[j] = i
					members = append(members, j)
				}
			}
		}
		slices.Sort(members)
		r.Parts = append(r.Parts, Ranges(members))
	}
	for i := range s.faults {
		f := &s.faults[i]
		if now < f.Begin || now >= f.End {
			continue
		}
		arrow := "<->"
		if f.OneWay {
			arrow = "->"
		}
		text := fmt.Sprintf("%s %s %s %s", f.Kind, names(f.From), arrow, names(f.To))
		if f.Kind == Cut && f.OneWay {
			r.OneWay = append(r.OneWay, text)
		} else {
			r.Faults = append(r.Faults, text)
		}
	}
	return r
}

func names(list []End) string {
	by := map[EndKind][]int{}
	for _, e := range list {
		by[e.Kind] = append(by[e.Kind], e.Index)
	}
	var out []string
	for k, name := range []string{"n", "server ", "discovery", "clients "} {
		switch of := by[EndKind(k)]; {
		case len(of) == 0:
		case EndKind(k) == Node:
			out = append(out, Ranges(of))
		case EndKind(k) == Discovery:
			out = append(out, name)
		default:
			out = append(out, fmt.Sprintf("%s%s", name, strings.ReplaceAll(Ranges(of), "n", "")))
		}
	}
	return strings.Join(out, " ")
}

// Ranges puts numbers of nodes, in order, into words: n0..n3 n7.
func Ranges(list []int) string {
	var out []string
	for i := 0; i < len(list); {
		j := i
		for j+1 < len(list) && list[j+1] == list[j]+1 {
			j++
		}
		if text := fmt.Sprintf("n%d", list[i]); j == i {
			out = append(out, text)
		} else {
			out = append(out, fmt.Sprintf("%s..n%d", text, list[j]))
		}
		i = j + 1
	}
	return strings.Join(out, " ")
}

// Allowance is by how much what two kinds of ends say to one another may come later than it was sent, at a moment: what each time
// limit that is judged at the far end is longer by. Nothing of a node's own doing is in it.
func (s *Schedule) Allowance(at int64, a, b EndKind) int64 {
	worst := int64(0)
	for i := range s.faults {
		f := &s.faults[i]
		one := &Schedule{faults: s.faults[i : i+1]}
		if !one.Touches(a, b) {
			continue
		}
		late := f.Wait
		switch f.Kind {
		case Cut: // what was held up ends when the way is mended
			late = f.End - f.Begin
		case Drop:
			late = allowedLosses * sentAgain
		case Narrow:
			late = int64(second)
		case Delay:
			if f.Variant == "drawn" {
				late *= 10
			}
		}
		if f.Begin <= at && at < f.End+late {
			worst += late
		}
	}
	return worst
}

const (
	sentAgain     = int64(200e6) // a stream's piece that was lost
	allowedLosses = 5            // in a row
	second        = 1e9
)
