package node

import (
	"sync"
	"testing"
)

// Where the successor dies while the old process shuts down, the old one takes what still comes.
func TestPredecessorServesWhenSuccessorDiesDuringShutdown(t *testing.T) {
	server, _ := startUpstream(t, echo)
	next := newProcessFactory(t, server)
	predecessor := next()
	predecessor.start()
	successor := next()
	successor.hotRestart.announceServing()
	eventually(t, "the old one yields", predecessor.hotRestart.hasServingSuccessor)
	client, in := dial(t, predecessor) // stands in the kernel: the successor was to take it
	writeText(client, requestText("batch", "t", ""))
	stopped := make(chan struct{})
	go func() { predecessor.shutDown(); close(stopped) }()
	eventually(t, "the stop", predecessor.shuttingDown.Load)
	successor.hotRestart.close()
	successor.hotRestart.mu.Lock()
	successor.hotRestart.predecessor.Close()
	successor.hotRestart.mu.Unlock()
	if status, _, _ := readAnswer(in); status != 200 {
		t.Errorf("a request that nobody else is there for was answered %d", status)
	}
	<-stopped
}

// With two successors at once, or both processes told to end, no request is lost.
func TestOverlappingHotRestartsLoseNoRequest(t *testing.T) {
	for name, restart := range map[string]func(t *testing.T, next func() *Node, predecessor *Node, sendRequest func(string)){
		"two successors": func(t *testing.T, next func() *Node, predecessor *Node, sendRequest func(string)) {
			first := next()
			second := next() // finds the place taken, and makes a plain start
			if first.inherited == nil || second.inherited != nil {
				t.Error("one of them is to take over, the other is not")
			}
			second.start()
			sendRequest("second")
			first.start()
			eventually(t, "the old one yields", predecessor.hotRestart.hasServingSuccessor)
			predecessor.shutDown()
			sendRequest("first")
		},
		"both stop": func(t *testing.T, next func() *Node, predecessor *Node, sendRequest func(string)) {
			successor := next()
			successor.start()
			eventually(t, "the old one yields", predecessor.hotRestart.hasServingSuccessor)
			var done sync.WaitGroup
			for _, n := range []*Node{predecessor, successor} {
				done.Go(n.shutDown)
			}
			eventually(t, "both stop", func() bool { return predecessor.shuttingDown.Load() && successor.shuttingDown.Load() })
			sendRequest("while both stop")
			done.Wait()
		},
		"the old one is told to end before the first accept": func(
			t *testing.T, next func() *Node, predecessor *Node, sendRequest func(string),
		) {
			successor := next()
			successor.hotRestart.announceServing() // says so, and does not take yet
			eventually(t, "the old one yields", predecessor.hotRestart.hasServingSuccessor)
			predecessor.shutDown()
			go successor.start()
			sendRequest("after")
		},
		"a drain in between": func(t *testing.T, next func() *Node, predecessor *Node, sendRequest func(string)) {
			successor := next()
			if _, err := predecessor.overrides.change(func(o *overrideSet) string { o.drained = true; return "" }); err != nil {
				t.Fatal(err)
			}
			successor.start()
			eventually(t, "both know", func() bool { return predecessor.overrides.drained() && successor.notReady() == "drained" })
			sendRequest("drained")
			predecessor.shutDown()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, _ := startUpstream(t, echo)
			next := newProcessFactory(t, server)
			predecessor := next()
			predecessor.start()
			restart(t, next, predecessor, func(id string) {
				t.Helper()
				if status, body, _ := ask(t, predecessor, "batch", id, ""); status != 200 {
					t.Errorf("%s: answered %d %s", id, status, body)
				}
			})
		})
	}
}
