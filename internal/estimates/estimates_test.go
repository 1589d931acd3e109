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

// A snapshot of another process must survive a JSON round trip, and is rejected as a whole if any value is invalid.
func TestSnapshotValid(t *testing.T) {
	text, err := json.Marshal(sampleSnapshot())
	if err != nil {
		t.Fatal(err)
	}
	var decoded Snapshot
	if err := json.Unmarshal(text, &decoded); err != nil || !decoded.Valid(1) || decoded.Endpoints[7] != sampleSnapshot().Endpoints[7] ||
		*decoded.Pods[1] != *sampleSnapshot().Pods[1] {
		t.Errorf("after a JSON round trip: got error %v, snapshot %+v; want it valid and unchanged", err, decoded)
	}
	for name, corrupt := range map[string]func(*Snapshot){
		"a different number of classes": func(s *Snapshot) { s.Classes = append(s.Classes, s.Classes[0]) },
		"no zone delays":                func(s *Snapshot) { s.ZoneDelay = nil },
		"a null pod":                    func(s *Snapshot) { s.Pods[2] = nil },
		"a negative load":               func(s *Snapshot) { s.Endpoints[7] = Endpoint{EndpointEstimates{Load: -1}, 9} },
		"an infinite mean work":         func(s *Snapshot) { s.MeanWork = math.Inf(1) },
		"a spread of NaN":               func(s *Snapshot) { s.Classes[0].LatencySpread = math.NaN() },
		"a negative zone delay":         func(s *Snapshot) { s.ZoneDelay[0] = -1 },
		"a fleet latency of NaN":        func(s *Snapshot) { s.Fleet.FirstSum = math.NaN() },
	} {
		s := sampleSnapshot()
		if corrupt(&s); s.Valid(1) {
			t.Errorf("a snapshot with %s: got valid, want invalid", name)
		}
	}
}
