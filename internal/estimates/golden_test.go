package estimates

import (
	"bytes"
	"encoding/json"
	"testing"

	"fawnglade/internal/ewma"
	"fawnglade/internal/golden"
)

// TestGoldenJSON checks that snapshots, which are handed over at a hot restart and stored in the state directory, keep
// the JSON names of earlier builds.
func TestGoldenJSON(t *testing.T) {
	snapshot := Snapshot{
		FleetEstimates: FleetEstimates{
			Pods:        map[int]*ewma.Pair{1: {FirstSum: 1, SecondSum: 2, Weight: 3}, 2: {FirstSum: 4}},
			Fleet:       ewma.Pair{FirstSum: 5, SecondSum: 6, Weight: 7},
			ZoneDelay:   map[int]float64{0: 8.5, -1: 9},
			MeanWork:    10,
			HighLatency: 11,
		},
		Classes: []ClassEstimates{
			{
				TypicalWork:    12,
				LatencySpread:  13,
				SuccessRate:    0.14,
				RequestCount:   15,
				PriorityFactor: 0.16,
				AnsweredCount:  17,
				GivenUpCount:   18,
				WorkSamples:    19,
			},
			{TypicalWork: 20, LatencySpread: 21, SuccessRate: 0.22, RequestCount: 23, PriorityFactor: 0.24},
		},
		Endpoints: map[uint32]Endpoint{
			7: {
				EndpointEstimates{
					Load:        25,
					LastReport:  26,
					RisePerSend: 27,
					Latency:     ewma.Pair{FirstSum: 28, SecondSum: 29, Weight: 30},
					HighLatency: 31,
					HasLatency:  true,
					HasReport:   true,
				},
				32,
			},
			8: {StartedAt: 33},
		},
	}
	text, err := json.Marshal(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "learned.json", text)
	var decoded Snapshot
	if err := json.Unmarshal(text, &decoded); err != nil || !decoded.Valid(2) {
		t.Errorf("decoding the snapshot: got %+v, error %v; want a valid one and no error", decoded, err)
	}
	if reencoded, err := json.Marshal(decoded); err != nil || !bytes.Equal(reencoded, text) {
		t.Errorf("encoding the decoded snapshot: got %s, error %v; want the same text", reencoded, err)
	}
}
