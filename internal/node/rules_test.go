package node

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Checks the invariants with upstreams that reject requests, fail or respond late, and clients that close early: each
// client that waits gets exactly one response, its own; a non-idempotent request runs at most once; and a rejected
// request has not run, unless it is idempotent.
func TestInvariantsOnSockets(t *testing.T) {
	var mu sync.Mutex
	runs := map[string]int{}
	draws := rand.New(rand.NewPCG(1, 2))
	respond := func(c net.Conn, r *http.Request, body string) bool {
		id := r.Header.Get(headerRequestID)
		mu.Lock()
		behavior := draws.IntN(60)
		if behavior > 2 {
			runs[id]++
		}
		mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		switch behavior {
		case 0:
			return writeResponse(c, "503 No\r\nX-Turned-Away: 1", "")
		case 1:
			return writeResponse(c, "504 Over\r\nX-Turned-Away: 1\r\nConnection: close", "") && false
		case 2:
			writeResponse(c, "503 No\r\nX-Turned-Away: 1", "")
			return false
		case 3:
			return writeResponse(c, "500 Bad", "")
		case 4:
			return false
		case 5:
			c.(*net.TCPConn).SetLinger(0)
			return false
		case 6:
			writeText(c, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf")
			return false
		case 7:
			time.Sleep(60 * time.Millisecond)
		case 8:
			return writeResponse(c, "503 No", "")
		}
		return echo(c, r, body)
	}
	var upstreamAddrs []string
	for range 4 {
		address, _ := startUpstream(t, respond)
		upstreamAddrs = append(upstreamAddrs, address)
	}
	longDeadlines := strings.NewReplacer("300000", "2000000", "800000", "3000000").Replace(settingsText)
	n := startNode(t, func(c *Config) { c.Settings = json.RawMessage(longDeadlines) }, append(upstreamAddrs, "127.0.0.1:1")...)
	var clients sync.WaitGroup
	statuses := make([]int, 400)
	class := func(i int) string { return []string{"pay", "update", "view", "pay"}[i%4] }
	for i := range statuses {
		id := fmt.Sprint("t", i)
		clients.Go(func() {
			c, in := dial(t, n)
			defer c.Close()
			writeText(c, requestText(class(i), id, "b"))
			if i%10 == 9 {
				time.Sleep(time.Duration(i) * 100 * time.Microsecond)
				return
			}
			status, body, _ := readResponse(in)
			if statuses[i] = status; status == 200 && body != "/"+class(i)+" "+id+" b" {
				t.Errorf("request %s: got body %q, want its own echo", id, body)
			}
			c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			if extra, _ := in.ReadByte(); extra != 0 {
				t.Errorf("request %s: got more than one response, want 1", id)
			}
		})
		if i%8 == 7 {
			time.Sleep(5 * time.Millisecond)
		}
	}
	clients.Wait()
	eventually(t, "all accepted requests have ended", func() bool {
		remaining := make(chan int)
		n.loop.post(func() { remaining <- len(n.loop.requests) })
		return <-remaining == 0
	})
	mu.Lock()
	defer mu.Unlock()
	statusCounts := map[int]int{}
	for i, status := range statuses {
		id, c := fmt.Sprint("t", i), class(i)
		statusCounts[status]++
		if i%10 != 9 && status != 200 && status != 502 && status != 503 {
			t.Errorf("request %s: got status %d, want 200, 502 or 503", id, status)
		}
		ranTwice := c == "pay" && runs[id] > 1
		ranAlthoughRejected := c != "view" && status == 503 && runs[id] > 0
		if ranTwice || ranAlthoughRejected || status == 200 && runs[id] == 0 {
			t.Errorf("request %s of class %s: got status %d and %d executions, want at most 1 for pay, 0 after 503 except for view, at least 1 with 200",
				id, c, status, runs[id])
		}
	}
	if statusCounts[200] < 20 || statusCounts[502]+statusCounts[503] < 5 {
		t.Errorf("got responses by status %v, want at least 20 with 200 and 5 with 502 or 503", statusCounts)
	}
}
