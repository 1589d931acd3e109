package node

import (
	crand "crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"fawnglade/internal/datagram"
	"fawnglade/internal/features"
	"fawnglade/internal/members"

	"go.uber.org/zap"
)

const (
	maxQueuedDatagrams      = 512                    // received but not yet handled; further ones are dropped
	maxDatagramsPerInterval = 2000                   // maximum read per readInterval
	readInterval            = 100 * time.Millisecond // interval of maxDatagramsPerInterval
	queryTimeout            = 500 * time.Millisecond
)

var (
	errNoMembership      = errors.New("no membership: members are off in the features file or settings, or have ended")
	errMembershipTimeout = errors.New("membership did not respond within the query timeout")
)

// memberAgent runs the membership of package members on a UDP socket, in its own goroutines: if it fails, the node
// loses its view of other nodes, but no request. It is nil where the settings don't allow messages between nodes, or
// the features file configures no members. Only launch, query, viewJSON, leave and end may be called on a nil agent.
type memberAgent struct {
	node       *Node
	config     *features.Members
	membership *members.Members // used by run's goroutine only
	socket     *net.UDPConn
	received   chan []byte
	queries    chan func()
	done       chan struct{}
	startOnce  sync.Once
	started    atomic.Bool // run has been started
	endOnce    sync.Once
}

// newMemberAgent binds the socket. The features file is not sufficient: the platform's settings must also allow
// messages between nodes.
func newMemberAgent(n *Node) (*memberAgent, error) {
	enabled := n.config.features
	if enabled == nil || enabled.Members == nil {
		return nil, nil
	}
	if !n.settings.Policy.MayGossip {
		n.log.Warn("members are off: limits.peer_messages is not true in the settings")
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

// Send sends a datagram to a node without confirmation. It implements the transport of the membership.
func (a *memberAgent) Send(to int, datagram []byte) {
	_, _ = a.socket.WriteToUDPAddrPort(datagram, a.config.Addresses[to]) // treated as a lost datagram
}

// launch starts run. Later calls have no effect.
func (a *memberAgent) launch() {
	if a != nil {
		a.startOnce.Do(func() {
			a.started.Store(true)
			go a.run()
		})
	}
}

// run runs the membership until the process ends or a successor serves.
func (a *memberAgent) run() {
	defer a.end()
	if err := a.start(); err != nil {
		a.node.log.Error("starting the membership failed; members are off", zap.Error(err))
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
				return // the successor now uses the node's name and address
			}
			a.runStep(a.tick)
		case datagram := <-a.received:
			a.runStep(func() { a.handle(datagram) })
		case query := <-a.queries:
			a.runStep(query)
		}
	}
}

// start creates the membership with a random run ID and seed.
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

// runStep runs a function and recovers from a panic, so that a fault in the membership does not end the process.
func (a *memberAgent) runStep(do func()) {
	defer a.node.recoverPanic("members", func() {})
	do()
}

// read reads datagrams, at most maxDatagramsPerInterval per readInterval. Guards against a peer that floods the node.
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
		default: // dropped: the protocol tolerates loss
		}
	}
}

// query runs a function on the membership's goroutine, between two steps.
func (a *memberAgent) query(do func(m *members.Members, now int64)) error {
	if a == nil {
		return errNoMembership
	}
	answered := make(chan struct{})
	query := func() {
		defer close(answered)
		do(a.membership, a.node.clock.nanos())
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

// viewJSON returns the membership view for the admin API, including the state of the list exchange.
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

// leave notifies the other nodes that this node ends, unless a successor continues under its name.
func (a *memberAgent) leave() {
	if a == nil || !a.started.Load() || a.node.hotRestart.hasServingSuccessor() {
		return
	}
	if err := a.query(func(m *members.Members, _ int64) { m.Leave() }); err != nil {
		a.node.log.Warn("notifying other nodes of the shutdown failed", zap.Error(err))
	}
}

// end closes the socket and ends run.
func (a *memberAgent) end() {
	if a != nil {
		a.endOnce.Do(func() {
			close(a.done)
			if err := a.socket.Close(); err != nil {
				a.node.log.Warn("closing the membership socket failed", zap.Error(err))
			}
		})
	}
}
