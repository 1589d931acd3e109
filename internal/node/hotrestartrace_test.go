package node

import (
	"sync"
	"testing"
)

// Where the successor dies while the old process shuts down, the old one takes what still comes.
func TestPredecessorServesWhenSuccessorDiesDuringShutdown(t *testing.T) {
	server, _ := startUpstream(t, echo)
	next := newProcessFactory(t, server)
	old := next()
	old.start()
	fresh := next()
	fresh.hotRestart.announceServing()
	eventually(t, "the old one yields", old.hotRestart.hasServingSuccessor)
	client, in := dial(t, old) // stands in the kernel: the successor was to take it
	writeText(client, requestText("batch", "t", ""))
	stopped := make(chan struct{})
	go func() { old.shutDown(); close(stopped) }()
	eventually(t, "the stop", old.shuttingDown.Load)
	fresh.hotRestart.close()
	fresh.hotRestart.mu.Lock()
	fresh.hotRestart.predecessor.Close()
	fresh.hotRestart.mu.Unlock()
	if status, _, _ := readResponse(in); status != 200 {
		t.Errorf("a request that nobody else is there for was answered %d", status)
	}
	<-stopped
}

// With two successors at once, or both processes told to end, no request is lost.
func TestOverlappingHotRestartsLoseNoRequest(t *testing.T) {
	for name, cross := range map[string]func(t *testing.T, next func() *Node, old *Node, ask func(string)){
		"two successors": func(t *testing.T, next func() *Node, old *Node, ask func(string)) {
			first := next()
			second := next() // finds the place taken, and makes a plain start
			if first.inherited == nil || second.inherited != nil {
				t.Error("one of them is to take over, the other is not")
			}
			second.start()
			ask("second")
			first.start()
			eventually(t, "the old one yields", old.hotRestart.hasServingSuccessor)
			old.shutDown()
			ask("first")
		},
		"both stop": func(t *testing.T, next func() *Node, old *Node, ask func(string)) {
			fresh := next()
			fresh.start()
			eventually(t, "the old one yields", old.hotRestart.hasServingSuccessor)
			var done sync.WaitGroup
			for _, n := range []*Node{old, fresh} {
				done.Go(n.shutDown)
			}
			eventually(t, "both stop", func() bool { return old.shuttingDown.Load() && fresh.shuttingDown.Load() })
			ask("while both stop")
			done.Wait()
		},
		"the old one is told to end before the first accept": func(
			t *testing.T, next func() *Node, old *Node, ask func(string),
		) {
			fresh := next()
			fresh.hotRestart.announceServing() // says so, and does not take yet
			eventually(t, "the old one yields", old.hotRestart.hasServingSuccessor)
			old.shutDown()
			go fresh.start()
			ask("after")
		},
		"a drain in between": func(t *testing.T, next func() *Node, old *Node, ask func(string)) {
			fresh := next()
			if _, err := old.overrides.change(func(o *overrideSet) string { o.drained = true; return "" }); err != nil {
				t.Fatal(err)
			}
			fresh.start()
			eventually(t, "both know", func() bool { return old.overrides.drained() && fresh.notReadyReason() == "drained" })
			ask("drained")
			old.shutDown()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, _ := startUpstream(t, echo)
			next := newProcessFactory(t, server)
			old := next()
			old.start()
			cross(t, next, old, func(id string) {
				t.Helper()
				if status, body, _ := sendRequest(t, old, "batch", id, ""); status != 200 {
					t.Errorf("%s: answered %d %s", id, status, body)
				}
			})
		})
	}
}
