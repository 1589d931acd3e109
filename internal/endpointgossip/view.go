package endpointgossip

import "time"

// View is the state of an Exchange, as served by the admin API.
type View struct {
	WatchUp    bool     `json:"watch_stands"`
	Version    int64    `json:"version"` // of the current list
	Endpoints  int      `json:"servers"`
	Restored   bool     `json:"remembered"` // the list is known only from persisted state or configuration
	AgeSeconds float64  `json:"age_s"`      // since the list was last confirmed; -1: not known
	Counters   Counters `json:"counts"`
}

// View returns the current state.
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
