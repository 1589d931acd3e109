package node

// This file owns the shell of the members' view: its socket, its beats and the asking from outside. What is believed is
// internal/members'. It must never hold up a request: it has goroutines of its own, drops what comes too fast, and costs a view, never
// service, when it fails.

import (
	crand "crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fawnglade/internal/datagram"
	"fawnglade/internal/features"
	"fawnglade/internal/members"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	maxQueuedDatagrams      = 512 // datagrams that wait to be taken in
	maxDatagramsPerInterval = 2000
	readInterval            = 100 * time.Millisecond // no more than mostAtATime are read in it
	queryTimeout            = 500 * time.Millisecond
)

var errNoMembership = errors.New("no view: members are off, or have ended")

// memberAgent is nil where nodes may not talk, or no file says how.
type memberAgent struct {
	node     *Node
	set      *features.Members
	core     *members.Members // of run alone
	socket   *net.UDPConn
	received chan []byte
	queries  chan func()
	done     chan struct{}
	ended    sync.Once
}

// newMemberAgent binds the socket. A file alone turns nothing on: the platform's settings must allow messages.
func newMemberAgent(n *Node) (*memberAgent, error) {
	f := n.config.features
	if f == nil || f.Members == nil {
		return nil, nil
	}
	if !n.settings.Policy.MayGossip {
		n.log.Warn("members are off, as limits.peer_messages is not true in the settings")
		return nil, nil
	}
	socket, err := datagram.Listen(f.Members.Bind.String())
	if err != nil {
		return nil, err
	}
	return &memberAgent{node: n, set: f.Members, socket: socket, received: make(chan []byte, maxQueuedDatagrams), queries: make(chan func()), done: make(chan struct{})}, nil
}

// Send writes a datagram; what the system does not take is lost, as on the way.
func (s *memberAgent) Send(to int, datagram []byte) {
	s.socket.WriteToUDPAddrPort(datagram, s.set.At[to])
}

// run holds the view until the process ends, or another has taken over from it.
func (s *memberAgent) run() {
	defer s.end()
	var drawn [12]byte
	crand.Read(drawn[:])
	set := members.Settings{
		Name: s.node.config.Name, Key: s.set.KeyBytes, Round: s.set.RoundNs, Seed: binary.LittleEndian.Uint64(drawn[:]),
		Run: binary.LittleEndian.Uint32(drawn[8:]), Known: s.node.persistence.starts(),
	}
	for _, n := range s.set.Nodes {
		set.Peers = append(set.Peers, n.Name)
	}
	if s.node.listGossip != nil {
		set.Take = s.node.listGossip.receive
	}
	var err error
	if s.core, err = members.New(set, s, s.node.clock.nanos()); err != nil {
		s.node.log.Error("members are off", zap.Error(err))
		return
	}
	s.node.listGossip.begin(set.Seed, s.core)
	go s.read()
	beats := time.NewTicker(time.Duration(s.set.RoundNs / 10))
	defer beats.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-beats.C:
			if s.node.hotRestart.hasYielded() {
				return // the other process has the name now, and the address
			}
			s.step(func() {
				s.core.Beat(s.node.clock.nanos())
				s.node.listGossip.tick()
			})
		case datagram := <-s.received:
			s.step(func() {
				s.core.Heard(s.node.clock.nanos(), datagram)
				s.node.persistence.noteLaterStart(s.core.Before())
			})
		case ask := <-s.queries:
			s.step(ask)
		}
	}
}

// step keeps a panic in the view from ending the process.
func (s *memberAgent) step(do func()) {
	defer s.node.recoverPanic("members", func() {})
	do()
}

// read takes datagrams from the socket, a bounded number in a time: a peer gone wild costs a part of a core, never the service.
func (s *memberAgent) read() {
	buffer := make([]byte, members.Most)
	count, since := 0, time.Now()
	for {
		length, _, err := s.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if count++; count >= maxDatagramsPerInterval {
			if left := readInterval - time.Since(since); left > 0 {
				time.Sleep(left)
			}
			count, since = 0, time.Now()
		}
		if err != nil {
			continue
		}
		select {
		case s.received <- append([]byte(nil), buffer[:length]...):
		default: // the view has its hands full; loss is what it is made for
		}
	}
}

// query has the view looked at between two of its steps.
func (s *memberAgent) query(what func(m *members.Members, now int64)) error {
	if s == nil {
		return errNoMembership
	}
	done := make(chan struct{})
	select {
	case s.queries <- func() { defer close(done); what(s.core, s.node.clock.nanos()) }:
		<-done
		return nil
	case <-s.done:
		return errNoMembership
	case <-time.After(queryTimeout):
		return errors.New("the view does not answer")
	}
}

// figure is how many nodes there are and which part of them this one hears; not known where there is no view.
func (s *memberAgent) figure() members.Figure {
	f := members.Figure{Why: errNoMembership.Error()}
	if err := s.query(func(m *members.Members, now int64) { f = m.Figure(now) }); err != nil {
		f.Why = err.Error()
	}
	return f
}

// viewJSON is the whole view for who asks.
func (s *memberAgent) viewJSON() (string, error) {
	var v members.View
	if err := s.query(func(m *members.Members, now int64) { v = m.View(now) }); err != nil {
		return "", err
	}
	text, err := json.Marshal(struct {
		members.View
		List json.RawMessage `json:"list,omitempty"` // by gossip
	}{v, s.node.listGossip.viewJSON()})
	return string(text), err
}

// leave tells the others that this node ends, unless another process goes on in its name.
func (s *memberAgent) leave() {
	if s == nil || s.node.hotRestart.hasYielded() {
		return
	}
	s.query(func(m *members.Members, now int64) { m.Leave(now) })
}

// end closes the socket.
func (s *memberAgent) end() {
	if s != nil {
		s.ended.Do(func() {
			close(s.done)
			s.socket.Close()
		})
	}
}
