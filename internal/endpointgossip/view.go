package endpointgossip

import "time"

// View is the state of an exchange for operators.
type View struct {
	WatchUp    bool     `json:"watch_stands"`
	Version    int64    `json:"version"` // of the list in use
	Endpoints  int      `json:"servers"`
	Restored   bool     `json:"remembered"` // no watch is known to have sent the list
	AgeSeconds float64  `json:"age_s"`      // since the list was last confirmed; -1: not known
	Counters   Counters `json:"counts"`
}

// View returns the state.
func (e *Exchange) View() View {
	v := View{WatchUp: e.watchUp, AgeSeconds: -1, Counters: e.counters}
	if l := e.currentList(); l != nil {
		v.Version, v.Endpoints, v.Restored = l.version, len(l.endpoints), l.restored
		if l.confirmedAt > 0 {
			v.AgeSeconds = float64(e.age(l)) / float64(time.Second)
		}
	}
	return v
}
