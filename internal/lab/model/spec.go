package model

import "fawnglade/internal/lab/scenario"

// Spec is how an endpoint is built. Times are nanoseconds.
type Spec struct {
	Cores        int
	Speed        float64 // seconds of work that one core does in a second
	Concurrency  int     // requests in work at a time
	QueueLimit   int
	Slowdown     float64 // part by which work grows with each request a core beyond SlowdownFrom
	SlowdownFrom float64
	DropExpired  bool // rejects requests that were queued past their deadline
	Cancel       CancelEffect

	SlowStartCapacity float64 // part of its capacity at its start
	SlowStartWindow   int64
	CrashMultiple     float64 // of its capacity within CrashWindow, beyond which it crashes in slow start
	CrashWindow       int64
	MeanWork          float64 // of a request, seconds
	ChanceSlack       bool    // it crashes only beyond what the standing test puts down to chance

	PauseEvery, PauseFor int64
	Connections          int
	ConnectionWork       int64
}

// CancelEffect is what a canceled attempt stops.
type CancelEffect int

// The effects: nothing, an attempt that is still queued, or one in work as well.
const (
	CancelsNothing CancelEffect = iota
	CancelsQueued
	CancelsRunning
)

// SpecOf returns a fleet's kind of endpoint with a drawn speed.
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
