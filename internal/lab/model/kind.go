package model

// This file owns how a scenario's words become a kind of server, the same on sockets and in virtual time.

import "fawnglade/internal/lab/scenario"

// KindOf is a fleet's kind of server with a drawn speed.
func SpecOf(s *scenario.Scenario, f *scenario.Fleet, speed float64) Spec {
	r, work, shares := &s.Rules, 0.0, 0.0
	for i := range s.Categories {
		work += s.Categories[i].Share * float64(s.Categories[i].Work) / 1e9
		shares += s.Categories[i].Share
	}
	cancel := map[string]Cancel{"nothing": CancelsNothing, "waiting": CancelsWaiting, "work": CancelsWork}
	return Spec{
		Cores: f.Cores, Speed: speed, Places: f.Places, Waiting: f.Waiting, Dearer: f.Dearer, DearerAt: f.DearerAt, DropExpired: f.DropExpired,
		Cancel: cancel[f.Cancel], ColdFrom: f.ColdFrom, WarmFor: int64(f.WarmFor), FallMultiple: r.FallMultiple, FallAfter: int64(r.FallAfter),
		MeanWork: work / shares, ByChance: r.FallSlack == "chance",
		PauseEvery: int64(f.PauseEvery), PauseFor: int64(f.PauseFor), Connections: f.Connections, ConnectionWork: int64(f.ConnectionWork),
	}
}
