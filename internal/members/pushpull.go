package members

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Anti-entropy (push-pull): the view is divided into parts of about partNodes nodes. A ping carries the digest of one
// part in turn; where the receiver's differs, both send each other their states of that part.

const partNodes = 20

func (m *Members) parts() int { return (len(m.peers) + partNodes) / partNodes }

// peersOfPart are the peers of a part, and whether this node is in it. The division goes by ID alone, so that it is the
// same at all nodes.
func (m *Members) peersOfPart(part int) (peers []int, self bool) {
	parts := uint64(m.parts())
	for i := range m.peers {
		if m.peers[i].id%parts == uint64(part) {
			peers = append(peers, i)
		}
	}
	return peers, m.id%parts == uint64(part)
}

// digest is a hash of the states of a part, as a sum, since each node has an order of its own. A suspicion passes and
// counts as alive.
func (m *Members) digest(part int) (sum uint64) {
	peers, self := m.peersOfPart(part)
	if self {
		sum += hashUpdate(m.selfUpdate())
	}
	for _, i := range peers {
		if m.peers[i].state != Unknown {
			sum += hashUpdate(m.updateOf(i))
		}
	}
	return sum
}

func hashUpdate(u update) uint64 {
	if u.State == Suspect {
		u.State = Alive
	}
	b := make([]byte, 0, 32)
	for _, v := range [...]uint64{u.ID, uint64(u.State), u.incarnation(), uint64(u.RunID)} {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	return xxhash.Sum64(b)
}

// withDigest adds the digest of the next part.
func (m *Members) withDigest(msg *message) *message {
	m.digestPart = (m.digestPart + 1) % m.parts()
	msg.Parts, msg.Part, msg.Digest = m.parts(), m.digestPart, m.digest(m.digestPart)
	return msg
}

// differs reports whether the sender has other states of the part that its message names.
func (m *Members) differs(msg *message) bool {
	return msg.Parts == m.parts() && msg.Part >= 0 && msg.Part < msg.Parts && m.digest(msg.Part) != msg.Digest
}

// partUpdates are the states of a part, as many as fit, from a drawn place.
func (m *Members) partUpdates(part int) (updates []update) {
	peers, _ := m.peersOfPart(part)
	first := m.random.IntN(len(peers) + 1)
	for k := 0; k < len(peers) && len(updates) < maxUpdates-1; k++ {
		i := peers[(first+k)%len(peers)]
		if m.peers[i].state != Unknown && !m.peers[i].ownViewOnly {
			updates = append(updates, m.updateOf(i))
		}
	}
	return updates
}
