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

// program is the node, built once for all tests.
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
			t.Error("logs of the nodes: ", log.String())
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

// TestNameConflictIsReported starts a second process of a node by mistake: it shows, one of the two keeps the name, and the others lose
// nobody.
func TestNameConflictIsReported(t *testing.T) {
	p := newTestFleet(t, 5)
	if err := startAll(p)(); err != nil {
		t.Fatal(err)
	}
	if err := p.Start(2); err != nil {
		t.Fatal(err)
	}
	_, err := WaitUntil(p, 3*startupPeriods, "somebody says that a name is there twice", func(views []*members.View) bool {
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
	if err := RequireDuring(p, stablePeriods, "the others lose nobody", noneFailed([]int{0, 1, 3, 4}, []int{0, 1, 3, 4})); err != nil {
		t.Error(err)
	}
}

// TestInvalidDatagramsDoNotDisturbNode has ten thousand datagrams a second come to one node, of all lengths and some that begin well: requests are
// answered as before, and nobody is taken for silent.
func TestInvalidDatagramsDoNotDisturbNode(t *testing.T) {
	p := newTestFleet(t, 4)
	if err := startAll(p)(); err != nil {
		t.Fatal(err)
	}
	begin := map[int64]int64{}
	for i, v := range p.Views() {
		begin[int64(i)] = v.Counters.Invalid + v.Counters.UnknownVersions
	}
	to, err := net.Dial("udp", p.mesh.Address(0, 0))
	if err != nil {
		t.Fatal(err)
	}
	defer to.Close()
	over, done := make(chan struct{}), make(chan int)
	go func() {
		draw, sent := rand.New(rand.NewPCG(1, 1)), 0
		buffer := make([]byte, 1400)
		for k := range buffer {
			buffer[k] = byte(draw.Uint32())
		}
		tick := time.NewTicker(time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-over:
				done <- sent
				return
			case <-tick.C:
			}
			for range 10 {
				buffer[0] = byte(1 + sent%4)
				_, _ = to.Write(buffer[:draw.IntN(len(buffer))])
				sent++
			}
		}
	}()
	for n := range 200 {
		if err := p.SendRequest(0, n); err != nil {
			t.Errorf("task %d: %v", n, err)
			break
		}
	}
	err = RequireDuring(p, 2*stablePeriods, "nobody is taken for silent", noneFailed(NodeRange(0, 4), NodeRange(0, 4)))
	close(over)
	if sent := <-done; err != nil {
		t.Error(err)
	} else if v := p.Views()[0]; v == nil || v.Counters.Invalid+v.Counters.UnknownVersions == begin[0] {
		t.Errorf("of %d datagrams of nonsense none was counted", sent)
	}
}

// TestFleetViewCommand asks a node as staff do.
func TestFleetViewCommand(t *testing.T) {
	p := newTestFleet(t, 3)
	p.Key = strings.Repeat("5a", 16)
	if err := runSteps(startAll(p), actionStep(func() { p.Kill(2) }), waitStep(p, detectionPeriods, "the others know", ViewsMatch([]int{0, 1}, allUpExcept(2)))); err != nil {
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
		t.Error("a node that is gone: ", out)
	}
}

// TestMembershipDisabledBySettings has a features file where the settings do not allow messages: nothing listens, nothing is sent, nobody can ask.
func TestMembershipDisabledBySettings(t *testing.T) {
	p := newTestFleet(t, 2)
	refused := strings.Replace(settingsTemplate, `"peer_messages":true`, `"peer_messages":false`, 1)
	p.Settings = refused
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
		t.Errorf("asked for members: %d, %v", status, err)
	}
	l, err := net.ListenPacket("udp", p.mesh.Address(0, 0))
	if err != nil {
		t.Fatal("the address is taken: ", err)
	}
	_ = l.Close()
}
