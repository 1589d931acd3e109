package model

import "math"

// An endpoint in slow start has a part of its capacity that rises to the whole over SlowStartWindow. It crashes if the
// work that arrives within CrashWindow exceeds its budget, CrashMultiple times its present capacity, by more than a
// slack. All that arrives counts, also what it rejects.

// Arrival is work that arrived at an endpoint in slow start.
type Arrival struct {
	At     int64
	Work   float64 // seconds
	Node   int
	Budget float64 // of the window that ends with it, seconds of work
}

// Crash tells how an endpoint in slow start was overloaded, and by whose work within the window.
type Crash struct {
	At       int64
	Work     float64 // seconds
	Capacity float64 // seconds of work a second, at that moment
	Arrivals []Arrival
}

// CapacityShare is the part of its capacity that the endpoint has.
func (e *Endpoint) CapacityShare() float64 {
	age := e.now - e.StartedAt
	if e.SlowStartWindow <= 0 || age >= e.SlowStartWindow {
		return 1
	}
	return e.SlowStartCapacity + (1-e.SlowStartCapacity)*math.Max(0, float64(age))/float64(e.SlowStartWindow)
}

// Capacity is the work that the endpoint can do now, in seconds of work a second.
func (e *Endpoint) Capacity() float64 {
	return float64(e.Cores) * e.Speed * e.CapacityShare() * e.SpeedFactor
}

// SlowStartArrivals returns all that arrived in this incarnation until the endpoint was warm, or crashed.
func (e *Endpoint) SlowStartArrivals() []Arrival { return e.slowStartArrivals }

// recordSlowStartArrival counts work that arrives, in seconds, and returns the crash that it causes; nil if none.
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

// crashSlack is by how much work may exceed the budget: a twentieth, or two requests, but no more than the standing test
// puts down to chance, which is 2 x root of N + 2 for N requests of mean work; or just that.
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
