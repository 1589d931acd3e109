package result

import (
	"time"

	"fawnglade/internal/lab/trace"

	"gonum.org/v1/gonum/stat"
)

// minMeanInFlight is the mean number of requests in flight per endpoint below which their spread is mostly noise.
const minMeanInFlight = 0.1

// curve is one line of a plot, over seconds since the start of the run.
type curve struct {
	name string // in the legend; empty: no entry
	x, y []float64
}

func (c *curve) add(x, y float64) {
	c.x = append(c.x, x)
	c.y = append(c.y, y)
}

// midSecond returns the x position of a figure that covers a whole second.
func midSecond(second int) float64 { return float64(second) + 0.5 }

func (r *Result) tallyBySecond(name string, value func(*Tally) float64) curve {
	c := curve{name: name}
	for i := range r.Seconds {
		c.add(midSecond(i), value(&r.Seconds[i]))
	}
	return c
}

func (r *Result) activityBySecond(name string, value func(*trace.FleetActivity) int) curve {
	c := curve{name: name}
	for i := range r.Activity {
		c.add(midSecond(i), float64(value(&r.Activity[i])))
	}
	return c
}

func (r *Result) viewsBySample(name string, counts []int) curve {
	c := curve{name: name}
	for i, n := range counts {
		c.add(float64(r.Running[i].At)/1e9, float64(n))
	}
	return c
}

// inFlightOf returns the curve of the requests in flight at one endpoint.
func inFlightOf(loads []trace.LoadSample, endpoint int, name string) curve {
	c := curve{name: name}
	for _, sample := range loads {
		if endpoint < len(sample.InFlight) {
			c.add(float64(sample.At)/1e9, float64(sample.InFlight[endpoint]))
		}
	}
	return c
}

// inFlightSpread returns how unevenly load was spread over the endpoints: for each second, the standard deviation of
// their requests in flight divided by the mean. When many nodes react to the same load report, it oscillates with the
// reports. Samples with a mean of at most minMeanInFlight are skipped.
func (r *Result) inFlightSpread(name string) curve {
	c := curve{name: name}
	sum, samples, second := 0.0, 0.0, 0
	finishSecond := func() {
		if samples > 0 {
			c.add(midSecond(second), sum/samples)
		}
		sum, samples = 0, 0
	}
	for _, sample := range r.Loads {
		if at := int(sample.At / int64(time.Second)); at != second {
			finishSecond()
			second = at
		}
		inFlight := make([]float64, len(sample.InFlight))
		for i, n := range sample.InFlight {
			inFlight[i] = float64(n)
		}
		mean, deviation := stat.MeanStdDev(inFlight, nil)
		if len(inFlight) > 1 && mean > minMeanInFlight {
			sum += deviation / mean
			samples++
		}
	}
	finishSecond()
	return c
}
