package subscription

import (
	"encoding/json"
	"time"

	"fawnglade/internal/distribution"
	"fawnglade/internal/relay"
)

// unknownAgeSeconds is the value of Status.AgeSeconds if the age is not known.
const unknownAgeSeconds = -1

// Status is the state of a subscription, as served by the admin API.
type Status struct {
	Active           string            `json:"by"` // source of the list in use: nobody, relays, discovery
	Relay            string            `json:"relay,omitempty"`
	LastError        string            `json:"why,omitempty"`  // why the connection to the last relay ended
	AgeSeconds       float64           `json:"age_s"`          // age of the relays' list; -1: not known
	ListVersion      int64             `json:"seq"`            // version of discovery's list at the origin of the relays
	WatchesDiscovery bool              `json:"watch"`          // the node's own watch of discovery is requested
	Switches         int64             `json:"moves"`          // changes of the source
	Complete         bool              `json:"whole"`          // the lists of all scopes have been received completely
	SkippedRecords   int64             `json:"records_spoilt"` // records that could not be decoded
	Client           relay.ClientStats `json:"client"`
	Records          int               `json:"records"`
	Position         [2]uint64         `json:"position"` // epoch and version of the relays' list
}

// Status returns the current status.
func (s *Subscription[V]) Status() Status {
	status := Status{AgeSeconds: unknownAgeSeconds}
	s.sink.Inspect(func(subscriber *distribution.Subscriber) {
		stats := subscriber.Stats()
		status.Complete = subscriber.Complete()
		status.Records = stats.Records
		status.SkippedRecords = stats.InvalidRecords
		position := subscriber.Position(relay.ScopeOrigin)
		status.Position = [2]uint64{position.Epoch, position.Through}
		if ageNs, known := subscriber.Age(s.config.Clock(), relay.ScopeOrigin); known {
			status.AgeSeconds = float64(ageNs) / float64(time.Second)
		}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	discovery, _ := s.hostTable.Discovery()
	status.Active = s.active.String()
	status.Relay = s.clientState.Upstream
	status.LastError = s.clientState.Reason
	status.ListVersion = discovery.Version
	status.WatchesDiscovery = s.watchesDiscovery
	status.Switches = s.selector.Switches
	status.Client = s.client.Stats()
	return status
}

// StatusJSON returns the current status as JSON.
func (s *Subscription[V]) StatusJSON() string {
	text, err := json.Marshal(s.Status())
	if err != nil {
		return err.Error()
	}
	return string(text)
}
