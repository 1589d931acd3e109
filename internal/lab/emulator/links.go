package emulator

// Links on sockets: proxies for datagrams between nodes, and for streams on links that have faults in the scenario;
// also the membership views and the persisted state of nodes. Streams without faults have no proxy.

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

// links holds all proxies of a run.
type links struct {
	run      *Emulation
	faults   *faultproxy.Proxies
	schedule *netfault.Schedule // applies from the start of the run
	members  *faultproxy.Mesh
	gossip   *faultproxy.Mesh
	streams  []*faultproxy.Stream
}

func newLinks(run *Emulation) (*links, error) {
	l := &links{run: run, faults: faultproxy.NewProxies(run.now), schedule: run.plan.LinkFaults(run.scenario)}
	newMesh := func(port int) (*faultproxy.Mesh, error) {
		var listen []string
		for i := range run.scenario.Nodes.Count {
			listen = append(listen, run.nodeAddress(i, port))
		}
		return faultproxy.NewMesh(l.faults, listen)
	}
	var err error
	if run.scenario.Nodes.Membership {
		l.members, err = newMesh(membershipPort)
	}
	if err == nil && (run.scenario.Nodes.Membership || run.scenario.Nodes.Gossip) {
		l.gossip, err = newMesh(gossipPort)
	}
	if err != nil {
		l.close()
	}
	return l, err
}

func (run *Emulation) nodeAddress(node, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", run.networkOctets[0], run.networkOctets[1], 200+node, port)
}

// start applies the schedule of link faults from now on, by the run's clock.
func (l *links) start() {
	l.schedule = l.run.plan.LinkFaults(l.run.scenario)
	l.faults.SetSchedule(l.schedule)
}

// proxyStream returns the address at which one end of a link reaches another: that of a new proxy if links between ends
// of these kinds have faults, else the target's own.
func (l *links) proxyStream(from, to netfault.End, target func() string) (string, error) {
	if !l.schedule.Affects(from.Kind, to.Kind) {
		return target(), nil
	}
	s, err := faultproxy.NewStream(
		l.faults, fmt.Sprintf("127.%d.%d.%d:0", l.run.networkOctets[0], l.run.networkOctets[1], 1+(from.Index+to.Index)%190), from,
		to, target,
	)
	if err != nil {
		return "", err
	}
	l.run.mu.Lock()
	defer l.run.mu.Unlock()
	l.streams = append(l.streams, s)
	return s.Address(), nil
}

func (l *links) close() {
	l.faults.Close()
	for _, m := range []*faultproxy.Mesh{l.members, l.gossip} {
		if m != nil {
			m.Close()
		}
	}
	l.run.mu.Lock()
	defer l.run.mu.Unlock()
	for _, s := range l.streams {
		s.Close()
	}
}

// gossipConfig returns the gossip section of a node's configuration, or nil if gossip is off.
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

// features writes the node's features file and returns its path, which is empty if no feature is on.
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

// view requests the membership view from a node's admin API. It returns nil if the node does not respond.
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

// recordViews periodically records the membership views of all nodes, and which nodes respond, until the run ends.
func (run *Emulation) recordViews() {
	if run.links.members == nil {
		return
	}
	for n := int64(1); run.sleepUntil(run.startedAt + n*int64(viewInterval)); n++ {
		at := run.now() - run.startedAt
		if at > int64(run.scenario.Length)+int64(viewInterval) {
			return
		}
		runs := make([]byte, len(run.nodes))
		views := make([]*members.View, len(run.nodes))
		done := make(chan struct{})
		for i, one := range run.nodes {
			go func() { views[i] = one.view(); done <- struct{}{} }()
		}
		for range run.nodes {
			<-done
		}
		run.mu.Lock()
		for i, v := range views {
			if runs[i] = '-'; v != nil {
				runs[i] = 'U'
				run.views = append(run.views, trace.NewMembershipView(at, i, v))
			}
		}
		run.running = append(run.running, trace.RunningNodes{At: at, States: string(runs)})
		run.mu.Unlock()
	}
}

// stateFault damages a node's state directory: it is emptied ("lost"), replaced by its copy from the start of the run
// ("older"), or all its files are truncated to half ("torn"). The scenario must ensure that the node is not running.
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

// copyFiles copies the directories and regular files of a tree. It skips others, such as a node's sockets.
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

// snapshotState copies the nodes' state directories at the start of the run, for faults that restore an older state.
func (run *Emulation) snapshotState() error {
	for i := range run.plan.Faults {
		if run.plan.Faults[i].Kind != "state" {
			continue
		}
		for _, n := range run.nodes {
			if err := copyFiles(n.stateDir(), n.stateDir()+".first"); err != nil {
				return err
			}
		}
		return nil
	}
	return nil
}

// stateDir returns the node's directory for persisted state, which outlives its processes.
func (n *node) stateDir() string { return filepath.Join(n.run.workDir, fmt.Sprintf("n%d.d", n.index)) }
