package node

import (
	"encoding/json"
	"errors"

	"fawnglade/internal/estimates"

	"go.uber.org/zap"
)

var errEstimatesInvalid = errors.New("estimates do not fit the settings")

// encodeEstimates is the estimates of the decisions, for a successor or to be persisted; of the loop alone.
func (l *eventLoop) encodeEstimates() json.RawMessage {
	text, err := json.Marshal(l.balancer.Estimates())
	if err != nil {
		l.node.log.Warn("estimates can't be encoded", zap.Error(err))
	}
	return text
}

// decodeEstimates reads estimates that an earlier process encoded.
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

// inherit begins with the estimates of the process before, if they are valid.
func (l *eventLoop) inheritPredecessorEstimates(text json.RawMessage) {
	snapshot, err := l.node.decodeEstimates(text)
	if err != nil {
		l.node.counters.add(hotRestartsIgnored)
		l.node.log.Warn("estimates of the process before ignored", zap.Error(err))
		return
	}
	l.handle(nil, func() { l.balancer.Inherit(snapshot) })
}
