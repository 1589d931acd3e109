package scale

import (
	"context"
	"errors"
	"fmt"
)

const methodTree = "virtual time: an origin, 3 and 15 relays, ways of 40 ms between them; processors take none"

// settleTime is the pause between two measurements.
const settleTime = 2 * second

func propagationProbe() Probe {
	return Probe{
		Name: "inforce", SizeUnit: "nodes", MinSize: 1, MaxSize: 8192 * lowerRelays,
		Sizes: []float64{53, 170, 530, 1700, 5300}, QuickSizes: []float64{3, 6, 15, 30},
		DesignSize: func(d *Design) float64 { return d.Nodes },
		Need:       func(n float64) Need { return Need{Bytes: 300e3*n + 200e6} },
		Figures: []Figure{
			{
				Name: "start99", Description: "all nodes start at once with 20 scopes of 24 endpoints each, paced: until 99 in 100 hold theirs",
				Unit: "s", Role: "node", Method: methodTree, Limit: limitReady,
			},
			{
				Name: "start100", Description: "until all do",
				Unit: "s", Role: "node", Method: methodTree, Limit: limitReady,
			},
			{
				Name: "change99", Description: "one change that all nodes follow: until 99 in 100 have it",
				Unit: "s", Role: "node", Method: methodTree, Limit: limitPropagation,
			},
			{
				Name: "change100", Description: "until all have",
				Unit: "s", Role: "node", Method: methodTree, Limit: limitPropagation,
			},
			{
				Name: "burst99", Description: "3,900 of 12,000 endpoints drain at once: until 99 in 100 nodes have all of theirs",
				Unit: "s", Role: "node", Method: methodTree, Limit: limitPropagation,
			},
			{
				Name: "burst100", Description: "until all have",
				Unit: "s", Role: "node", Method: methodTree, Limit: limitPropagation,
			},
			{
				Name: "worst", Description: "sent to a node in its worst 10 s of all that",
				Unit: "bytes/s", Role: "node", Method: methodTree, Limit: limitNetwork,
			},
		},
		Measure: measurePropagation,
	}
}

func measurePropagation(_ context.Context, e *Env, size float64) (Measurement, error) {
	v := Values{}
	m := Measurement{Values: v}
	endpoints, burst := pick(e, 12000, 1200), pick(e, int(e.Design.ZoneEndpoints), 390)
	t, err := newTree(int(size), endpoints, int(DefaultLimits.BytesPerSecond))
	if err != nil {
		return m, err
	}
	if err := t.measureStart(v); err != nil {
		return m, err
	}
	v["worst"] = t.takeWorstRate()
	t.sleep(settleTime)
	if err := t.measureChange(v); err != nil {
		return m, err
	}
	t.sleep(settleTime)
	if err := t.measureBurst(v, burst); err != nil {
		return m, err
	}
	v["worst"] = max(v["worst"], t.takeWorstRate())
	return m, nil
}

// measureUntil measures the time until 99% and 100% of the nodes meet a condition.
func (t *tree) measureUntil(v Values, name string, holds func(node int, s *treeSubscriber) bool) error {
	startedAt := t.now
	wait := t.newWait(holds)
	for _, percent := range []int{99, 100} {
		figure := fmt.Sprint(name, percent)
		fulfilled, inTime := t.waitFor(wait, float64(percent)/100)
		if !inTime {
			return errors.Join(t.err, fmt.Errorf("%s: only %d of %d nodes met the condition within %d s", figure, fulfilled, len(t.subscribers), maxWait/second))
		}
		v[figure] = float64(t.now-startedAt) / 1e9
	}
	return t.err
}

// measureStart measures the time until the nodes have all their scopes.
func (t *tree) measureStart(v Values) error {
	return t.measureUntil(v, "start", func(_ int, s *treeSubscriber) bool { return s.subscriber.Complete() })
}

// measureChange measures a change of the record that all nodes follow.
func (t *tree) measureChange(v Values) error {
	t.resetChanges()
	if err := t.putSettings("1"); err != nil {
		return err
	}
	t.pollReady(t.relays[0])
	return t.measureUntil(v, "change", func(_ int, s *treeSubscriber) bool { return s.changes > 0 })
}

// measureBurst measures the drain of the given number of endpoints at once.
func (t *tree) measureBurst(v Values, endpoints int) error {
	t.resetChanges()
	changed := map[string]int{} // by scope
	for i := range endpoints {
		r := endpointRecord(i*3%t.endpoints, 1)
		changed[r.Scope]++
		if _, err := t.origin.Put(t.now, r.Scope, r.Key, r.Class, r.Body); err != nil {
			return err
		}
	}
	expected := make([]int, len(t.subscribers))
	for i := range expected {
		for _, selector := range t.selectors(i) {
			expected[i] += changed[selector.Scope]
		}
	}
	t.pollReady(t.relays[0])
	return t.measureUntil(v, "burst", func(node int, s *treeSubscriber) bool { return s.changes >= expected[node] })
}

func (t *tree) resetChanges() {
	for _, s := range t.subscribers {
		s.changes = 0
	}
}
