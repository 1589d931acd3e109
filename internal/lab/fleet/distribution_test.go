package fleet

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"fawnglade/internal/lab/emulator"
	"fawnglade/internal/lab/faultproxy"
	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/model"
	"fawnglade/internal/lab/netfault"
)

// The indexes of link ends: nodes count from 0, then these.
const (
	relayA         = 100 // in region a, with discovery and the origin
	relayB         = 101
	originIndex    = 200
	discoveryIndex = 201
	remoteNode     = 2 // the node in region b

	propagationLimit = 6 * time.Second // from a change in discovery, while that is reachable
)

func linkEnd(i int) netfault.End { return netfault.End{Kind: netfault.Node, Index: i} }

// relayFleet is a fleet of three nodes that subscribe to two relays below an origin. Each link leads through a fault
// proxy.
type relayFleet struct {
	*Processes
	t           *testing.T
	streams     map[[2]int]*faultproxy.Stream
	configPaths map[string]string // configuration files of the relays and the origin
	addresses   map[string]string
	procs       map[string]emulator.Process
	history     *invariant.History
	startTime   time.Time

	openAttempts map[attemptKey]*invariant.Attempt // guarded by the history's lock

	mu             sync.Mutex
	sent           [3]int
	inTime         [3]int
	version        int64
	endpointStates map[int]string          // by index of the endpoint
	listChanges    map[[2]int][]listChange // by node and endpoint; used by the test's goroutine only
}

type attemptKey struct {
	request   string
	endpoint  int
	arrivedAt time.Time
}

func (r *relayFleet) openStream(from, to int, target func() string) string {
	stream, err := faultproxy.NewStream(r.proxies, "127.0.0.1:0", linkEnd(from), linkEnd(to), target)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(stream.Close)
	r.streams[[2]int{from, to}] = stream
	return stream.Address()
}

func freePort(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// newRelayFleet starts an origin, two relays and three nodes; if direct is set, only nodes, which watch discovery
// directly.
func newRelayFleet(t *testing.T, direct bool) *relayFleet {
	t.Helper()
	r := &relayFleet{
		Processes: newTestFleet(t, 3), t: t, streams: map[[2]int]*faultproxy.Stream{}, configPaths: map[string]string{}, addresses: map[string]string{},
		procs: map[string]emulator.Process{}, history: &invariant.History{}, openAttempts: map[attemptKey]*invariant.Attempt{}, startTime: time.Now(), version: 1, endpointStates: map[int]string{}, listChanges: map[[2]int][]listChange{},
	}
	for i := range r.endpoints {
		r.endpointStates[i] = "up"
	}
	discovery := func() string { return r.discovery.Address() }
	r.DiscoveryFor = func(node int) string { return r.streams[[2]int{node, discoveryIndex}].Address() }
	for i := range 3 {
		r.openStream(i, discoveryIndex, discovery)
	}
	if !direct {
		r.addresses["origin"], r.addresses["a"], r.addresses["b"] = freePort(t), freePort(t), freePort(t)
		at := func(name string) func() string { return func() string { return r.addresses[name] } }
		r.writeConfig("origin", fmt.Sprintf("role = \"origin\"\n[origin]\ndiscovery = %q\n[origin.scope]\nservice = \"web\"\nregion = \"eu\"\n", r.openStream(originIndex, discoveryIndex, discovery)))
		r.writeConfig("a", fmt.Sprintf("role = \"relay\"\nupstream = [%q]\n", r.openStream(relayA, originIndex, at("origin"))))
		r.writeConfig("b", fmt.Sprintf("role = \"relay\"\nupstream = [%q]\n", r.openStream(relayB, originIndex, at("origin"))))
		var relayAddresses [3][2]string
		for i := range 3 {
			relayAddresses[i] = [2]string{r.openStream(i, relayA, at("a")), r.openStream(i, relayB, at("b"))}
		}
		r.ExtraFeatures = func(node int) string {
			return fmt.Sprintf("[distribution]\nrelays = [%q, %q]\nscopes = [\"eu/web\"]\n", relayAddresses[node][0], relayAddresses[node][1])
		}
		for _, name := range []string{"origin", "a", "b"} {
			r.startProcess(name)
		}
		t.Cleanup(func() {
			for name := range r.procs {
				r.killProcess(name)
			}
		})
	}
	for i, endpoint := range r.endpoints {
		endpoint.Observe(func(a Arrival) {
			var number int
			if _, _ = fmt.Sscanf(a.Request, "%x", &number); number == 0 {
				return
			}
			if !a.ClosedAt.IsZero() {
				r.history.Update(func() { r.openAttempts[attemptKey{a.Request, i, a.ArrivedAt}].ClosedAt = r.sinceStart(a.ClosedAt) })
				return
			}
			attempt := &invariant.Attempt{Request: a.Request, Node: number / requestsPerNode, Endpoint: i, Incarnation: 1, Zone: "a"}
			r.history.RecordAttempt(attempt)
			r.history.Update(func() {
				r.openAttempts[attemptKey{a.Request, i, a.ArrivedAt}] = attempt
				attempt.FirstByteAt, attempt.LastByteAt, attempt.AnsweredAt, attempt.Status, attempt.Executed = r.sinceStart(a.ArrivedAt), r.sinceStart(a.ArrivedAt), r.sinceStart(a.AnsweredAt), 200, true
			})
		})
	}
	for i := range 3 {
		r.history.RecordProcess(&invariant.Process{Node: i, Incarnation: 1, StartedAt: r.sinceStart(time.Now())})
		if err := r.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	r.waitServing(t)
	return r
}

const requestsPerNode = 1 << 20 // request numbers reserved for each node

func (r *relayFleet) sinceStart(t time.Time) int64 { return int64(t.Sub(r.startTime)) }

func (r *relayFleet) writeConfig(name, text string) {
	r.configPaths[name] = filepath.Join(r.dir, name+".toml")
	text = fmt.Sprintf("name = %q\nlisten = %q\n", name, r.addresses[name]) + text
	if err := os.WriteFile(r.configPaths[name], []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
}

// startProcess starts a relay or the origin, without state.
func (r *relayFleet) startProcess(name string) {
	process, err := emulator.Command([]string{r.Program[0], "relay", "--config", r.configPaths[name]})("", nil, r.Log)
	if err != nil {
		r.t.Fatal(err)
	}
	r.procs[name] = process
}

func (r *relayFleet) killProcess(name string) {
	_ = r.procs[name].Signal(syscall.SIGKILL)
	<-r.procs[name].Done()
}

// setState changes an endpoint's state in discovery, and records the change for the nodes that can receive it: all, or
// all but remoteNode if partitioned.
func (r *relayFleet) setState(endpoint int, state string, partitioned bool) {
	r.mu.Lock()
	r.endpointStates[endpoint] = state
	r.version++
	version := r.version
	var list []ListEntry
	for i, s := range r.endpoints {
		list = append(list, ListEntry{Endpoint: s, State: r.endpointStates[i]})
	}
	r.mu.Unlock()
	r.discovery.SetList(version, list...)
	for node := range 3 {
		if !partitioned || node != remoteNode {
			r.recordChange(node, endpoint, state)
		}
	}
}

// listChange is a change of the list that a node could receive from a time on.
type listChange struct {
	state string
	at    time.Time
}

func (r *relayFleet) recordChange(node, endpoint int, state string) {
	key := [2]int{node, endpoint}
	r.listChanges[key] = append(r.listChanges[key], listChange{state, time.Now()})
}

// recordPresumedEntries records what nodes are presumed to know: a drain propagationLimit after the node could receive
// it, unless it had ended by then, and that an endpoint is up at once, as the node may use it as soon as it receives
// that.
func (r *relayFleet) recordPresumedEntries() {
	for key, changes := range r.listChanges {
		for i, change := range changes {
			entry := invariant.ListEntry{Node: key[0], Incarnation: 1, Endpoint: key[1], State: model.Up, At: r.sinceStart(change.at)}
			if change.state != "up" {
				entry.State, entry.At = model.Draining, entry.At+int64(propagationLimit)
				if i+1 < len(changes) && r.sinceStart(changes[i+1].at) <= entry.At {
					continue
				}
			}
			r.history.RecordEntries(entry)
		}
	}
}

// sendLoad sends requests to all nodes until stopLoad is called.
func (r *relayFleet) sendLoad() (stopLoad func()) {
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for node := range 3 {
		for client := range 3 {
			clients.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(8 * time.Millisecond):
						r.sendRecorded(node, node*requestsPerNode+1+client+3*n, client%2)
					}
				}
			})
		}
	}
	return func() { close(stop); clients.Wait() }
}

var requestClasses = []invariant.Class{{Name: "view", Idempotency: invariant.Idempotent}, {Name: "pay", Idempotency: invariant.NonIdempotent}}

// sendRecorded sends one request, and records it with its outcome.
func (r *relayFleet) sendRecorded(node, number, class int) {
	now := r.sinceStart(time.Now())
	request := &invariant.Request{ID: fmt.Sprintf("%016x", number), Operation: number, Node: node, Incarnation: 1, Class: class, SentAt: now, Deadline: now + int64(2*time.Second)}
	r.history.RecordRequest(request)
	status, err := r.send(node, requestClasses[class].Name, request.ID)
	done := r.sinceStart(time.Now())
	r.history.Update(func() {
		if err != nil {
			request.ClosedAt = done
		} else {
			request.AnsweredAt, request.Status = done, status
		}
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[node]++
	if err == nil && status == 200 && done-now <= int64(time.Second) {
		r.inTime[node]++
	}
}

func (r *relayFleet) send(node int, class, id string) (int, error) {
	c, err := net.DialTimeout("tcp", r.ListenAddress(node), callTimeout)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(3 * time.Second))
	_, _ = fmt.Fprintf(c, "POST /%s HTTP/1.1\r\nHost: lab\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining-Ms: 2000\r\nContent-Length: 0\r\n\r\n", class, id, class)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	response.Body.Close()
	return response.StatusCode, nil
}

func (r *relayFleet) inTimeFraction() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	inTime, sent := 0, 0
	for i := range r.inTime {
		inTime, sent = inTime+r.inTime[i], sent+r.sent[i]
	}
	return float64(inTime) / float64(max(sent, 1))
}

// listSource returns the source of the list in force at a node, from its admin API.
func (r *relayFleet) listSource(node int) string {
	var status struct {
		By string `json:"by"`
	}
	if code, text, err := Call(r.AdminAddress(node), "GET", "/relays"); err != nil || code != 200 || json.Unmarshal(text, &status) != nil {
		return fmt.Sprint(code, err)
	}
	return status.By
}

// lagMeter measures how late the test process runs, since the times that its endpoints and clients record are as late.
type lagMeter struct {
	mu    sync.Mutex
	slots map[int64]int64
}

const lagSlot = int64(100 * time.Millisecond)

func (g *lagMeter) run(start time.Time, stop chan struct{}) {
	for last := int64(0); ; {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		now := int64(time.Since(start))
		g.mu.Lock()
		for i := last / lagSlot; i <= now/lagSlot; i++ {
			g.slots[i] = max(g.slots[i], now-last-int64(2*time.Millisecond))
		}
		g.mu.Unlock()
		last = now
	}
}

// lagAt returns twice the largest lag within half a second of a time, as the nodes on the same machine lag as well.
func (g *lagMeter) lagAt(at int64) (worst int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := at/lagSlot - 5; i <= at/lagSlot+5; i++ {
		worst = max(worst, 2*g.slots[i])
	}
	return worst
}

// attemptCounts returns how many attempts of a node arrived at each endpoint after a time.
func (r *relayFleet) attemptCounts(node int, after time.Time) (counts [8]int) {
	r.history.Update(func() {
		for _, attempt := range r.history.Attempts {
			if attempt.Node == node && attempt.FirstByteAt > r.sinceStart(after) {
				counts[attempt.Endpoint]++
			}
		}
	})
	return counts
}

// orderStalledAttempts corrects the order of attempts of one request that endpoints read at the same time because the
// test process was stalled, which loses their order. An attempt whose connection the node had closed before the
// endpoint read it counts as the first. One that was not closed by then keeps its time, and is a hedged attempt.
func (r *relayFleet) orderStalledAttempts(lagAt func(int64) int64) {
	r.history.Update(func() {
		byRequest := map[string][]*invariant.Attempt{}
		for _, attempt := range r.history.Attempts {
			byRequest[attempt.Request] = append(byRequest[attempt.Request], attempt)
		}
		for _, attempts := range byRequest {
			for _, closed := range attempts {
				for _, other := range attempts {
					lag := lagAt(closed.FirstByteAt)
					if other != closed && closed.FirstByteAt-lag <= other.FirstByteAt && other.FirstByteAt <= closed.FirstByteAt && closed.ClosedAt-closed.FirstByteAt <= lag {
						closed.FirstByteAt = other.FirstByteAt - 1
					}
				}
			}
		}
	})
}

// describeRequest describes a request and its attempts for failure messages.
func (r *relayFleet) describeRequest(id string) string {
	text := "request not recorded"
	for _, request := range r.history.Requests {
		if request.ID == id {
			text = fmt.Sprintf("%s at %.1f ms, answered %d at %.1f", requestClasses[request.Class].Name, float64(request.SentAt)/1e6, request.Status, float64(request.AnsweredAt)/1e6)
		}
	}
	for _, attempt := range r.history.Attempts {
		if attempt.Request == id {
			text += fmt.Sprintf(", s%d %.1f to %.1f, closed %.1f", attempt.Endpoint, float64(attempt.FirstByteAt)/1e6, float64(attempt.AnsweredAt)/1e6, float64(attempt.ClosedAt)/1e6)
		}
	}
	return text
}

// attemptsPerSecond returns how many attempts of a node arrived at an endpoint in each second, for failure messages.
func (r *relayFleet) attemptsPerSecond(node, endpoint int) (counts [64]int) {
	r.history.Update(func() {
		for _, attempt := range r.history.Attempts {
			if second := attempt.FirstByteAt / int64(time.Second); attempt.Node == node && attempt.Endpoint == endpoint && second >= 0 && second < int64(len(counts)) {
				counts[second]++
			}
		}
	})
	return counts
}

// Guards against nodes that subscribe to relays breaking rules or serving less than nodes that watch discovery. Links
// are lossy, late and cut, a relay is killed and restarted without state, the other is paused while the first is down,
// and two regions are partitioned: no rule is violated, all nodes end with the same endpoints, and requests are served
// as by nodes that watch discovery.
func TestRelaysWithFaults(t *testing.T) {
	relayed, direct := newRelayFleet(t, false), newRelayFleet(t, true)
	for i := range 3 {
		for tries := 0; relayed.listSource(i) != "relays"; tries++ {
			if tries > 500 {
				t.Fatalf("n%d: got %s as source of the list, want relays", i, relayed.listSource(i))
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	fleets := []*relayFleet{relayed, direct}
	stop := make(chan struct{})
	defer close(stop)
	meter := &lagMeter{slots: map[int64]int64{}}
	go meter.run(relayed.startTime, stop)
	var stopLoads []func()
	for _, fleet := range fleets {
		stopLoads = append(stopLoads, fleet.sendLoad())
	}
	setStates := func(endpoint int, state string, partitioned bool) {
		for _, fleet := range fleets {
			fleet.setState(endpoint, state, partitioned)
		}
	}
	nodes, relays, origin := []netfault.End{linkEnd(0), linkEnd(1), linkEnd(2)}, []netfault.End{linkEnd(relayA), linkEnd(relayB)}, []netfault.End{linkEnd(originIndex)}
	lossy := func(from, to []netfault.End, seed uint64) []netfault.Fault {
		return []netfault.Fault{
			{Kind: netfault.Drop, From: from, To: to, Share: 0.1, Burst: 1, Seed: seed},
			{Kind: netfault.Delay, From: from, To: to, Variant: "drawn", Wait: int64(80 * time.Millisecond), Burst: 1, Seed: seed + 1},
		}
	}
	time.Sleep(500 * time.Millisecond)

	// Links are lossy and late; an endpoint drains for longer than propagationLimit.
	relayed.AddFaults(append(lossy(nodes, relays, 1), lossy(relays, origin, 3)...)...)
	setStates(0, "draining", false)
	time.Sleep(2 * time.Second)
	// A relay is killed, and restarted a second later without state.
	relayed.killProcess("a")
	time.Sleep(time.Second)
	setStates(1, "draining", false)
	relayed.startProcess("a")
	time.Sleep(4500 * time.Millisecond)
	relayed.ClearFaults()
	setStates(0, "up", false)
	// The other relay is paused, then the first is killed again: no relay responds, so nodes have to watch discovery.
	_ = relayed.procs["b"].Signal(syscall.SIGSTOP)
	time.Sleep(time.Second)
	relayed.killProcess("a")
	setStates(1, "up", false)
	setStates(2, "draining", false)
	time.Sleep(propagationLimit + 1500*time.Millisecond)
	relayed.startProcess("a")
	_ = relayed.procs["b"].Signal(syscall.SIGCONT)
	time.Sleep(3 * time.Second)
	// The regions are partitioned: relay b and one node on one side, all others on the other.
	localEnds := []netfault.End{linkEnd(0), linkEnd(1), linkEnd(relayA), linkEnd(originIndex), linkEnd(discoveryIndex)}
	remoteEnds := []netfault.End{linkEnd(remoteNode), linkEnd(relayB)}
	cut := netfault.Fault{Kind: netfault.Cut, From: localEnds, To: remoteEnds, Seed: 5}
	relayed.AddFaults(cut)
	direct.AddFaults(netfault.Fault{Kind: netfault.Cut, From: []netfault.End{linkEnd(discoveryIndex)}, To: []netfault.End{linkEnd(remoteNode)}, Seed: 5})
	time.Sleep(time.Second)
	setStates(2, "up", true)
	setStates(3, "draining", true)
	time.Sleep(7 * time.Second)
	for _, fleet := range fleets {
		fleet.ClearFaults()
		fleet.recordChange(remoteNode, 2, "up")
		fleet.recordChange(remoteNode, 3, "draining")
	}
	time.Sleep(propagationLimit + time.Second)
	listsInForceAt := time.Now()
	time.Sleep(2 * time.Second)
	for _, stopLoad := range stopLoads {
		stopLoad()
	}

	for name, fleet := range map[string]*relayFleet{"relays": relayed, "discovery": direct} {
		for node := range 3 {
			used := fleet.attemptCounts(node, listsInForceAt)
			for endpoint, n := range used[:len(fleet.endpoints)] {
				if up := fleet.endpointStates[endpoint] == "up"; up != (n > 0) {
					t.Errorf("%s: at the end n%d sent %d requests to s%d, which is %s; to each endpoint: %v; to this one by second of the test: %v", name, node, n, endpoint, fleet.endpointStates[endpoint], used, fleet.attemptsPerSecond(node, endpoint))
				}
			}
		}
		lagAt := func(at int64) int64 { return meter.lagAt(at + int64(fleet.startTime.Sub(relayed.startTime))) }
		fleet.orderStalledAttempts(lagAt)
		fleet.recordPresumedEntries()
		fleet.history.Close()
		violations := fleet.history.Check(requestClasses, invariant.Rules{
			StopSendingWithin: int64(500 * time.Millisecond), Slack: int64(50 * time.Millisecond),
			Lag: lagAt,
		})
		for _, violation := range violations[:min(5, len(violations))] {
			t.Errorf("%s: got %d violations, want 0; %s; its request: %s; the test process ran %.0f ms late", name, len(violations), violation, fleet.describeRequest(violation.Request),
				float64(lagAt(violation.At))/2e6)
		}
	}
	for i := range 3 {
		if by := relayed.listSource(i); by != "relays" {
			t.Errorf("at the end n%d has %s as source of the list, want relays", i, by)
		}
		_, text, _ := Call(relayed.AdminAddress(i), "GET", "/relays")
		t.Logf("n%d: %s", i, text)
	}
	if with, without := relayed.inTimeFraction(), direct.inTimeFraction(); with < without-0.01 {
		t.Errorf("got a fraction of %.4f of requests in time with relays, want at most 0.01 below the %.4f with discovery alone", with, without)
	} else {
		t.Logf("a fraction of %.4f of %v requests in time with relays, %.4f of %v with discovery alone", with, relayed.sent, without, direct.sent)
	}
}
