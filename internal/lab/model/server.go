// Package model owns how servers behave: work, queues, warming up, falling over, pauses and load reports. It must never
// read a clock, sleep or touch a socket: it is told the time with each call, in nanoseconds, and says when it wants to
// be called next. Sockets and a world in virtual time can both drive it.
package model

import (
	"math"
	"math/rand/v2"
)

// Never is later than any day.
const Never = math.MaxInt64

// Kind is what a server is built as.
type Spec struct {
	Cores        int
	Speed        float64
	Concurrency  int
	QueueLimit   int
	Slowdown     float64 // part by which work gets dearer with each task a core beyond DearerAt
	SlowdownFrom float64
	DropExpired  bool
	Cancel       CancelEffect

	SlowStartCapacity float64
	SlowStartWindow   int64
	CrashMultiple     float64
	CrashWindow       int64
	MeanWork          float64 // seconds, of a request
	ChanceSlack       bool    // falls only beyond what the standing test puts down to chance; else also beyond a twentieth or two requests

	PauseEvery, PauseFor int64
	Connections          int
	ConnectionWork       int64
}

// Cancel is what a hand-off that was given up on stops.
type CancelEffect int

const (
	CancelsNothing CancelEffect = iota
	CancelsQueued
	CancelsRunning
)

// Job is one hand-off at a server.
type Job struct {
	ID       int64
	Work     int64 // left to do, on a core of speed 1
	Deadline int64 // its time is over then; Never if it has none
	Node     int
	Wait     int64 // waits so long in its place before its work begins

	readyAt          int64
	begun, remaining float64
	arrivedAt        int64
}

// Server is one machine in its present life. Work is shared evenly among the tasks in work: each gets a core at most.
type Endpoint struct {
	Spec
	StartedAt   int64 // Never ran cold if in the far past
	SpeedFactor float64
	random      *rand.Rand

	now         int64
	jobs        []*Job
	queue       []*Job
	pausedUntil int64 // stands still until then
	nextPause   int64
	crashed     bool
	overhead    float64 // work of connections and turning away, done before anything else

	windowArrivals    []Arrival // of a cold server, within the window
	slowStartArrivals []Arrival // all that came to it while it was cold

	done []Done

	busy         float64 // core-seconds used since the last figure was taken
	sampledAt    int64
	lastFigures  LoadFigures
	served       float64
	latencySum   float64
	latencyCount int
}

// Push is work that came to a cold server.
type Arrival struct {
	At     int64
	Work   float64 // seconds
	Node   int
	Budget float64 // of the window that ends with it, seconds
}

// Figure is what a server says of itself.
type LoadFigures struct {
	InFlight, Queue, Utilization, ServiceTime float64
}

// Fall tells how a cold server was pushed over, and by whom within the window.
type Crash struct {
	At       int64
	Work     float64 // seconds
	Capacity float64 // seconds of work a second, then
	Arrivals []Arrival
}

// NewServer makes a server that started at a time, warm if that is long ago.
func NewEndpoint(k Spec, started, now int64, seed uint64) *Endpoint {
	s := &Endpoint{Spec: k, StartedAt: started, SpeedFactor: 1, random: rand.New(rand.NewPCG(seed, 7)), now: now, nextPause: Never, sampledAt: now}
	s.drawPause()
	return s
}

func (s *Endpoint) drawPause() {
	if s.PauseEvery > 0 {
		s.nextPause = s.now + int64(s.random.ExpFloat64()*float64(s.PauseEvery))
	}
}

// Warmth is the share of its capacity that the server has, from the cold share to 1 in a straight line.
func (s *Endpoint) CapacityShare() float64 {
	if age := s.now - s.StartedAt; s.SlowStartWindow > 0 && age < s.SlowStartWindow {
		return s.SlowStartCapacity + (1-s.SlowStartCapacity)*math.Max(0, float64(age))/float64(s.SlowStartWindow)
	}
	return 1
}

// Capacity is the work that it can do now, in seconds of work a second.
func (s *Endpoint) Capacity() float64 {
	return float64(s.Cores) * s.Speed * s.CapacityShare() * s.SpeedFactor
}

// Stop makes the server stand still for a while.
func (s *Endpoint) Pause(now, until int64) { s.advance(now); s.pausedUntil = max(s.pausedUntil, until) }

// SetSlowness makes the server do that part of its work from now on.
func (s *Endpoint) SetSpeedFactor(now int64, part float64) { s.advance(now); s.SpeedFactor = part }

// Down is the server's end; nothing that it held is finished.
func (s *Endpoint) Crash() { s.crashed, s.jobs, s.queue, s.done = true, nil, nil, nil }

// IsDown tells whether it has ended.
func (s *Endpoint) HasCrashed() bool { return s.crashed }

// Held is the number of tasks in work and waiting.
func (s *Endpoint) InFlight() int { return len(s.jobs) + len(s.queue) }

// step is the longest time over which the warmth is taken to stand still.
const maxStep = int64(50e6)

// Advance does the work up to now and returns the jobs that have ended since it was last asked, each with its moment
// in the past.
func (s *Endpoint) Advance(now int64) []Done {
	s.advance(now)
	done := s.done
	s.done = nil
	return done
}

// advance keeps what ends for the next who asks: guards against ends that are lost as an arrival's side effect.
func (s *Endpoint) advance(now int64) {
	for s.now < now && !s.crashed {
		until := min(now, s.now+maxStep)
		if s.nextPause <= s.now {
			s.pausedUntil = max(s.pausedUntil, s.nextPause+s.PauseFor)
			s.drawPause()
			s.nextPause = max(s.nextPause, s.pausedUntil)
		}
		until = min(until, max(s.nextPause, s.now+1))
		if s.pausedUntil > s.now {
			s.now = min(until, s.pausedUntil)
			continue
		}
		s.done = append(s.done, s.work(until)...)
	}
	s.now = max(s.now, now)
}

// Done is a job that has ended.
type Done struct {
	Job     *Job
	At      int64
	Expired bool // taken from the queue too late: it never ran
}

// work runs until a time, or up to the first job's end before it.
func (s *Endpoint) work(until int64) []Done {
	rate := s.Speed * s.CapacityShare() * s.SpeedFactor // seconds of work a second, of one core
	span := float64(until-s.now) / 1e9
	if s.overhead > 0 {
		part := math.Min(s.overhead, rate*float64(s.Cores)*span)
		s.overhead -= part
		took := part / (rate * float64(s.Cores))
		s.busy += took * float64(s.Cores)
		s.now += max(int64(took*1e9), 1)
		return nil
	}
	running := s.running()
	if soonest := s.nextReady(); soonest < until { // one that waits in its place begins then
		until = max(soonest, s.now+1)
		span = float64(until-s.now) / 1e9
	}
	if running == 0 {
		s.now = until
		return nil
	}
	each := s.workRate(running)
	var first *Job
	for _, j := range s.jobs {
		if j.readyAt <= s.now && (first == nil || j.remaining < first.remaining) {
			first = j
		}
	}
	if need := first.remaining / each; need <= span {
		span = need
		until = min(until, s.now+int64(math.Ceil(need*1e9)))
	}
	for _, j := range s.jobs {
		if j.readyAt <= s.now {
			j.remaining -= each * span
		}
	}
	s.busy += span * math.Min(float64(s.Cores), float64(running))
	s.now = until
	var done []Done
	kept := s.jobs[:0]
	for _, j := range s.jobs {
		if j.remaining > 1e-10 {
			kept = append(kept, j)
			continue
		}
		done = append(done, Done{Job: j, At: s.now})
		s.served++
		s.latencySum += float64(s.now-j.arrivedAt) / 1e6
		s.latencyCount++
	}
	s.jobs = kept
	if len(done) > 0 {
		done = append(done, s.startQueued()...)
	}
	return done
}

// running is how many tasks in places are worked on.
func (s *Endpoint) running() (n int) {
	for _, j := range s.jobs {
		if j.readyAt <= s.now {
			n++
		}
	}
	return n
}

// soonest is when the next that waits in its place begins.
func (s *Endpoint) nextReady() int64 {
	soonest := int64(Never)
	for _, j := range s.jobs {
		if j.readyAt > s.now {
			soonest = min(soonest, j.readyAt)
		}
	}
	return soonest
}

// each is the work that every one of so many gets done in a second: a core at most, and less where a crowd makes it dearer.
func (s *Endpoint) workRate(running int) float64 {
	rate := s.Speed * s.CapacityShare() * s.SpeedFactor * math.Min(1, float64(s.Cores)/float64(running))
	if over := float64(running)/float64(s.Cores) - s.SlowdownFrom; s.Slowdown > 0 && over > 0 {
		rate /= 1 + s.Slowdown*over
	}
	return rate
}

// pull takes from the waiting room what there are places for.
func (s *Endpoint) startQueued() (late []Done) {
	for len(s.queue) > 0 && len(s.jobs) < s.Concurrency {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if s.DropExpired && j.Deadline <= s.now {
			late = append(late, Done{Job: j, At: s.now, Expired: true})
			continue
		}
		s.startJob(j)
	}
	return late
}

func (s *Endpoint) startJob(j *Job) {
	j.begun, j.remaining, j.readyAt = float64(s.now), float64(j.Work)/1e9, s.now+j.Wait
	s.jobs = append(s.jobs, j)
}

// turningAway is the work of saying no, as a part of a millisecond: it also pushes a cold server.
const rejectionWork = 50e-6

// Arrive hands a job to the server: in work or waiting, or turned away. A fall means that the server has just been
// pushed over and has ended.
func (s *Endpoint) Arrive(now int64, j *Job) (accepted bool, fall *Crash) {
	s.advance(now)
	if s.crashed {
		return false, nil
	}
	if fall = s.chargeSlowStart(j.Node, float64(j.Work)/1e9); fall != nil {
		s.Crash()
		return false, fall
	}
	j.arrivedAt = now
	switch {
	case len(s.jobs) < s.Concurrency:
		s.startJob(j)
	case len(s.queue) < s.QueueLimit:
		s.queue = append(s.queue, j)
	default:
		s.overhead += rejectionWork
		return false, nil
	}
	return true, nil
}

// Connected charges the work of a new connection.
func (s *Endpoint) ConnectionOpened(now int64) {
	s.advance(now)
	s.overhead += float64(s.ConnectionWork) / 1e9
}

// WhileCold is all that came in this life until the server was warm, or fell.
func (s *Endpoint) SlowStartArrivals() []Arrival { return s.slowStartArrivals }

// push keeps the budget of a cold server: multiple times its present capacity times the window, with a little slack
// for chance. All that reaches it counts, also what it turns away. Of N requests of mean work the standing test puts 2 x root of N + 2
// down to chance; where a day doesn't ask for just that, the slack is the lesser of this and a twentieth, or two requests.
func (s *Endpoint) chargeSlowStart(node int, work float64) *Crash {
	if s.CapacityShare() >= 1 {
		s.windowArrivals = nil
		return nil
	}
	window := float64(s.CrashWindow) / 1e9
	budget := s.CrashMultiple * s.Capacity() * window
	s.windowArrivals = append(s.windowArrivals, Arrival{s.now, work, node, budget})
	s.slowStartArrivals = append(s.slowStartArrivals, Arrival{s.now, work, node, budget})
	from := 0
	for s.windowArrivals[from].At <= s.now-s.CrashWindow {
		from++
	}
	s.windowArrivals = s.windowArrivals[from:]
	sum := 0.0
	for _, p := range s.windowArrivals {
		sum += p.Work
	}
	slack := math.Max(0.05*budget, 2*work)
	if s.MeanWork > 0 {
		n := budget / s.MeanWork
		if chance := (2*math.Sqrt(n) + 2) * s.MeanWork; s.ChanceSlack || chance < slack {
			slack = chance
		}
	}
	if sum <= budget+slack {
		return nil
	}
	return &Crash{At: s.now, Work: sum, Capacity: s.Capacity(), Arrivals: s.windowArrivals}
}

// GiveUp tells that nobody waits for a job any more. It returns whether that stopped it, and whether it had not begun.
func (s *Endpoint) CancelJob(now int64, id int64) (stopped, neverRan bool) {
	s.advance(now)
	for i, j := range s.queue {
		if j.ID == id && s.Cancel >= CancelsQueued {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return true, true
		}
	}
	for i, j := range s.jobs {
		if j.ID == id && s.Cancel == CancelsRunning {
			s.jobs = append(s.jobs[:i], s.jobs[i+1:]...)
			return true, false
		}
	}
	return false, false
}

// Next is when the server wants to be advanced at the latest.
func (s *Endpoint) Next() int64 {
	if len(s.done) > 0 {
		return s.now
	}
	if s.crashed || len(s.jobs) == 0 {
		return Never
	}
	if s.pausedUntil > s.now {
		return s.pausedUntil
	}
	running, least, soonest := s.running(), math.Inf(1), s.nextReady()
	for _, j := range s.jobs {
		if j.readyAt <= s.now {
			least = math.Min(least, j.remaining)
		}
	}
	if running == 0 {
		return soonest
	}
	need := s.overhead/(s.Speed*s.CapacityShare()*s.SpeedFactor*float64(s.Cores)) + least/s.workRate(running)
	if need > 3600 {
		return min(soonest, s.now+int64(1e9))
	}
	// A pause or growing warmth may change it: never further ahead than a step beyond which it is worked out anew.
	return min(soonest, s.now+max(int64(math.Ceil(need*1e9)), 1))
}

// Take takes the figures of a load report anew.
func (s *Endpoint) Sample(now int64) LoadFigures {
	s.advance(now)
	span := float64(now-s.sampledAt) / 1e9
	f := LoadFigures{InFlight: float64(len(s.jobs)), Queue: float64(len(s.queue)), ServiceTime: s.lastFigures.ServiceTime}
	if span > 0 {
		f.Utilization = math.Min(1, s.busy/span/float64(s.Cores))
	}
	if s.latencyCount > 0 {
		f.ServiceTime = s.latencySum / float64(s.latencyCount)
	}
	s.lastFigures, s.busy, s.sampledAt, s.latencySum, s.latencyCount = f, 0, now, 0, 0
	return f
}

// Noisy spoils a figure a little, as measurements are.
func (f LoadFigures) Noisy(draw func() float64, noise float64) LoadFigures {
	one := func(v float64) float64 { return math.Max(0, v*(1+noise*(2*draw()-1))) }
	return LoadFigures{math.Round(one(f.InFlight)), math.Round(one(f.Queue)), one(f.Utilization), one(f.ServiceTime)}
}

// Charge adds work that is no task's: a probe's.
func (s *Endpoint) Charge(now, work int64) {
	s.advance(now)
	s.overhead += float64(work) / 1e9
}
