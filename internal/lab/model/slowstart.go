package model

import "math"

// The capacity of an endpoint in slow start rises linearly from SlowStartCapacity to all of it over SlowStartWindow.
// The endpoint crashes if the work that arrives within CrashWindow exceeds its budget, CrashMultiple times its current
// capacity, by more than a slack. Work that the endpoint rejects counts too.

// Arrival is the work of one attempt that arrived at an endpoint in slow start.
type Arrival struct {
	At     int64
	Work   float64 // seconds
	Node   int
	Budget float64 // seconds of work, for the crash window that ends with this arrival
}

// Crash describes the overload of an endpoint in slow start.
type Crash struct {
	At       int64
	Work     float64 // seconds of work that arrived within the crash window
	Capacity float64 // at the time of the crash, seconds of work per second
	Arrivals []Arrival
}

// CapacityShare returns the fraction of its full capacity that the endpoint has now.
func (e *Endpoint) CapacityShare() float64 {
	age := e.now - e.StartedAt
	if e.SlowStartWindow <= 0 || age >= e.SlowStartWindow {
		return 1
	}
	return e.SlowStartCapacity + (1-e.SlowStartCapacity)*math.Max(0, float64(age))/float64(e.SlowStartWindow)
}

// Capacity returns the work that the endpoint can do now, in seconds of work per second.
func (e *Endpoint) Capacity() float64 {
	return float64(e.Cores) * e.Speed * e.CapacityShare() * e.SpeedFactor
}

// SlowStartArrivals returns all arrivals of this incarnation until the end of slow start, or until the crash.
func (e *Endpoint) SlowStartArrivals() []Arrival { return e.slowStartArrivals }

// recordSlowStartArrival counts work that arrives during slow start, in seconds. It returns the crash that the work
// causes, or nil.
func (e *Endpoint) recordSlowStartArrival(node int, work float64) *Crash {
	if e.CapacityShare() >= 1 {
		e.windowArrivals = nil
		return nil
	}
	budget := e.CrashMultiple * e.Capacity() * (float64(e.CrashWindow) / 1e9)
	arrival := Arrival{e.now, work, node, budget}
	e.slowStartArrivals = append(e.slowStartArrivals, arrival)
	e.windowArrivals = append(e.windowArrivals, arrival)
	from := 0
	for e.windowArrivals[from].At <= e.now-e.CrashWindow {
		from++
	}
	e.windowArrivals = e.windowArrivals[from:]
	sum := 0.0
	for _, a := range e.windowArrivals {
		sum += a.Work
	}
	if sum <= budget+e.crashSlack(budget, work) {
		return nil
	}
	return &Crash{At: e.now, Work: sum, Capacity: e.Capacity(), Arrivals: e.windowArrivals}
}

// crashSlack returns by how much work may exceed the budget. It is the larger of a twentieth of the budget and two
// requests, but at most what random arrivals explain: 2 * sqrt(N) + 2 requests of mean work for a budget of N. With
// ChanceSlack it is that amount alone.
func (e *Endpoint) crashSlack(budget, work float64) float64 {
	slack := math.Max(0.05*budget, 2*work)
	if e.MeanWork > 0 {
		n := budget / e.MeanWork
		if chance := (2*math.Sqrt(n) + 2) * e.MeanWork; e.ChanceSlack || chance < slack {
			slack = chance
		}
	}
	return slack
}
