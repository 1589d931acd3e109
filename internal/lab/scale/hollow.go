package scale

// This file owns hollow nodes: many in one process, each the node's own code as it stands (list, members, memory) that no client ever
// calls, and one real process beside them, so that the same run tells how far the two differ. A hollow node must never be a copy of
// what a node does.

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fawnglade/internal/lab/emulator"
	"fawnglade/internal/lab/fleet"
	"fawnglade/internal/node"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"go.uber.org/zap"
)

// hollowNode is where one of them is.
type hollowNode struct {
	Name    string
	Listen  string
	Console string
	Members string
}

// hollowFleet is what the process of hollow nodes is told, as JSON in a file.
type hollowFleet struct {
	Discovery string
	Nodes     []hollowNode // the last is the real one
	Dir       string
}

// places finds addresses that nobody listens at, for connections or datagrams, all at once, so that none comes twice.
func places(n int) (out []string, err error) {
	for len(out) < n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		at := l.Addr().String()
		if c, err := net.ListenPacket("udp", at); err == nil {
			defer func() { _ = c.Close() }()
			out = append(out, at)
		}
	}
	return out, nil
}

// features writes the file of what a node does beyond the platform's protocol.
func (f *hollowFleet) features(i int) (string, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "[members]\nlisten = %q\nround = \"500ms\"\nkey = %q\nlist = true\n", f.Nodes[i].Members, strings.Repeat("5a", 16))
	for _, n := range f.Nodes {
		fmt.Fprintf(&b, "[[members.node]]\nname = %q\naddress = %q\n", n.Name, n.Members)
	}
	path := filepath.Join(f.Dir, f.Nodes[i].Name+".toml")
	return path, os.WriteFile(path, []byte(b.String()), 0o600)
}

func (f *hollowFleet) state(i int) string { return filepath.Join(f.Dir, f.Nodes[i].Name+".state") }

// Hollow is the life of a process of hollow nodes: it starts all but the last of a file, and says so once each is ready. It ends by
// being killed, which the system does too when who began it has ended.
func Hollow(path string, out io.Writer) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var f hollowFleet
	if err := json.Unmarshal(text, &f); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	ended := make(chan error, len(f.Nodes))
	hollow := f.Nodes[:len(f.Nodes)-1]
	for i, h := range hollow {
		c, err := node.ParseConfig([]byte(nodeConfig(i, h.Listen, h.Console, f.Discovery, true)))
		if err != nil {
			return err
		}
		features, err := f.features(i)
		if err != nil {
			return err
		}
		if err := errors.Join(c.ReadFeatures(features), c.UseStateDir(f.state(i))); err != nil {
			return err
		}
		n, err := node.New(c, zap.NewNop())
		if err != nil {
			return err
		}
		go func() { ended <- n.Run(nil) }()
	}
	for _, h := range hollow {
		for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
			if status, _, err := fleet.Ask(h.Console, "GET", "/ready"); err == nil && status == 200 {
				break
			}
			if time.Since(began) > readyWithin {
				return fmt.Errorf("%s not ready within %v", h.Name, readyWithin)
			}
		}
	}
	_, _ = fmt.Fprintln(out, "ready")
	return <-ended
}

// startHollow starts that process, and waits for it to be ready.
func startHollow(e *Env, f *hollowFleet) (*process, error) {
	text, err := json.Marshal(f)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(f.Dir, "hollow.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	read, write := io.Pipe()
	p := &process{began: time.Now()}
	if p.Process, err = emulator.Command(append(append([]string(nil), e.Hollow...), path))("", []string{"TMPDIR=" + f.Dir}, write); err != nil {
		return nil, err
	}
	said := make(chan string, 1)
	go func() {
		line, _ := bufio.NewReader(read).ReadString('\n')
		said <- line
		_, _ = io.Copy(io.Discard, read)
	}()
	go func() { <-p.Done(); _ = write.Close() }()
	select {
	case line := <-said:
		if line == "ready\n" {
			return p, nil
		}
		p.kill()
		return nil, fmt.Errorf("hollow nodes: %s", strings.TrimSpace(line))
	case <-time.After(2 * readyWithin):
		p.kill()
		return nil, fmt.Errorf("hollow nodes: not ready within %v", 2*readyWithin)
	}
}

func hollowProbe() Probe {
	return Probe{
		Name: "hollow", Size: "hollow nodes", Sizes: []float64{10, 30, 100, 200}, Quick: []float64{2, 4, 10, 20}, Least: 2, Most: mostMembers - 1,
		At:   func(d *Design) float64 { return d.Nodes },
		Need: func(n float64) Need { return Need{Bytes: 60e6 + n*(8e6+500*n), Processes: 2} },
		Figures: []Figure{
			{Name: "memory", What: "memory of the process of so many, each before 1,200 servers", Unit: "bytes", Role: "lab", Method: residentNow},
			{Name: "real", What: "memory of the real one beside them", Unit: "bytes", Role: "node", Method: residentNow, Limit: limitBytes},
			{Name: "memoryratio", What: "hollow over real, memory: a real one has a runtime of its own", Unit: "1", Role: "lab", Method: "memory over its nodes / real"},
			{Name: "idle", What: "a hollow one, nothing happening", Unit: "% of a core", Role: "lab", Method: "processor time of the process over its nodes"},
			{Name: "realidle", What: "the real one, nothing happening", Unit: "% of a core", Role: "node", Method: "processor time of the process", Limit: limitCores},
			{Name: "idleratio", What: "hollow over real, nothing happening", Unit: "1", Role: "lab", Method: "idle / realidle"},
			{Name: "change", What: "one change told to a hollow one", Unit: "ms", Role: "lab", Method: rusage + ", over its nodes"},
			{Name: "realchange", What: "one change told to the real one", Unit: "ms", Role: "node", Method: rusage, Limit: limitChange},
			{Name: "changeratio", What: "hollow over real, one change", Unit: "1", Role: "lab", Method: "change / realchange"},
			{Name: "bytes", What: "datagrams that a hollow one sends", Unit: "bytes/s", Role: "lab", Method: "the node's own count"},
			{Name: "realbytes", What: "datagrams that the real one sends", Unit: "bytes/s", Role: "node", Method: "the node's own count", Limit: limitNetwork},
			{Name: "bytesratio", What: "hollow over real, bytes", Unit: "1", Role: "lab", Method: "bytes / realbytes"},
		},
		Measure: measureHollow,
	}
}

// sentBy is what a node has sent in datagrams so far, bytes.
func sentBy(console string) (float64, error) {
	status, text, err := fleet.Ask(console, "GET", "/members")
	var view struct {
		Counts struct {
			Sent float64 `json:"sent_bytes"`
		} `json:"counts"`
	}
	if err == nil && status != 200 {
		err = fmt.Errorf("members: answered %d", status)
	}
	if err == nil {
		err = json.Unmarshal(text, &view)
	}
	return view.Counts.Sent, err
}

func measureHollow(ctx context.Context, e *Env, size float64) (v map[string]float64, note string, err error) {
	v = map[string]float64{}
	if len(e.Node) == 0 || len(e.Hollow) == 0 {
		return v, "no node program found", nil
	}
	servers, rest, watch, changes := fewServers, 5*time.Second+time.Duration(size)*100*time.Millisecond, 5*time.Second, 100
	if e.Quick {
		servers, rest, watch, changes = 50, 0, 500*time.Millisecond, 10
	}
	n := int(size)
	f := &hollowFleet{}
	if f.Dir, err = os.MkdirTemp(e.Dir, "hollow-"); err != nil {
		return v, "", err
	}
	defer func() { _ = os.RemoveAll(f.Dir) }()
	d, err := newDiscovery(servers)
	if err != nil {
		return v, "", err
	}
	defer d.close()
	f.Discovery = d.address()
	at, err := places(3 * (n + 1))
	if err != nil {
		return v, "", err
	}
	for i := range n + 1 {
		f.Nodes = append(f.Nodes, hollowNode{fmt.Sprintf("n%d", i), at[3*i], at[3*i+1], at[3*i+2]})
	}
	features, err := f.features(n)
	if err != nil {
		return v, "", err
	}
	hollow, err := startHollow(e, f)
	if err != nil {
		return v, "", err
	}
	defer hollow.kill()
	real, err := startAt(e, f.Dir, f.Discovery, f.state(n), features, n, f.Nodes[n].Listen, f.Nodes[n].Console)
	if err != nil {
		return v, "", err
	}
	defer real.kill()
	if _, err := real.ready(ctx, readyWithin); err != nil {
		return v, "", err
	}
	time.Sleep(rest) // what is new is told
	both := func(do func() error) (a, b float64, took float64, err error) {
		a, b, from := -hollow.cpu(), -real.cpu(), time.Now()
		err = do()
		return a + hollow.cpu(), b + real.cpu(), time.Since(from).Seconds(), err
	}
	sentHollow, err := sentBy(f.Nodes[0].Console)
	sentReal, err2 := sentBy(f.Nodes[n].Console)
	a, b, took, _ := both(func() error { time.Sleep(watch); return nil })
	v["idle"], v["realidle"] = 100*a/took/size, 100*b/took
	toHollow, err3 := sentBy(f.Nodes[0].Console)
	toReal, err4 := sentBy(f.Nodes[n].Console)
	if err := errors.Join(err, err2, err3, err4); err != nil {
		return v, "", err
	}
	v["bytes"], v["realbytes"] = (toHollow-sentHollow)/took, (toReal-sentReal)/took
	if v["memory"], _, err = resident(hollow.PID()); err != nil {
		return v, "", err
	}
	if v["real"], _, err = resident(real.PID()); err != nil {
		return v, "", err
	}
	v["memoryratio"] = v["memory"] / size / v["real"]
	hollowIdle, realIdle := v["idle"]/100*size, v["realidle"]/100
	a, b, took, err = both(func() error {
		for i := range changes {
			entry := entryText(nil, i/2*7919%servers, []string{"draining", "up"}[i%2], int64(i%2)*time.Now().UnixMilli())
			if err := d.tell(lineText(int64(2+i), false, entry)); err != nil {
				return err
			}
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		return nil
	})
	if err != nil {
		return v, "", err
	}
	v["change"] = 1e3 * max(a-hollowIdle*took, 0) / float64(changes) / size
	v["realchange"] = 1e3 * max(b-realIdle*took, 0) / float64(changes)
	for name, of := range map[string][2]string{"idleratio": {"idle", "realidle"}, "changeratio": {"change", "realchange"}, "bytesratio": {"bytes", "realbytes"}} {
		if v[of[1]] > 0 {
			v[name] = v[of[0]] / v[of[1]]
		}
	}
	return v, "", nil
}
