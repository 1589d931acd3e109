package policy

// This file owns what instances tell one another: for how long a connection may stand idle before something between
// drops it, and which servers fail a category. It must never touch the list, nor overrule what this instance saw itself;
// messages that are lost, late, repeated or nonsense leave everything as it is, or cost a connection at most.

import (
	"encoding/binary"
	"math"
)

const (
	newsVersion = 1
	idleNews    = 1 // followed by milliseconds
	failNews    = 2 // followed by a server and a category

	tellEvery = recalculate // the same kind of news goes out no more often
	voices    = 3           // that a server fails a category, within about two seconds
	signers   = 10          // one node in so many
)

// died takes the news that a connection idle for so long was dead, seen or told. One sign is none, as a slow answer looks
// alike at first: it takes two, or where all tell one another signs from a part of them within a second or two.
func (p *Policy) died(gap int64) {
	p.deaths++
	if enough := float64(p.set.Nodes) / signers; p.deaths >= 2 && (!p.set.MayTell || p.deaths >= enough) {
		p.idle = min(p.idle, gap*3/4)
	}
}

// sawDead is died by own sight.
func (p *Policy) sawDead(now, gap int64) {
	p.died(gap)
	if p.set.MayTell && now-p.toldIdle >= tellEvery {
		p.toldIdle = now
		p.host.Tell(binary.AppendUvarint([]byte{newsVersion, idleNews}, uint64(gap/1e6)))
	}
}

// sawFail tells that a server fails a category.
func (p *Policy) sawFail(now int64, s *server, category int) {
	if st := &s.standing[category]; p.set.MayTell && now-st.toldAt >= tellEvery {
		st.toldAt = now
		p.host.Tell(binary.AppendUvarint(binary.AppendUvarint([]byte{newsVersion, failNews}, uint64(s.Server)), uint64(category)))
	}
}

// Told takes a message of another instance.
func (p *Policy) Told(now int64, news []byte) {
	if len(news) < 2 || news[0] != newsVersion {
		return
	}
	switch news[1] {
	case idleNews:
		if ms, n := binary.Uvarint(news[2:]); n > 0 && ms >= uint64(shortIdle/1e6) && ms < 1e6 {
			p.died(int64(ms) * 1e6)
		}
	case failNews:
		id, n := binary.Uvarint(news[2:])
		category, m := binary.Uvarint(news[2+max(n, 0):])
		s := p.byID[ServerID(id)]
		if n <= 0 || m <= 0 || s == nil || id > math.MaxUint32 || category >= uint64(len(p.of)) {
			return
		}
		st := &s.standing[category]
		// What this instance saw itself goes first; one voice is none, as a single error puts a server out at a node.
		if st.told++; st.told >= voices && !st.unfit && (st.n < 1 || st.failing > failed/2) {
			st.unfit, st.failing, st.retryAt = true, max(st.failing, 2*failed), now+recalculate
		}
	}
}
