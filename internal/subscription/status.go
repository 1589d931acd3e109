package subscription

import (
	"encoding/json"
	"time"

	"fawnglade/internal/distribution"
	"fawnglade/internal/relay"
)

// unknownAgeSeconds stands for an age that is not known.
const unknownAgeSeconds = -1

// Status of a subscription, as the admin API shows it.
type Status struct {
	Active           string            `json:"by"` // source of the list: nobody, relays, discovery
	Relay            string            `json:"relay,omitempty"`
	LastError        string            `json:"why,omitempty"`  // for which the last relay was left
	AgeSeconds       float64           `json:"age_s"`          // of what relays sent; -1: not known
	ListVersion      int64             `json:"seq"`            // of discovery's list, that the relays' origin has
	WatchesDiscovery bool              `json:"watch"`          // discovery is to be watched
	Switches         int64             `json:"moves"`          // of the source
	Complete         bool              `json:"whole"`          // all scopes have been complete once
	SkippedRecords   int64             `json:"records_spoilt"` // that could not be decoded
	Client           relay.ClientStats `json:"client"`
	Records          int               `json:"records"`
	Position         [2]uint64         `json:"position"` // epoch and version of what relays sent
}

// Status returns the status now.
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

// StatusJSON returns the status as JSON.
func (s *Subscription[V]) StatusJSON() string {
	text, err := json.Marshal(s.Status())
	if err != nil {
		return err.Error()
	}
	return string(text)
}
