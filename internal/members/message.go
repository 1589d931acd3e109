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
const Most = 1200

// MostLoad is the longest load that a datagram carries for another part of the node.
const MostLoad = 1000

const (
	version    = 1
	sealLength = 16
	mostTold   = 22 // rumours in a datagram, each under 48 bytes
	partSize   = 20 // nodes in one part of the view
)

// kind of a datagram.
type kind uint8

const (
	ping   kind = 1 + iota
	ack         // of a ping; with About, of what was asked for
	please      // probe another for me
	nack        // no answer from it yet
	tell
	part // what is believed of one part of the view
	carried
)

// message is the body of a datagram. Fields that a later version adds are passed over; a field is never put to another use.
type message struct {
	Kind     kind     `cbor:"1,keyasint"`
	To       uint64   `cbor:"2,keyasint"`
	Self     rumour   `cbor:"3,keyasint"`
	Sequence uint64   `cbor:"4,keyasint,omitempty"`
	About    uint64   `cbor:"5,keyasint,omitempty"`
	Parts    int      `cbor:"6,keyasint,omitempty"` // into how many the sender divides its view
	Part     int      `cbor:"7,keyasint,omitempty"`
	Digest   uint64   `cbor:"8,keyasint,omitempty"`
	Told     []rumour `cbor:"9,keyasint,omitempty"`
	Before   uint64   `cbor:"10,keyasint,omitempty"` // in an answer: the start of the receiver's life before this one
	Load     []byte   `cbor:"11,keyasint,omitempty"`
}

var (
	reading = must(cbor.DecOptions{
		MaxArrayElements: 64, MaxMapPairs: 64, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden,
	}.DecMode())
	writing = must(cbor.CoreDetEncOptions().EncMode())

	errLong    = errors.New("members: longer than a datagram may be")
	errVersion = errors.New("members: a version that this build does not know")
	errSeal    = errors.New("members: spoilt, or sealed with another key")
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // fixed options
	}
	return v
}

func seal(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(nil)[:sealLength]
}

func encode(key []byte, m *message) []byte {
	body, err := writing.Marshal(m)
	if err != nil {
		panic(err) // plain numbers
	}
	body = append([]byte{version}, body...)
	return append(body, seal(key, body)...)
}

func decode(key, datagram []byte) (*message, error) {
	if len(datagram) >= Most {
		return nil, errLong
	}
	if len(datagram) < 2+sealLength {
		return nil, errSeal
	}
	if datagram[0] != version {
		return nil, errVersion
	}
	body := datagram[:len(datagram)-sealLength]
	if !hmac.Equal(seal(key, body), datagram[len(body):]) {
		return nil, errSeal
	}
	m := &message{}
	return m, reading.Unmarshal(body[1:], m)
}

// send adds what is new and sends. What the receiver is said to be comes first, so that it can say otherwise.
func (m *Members) send(to int, msg *message) {
	p := &m.peers[to]
	msg.To, msg.Self = p.id, m.own()
	room := mostTold
	if msg.Kind == carried {
		room = 1 // all that fits beside a load
	}
	if p.state > Up && !p.own && len(msg.Told) < room {
		msg.Told = append(msg.Told, m.rumourOf(to))
	}
	for n := len(m.fresh); n > 0 && msg.Kind != carried && len(msg.Told) < room; n-- {
		i := m.fresh[0]
		m.fresh = m.fresh[1:]
		x := &m.peers[i]
		if x.left > 0 && !x.own {
			x.left--
			msg.Told = append(msg.Told, m.rumourOf(int(i)))
		}
		if x.queued = x.left > 0 && !x.own; x.queued {
			m.fresh = append(m.fresh, i)
		}
	}
	datagram := encode(m.set.Key, msg)
	m.counts.Sent++
	m.counts.SentBytes += int64(len(datagram))
	m.way.Send(int(p.place), datagram)
}

func (m *Members) parts() int { return (len(m.peers) + partSize) / partSize }

// partOf are the nodes of a part: by id alone, this node's own among them, so that all agree.
func (m *Members) partOf(n int) (of []int, self bool) {
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
	of, self := m.partOf(n)
	var sum uint64
	add := func(r rumour) {
		if r.State == Doubted {
			r.State = Up
		}
		var b [32]byte
		for k, v := range [4]uint64{r.ID, uint64(r.State), r.number(), uint64(r.Run)} {
			for j := range 8 {
				b[8*k+j] = byte(v >> (8 * j))
			}
		}
		sum += xxhash.Sum64(b[:]) // a sum, as the order is each node's own
	}
	if self {
		add(m.own())
	}
	for _, i := range of {
		if m.peers[i].state != Never {
			add(m.rumourOf(i))
		}
	}
	return sum
}

// withDigest lets the receiver see whether it believes the same of one part of the view; the parts take turns.
func (m *Members) withDigest(msg *message) *message {
	m.part = (m.part + 1) % m.parts()
	msg.Parts, msg.Part, msg.Digest = m.parts(), m.part, m.digest(m.part)
	return msg
}

// differs tells whether the sender believes something else of the part that it names.
func (m *Members) differs(msg *message) bool {
	return msg.Parts == m.parts() && msg.Part >= 0 && msg.Part < msg.Parts && m.digest(msg.Part) != msg.Digest
}

// listing is what this node believes of a part, as much as fits, from a drawn place.
func (m *Members) listing(n int) []rumour {
	of, _ := m.partOf(n)
	var out []rumour
	for k, first := 0, m.draw.IntN(len(of)+1); k < len(of) && len(out) < mostTold-1; k++ {
		if i := of[(first+k)%len(of)]; m.peers[i].state != Never && !m.peers[i].own {
			out = append(out, m.rumourOf(i))
		}
	}
	return out
}

// Heard takes in one datagram. The view does not go by the address that it came from.
func (m *Members) Heard(now int64, datagram []byte) {
	if m.gone {
		return
	}
	m.woke(now)
	m.counts.Heard++
	m.counts.HeardBytes += int64(len(datagram))
	msg, err := decode(m.set.Key, datagram)
	switch {
	case errors.Is(err, errVersion):
		m.counts.Versions++
		return
	case err != nil || msg.Self.State != Up && msg.Self.State != Left || !msg.Self.sound() || len(msg.Told) > mostTold:
		m.counts.Bad++
		return
	case msg.To != m.id:
		m.counts.Misled++
		return
	}
	if msg.Self.ID == m.id { // an echo, or another process of this name
		m.counts.Misled++
		m.toldOfMe(msg.Self)
		return
	}
	from := m.find(msg.Self.ID)
	if from < 0 {
		m.counts.Strangers++
		return
	}
	m.told(now, msg.Self, true)
	p := &m.peers[from]
	for _, r := range msg.Told {
		m.told(now, r, false)
	}
	if p.number != msg.Self.number() || p.run != msg.Self.Run {
		// From an earlier life, or from another process of its name: whoever is at its address is told what it is taken
		// for, so that it can go beyond, and nothing else is answered.
		if m.beat >= m.yields && m.mayAnswer() {
			m.send(from, &message{Kind: tell, Told: []rumour{m.rumourOf(from)}})
		}
		return
	}
	p.heard = now
	if m.beat < m.yields {
		return
	}
	m.handle(now, from, msg)
}

// handle does what a datagram asks for.
func (m *Members) handle(now int64, from int, msg *message) {
	switch msg.Kind {
	case ping:
		if m.mayAnswer() {
			m.answer(from, msg, &message{Kind: ack, Sequence: msg.Sequence, Before: m.peers[from].prior})
		}
	case ack:
		m.before = max(m.before, msg.Before)
		m.acked(now, from, msg)
		if m.differs(msg) && m.mayAnswer() {
			m.send(from, &message{Kind: part, Told: m.listing(msg.Part)})
		}
	case please:
		about := m.find(msg.About)
		if about < 0 || about == from || len(m.asks) >= mostAsks || !m.mayAnswer() {
			return
		}
		m.sequence++
		m.asks = append(m.asks, ask{from, msg.Sequence, m.sequence, msg.About, m.beat})
		m.send(about, &message{Kind: ping, Sequence: m.sequence})
	case carried:
		if m.set.Take != nil {
			m.set.Take(int(m.peers[from].place), msg.Load)
		}
	case nack:
		for _, p := range m.probes {
			if p.sequence == msg.Sequence && m.peers[p.peer].id == msg.About {
				p.nacks++
			}
		}
	}
}

// answer acknowledges a ping, and tells of the part that the two believe different things of.
func (m *Members) answer(to int, asked, msg *message) {
	if m.differs(asked) {
		msg.Parts, msg.Part, msg.Digest = asked.Parts, asked.Part, m.digest(asked.Part)
		msg.Told = m.listing(asked.Part)
	}
	m.send(to, msg)
}

// acked ends the probe that an answer belongs to, or passes the answer on to who asked for it.
func (m *Members) acked(now int64, from int, msg *message) {
	about := m.peers[from].id
	if msg.About != 0 {
		about = msg.About
	}
	for k, p := range m.probes {
		if p.sequence == msg.Sequence && m.peers[p.peer].id == about {
			m.over(now, true)
			m.probes = append(m.probes[:k], m.probes[k+1:]...)
			return
		}
	}
	for k, a := range m.asks {
		if a.sequence == msg.Sequence && a.about == about && msg.About == 0 {
			m.asks = append(m.asks[:k], m.asks[k+1:]...)
			if m.mayAnswer() {
				m.send(a.from, &message{Kind: ack, Sequence: a.theirs, About: a.about})
			}
			return
		}
	}
}
