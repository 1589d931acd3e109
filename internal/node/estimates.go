package node

import (
	"encoding/json"
	"errors"

	"fawnglade/internal/estimates"

	"go.uber.org/zap"
)

var errEstimatesInvalid = errors.New("estimates are invalid or do not match the classes of the settings")

// encodeEstimates encodes the balancer's estimates for a successor or to be persisted. It is called on the event loop
// only.
func (l *eventLoop) encodeEstimates() json.RawMessage {
	text, err := json.Marshal(l.balancer.Estimates())
	if err != nil {
		l.node.log.Warn("estimates can't be encoded", zap.Error(err))
	}
	return text
}

// decodeEstimates decodes estimates that an earlier process encoded.
func (n *Node) decodeEstimates(text json.RawMessage) (*estimates.Snapshot, error) {
	var snapshot estimates.Snapshot
	if err := json.Unmarshal(text, &snapshot); err != nil {
		return nil, err
	}
	if !snapshot.Valid(len(n.settings.Classes)) {
		return nil, errEstimatesInvalid
	}
	return &snapshot, nil
}

// inheritPredecessorEstimates gives the predecessor's estimates to the balancer if they are valid.
func (l *eventLoop) inheritPredecessorEstimates(text json.RawMessage) {
	snapshot, err := l.node.decodeEstimates(text)
	if err != nil {
		l.node.counters.add(hotRestartsIgnored)
		l.node.log.Warn("ignoring the predecessor's estimates", zap.Error(err))
		return
	}
	l.handle(nil, func() { l.balancer.Inherit(snapshot) })
}
