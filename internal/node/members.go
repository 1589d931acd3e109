package node

import (
	crand "crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"fawnglade/internal/datagram"
	"fawnglade/internal/features"
	"fawnglade/internal/members"

	"go.uber.org/zap"
)

const (
	maxQueuedDatagrams      = 512                    // received and not handled yet; more are dropped
	maxDatagramsPerInterval = 2000                   // read in readInterval
	readInterval            = 100 * time.Millisecond // of the bound above
	queryTimeout            = 500 * time.Millisecond
)

var (
	errNoMembership      = errors.New("no view: members are off, or have ended")
	errMembershipTimeout = errors.New("the view does not answer")
)

// memberAgent runs the membership of package members on a UDP socket, in goroutines of its own: its failure costs the
// view of other nodes, never a request. It is nil where the settings don't allow messages between nodes, or the
// features file names no members; its methods may then be called, unless they say otherwise.
type memberAgent struct {
	node       *Node
	config     *features.Members
	membership *members.Members // of run's goroutine alone
	socket     *net.UDPConn
	received   chan []byte
	queries    chan func()
	done       chan struct{}
	endOnce    sync.Once
}

// newMemberAgent binds the socket. The features file alone turns nothing on: the platform's settings must allow
// messages between nodes.
func newMemberAgent(n *Node) (*memberAgent, error) {
	enabled := n.config.features
	if enabled == nil || enabled.Members == nil {
		return nil, nil
	}
	if !n.settings.Policy.MayGossip {
		n.log.Warn("members are off, as limits.peer_messages is not true in the settings")
		return nil, nil
	}
	socket, err := datagram.Listen(enabled.Members.ListenAddress.String())
	if err != nil {
		return nil, err
	}
	return &memberAgent{
		node:     n,
		config:   enabled.Members,
		socket:   socket,
		received: make(chan []byte, maxQueuedDatagrams),
		queries:  make(chan func()),
		done:     make(chan struct{}),
	}, nil
}

// Send sends a datagram to a node; it may be lost. It makes the agent the membership's transport.
func (a *memberAgent) Send(to int, datagram []byte) {
	_, _ = a.socket.WriteToUDPAddrPort(datagram, a.config.Addresses[to]) // an error is a loss
}

// run runs the membership until the process ends or a successor has taken over; not to be called on a nil agent.
func (a *memberAgent) run() {
	defer a.end()
	if err := a.start(); err != nil {
		a.node.log.Error("members are off", zap.Error(err))
		return
	}
	go a.read()
	ticks := time.NewTicker(time.Duration(a.config.ProtocolPeriodNs / members.TicksPerPeriod))
	defer ticks.Stop()
	for {
		select {
		case <-a.done:
			return
		case <-ticks.C:
			if a.node.hotRestart.hasServingSuccessor() {
				return // the successor has the node's name and address
			}
			a.runStep(a.tick)
		case datagram := <-a.received:
			a.runStep(func() { a.handle(datagram) })
		case query := <-a.queries:
			a.runStep(query)
		}
	}
}

// start makes the membership with a run number and a seed of its own.
func (a *memberAgent) start() (err error) {
	var random [12]byte
	if _, err := crand.Read(random[:]); err != nil {
		return err
	}
	config := members.Config{
		Name:             a.node.config.Name,
		Key:              a.config.KeyBytes,
		ProtocolPeriodNs: a.config.ProtocolPeriodNs,
		Seed:             binary.LittleEndian.Uint64(random[:]),
		RunID:            binary.LittleEndian.Uint32(random[8:]),
		KnownStartsMs:    a.node.persistence.memberStarts(),
	}
	for _, node := range a.config.Nodes {
		config.Nodes = append(config.Nodes, node.Name)
	}
	if a.node.listGossip != nil {
		config.ReceivePayload = a.node.listGossip.receive
	}
	if a.membership, err = members.New(config, a, a.node.clock.nanos()); err != nil {
		return err
	}
	a.node.listGossip.startExchange(config.Seed, a.membership)
	return nil
}

func (a *memberAgent) tick() {
	a.membership.Tick(a.node.clock.nanos())
	a.node.listGossip.tick()
}

func (a *memberAgent) handle(datagram []byte) {
	a.membership.Receive(a.node.clock.nanos(), datagram)
	a.node.persistence.laterStartReported(a.membership.LatestKnownStartMs())
}

// step keeps a panic in the membership from ending the process.
func (a *memberAgent) runStep(do func()) {
	defer a.node.recoverPanic("members", func() {})
	do()
}

// read reads datagrams, at most maxDatagramsPerInterval in an interval: guards against a peer that sends without end.
func (a *memberAgent) read() {
	buffer := make([]byte, members.MaxDatagramBytes)
	count, intervalStart := 0, time.Now()
	for {
		length, _, err := a.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		count++
		if count >= maxDatagramsPerInterval {
			time.Sleep(readInterval - time.Since(intervalStart))
			count, intervalStart = 0, time.Now()
		}
		if err != nil {
			continue
		}
		select {
		case a.received <- append([]byte(nil), buffer[:length]...):
		default: // dropped: the protocol copes with loss
		}
	}
}

// query runs a function on the membership between two of its steps.
func (a *memberAgent) query(what func(m *members.Members, now int64)) error {
	if a == nil {
		return errNoMembership
	}
	answered := make(chan struct{})
	query := func() {
		defer close(answered)
		what(a.membership, a.node.clock.nanos())
	}
	select {
	case a.queries <- query:
		<-answered
		return nil
	case <-a.done:
		return errNoMembership
	case <-time.After(queryTimeout):
		return errMembershipTimeout
	}
}

// viewJSON is the admin API's view of all nodes, with that of the list exchange.
func (a *memberAgent) viewJSON() (string, error) {
	var view members.View
	if err := a.query(func(m *members.Members, now int64) { view = m.View(now) }); err != nil {
		return "", err
	}
	text, err := json.Marshal(struct {
		members.View
		List json.RawMessage `json:"list,omitempty"`
	}{view, a.node.listGossip.viewJSON()})
	return string(text), err
}

// leave notifies other nodes that this one ends, unless a successor goes on in its name.
func (a *memberAgent) leave() {
	if a == nil || a.node.hotRestart.hasServingSuccessor() {
		return
	}
	if err := a.query(func(m *members.Members, _ int64) { m.Leave() }); err != nil {
		a.node.log.Warn("other nodes were not notified of the shutdown", zap.Error(err))
	}
}

// end closes the socket and ends run.
func (a *memberAgent) end() {
	if a != nil {
		a.endOnce.Do(func() {
			close(a.done)
			if err := a.socket.Close(); err != nil {
				a.node.log.Warn("membership socket did not close cleanly", zap.Error(err))
			}
		})
	}
}
