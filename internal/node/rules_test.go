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

// With upstreams that fail in every way and clients that leave: each client that stays gets one response, its own; a
// non-idempotent request runs once at most; and where a rejection says that nothing ran, nothing did.
func TestInvariantsOnSockets(t *testing.T) {
	var mu sync.Mutex
	runs := map[string]int{}
	dice := rand.New(rand.NewPCG(1, 2))
	behave := func(c net.Conn, r *http.Request, body string) bool {
		id := r.Header.Get(headerRequestID)
		mu.Lock()
		how := dice.IntN(60)
		if how > 2 {
			runs[id]++
		}
		mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		switch how {
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
	var servers []string
	for range 4 {
		address, _ := startUpstream(t, behave)
		servers = append(servers, address)
	}
	patient := strings.NewReplacer("300000", "2000000", "800000", "3000000").Replace(settingsText)
	n := startNode(t, func(c *Config) { c.Settings = json.RawMessage(patient) }, append(servers, "127.0.0.1:1")...)
	var done sync.WaitGroup
	answers := make([]int, 400)
	class := func(i int) string { return []string{"pay", "update", "view", "pay"}[i%4] }
	for i := range answers {
		id := fmt.Sprint("t", i)
		done.Go(func() {
			c, in := dial(t, n)
			defer c.Close()
			writeText(c, requestText(class(i), id, "b"))
			if i%10 == 9 {
				time.Sleep(time.Duration(i) * 100 * time.Microsecond)
				return
			}
			status, body, _ := readResponse(in)
			if answers[i] = status; status == 200 && body != "/"+class(i)+" "+id+" b" {
				t.Errorf("%s got the answer %q", id, body)
			}
			c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			if more, _ := in.ReadByte(); more != 0 {
				t.Errorf("%s got more than one answer", id)
			}
		})
		if i%8 == 7 {
			time.Sleep(5 * time.Millisecond)
		}
	}
	done.Wait()
	eventually(t, "the end of all that was taken", func() bool {
		left := make(chan int)
		n.loop.post(func() { left <- len(n.loop.requests) })
		return <-left == 0
	})
	mu.Lock()
	defer mu.Unlock()
	kinds := map[int]int{}
	for i, status := range answers {
		id, c := fmt.Sprint("t", i), class(i)
		kinds[status]++
		if i%10 != 9 && status != 200 && status != 502 && status != 503 {
			t.Errorf("%s was answered %d", id, status)
		}
		ranTwice := c == "pay" && runs[id] > 1
		ranThoughRejected := c != "view" && status == 503 && runs[id] > 0
		if ranTwice || ranThoughRejected || status == 200 && runs[id] == 0 {
			t.Errorf("%s (%s) was answered %d and ran %d times", id, c, status, runs[id])
		}
	}
	if kinds[200] < 20 || kinds[502]+kinds[503] < 5 {
		t.Errorf("too few of a kind to tell anything: %v", kinds)
	}
}
