package members

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Anti-entropy (push-pull): the view is divided into parts of about bucketNodes nodes. A ping carries the digest of one
// part in turn; where the receiver's differs, both send each other their states of that part.

const bucketNodes = 20

func (m *Members) buckets() int { return (len(m.peers) + bucketNodes) / bucketNodes }

// peersInBucket are the peers of a part, and whether this node is in it. The division goes by ID alone, so that it is the
// same at all nodes.
func (m *Members) peersInBucket(part int) (peers []int, self bool) {
	parts := uint64(m.buckets())
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
	peers, self := m.peersInBucket(part)
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

// withNextDigest adds the digest of the next part.
func (m *Members) withNextDigest(msg *message) *message {
	m.digestBucket = (m.digestBucket + 1) % m.buckets()
	msg.Buckets, msg.Bucket, msg.Digest = m.buckets(), m.digestBucket, m.digest(m.digestBucket)
	return msg
}

// differs reports whether the sender has other states of the part that its message names.
func (m *Members) digestDiffers(msg *message) bool {
	return msg.Buckets == m.buckets() && msg.Bucket >= 0 && msg.Bucket < msg.Buckets && m.digest(msg.Bucket) != msg.Digest
}

// bucketUpdates are the states of a part, as many as fit, from a drawn place.
func (m *Members) bucketUpdates(part int) (updates []update) {
	peers, _ := m.peersInBucket(part)
	first := m.random.IntN(len(peers) + 1)
	for k := 0; k < len(peers) && len(updates) < maxUpdates-1; k++ {
		i := peers[(first+k)%len(peers)]
		if m.peers[i].state != Unknown && !m.peers[i].localOnly {
			updates = append(updates, m.updateOf(i))
		}
	}
	return updates
}
