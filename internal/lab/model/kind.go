package model

// This file owns how a scenario's words become a kind of server, the same on sockets and in virtual time.

import "fawnglade/internal/lab/scenario"

// KindOf is a fleet's kind of server with a drawn speed.
func SpecOf(s *scenario.Scenario, f *scenario.Fleet, speed float64) Spec {
	r, work, shares := &s.Rules, 0.0, 0.0
	for i := range s.Classes {
		work += s.Classes[i].Share * float64(s.Classes[i].Work) / 1e9
		shares += s.Classes[i].Share
	}
	cancel := map[string]CancelEffect{"nothing": CancelsNothing, "waiting": CancelsQueued, "work": CancelsRunning}
	return Spec{
		Cores: f.Cores, Speed: speed, Concurrency: f.Concurrency, QueueLimit: f.QueueLimit, Slowdown: f.Slowdown, SlowdownFrom: f.SlowdownFrom, DropExpired: f.DropExpired,
		Cancel: cancel[f.Cancel], SlowStartCapacity: f.SlowStartCapacity, SlowStartWindow: int64(f.SlowStartWindow), CrashMultiple: r.CrashMultiple, CrashWindow: int64(r.CrashWindow),
		MeanWork: work / shares, ChanceSlack: r.CrashSlack == "chance",
		PauseEvery: int64(f.PauseEvery), PauseFor: int64(f.PauseFor), Connections: f.Connections, ConnectionWork: int64(f.ConnectionWork),
	}
}
