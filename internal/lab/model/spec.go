package model

import "fawnglade/internal/lab/scenario"

// Spec is the configuration of an endpoint. Times are in nanoseconds.
type Spec struct {
	Cores        int
	Speed        float64 // seconds of work that one core does in a second
	Concurrency  int     // requests that run at a time
	QueueLimit   int
	Slowdown     float64 // fraction by which work grows for each running request per core beyond SlowdownFrom
	SlowdownFrom float64 // running requests per core
	DropExpired  bool    // rejects requests that were queued past their deadline
	Cancel       CancelEffect

	SlowStartCapacity float64 // fraction of the full capacity at the start
	SlowStartWindow   int64
	CrashMultiple     float64 // multiple of its capacity in CrashWindow beyond which it crashes in slow start
	CrashWindow       int64
	MeanWork          float64 // of a request, seconds
	ChanceSlack       bool    // crashSlack is always the amount that random arrivals explain

	PauseEvery, PauseFor int64
	Connections          int
	ConnectionWork       int64
}

// CancelEffect says which canceled attempts an endpoint stops.
type CancelEffect int

// Effects of a cancellation: none, on queued attempts only, or on queued and running attempts.
const (
	CancelsNothing CancelEffect = iota
	CancelsQueued
	CancelsRunning
)

// SpecOf returns the Spec of an endpoint of a fleet. speed is the endpoint's own, drawn for the plan.
func SpecOf(s *scenario.Scenario, f *scenario.Fleet, speed float64) Spec {
	work, shares := 0.0, 0.0
	for i := range s.Classes {
		work += s.Classes[i].Share * float64(s.Classes[i].Work) / 1e9
		shares += s.Classes[i].Share
	}
	effects := map[string]CancelEffect{"nothing": CancelsNothing, "waiting": CancelsQueued, "work": CancelsRunning}
	return Spec{
		Cores: f.Cores, Speed: speed, Concurrency: f.Concurrency, QueueLimit: f.QueueLimit,
		Slowdown: f.Slowdown, SlowdownFrom: f.SlowdownFrom, DropExpired: f.DropExpired, Cancel: effects[f.Cancel],
		SlowStartCapacity: f.SlowStartCapacity, SlowStartWindow: int64(f.SlowStartWindow),
		CrashMultiple: s.Rules.CrashMultiple, CrashWindow: int64(s.Rules.CrashWindow),
		MeanWork: work / shares, ChanceSlack: s.Rules.CrashSlack == "chance",
		PauseEvery: int64(f.PauseEvery), PauseFor: int64(f.PauseFor),
		Connections: f.Connections, ConnectionWork: int64(f.ConnectionWork),
	}
}
