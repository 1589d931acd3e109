package emulator

// Links on sockets: proxies for messages between nodes, and for streams that have faults in this scenario; membership
// views and persisted state of nodes. There is no proxy where no fault needs one.

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"fawnglade/internal/lab/faultproxy"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/lab/trace"
	"fawnglade/internal/members"
)

const (
	membershipPort, gossipPort, adminPort = 7946, 7947, 9443

	viewInterval = time.Second
	viewTimeout  = 800 * time.Millisecond
)

// links is all proxies of a run.
type links struct {
	run      *Emulation
	faults   *faultproxy.Proxies
	schedule *netfault.Schedule // as planned; in force from the day's beginning
	members  *faultproxy.Mesh
	gossip   *faultproxy.Mesh
	streams  []*faultproxy.Stream
}

func newLinks(d *Emulation) (*links, error) {
	b := &links{run: d, faults: faultproxy.NewProxies(d.now), schedule: d.plan.LinkFaults(d.scenario)}
	talk := func(port int) (*faultproxy.Mesh, error) {
		var listen []string
		for i := range d.scenario.Nodes.Count {
			listen = append(listen, d.nodeAddress(i, port))
		}
		return faultproxy.NewMesh(b.faults, listen)
	}
	var err error
	if d.scenario.Nodes.Membership {
		b.members, err = talk(membershipPort)
	}
	if err == nil && (d.scenario.Nodes.Membership || d.scenario.Nodes.Gossip) {
		b.gossip, err = talk(gossipPort)
	}
	if err != nil {
		b.close()
	}
	return b, err
}

func (d *Emulation) nodeAddress(node, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", d.networkOctets[0], d.networkOctets[1], 200+node, port)
}

// start puts the schedule in force, by the run's clock.
func (b *links) start() {
	b.schedule = b.run.plan.LinkFaults(b.run.scenario)
	b.faults.SetSchedule(b.schedule)
}

// proxyStream is the address at which one part reaches another: through a proxy if such links have faults, else its
// own.
func (b *links) proxyStream(from, to netfault.End, target func() string) (string, error) {
	if !b.schedule.Affects(from.Kind, to.Kind) {
		return target(), nil
	}
	s, err := faultproxy.NewStream(
		b.faults, fmt.Sprintf("127.%d.%d.%d:0", b.run.networkOctets[0], b.run.networkOctets[1], 1+(from.Index+to.Index)%190), from,
		to, target,
	)
	if err != nil {
		return "", err
	}
	b.run.mu.Lock()
	defer b.run.mu.Unlock()
	b.streams = append(b.streams, s)
	return s.Address(), nil
}

func (b *links) close() {
	b.faults.Close()
	for _, m := range []*faultproxy.Mesh{b.members, b.gossip} {
		if m != nil {
			m.Close()
		}
	}
	b.run.mu.Lock()
	defer b.run.mu.Unlock()
	for _, s := range b.streams {
		s.Close()
	}
}

// gossipConfig is the part of a node's configuration on gossip; nil where it is off.
func (n *node) gossipConfig() map[string]any {
	m := n.run.links.gossip
	if m == nil {
		return nil
	}
	var peers []string
	for k := range n.run.scenario.Nodes.Count {
		if k != n.index {
			peers = append(peers, m.Address(n.index, k))
		}
	}
	return map[string]any{"listen": m.Address(n.index, n.index), "peers": peers}
}

// features writes the node's features file; no path where nothing is on.
func (n *node) features() (string, error) {
	m := n.run.links.members
	if m == nil {
		return "", nil
	}
	var b strings.Builder
	set := n.run.scenario.Nodes
	fmt.Fprintf(&b, "[members]\nlisten = %q\nround = %q\n", m.Address(n.index, n.index), set.ProtocolPeriod.Std())
	if set.ListGossip {
		fmt.Fprintf(&b, "list = true\nkey = %q\n", strings.Repeat("5a", 16))
	}
	for k := range n.run.scenario.Nodes.Count {
		fmt.Fprintf(&b, "[[members.node]]\nname = \"n%d\"\naddress = %q\n", k, m.Address(n.index, k))
	}
	path := strings.TrimSuffix(n.config, ".json") + ".toml"
	return path, os.WriteFile(path, []byte(b.String()), 0o600)
}

// view asks a node for its membership view; nil if it does not answer.
func (n *node) view() *members.View {
	c, err := net.DialTimeout("tcp", n.run.nodeAddress(n.index, adminPort), viewTimeout)
	if err != nil {
		return nil
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(viewTimeout))
	send(c, "GET /members HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
	var m message
	var v members.View
	if newReader(c, func() int64 { return 0 }).next(&m, true) != nil || m.status != 200 ||
		json.Unmarshal(m.body, &v) != nil {
		return nil
	}
	return &v
}

// recordViews asks all nodes, as long as the run lasts, and counts their messages.
func (d *Emulation) recordViews() {
	if d.links.members == nil {
		return
	}
	for n := int64(1); d.sleepUntil(d.startedAt + n*int64(viewInterval)); n++ {
		at := d.now() - d.startedAt
		if at > int64(d.scenario.Length)+int64(viewInterval) {
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
				d.views = append(d.views, trace.NewMembershipView(at, i, v))
			}
		}
		d.running = append(d.running, trace.RunningNodes{At: at, States: string(runs)})
		d.mu.Unlock()
	}
}

// stateFault changes a node's state directory as a fault says. The scenario has to see to it that the node does not
// run.
func (n *node) stateFault(how string) error {
	n.mu.Lock()
	n.stateLost = true
	n.mu.Unlock()
	dir, first := n.stateDir(), n.stateDir()+".first"
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

// snapshotState copies nodes' directories as the run begins, for those that are to find an older one.
func (d *Emulation) snapshotState() error {
	for i := range d.plan.Faults {
		if d.plan.Faults[i].Kind != "state" {
			continue
		}
		for _, n := range d.nodes {
			if err := copyFiles(n.stateDir(), n.stateDir()+".first"); err != nil {
				return err
			}
		}
		return nil
	}
	return nil
}

// stateDir is the node's own directory for what outlives its process.
func (n *node) stateDir() string { return filepath.Join(n.run.workDir, fmt.Sprintf("n%d.d", n.index)) }
