package result

import (
	"time"

	"fawnglade/internal/lab/scenario"
	"fawnglade/internal/lab/trace"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxElapsedUs      = int64(10 * time.Minute / time.Microsecond) // longer latencies are recorded as this value
	significantDigits = 3                                          // of recorded latencies
)

// Tally counts requests by outcome. The quantiles are those of the latencies of succeeded requests, measured from their
// due times.
type Tally struct {
	Requests       int     `json:"tasks"`
	Succeeded      int     `json:"satisfied"`
	InTime         int     `json:"in_time"` // succeeded within the latency objective
	Rejected       int     `json:"declined"`
	Failed         int     `json:"broken_off"`
	Lost           int     `json:"lost"` // no response received
	Canceled       int     `json:"left"` // by their clients; otherwise counted only in Requests
	Weight         float64 `json:"earnings"`
	WeightInTime   float64 `json:"earned_in_time"`
	FractionInTime float64 `json:"earnings_in_time"` // WeightInTime / Weight; 1 if Weight is 0
	P50            float64 `json:"p50_ms"`
	P90            float64 `json:"p90_ms"`
	P99            float64 `json:"p99_ms"`
	P999           float64 `json:"p999_ms"`
	Max            float64 `json:"most_ms"`

	histogram *hdrhistogram.Histogram // microseconds
}

func newTally() *Tally {
	return &Tally{histogram: hdrhistogram.New(1, maxElapsedUs, significantDigits)}
}

// newTallies returns a tally for each interval of a run. Both the length of the run and the interval are in
// nanoseconds.
func newTallies(length, interval int64) []*Tally {
	tallies := make([]*Tally, (length-1)/interval+1)
	for i := range tallies {
		tallies[i] = newTally()
	}
	return tallies
}

// tallyByName returns the tally of a name, creating it on first use.
func tallyByName(tallies map[string]*Tally, name string) *Tally {
	if tallies[name] == nil {
		tallies[name] = newTally()
	}
	return tallies[name]
}

// add counts one request. Requests that were unfinished at the end of the run count as failed.
func (t *Tally) add(outcome trace.Outcome, class *scenario.Class) {
	t.Requests++
	if outcome.State == trace.Canceled {
		t.Canceled++
		return
	}
	t.Weight += class.PriorityWeight
	switch outcome.State {
	case trace.Succeeded:
		t.addSuccess(outcome.Elapsed, class)
	case trace.Rejected:
		t.Rejected++
	case trace.Lost:
		t.Lost++
	default:
		t.Failed++
	}
}

// addSuccess counts a request that succeeded; elapsed is its latency in nanoseconds.
func (t *Tally) addSuccess(elapsed int64, class *scenario.Class) {
	t.Succeeded++
	microseconds := max(min(elapsed/int64(time.Microsecond), maxElapsedUs), 1)
	_ = t.histogram.RecordValue(microseconds) // fails only for values outside the histogram's range
	if elapsed <= int64(class.LatencyObjective) {
		t.InTime++
		t.WeightInTime += class.PriorityWeight
	}
}

// finish computes FractionInTime and the quantiles. It is called after all requests are counted.
func (t *Tally) finish() Tally {
	t.FractionInTime = 1
	if t.Weight > 0 {
		t.FractionInTime = t.WeightInTime / t.Weight
	}
	milliseconds := func(percentile float64) float64 {
		return float64(t.histogram.ValueAtQuantile(percentile)) / 1000
	}
	t.P50, t.P90, t.P99, t.P999 = milliseconds(50), milliseconds(90), milliseconds(99), milliseconds(99.9)
	t.Max = float64(t.histogram.Max()) / 1000
	return *t
}

// WorstWindow returns the lowest fraction of weight in time over any window of the given number of whole seconds.
func (r *Result) WorstWindow(seconds int) float64 {
	worst := 1.0
	for i := 0; i+seconds <= len(r.Seconds); i++ {
		inTime, weight := 0.0, 0.0
		for _, t := range r.Seconds[i : i+seconds] {
			inTime += t.WeightInTime
			weight += t.Weight
		}
		if weight > 0 {
			worst = min(worst, inTime/weight)
		}
	}
	return worst
}

// WorstClass returns the lowest fraction of weight in time of any class.
func (r *Result) WorstClass() float64 {
	worst := 1.0
	for _, t := range r.Classes {
		worst = min(worst, t.FractionInTime)
	}
	return worst
}
