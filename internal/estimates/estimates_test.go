package estimates

import (
	"encoding/json"
	"math"
	"testing"

	"fawnglade/internal/ewma"
)

func sampleSnapshot() Snapshot {
	return Snapshot{
		FleetEstimates: FleetEstimates{
			Pods:        map[int]*ewma.Pair{1: {FirstSum: 1, Weight: 1}},
			ZoneDelay:   map[int]float64{0: 3},
			MeanWork:    5,
			HighLatency: 2,
		},
		Classes: []ClassEstimates{{TypicalWork: 4, LatencySpread: 2, SuccessRate: 1, PriorityFactor: 1}},
		Endpoints: map[uint32]Endpoint{7: {
			EndpointEstimates{Load: 1, Latency: ewma.Pair{FirstSum: 2, Weight: 2}, HasLatency: true}, 9,
		}},
	}
}

// What comes from another process is taken completely or not at all.
func TestSnapshotValid(t *testing.T) {
	text, err := json.Marshal(sampleSnapshot())
	if err != nil {
		t.Fatal(err)
	}
	var all Snapshot
	if err := json.Unmarshal(text, &all); err != nil || !all.Valid(1) || all.Endpoints[7] != sampleSnapshot().Endpoints[7] ||
		*all.Pods[1] != *sampleSnapshot().Pods[1] {
		t.Errorf("%v, came back as %+v", err, all)
	}
	for name, spoil := range map[string]func(*Snapshot){
		"another count of classes":   func(a *Snapshot) { a.Classes = append(a.Classes, a.Classes[0]) },
		"no zone delays":             func(a *Snapshot) { a.ZoneDelay = nil },
		"a pod that is nothing":      func(a *Snapshot) { a.Pods[2] = nil },
		"a load below 0":             func(a *Snapshot) { a.Endpoints[7] = Endpoint{EndpointEstimates{Load: -1}, 9} },
		"a cost without bound":       func(a *Snapshot) { a.MeanWork = math.Inf(1) },
		"a spread that is no number": func(a *Snapshot) { a.Classes[0].LatencySpread = math.NaN() },
		"a zone delay below 0":       func(a *Snapshot) { a.ZoneDelay[0] = -1 },
		"a fleet that is no number":  func(a *Snapshot) { a.Fleet.FirstSum = math.NaN() },
	} {
		a := sampleSnapshot()
		if spoil(&a); a.Valid(1) {
			t.Errorf("%s is taken for valid", name)
		}
	}
}
