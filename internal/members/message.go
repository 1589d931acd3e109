package members

// This file owns the form of a datagram and what becomes of one that has come. It must never act on what it can't read whole,
// nor answer to any address but that of the sender's name on the list.

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Most is the length that no datagram reaches: it passes any way in one piece.
const MaxDatagramBytes = 1200

// MostLoad is the longest load that a datagram carries for another part of the node.
const MaxPayloadBytes = 1000

const (
	version      = 1
	authTagBytes = 16
	maxUpdates   = 22 // rumours in a datagram, each under 48 bytes
	partSize     = 20 // nodes in one part of the view
)

// kind of a datagram.
type kind uint8

const (
	ping    kind = 1 + iota
	ack          // of a ping; with About, of what was asked for
	pingReq      // probe another for me
	nack         // no answer from it yet
	gossip
	pushPull // what is believed of one part of the view
	payload
)

// message is the body of a datagram. Fields that a later version adds are passed over; a field is never put to another use.
type message struct {
	Kind         kind     `cbor:"1,keyasint"`
	To           uint64   `cbor:"2,keyasint"`
	Self         update   `cbor:"3,keyasint"`
	Sequence     uint64   `cbor:"4,keyasint,omitempty"`
	Target       uint64   `cbor:"5,keyasint,omitempty"`
	Parts        int      `cbor:"6,keyasint,omitempty"` // into how many the sender divides its view
	Part         int      `cbor:"7,keyasint,omitempty"`
	Digest       uint64   `cbor:"8,keyasint,omitempty"`
	Updates      []update `cbor:"9,keyasint,omitempty"`
	KnownStartMs uint64   `cbor:"10,keyasint,omitempty"` // in an answer: the start of the receiver's life before this one
	Payload      []byte   `cbor:"11,keyasint,omitempty"`
}

var (
	decMode = must(cbor.DecOptions{
		MaxArrayElements: 64, MaxMapPairs: 64, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden,
	}.DecMode())
	encMode = must(cbor.CoreDetEncOptions().EncMode())

	errTooLong = errors.New("members: longer than a datagram may be")
	errVersion = errors.New("members: a version that this build does not know")
	errAuth    = errors.New("members: spoilt, or sealed with another key")
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // fixed options
	}
	return v
}

func authTag(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(nil)[:authTagBytes]
}

func encode(key []byte, m *message) []byte {
	body, err := encMode.Marshal(m)
	if err != nil {
		panic(err) // plain numbers
	}
	body = append([]byte{version}, body...)
	return append(body, authTag(key, body)...)
}

func decode(key, datagram []byte) (*message, error) {
	if len(datagram) >= MaxDatagramBytes {
		return nil, errTooLong
	}
	if len(datagram) < 2+authTagBytes {
		return nil, errAuth
	}
	if datagram[0] != version {
		return nil, errVersion
	}
	body := datagram[:len(datagram)-authTagBytes]
	if !hmac.Equal(authTag(key, body), datagram[len(body):]) {
		return nil, errAuth
	}
	m := &message{}
	return m, decMode.Unmarshal(body[1:], m)
}

// send adds what is new and sends. What the receiver is said to be comes first, so that it can say otherwise.
func (m *Members) send(to int, msg *message) {
	p := &m.peers[to]
	msg.To, msg.Self = p.id, m.selfUpdate()
	room := maxUpdates
	if msg.Kind == payload {
		room = 1 // all that fits beside a load
	}
	if p.state > Alive && !p.ownViewOnly && len(msg.Updates) < room {
		msg.Updates = append(msg.Updates, m.updateOf(to))
	}
	for n := len(m.broadcasts); n > 0 && msg.Kind != payload && len(msg.Updates) < room; n-- {
		i := m.broadcasts[0]
		m.broadcasts = m.broadcasts[1:]
		x := &m.peers[i]
		if x.transmitsLeft > 0 && !x.ownViewOnly {
			x.transmitsLeft--
			msg.Updates = append(msg.Updates, m.updateOf(int(i)))
		}
		if x.queued = x.transmitsLeft > 0 && !x.ownViewOnly; x.queued {
			m.broadcasts = append(m.broadcasts, i)
		}
	}
	datagram := encode(m.config.Key, msg)
	m.counters.Sent++
	m.counters.SentBytes += int64(len(datagram))
	m.transport.Send(int(p.place), datagram)
}

func (m *Members) parts() int { return (len(m.peers) + partSize) / partSize }

// partOf are the nodes of a part: by id alone, this node's own among them, so that all agree.
func (m *Members) peersOfPart(n int) (of []int, self bool) {
	parts := uint64(m.parts())
	for i := range m.peers {
		if m.peers[i].id%parts == uint64(n) {
			of = append(of, i)
		}
	}
	return of, m.id%parts == uint64(n)
}

// digest is one number for what is believed of a part. A doubt is a passing thing and left out.
func (m *Members) digest(n int) uint64 {
	of, self := m.peersOfPart(n)
	var sum uint64
	add := func(r update) {
		if r.State == Suspect {
			r.State = Alive
		}
		var b [32]byte
		for k, v := range [4]uint64{r.ID, uint64(r.State), r.incarnation(), uint64(r.RunID)} {
			for j := range 8 {
				b[8*k+j] = byte(v >> (8 * j))
			}
		}
		sum += xxhash.Sum64(b[:]) // a sum, as the order is each node's own
	}
	if self {
		add(m.selfUpdate())
	}
	for _, i := range of {
		if m.peers[i].state != Unknown {
			add(m.updateOf(i))
		}
	}
	return sum
}

// withDigest lets the receiver see whether it believes the same of one part of the view; the parts take turns.
func (m *Members) withDigest(msg *message) *message {
	m.digestPart = (m.digestPart + 1) % m.parts()
	msg.Parts, msg.Part, msg.Digest = m.parts(), m.digestPart, m.digest(m.digestPart)
	return msg
}

// differs tells whether the sender believes something else of the part that it names.
func (m *Members) differs(msg *message) bool {
	return msg.Parts == m.parts() && msg.Part >= 0 && msg.Part < msg.Parts && m.digest(msg.Part) != msg.Digest
}

// listing is what this node believes of a part, as much as fits, from a drawn place.
func (m *Members) partUpdates(n int) []update {
	of, _ := m.peersOfPart(n)
	var out []update
	for k, first := 0, m.random.IntN(len(of)+1); k < len(of) && len(out) < maxUpdates-1; k++ {
		if i := of[(first+k)%len(of)]; m.peers[i].state != Unknown && !m.peers[i].ownViewOnly {
			out = append(out, m.updateOf(i))
		}
	}
	return out
}

// Heard takes in one datagram. The view does not go by the address that it came from.
func (m *Members) Receive(now int64, datagram []byte) {
	if m.hasLeft {
		return
	}
	m.noteCall(now)
	m.counters.Received++
	m.counters.ReceivedBytes += int64(len(datagram))
	msg, err := decode(m.config.Key, datagram)
	switch {
	case errors.Is(err, errVersion):
		m.counters.UnknownVersions++
		return
	case err != nil || msg.Self.State != Alive && msg.Self.State != Left || !msg.Self.valid() || len(msg.Updates) > maxUpdates:
		m.counters.Invalid++
		return
	case msg.To != m.id:
		m.counters.Misdirected++
		return
	}
	if msg.Self.ID == m.id { // an echo, or another process of this name
		m.counters.Misdirected++
		m.refute(msg.Self)
		return
	}
	from := m.find(msg.Self.ID)
	if from < 0 {
		m.counters.UnknownNodes++
		return
	}
	m.applyUpdate(now, msg.Self, true)
	p := &m.peers[from]
	for _, r := range msg.Updates {
		m.applyUpdate(now, r, false)
	}
	if p.incarnation != msg.Self.incarnation() || p.runID != msg.Self.RunID {
		// From an earlier life, or from another process of its name: whoever is at its address is told what it is taken
		// for, so that it can go beyond, and nothing else is answered.
		if m.tick >= m.quietUntil && m.mayAnswer() {
			m.send(from, &message{Kind: gossip, Updates: []update{m.updateOf(from)}})
		}
		return
	}
	p.heardAt = now
	if m.tick < m.quietUntil {
		return
	}
	m.handle(now, from, msg)
}

// handle does what a datagram asks for.
func (m *Members) handle(now int64, from int, msg *message) {
	switch msg.Kind {
	case ping:
		if m.mayAnswer() {
			m.answer(from, msg, &message{Kind: ack, Sequence: msg.Sequence, KnownStartMs: m.peers[from].priorStartMs})
		}
	case ack:
		m.latestKnownStartMs = max(m.latestKnownStartMs, msg.KnownStartMs)
		m.ackReceived(now, from, msg)
		if m.differs(msg) && m.mayAnswer() {
			m.send(from, &message{Kind: pushPull, Updates: m.partUpdates(msg.Part)})
		}
	case pingReq:
		about := m.find(msg.Target)
		if about < 0 || about == from || len(m.indirectProbes) >= maxIndirectProbes || !m.mayAnswer() {
			return
		}
		m.sequence++
		m.indirectProbes = append(m.indirectProbes, indirectProbe{from, msg.Sequence, m.sequence, msg.Target, m.tick})
		m.send(about, &message{Kind: ping, Sequence: m.sequence})
	case payload:
		if m.config.ReceivePayload != nil {
			m.config.ReceivePayload(int(m.peers[from].place), msg.Payload)
		}
	case nack:
		for _, p := range m.probes {
			if p.sequence == msg.Sequence && m.peers[p.peer].id == msg.Target {
				p.nacks++
			}
		}
	}
}

// answer acknowledges a ping, and tells of the part that the two believe different things of.
func (m *Members) answer(to int, asked, msg *message) {
	if m.differs(asked) {
		msg.Parts, msg.Part, msg.Digest = asked.Parts, asked.Part, m.digest(asked.Part)
		msg.Updates = m.partUpdates(asked.Part)
	}
	m.send(to, msg)
}

// acked ends the probe that an answer belongs to, or passes the answer on to who asked for it.
func (m *Members) ackReceived(now int64, from int, msg *message) {
	about := m.peers[from].id
	if msg.Target != 0 {
		about = msg.Target
	}
	for k, p := range m.probes {
		if p.sequence == msg.Sequence && m.peers[p.peer].id == about {
			m.probeEnded(now, true)
			m.probes = append(m.probes[:k], m.probes[k+1:]...)
			return
		}
	}
	for k, a := range m.indirectProbes {
		if a.sequence == msg.Sequence && a.target == about && msg.Target == 0 {
			m.indirectProbes = append(m.indirectProbes[:k], m.indirectProbes[k+1:]...)
			if m.mayAnswer() {
				m.send(a.from, &message{Kind: ack, Sequence: a.requestSequence, Target: a.target})
			}
			return
		}
	}
}
