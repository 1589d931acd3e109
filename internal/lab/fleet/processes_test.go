package fleet

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"fawnglade/internal/members"
)

// buildProgram builds the node's program once for all tests, and returns its path, or the compiler's output on error.
var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "fawnglade-built-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "fawnglade")
	if out, err := exec.Command("go", "build", "-o", path, "fawnglade/cmd/fawnglade").CombinedOutput(); err != nil {
		return string(out), err
	}
	return path, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := buildProgram(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

const testPeriod = 100 * time.Millisecond

func newTestFleet(t *testing.T, nodes int) *Processes {
	t.Helper()
	path, err := buildProgram()
	if err != nil {
		t.Fatal(path, err)
	}
	log := &lockedLog{}
	p, err := NewProcesses([]string{path, "serve"}, nodes, testPeriod, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.Close()
		if strings.Contains(log.String(), "panic stopped") || t.Failed() {
			t.Error("end of the nodes' logs: ", log.String())
		}
	})
	return p
}

type lockedLog struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *lockedLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()[max(0, l.b.Len()-4000):]
}

func TestCasesWithProcesses(t *testing.T) {
	for _, c := range Cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			if err := c.Run(newTestFleet(t, c.Nodes)); err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against a second process of a name, started by mistake, going unnoticed or making other nodes appear as
// failed. One of the two processes keeps the name.
func TestNameConflictIsReported(t *testing.T) {
	p := newTestFleet(t, 5)
	if err := startAll(p)(); err != nil {
		t.Fatal(err)
	}
	if err := p.Start(2); err != nil {
		t.Fatal(err)
	}
	_, err := WaitUntil(p, 3*startupPeriods, "a node reports a name conflict", func(views []*members.View) bool {
		for _, v := range views {
			if v != nil && (v.NameConflict || v.Members[2].NameConflict) {
				return true
			}
		}
		return false
	})
	if err != nil {
		t.Error(err)
	}
	if err := RequireDuring(p, stablePeriods, "none of the other nodes is reported as failed", noneFailed([]int{0, 1, 3, 4}, []int{0, 1, 3, 4})); err != nil {
		t.Error(err)
	}
}

// Guards against invalid datagrams disturbing a node: it receives ten thousand a second, of all lengths and some with a
// valid first byte, while it answers requests and no node is reported as failed.
func TestInvalidDatagramsDoNotDisturbNode(t *testing.T) {
	p := newTestFleet(t, 4)
	if err := startAll(p)(); err != nil {
		t.Fatal(err)
	}
	before := map[int64]int64{}
	for i, v := range p.Views() {
		before[int64(i)] = v.Counters.Invalid + v.Counters.UnknownVersions
	}
	conn, err := net.Dial("udp", p.mesh.Address(0, 0))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	stop, done := make(chan struct{}), make(chan int)
	go func() {
		random, sent := rand.New(rand.NewPCG(1, 1)), 0
		buffer := make([]byte, 1400)
		for k := range buffer {
			buffer[k] = byte(random.Uint32())
		}
		tick := time.NewTicker(time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				done <- sent
				return
			case <-tick.C:
			}
			for range 10 {
				buffer[0] = byte(1 + sent%4)
				_, _ = conn.Write(buffer[:random.IntN(len(buffer))])
				sent++
			}
		}
	}()
	for n := range 200 {
		if err := p.SendRequest(0, n); err != nil {
			t.Errorf("request %d: got error %v, want a response", n, err)
			break
		}
	}
	err = RequireDuring(p, 2*stablePeriods, "no node is reported as failed", noneFailed(NodeRange(0, 4), NodeRange(0, 4)))
	close(stop)
	if sent := <-done; err != nil {
		t.Error(err)
	} else if v := p.Views()[0]; v == nil || v.Counters.Invalid+v.Counters.UnknownVersions == before[0] {
		t.Errorf("got no invalid datagram counted of %d sent", sent)
	}
}

// The fleet view command shows the views of nodes, and says which node refuses the connection.
func TestFleetViewCommand(t *testing.T) {
	p := newTestFleet(t, 3)
	p.Key = strings.Repeat("5a", 16)
	if err := runSteps(startAll(p), actionStep(func() { p.Kill(2) }), waitStep(p, detectionPeriods, "the other nodes report the failure", ViewsMatch([]int{0, 1}, allUpExcept(2)))); err != nil {
		t.Fatal(err)
	}
	show := func(args ...string) string {
		out, err := exec.Command(p.Program[0], append([]string{"fleet", "view"}, args...)...).CombinedOutput()
		if err != nil && !strings.Contains(strings.Join(args, " "), p.AdminAddress(2)) {
			t.Error(err)
		}
		return string(out)
	}
	if out := show("--console", p.AdminAddress(0), "--console", p.AdminAddress(1)); !strings.Contains(out, "2 of 3 nodes up, 0 doubted, 1 silent") || strings.Count(out, "itself") != 2 {
		t.Error(out)
	}
	var v members.View
	if out := show("--console", p.AdminAddress(1), "--json"); json.Unmarshal([]byte(out), &v) != nil || v.Name != "n1" || len(v.Members) != 3 {
		t.Error(out)
	}
	if out := show("--console", p.AdminAddress(2)); !strings.Contains(out, "refused") {
		t.Error("view of a killed node: want the refused connection named, got ", out)
	}
}

// With a features file but settings that do not allow messages between nodes, a node opens no membership socket and its
// admin API has no members.
func TestMembershipDisabledBySettings(t *testing.T) {
	p := newTestFleet(t, 2)
	disabled := strings.Replace(settingsTemplate, `"peer_messages":true`, `"peer_messages":false`, 1)
	p.Settings = disabled
	if err := p.Start(0); err != nil {
		t.Fatal(err)
	}
	for {
		status, _, err := Call(p.AdminAddress(0), "GET", "/ready")
		if err == nil && status == 200 {
			break
		}
		p.Step()
	}
	if status, _, err := Call(p.AdminAddress(0), "GET", "/members"); err != nil || status != 404 {
		t.Errorf("got status %d of /members, error %v, want 404", status, err)
	}
	l, err := net.ListenPacket("udp", p.mesh.Address(0, 0))
	if err != nil {
		t.Fatal("the membership address is in use, want it free: ", err)
	}
	_ = l.Close()
}
