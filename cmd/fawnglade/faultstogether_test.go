package main

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"
)

// mixedClients returns clients that write and read slowly, of several kinds.
func mixedClients() []slowClient {
	return []slowClient{
		slowHead, slowBody, stoppedBody, stoppedChunkedBody, manyFields, slowReaderOfLongResponse, leavingClient,
	}
}

// leavingClient pipelines more than the node's machine takes, and closes its connection.
func leavingClient(conn net.Conn, id string, stop <-chan struct{}) {
	conn.SetWriteDeadline(time.Now().Add(30 * time.Millisecond))
	for k := range 200 {
		writef(conn, "%sX-Rest: %01500d\r\n\r\n", requestHead("GET", "view", fmt.Sprint(id, "-", k)), 0)
	}
}

// Guards against faults that a node stands one by one and not at once: memory, lost requests and cut-off responses.
func TestFaultsAtOnceLoseNoOrdinaryRequest(t *testing.T) {
	var responses sync.Map
	var upstreams []string
	for range 3 {
		upstreams = append(upstreams, startSlowUpstream(t, &responses))
	}
	node := startMemoryNode(t, strictProfiles, upstreams...)
	check := startOrdinaryClients(t, node.address, 4, strictDeadlines["view"])
	var done sync.WaitGroup
	end := time.Now().Add(slowPlay)
	first := 0
	for _, f := range floods {
		done.Go(func() { f.send(node.address, first, end) })
		first += 100_000_000
	}
	kinds := mixedClients()
	done.Go(func() {
		runSlowClients(node.address, 150, func(i int) slowClient { return kinds[i%len(kinds)] })
	})
	for i := range 12 {
		response := longResponse{[]string{"close", "chunked", "length"}[i%3], "late body", 150_000}
		id := fmt.Sprint("long", i)
		responses.Store(id, response)
		done.Go(func() { checkLongResponse(t, &responses, node.address, "pay", id, response) })
		time.Sleep(200 * time.Millisecond)
	}
	done.Wait()
	check(0)
	node.logUsage(t)
	peakKiB := node.peakKiB(t)
	t.Logf("peak memory %d KiB", peakKiB)
	if peakKiB > leastMemoryMiB<<10 {
		t.Errorf("got a peak of %d KiB of memory, want at most %d MiB", peakKiB, leastMemoryMiB)
	}
}
