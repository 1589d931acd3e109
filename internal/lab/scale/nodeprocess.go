package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"fawnglade/internal/lab/emulator"
	"fawnglade/internal/lab/fleet"
)

const (
	readyTimeout      = 20 * time.Second
	quickReadyTimeout = 5 * time.Second
	readyPoll         = 5 * time.Millisecond
)

// nodeSettings returns the settings of a node of a large fleet as JSON.
func nodeSettings(nodes, index int, gossip bool) string {
	var names []string
	for i := range zones {
		names = append(names, fmt.Sprintf("%q", zoneName(i)))
	}
	return fmt.Sprintf(`{"discovery":"push","family_info":{},"goal":{"whole":0.5},"group_size":%d,"position":%d,
"limits":{"cancelling":true,"connect_timeout_us":75000,"idle_close_us":60000000,"max_retry_after_us":1500000,"peer_messages":%t,
"may_duplicate":false,"retry_after":true,"try_limit":3},"profiles":[{"deadline_us":2000000,"name":"view","objective_us":1000000,"repeat":"safe"},
{"deadline_us":2000000,"name":"pay","objective_us":1000000,"repeat":"unsafe"}],
"quantum_us":2000,"report":{"fields":["queue"],"how":"inline"},"rules":{"stop_sending_within_us":500000,"ask_within_us":10000000,"cold_from":0.2,"warm_within_us":20000000},
"weights":"off","zone":0,"zones":[%s]}`, nodes, index, gossip, strings.Join(names, ","))
}

// nodeAddresses holds the name and addresses of a node, as in the file that the process of hollow nodes reads.
type nodeAddresses struct {
	Name    string `json:"Name"`
	Listen  string `json:"Listen"`
	Admin   string `json:"Console"`
	Members string `json:"Members"`
}

// nodeConfig returns the configuration of a node. With gossip, the node may send messages to other nodes.
func nodeConfig(index int, addresses nodeAddresses, discovery string, gossip bool) string {
	gossipConfig := "{}"
	if gossip {
		gossipConfig = `{"listen":"127.0.0.1:0"}`
	}
	return fmt.Sprintf(`{"name":"n%d","listen":%q,"discovery":%q,"console":%q,"seed":"%x","news":%s,"settings":%s}`,
		index, addresses.Listen, discovery, addresses.Admin, index+1, gossipConfig, nodeSettings(int(DefaultDesign.Nodes), index, gossip))
}

// freeAddresses returns n addresses on which nothing listens, neither for TCP nor for UDP. All listeners stay open
// until the last address is found, so that no address repeats.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for len(addresses) < n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		address := listener.Addr().String()
		if packets, err := net.ListenPacket("udp", address); err == nil {
			defer func() { _ = packets.Close() }() // no data to lose
			addresses = append(addresses, address)
		}
	}
	return addresses, nil
}

// nodeProcess is a real node process.
type nodeProcess struct {
	emulator.Process
	admin     string // address of the admin API
	startedAt time.Time
}

// nodeOptions are the options of startNode.
type nodeOptions struct {
	dir           string // directory for configuration and log
	discovery     string // address of discovery
	index         int
	nodeAddresses nodeAddresses
	stateDir      string // empty: none
	features      string // path of the features file; empty: none, and no gossip
}

// startNodeAtFreeAddresses starts a node at free addresses.
func startNodeAtFreeAddresses(e *Env, dir, discovery, stateDir string) (*nodeProcess, error) {
	addresses, err := freeAddresses(2)
	if err != nil {
		return nil, err
	}
	return startNode(e, nodeOptions{
		dir: dir, discovery: discovery, index: probeNode, stateDir: stateDir,
		nodeAddresses: nodeAddresses{Listen: addresses[0], Admin: addresses[1]},
	})
}

func startNode(e *Env, o nodeOptions) (*nodeProcess, error) {
	config := filepath.Join(o.dir, "node.json")
	text := nodeConfig(o.index, o.nodeAddresses, o.discovery, o.features != "")
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(o.dir, "node.log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	env := []string{
		"NODE_CONFIG=" + config, "NODE_FEATURES=" + o.features, "NODE_STATE=" + o.stateDir, "NODE_CONSOLE=", "TMPDIR=" + o.dir,
	}
	p := &nodeProcess{admin: o.nodeAddresses.Admin, startedAt: time.Now()}
	p.Process, err = emulator.Command(e.NodeCommand)("", env, log)
	return p, err
}

// kill kills the process and waits until it has ended.
func (p *nodeProcess) kill() {
	_ = p.Signal(syscall.SIGKILL) // fails only if the process has ended
	<-p.Done()
}

// isReady reports whether a node is ready for requests.
func isReady(admin string) bool {
	status, _, err := fleet.Call(admin, http.MethodGet, "/ready")
	return err == nil && status == http.StatusOK
}

// waitUntilReady waits until the node is ready, and returns the seconds since its start. It returns an error if the
// node ends or is not ready within the timeout.
func (p *nodeProcess) waitUntilReady(ctx context.Context, timeout time.Duration) (float64, error) {
	for time.Since(p.startedAt) < timeout {
		if isReady(p.admin) {
			return time.Since(p.startedAt).Seconds(), nil
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-p.Done():
			return 0, errors.New("the node ended by itself")
		case <-time.After(readyPoll):
		}
	}
	return 0, fmt.Errorf("not ready within %v", timeout)
}

// adminGet reads a JSON response of a node's admin API.
func adminGet(admin, path string, into any) error {
	status, text, err := fleet.Call(admin, http.MethodGet, path)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("admin API, %s: expected status 200, got %d", strings.TrimPrefix(path, "/"), status)
	}
	return json.Unmarshal(text, into)
}

// processorSeconds returns the CPU time that the process has used so far; 0 if it cannot be read.
func (p *nodeProcess) processorSeconds() float64 {
	seconds, err := processorTime(p.PID())
	if err != nil {
		return 0
	}
	return seconds
}

// idleShare measures an idle process for the given duration, and returns its CPU time as a fraction of a core.
func (p *nodeProcess) idleShare(duration time.Duration) float64 {
	before, startedAt := p.processorSeconds(), time.Now()
	time.Sleep(duration)
	return (p.processorSeconds() - before) / time.Since(startedAt).Seconds()
}

// work is the cost of the work that a process did.
type workCost struct {
	processor float64 // CPU seconds in excess of the idle process
	elapsed   float64 // seconds until it was idle again
}

const (
	quietStep       = 20 * time.Millisecond
	quietSteps      = 50    // steps without work: on a busy machine a process with work may not be scheduled for a while
	quickQuietSteps = 5     // in a quick run
	quietCPUSeconds = 0.003 // CPU seconds over those steps that still count as no work
)

// workMeter measures the work of a process. It is created before the process is given the work.
type workMeter struct {
	process   *nodeProcess
	idle      float64 // fraction of a core that the process uses when idle
	before    float64 // CPU time at the start, seconds
	startedAt time.Time
}

func (p *nodeProcess) newWorkMeter(idle float64) workMeter {
	return workMeter{p, idle, p.processorSeconds(), time.Now()}
}

// waitUntilIdle waits until the process has finished its work or the timeout has passed.
func (m *workMeter) waitUntilIdle(timeout time.Duration) workCost {
	steps := quietSteps
	if timeout <= quickReadyTimeout {
		steps = quickQuietSteps
	}
	window := float64(steps) * quietStep.Seconds()
	quiet := max(quietCPUSeconds, 2*m.idle*window)
	var seen []float64
	for {
		seen = append(seen, m.process.processorSeconds())
		since := time.Since(m.startedAt).Seconds()
		last := len(seen) - 1
		if last >= steps && seen[last]-seen[last-steps] < quiet || since > timeout.Seconds() {
			return workCost{max(seen[last]-m.before-m.idle*since, 0), max(since-window, 0)}
		}
		time.Sleep(quietStep)
	}
}
