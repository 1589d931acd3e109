package fleet

// A fleet of real processes of the built program on loopback, with fault proxies between them. It leaves no process or
// socket behind and sends to no address outside 127.0.0.0/8.

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fawnglade/internal/lab/emulator"
	"fawnglade/internal/lab/faultproxy"
	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/members"
)

// settingsTemplate is a small deployment whose nodes may talk.
const settingsTemplate = `{"discovery":"push","family_info":{},"goal":{"whole":0.5},"group_size":%d,"position":%d,
"limits":{"cancelling":true,"connect_timeout_us":75000,"idle_close_us":60000000,"max_retry_after_us":1500000,"peer_messages":true,
"may_duplicate":false,"retry_after":true,"try_limit":3},"profiles":[{"deadline_us":2000000,"name":"view","objective_us":1000000,"repeat":"safe"},
{"deadline_us":2000000,"name":"pay","objective_us":1000000,"repeat":"unsafe"}],
"quantum_us":2000,"report":{"fields":["queue"],"how":"inline"},"rules":{"stop_sending_within_us":500000,"ask_within_us":10000000,"cold_from":0.2,"warm_within_us":20000000},
"weights":"off","zone":0,"zones":["a"]}`

// Processes is a fleet of real processes.
type Processes struct {
	Program        []string      // the node's command, with serve
	ProtocolPeriod time.Duration // of the members
	Key            string
	Settings       string    // of every node, with its number of nodes and position to be filled in
	PersistState   bool      // nodes remember through a crash
	ListGossip     bool      // nodes ask one another for the list
	Log            io.Writer // of all nodes

	ExtraFeatures func(node int) string // beside the members in a node's features file
	DiscoveryFor  func(node int) string // where a node reaches discovery; nil: directly

	dir       string
	proxies   *faultproxy.Proxies
	mesh      *faultproxy.Mesh
	startedAt time.Time
	nodes     []*node
	discovery *Discovery
	endpoints []*Endpoint
}

const endpointCount = 4

type node struct {
	fleet     *Processes
	index     int
	mu        sync.Mutex
	processes []emulator.Process // all that run under this name, the last started last
	starts    int
	paused    bool
}

var fleetCount atomic.Int64

// NewProcesses makes a fleet of which nobody runs yet. Close ends it.
func NewProcesses(program []string, nodes int, round time.Duration, log io.Writer) (p *Processes, err error) {
	p = &Processes{Program: program, ProtocolPeriod: round, Log: log, Settings: settingsTemplate, startedAt: time.Now()}
	if p.Log == nil {
		p.Log = io.Discard
	}
	defer func() {
		if err != nil {
			_ = p.Close()
		}
	}()
	if p.dir, err = os.MkdirTemp("", "fawnglade-fleet-"); err != nil {
		return nil, err
	}
	if p.discovery, err = newDiscovery(); err != nil {
		return nil, err
	}
	var up []ListEntry
	for i := range endpointCount {
		s, err := newEndpoint(fmt.Sprintf("s%d", i))
		if err != nil {
			return nil, err
		}
		p.endpoints = append(p.endpoints, s)
		up = append(up, ListEntry{Endpoint: s, State: "up"})
	}
	p.discovery.SetList(1, up...)
	p.proxies = faultproxy.NewProxies(func() int64 { return int64(time.Since(p.startedAt)) })
	net := (os.Getpid()*67 + int(fleetCount.Add(1))) % (120 * 250)
	var listen []string
	for i := range nodes {
		p.nodes = append(p.nodes, &node{fleet: p, index: i})
		listen = append(listen, fmt.Sprintf("127.%d.%d.%d:7946", 130+net/250, 1+net%250, 1+i))
	}
	p.mesh, err = faultproxy.NewMesh(p.proxies, listen)
	return p, err
}

func serveConns(one func(net.Conn)) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); one(c) }()
		}
	}()
	return l, nil
}

func (p *Processes) address(node, port int) string {
	host, _, _ := net.SplitHostPort(p.mesh.Address(node, node))
	return fmt.Sprintf("%s:%d", host, port)
}

// Listen is where a node takes requests; Console where it answers staff.
func (p *Processes) ListenAddress(node int) string { return p.address(node, 8443) }

// Console is the admin address of a node.
func (p *Processes) AdminAddress(node int) string { return p.address(node, 9443) }

// Features is the text of a node's features file.
func (p *Processes) FeaturesText(node int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[members]\nlisten = %q\nround = %q\nkey = %q\nlist = %v\n", p.mesh.Address(node, node), p.ProtocolPeriod, p.Key, p.ListGossip)
	for k := range p.nodes {
		fmt.Fprintf(&b, "[[members.node]]\nname = \"n%d\"\naddress = %q\n", k, p.mesh.Address(node, k))
	}
	if p.ExtraFeatures != nil {
		b.WriteString(p.ExtraFeatures(node))
	}
	return b.String()
}

// StateDir is where a node remembers.
func (p *Processes) StateDir(node int) string {
	return filepath.Join(p.dir, fmt.Sprintf("n%d.state", node))
}

// Discovery and Endpoints are what stands outside the nodes.
func (p *Processes) Discovery() *Discovery { return p.discovery }

// Endpoints are those that discovery lists first.
func (p *Processes) Endpoints() []*Endpoint { return p.endpoints }

// Len implements Fleet.
func (p *Processes) Len() int { return len(p.nodes) }

// Start begins a process. A second one of a name takes requests at an address of its own, and shares the socket for datagrams, as
// two processes do that were started by mistake.
func (p *Processes) Start(node int) error {
	n := p.nodes[node]
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reap()
	n.starts++
	listen, console := p.ListenAddress(node), p.AdminAddress(node)
	if len(n.processes) > 0 {
		listen, console = p.address(node, 8443+n.starts), p.address(node, 9443+n.starts)
	}
	discovery := p.discovery.Address()
	if p.DiscoveryFor != nil {
		discovery = p.DiscoveryFor(node)
	}
	config := fmt.Sprintf(`{"name":"n%d","listen":%q,"discovery":%q,"console":%q,"seed":"%x","news":{"listen":"127.0.0.1:0"},"settings":%s}`,
		node, listen, discovery, console, node+1, fmt.Sprintf(p.Settings, len(p.nodes), node))
	base := filepath.Join(p.dir, fmt.Sprintf("n%d-%d", node, n.starts))
	tmp := base + ".tmp"
	for path, text := range map[string]string{base + ".json": config, base + ".toml": p.FeaturesText(node)} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
	}
	if err := os.Mkdir(tmp, 0o700); err != nil {
		return err
	}
	env := []string{"NODE_CONFIG=" + base + ".json", "NODE_FEATURES=" + base + ".toml", "TMPDIR=" + tmp, "NODE_CONSOLE="}
	if p.PersistState {
		env = append(env, "NODE_STATE="+p.StateDir(node))
	}
	proc, err := emulator.Command(p.Program)("", env, p.Log)
	if err == nil {
		n.processes, n.paused = append(n.processes, proc), false
	}
	return err
}

// reap forgets processes that have ended; the lock is held.
func (n *node) reap() {
	kept := n.processes[:0]
	for _, l := range n.processes {
		select {
		case <-l.Done():
		default:
			kept = append(kept, l)
		}
	}
	n.processes = kept
}

func (p *Processes) signal(node int, s syscall.Signal, wait bool) {
	n := p.nodes[node]
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.processes {
		_ = l.Signal(s)
		if wait {
			<-l.Done()
		}
	}
	n.reap()
}

// Kill implements Fleet.
func (p *Processes) Kill(node int) { p.signal(node, syscall.SIGKILL, true) }

// Stop implements Fleet.
func (p *Processes) Stop(node int) { p.signal(node, syscall.SIGTERM, true) }

// Freeze implements Fleet.
func (p *Processes) Pause(node int) {
	p.signal(node, syscall.SIGSTOP, false)
	p.nodes[node].paused = true
}

// Thaw implements Fleet.
func (p *Processes) Resume(node int) {
	p.signal(node, syscall.SIGCONT, false)
	p.nodes[node].paused = false
}

// AddFaults implements Fleet.
func (p *Processes) AddFaults(faults ...netfault.Fault) {
	p.proxies.SetSchedule(netfault.New(shiftFaults(int64(time.Since(p.startedAt)), faults)))
}

// ClearFaults implements Fleet.
func (p *Processes) ClearFaults() { p.proxies.SetSchedule(netfault.New(nil)) }

// Step implements Fleet.
func (p *Processes) Step() { time.Sleep(p.ProtocolPeriod / 5) }

// Inject implements Fleet.
func (p *Processes) Inject(to int, datagram []byte) { p.mesh.Inject((to+1)%len(p.nodes), to, datagram) }

// Copied implements Fleet.
func (p *Processes) CapturedDatagram(from, to int) []byte { return p.mesh.CapturedDatagram(from, to) }

// PID of a node's newest process; 0 without one.
func (p *Processes) PID(node int) int {
	n := p.nodes[node]
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.processes) == 0 {
		return 0
	}
	return n.processes[len(n.processes)-1].PID()
}

const callTimeout = 2 * time.Second

// Ask calls a node's console, or its listener, once.
func Call(address, method, path string) (status int, text []byte, err error) {
	c, err := net.DialTimeout("tcp", address, callTimeout)
	if err != nil {
		return 0, nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(callTimeout))
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n", method, path); err != nil {
		return 0, nil, err
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil, err
	}
	defer r.Body.Close()
	text, err = io.ReadAll(r.Body)
	return r.StatusCode, text, err
}

// Views asks all consoles at once.
func (p *Processes) Views() []*members.View {
	out := make([]*members.View, len(p.nodes))
	var all sync.WaitGroup
	for i, n := range p.nodes {
		n.mu.Lock()
		n.reap()
		runs := len(n.processes) > 0 && !n.paused
		n.mu.Unlock()
		if !runs {
			continue
		}
		all.Go(func() {
			var v members.View
			if status, text, err := Call(p.AdminAddress(i), "GET", "/members"); err == nil && status == 200 && json.Unmarshal(text, &v) == nil {
				out[i] = &v
			}
		})
	}
	all.Wait()
	return out
}

// SendRequest has a node do one request, and tells how it was answered.
func (p *Processes) SendRequest(node, number int) error { return p.sendRequest(node, "view", number) }

func (p *Processes) sendRequest(node int, category string, number int) error {
	c, err := net.DialTimeout("tcp", p.ListenAddress(node), callTimeout)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(callTimeout))
	_, _ = fmt.Fprintf(c, "POST /%s HTTP/1.1\r\nHost: lab\r\nX-Txn: %016x\r\nX-Lane: %s\r\nX-Remaining-Ms: 2000\r\nContent-Length: 0\r\n\r\n", category, number, category)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("answered %d", r.StatusCode)
	}
	return nil
}

// Close ends all processes and sockets.
func (p *Processes) Close() error {
	for i := range p.nodes {
		p.Kill(i)
	}
	if p.mesh != nil {
		p.mesh.Close()
	}
	if p.proxies != nil {
		p.proxies.Close()
	}
	if p.discovery != nil {
		p.discovery.Close()
	}
	for _, s := range p.endpoints {
		s.listener.Close()
	}
	if p.dir == "" {
		return errors.New("no fleet")
	}
	return os.RemoveAll(p.dir)
}

var _ Fleet = (*Processes)(nil)
