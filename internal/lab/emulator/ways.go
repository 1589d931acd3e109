package emulator

// This file owns what stands between the parts of a day on sockets: relays for messages between nodes, and for streams where the day
// troubles them, and the asking of nodes what they believe. It must never put a relay where no fault needs one, so that the days
// without stay as they were.

import (
	"encoding/json"
	"fawnglade/internal/lab/faultproxy"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/trace"
	"fawnglade/internal/members"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	membersPort, newsPort, consolePort = 7946, 7947, 9443

	believedEvery = time.Second
	asksWithin    = 800 * time.Millisecond
)

// between is all relays of a day.
type between struct {
	day     *Day
	board   *faultproxy.Board
	ways    *netfault.Schedule // as planned; in force from the day's beginning
	members *faultproxy.Mesh
	news    *faultproxy.Mesh
	streams []*faultproxy.Stream
}

func newBetween(d *Day) (*between, error) {
	b := &between{day: d, board: faultproxy.NewBoard(d.now), ways: d.plan.LinkFaults(d.scenario)}
	talk := func(port int) (*faultproxy.Mesh, error) {
		var listen []string
		for i := range d.scenario.Nodes.Count {
			listen = append(listen, d.nodeAddress(i, port))
		}
		return faultproxy.NewMesh(b.board, listen)
	}
	var err error
	if d.scenario.Nodes.Membership {
		b.members, err = talk(membersPort)
	}
	if err == nil && (d.scenario.Nodes.Membership || d.scenario.Nodes.Gossip) {
		b.news, err = talk(newsPort)
	}
	if err != nil {
		b.close()
	}
	return b, err
}

func (d *Day) nodeAddress(node, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", d.octets[0], d.octets[1], 200+node, port)
}

// begin puts the schedule in force, by the day's clock.
func (b *between) begin() {
	b.ways = b.day.plan.LinkFaults(b.day.scenario)
	b.board.Set(b.ways)
}

// stream is the address at which one part reaches another: through a relay if the day troubles such ways, else its own.
func (b *between) stream(from, to netfault.End, target func() string) (string, error) {
	if !b.ways.Touches(from.Kind, to.Kind) {
		return target(), nil
	}
	s, err := faultproxy.NewStream(b.board, fmt.Sprintf("127.%d.%d.%d:0", b.day.octets[0], b.day.octets[1], 1+(from.Index+to.Index)%190), from, to, target)
	if err != nil {
		return "", err
	}
	b.day.mu.Lock()
	defer b.day.mu.Unlock()
	b.streams = append(b.streams, s)
	return s.Address(), nil
}

func (b *between) close() {
	b.board.Close()
	for _, m := range []*faultproxy.Mesh{b.members, b.news} {
		if m != nil {
			m.Close()
		}
	}
	b.day.mu.Lock()
	defer b.day.mu.Unlock()
	for _, s := range b.streams {
		s.Close()
	}
}

// newsOf is what a node's configuration tells of messages; nothing where nodes may not talk.
func (n *node) newsOf() map[string]any {
	m := n.day.between.news
	if m == nil {
		return nil
	}
	var peers []string
	for k := range n.day.scenario.Nodes.Count {
		if k != n.index {
			peers = append(peers, m.Address(n.index, k))
		}
	}
	return map[string]any{"listen": m.Address(n.index, n.index), "peers": peers}
}

// features writes the node's file of what it does beyond the protocol; no path where that is nothing.
func (n *node) features() (string, error) {
	m := n.day.between.members
	if m == nil {
		return "", nil
	}
	var b strings.Builder
	set := n.day.scenario.Nodes
	fmt.Fprintf(&b, "[members]\nlisten = %q\nround = %q\n", m.Address(n.index, n.index), set.ProtocolPeriod.Std())
	if set.ListGossip {
		fmt.Fprintf(&b, "list = true\nkey = %q\n", strings.Repeat("5a", 16))
	}
	for k := range n.day.scenario.Nodes.Count {
		fmt.Fprintf(&b, "[[members.node]]\nname = \"n%d\"\naddress = %q\n", k, m.Address(n.index, k))
	}
	path := strings.TrimSuffix(n.config, ".json") + ".toml"
	return path, os.WriteFile(path, []byte(b.String()), 0o600)
}

// view asks a node what it believes; nil if it does not say.
func (n *node) view() *members.View {
	c, err := net.DialTimeout("tcp", n.day.nodeAddress(n.index, consolePort), asksWithin)
	if err != nil {
		return nil
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(asksWithin))
	fmt.Fprint(c, "GET /members HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
	var m message
	var v members.View
	if newReader(c, func() int64 { return 0 }).next(&m, true) != nil || m.status != 200 || json.Unmarshal(m.body, &v) != nil {
		return nil
	}
	return &v
}

// believe asks all nodes, as long as the day lasts, and counts what they said to one another.
func (d *Day) believe() {
	if d.between.members == nil {
		return
	}
	for n := int64(1); d.sleepUntil(d.base + n*int64(believedEvery)); n++ {
		at := d.now() - d.base
		if at > int64(d.scenario.Length)+int64(believedEvery) {
			return
		}
		runs := make([]byte, len(d.nodes))
		views := make([]*members.View, len(d.nodes))
		done := make(chan struct{})
		for i, one := range d.nodes {
			go func() { views[i] = one.view(); done <- struct{}{} }()
		}
		for range d.nodes {
			<-done
		}
		d.mu.Lock()
		for i, v := range views {
			if runs[i] = '-'; v != nil {
				runs[i] = 'U'
				d.beliefs = append(d.beliefs, trace.ViewOf(at, i, v))
			}
		}
		d.runs = append(d.runs, trace.RunningNodes{At: at, States: string(runs)})
		d.mu.Unlock()
	}
}

// state does to a node's directory what a fault says. It is the fault's own business that the node does not run meanwhile.
func (n *node) stateFault(how string) error {
	n.mu.Lock()
	n.forgets = true
	n.mu.Unlock()
	dir, first := n.tmp(), n.tmp()+".first"
	switch how {
	case "lost":
		if err := os.RemoveAll(dir); err != nil {
			return err
		}
		return os.Mkdir(dir, 0o700)
	case "older":
		if err := os.RemoveAll(dir); err != nil {
			return err
		}
		return copyFiles(first, dir)
	}
	return filepath.WalkDir(dir, func(path string, entry os.DirEntry, err error) error {
		if err != nil || !entry.Type().IsRegular() {
			return err
		}
		info, err := entry.Info()
		if err != nil {
			return err
		}
		return os.Truncate(path, info.Size()/2)
	})
}

// copyFiles copies the plain files of a tree; a node's directory holds sockets too.
func copyFiles(from, to string) error {
	return filepath.WalkDir(from, func(path string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		at := filepath.Join(to, strings.TrimPrefix(path, from))
		if entry.IsDir() {
			return os.MkdirAll(at, 0o700)
		}
		if !entry.Type().IsRegular() {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(at, text, 0o600)
	})
}

// keepState copies nodes' directories as the day begins, for those that are to find an older one.
func (d *Day) keepState() error {
	for i := range d.plan.Faults {
		if d.plan.Faults[i].Kind != "state" {
			continue
		}
		for _, n := range d.nodes {
			if err := copyFiles(n.tmp(), n.tmp()+".first"); err != nil {
				return err
			}
		}
		return nil
	}
	return nil
}

// tmp is the node's own directory for what outlives a process of it.
func (n *node) tmp() string { return filepath.Join(n.day.dir, fmt.Sprintf("n%d.d", n.index)) }
