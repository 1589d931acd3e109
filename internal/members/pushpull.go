package members

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Anti-entropy (push-pull): the view is divided into buckets of about bucketNodes nodes. Pings carry the digest of
// one bucket each, in turn; if the receiver's digest differs, both nodes send each other their states of that bucket.

const bucketNodes = 20

func (m *Members) buckets() int { return (len(m.peers) + bucketNodes) / bucketNodes }

// peersInBucket returns the peers in a bucket, and whether this node is in it. Nodes are assigned to buckets by ID
// alone, so that the assignment is the same at all nodes.
func (m *Members) peersInBucket(bucket int) (peers []int, self bool) {
	buckets := uint64(m.buckets())
	for i := range m.peers {
		if m.peers[i].id%buckets == uint64(bucket) {
			peers = append(peers, i)
		}
	}
	return peers, m.id%buckets == uint64(bucket)
}

// digest returns a hash of the states in a bucket. It is the sum of the hashes of the states, and so doesn't depend on
// their order, which differs between nodes. Suspect counts as alive, because a suspicion is temporary.
func (m *Members) digest(bucket int) (sum uint64) {
	peers, self := m.peersInBucket(bucket)
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

// withNextDigest adds the digest of the next bucket to a message.
func (m *Members) withNextDigest(msg *message) *message {
	m.digestBucket = (m.digestBucket + 1) % m.buckets()
	msg.Buckets, msg.Bucket, msg.Digest = m.buckets(), m.digestBucket, m.digest(m.digestBucket)
	return msg
}

// digestDiffers reports whether the sender's digest of the bucket in its message differs from this node's.
func (m *Members) digestDiffers(msg *message) bool {
	return msg.Buckets == m.buckets() && msg.Bucket >= 0 && msg.Bucket < msg.Buckets && m.digest(msg.Bucket) != msg.Digest
}

// bucketUpdates returns states of a bucket, as many as fit into a datagram, beginning with a random peer.
func (m *Members) bucketUpdates(bucket int) (updates []update) {
	peers, _ := m.peersInBucket(bucket)
	first := m.random.IntN(len(peers) + 1)
	for k := 0; k < len(peers) && len(updates) < maxUpdates-1; k++ {
		i := peers[(first+k)%len(peers)]
		if m.peers[i].state != Unknown && !m.peers[i].localOnly {
			updates = append(updates, m.updateOf(i))
		}
	}
	return updates
}
