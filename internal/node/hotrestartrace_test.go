package node

import (
	"sync"
	"testing"
)

// Guards against lost connections when the successor dies while the predecessor shuts down: the predecessor accepts the
// connections that are still pending.
func TestPredecessorServesWhenSuccessorDiesDuringShutdown(t *testing.T) {
	server, _ := startUpstream(t, echo)
	next := newProcessFactory(t, server)
	predecessorNode := next()
	predecessorNode.start()
	successor := next()
	successor.hotRestart.announceServing()
	eventually(t, "the predecessor to stop accepting", predecessorNode.hotRestart.hasServingSuccessor)
	client, in := dial(t, predecessorNode) // pending in the backlog; the successor should accept it
	writeText(client, requestText("batch", "t", ""))
	stopped := make(chan struct{})
	go func() { predecessorNode.shutDown(); close(stopped) }()
	eventually(t, "the shutdown to begin", predecessorNode.shuttingDown.Load)
	successor.hotRestart.close()
	successor.hotRestart.mu.Lock()
	successor.hotRestart.predecessor.Close()
	successor.hotRestart.mu.Unlock()
	if status, _, _ := readResponse(in); status != 200 {
		t.Errorf("got status %d for a request pending when the successor died, want 200", status)
	}
	<-stopped
}

// Guards against lost requests when two successors start at once, both processes shut down, or a shutdown or a drain
// overlaps with a hot restart.
func TestOverlappingHotRestartsLoseNoRequest(t *testing.T) {
	for name, restart := range map[string]func(t *testing.T, next func() *Node, predecessor *Node, checkServed func(string)){
		"two successors": func(t *testing.T, next func() *Node, predecessor *Node, checkServed func(string)) {
			first := next()
			second := next() // is rejected as a successor and starts without inherited state
			if first.inherited == nil || second.inherited != nil {
				t.Error("got the wrong inherited states, want the first process to inherit and the second not to")
			}
			second.start()
			checkServed("second")
			first.start()
			eventually(t, "the predecessor to stop accepting", predecessor.hotRestart.hasServingSuccessor)
			predecessor.shutDown()
			checkServed("first")
		},
		"both shut down": func(t *testing.T, next func() *Node, predecessor *Node, checkServed func(string)) {
			successor := next()
			successor.start()
			eventually(t, "the predecessor to stop accepting", predecessor.hotRestart.hasServingSuccessor)
			var done sync.WaitGroup
			for _, n := range []*Node{predecessor, successor} {
				done.Go(n.shutDown)
			}
			eventually(t, "both processes to begin their shutdown", func() bool { return predecessor.shuttingDown.Load() && successor.shuttingDown.Load() })
			checkServed("while both stop")
			done.Wait()
		},
		"the predecessor shuts down before the successor accepts": func(
			t *testing.T, next func() *Node, predecessor *Node, checkServed func(string),
		) {
			successor := next()
			successor.hotRestart.announceServing() // announces that it serves, but does not accept yet
			eventually(t, "the predecessor to stop accepting", predecessor.hotRestart.hasServingSuccessor)
			predecessor.shutDown()
			go successor.start()
			checkServed("after")
		},
		"a drain during the restart": func(t *testing.T, next func() *Node, predecessor *Node, checkServed func(string)) {
			successor := next()
			if _, err := predecessor.overrides.change(func(o *overrideSet) string { o.drained = true; return "" }); err != nil {
				t.Fatal(err)
			}
			successor.start()
			eventually(t, "both processes to be drained", func() bool { return predecessor.overrides.drained() && successor.notReadyReason() == "drained" })
			checkServed("drained")
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
				if status, body, _ := sendRequest(t, predecessor, "batch", id, ""); status != 200 {
					t.Errorf("request %s: got status %d, want 200; body %s", id, status, body)
				}
			})
		})
	}
}
