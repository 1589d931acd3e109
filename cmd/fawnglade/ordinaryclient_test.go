package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"
)

// maxDoorCloses is how often in a row a node may close a connection that crosses a request, which it has not read.
const maxDoorCloses = 3

// forwardedIDs has the IDs of the requests that have reached the upstreams of the plays.
var forwardedIDs sync.Map

// ordinaryClient sends a request every 20 ms on one connection, and counts what comes of them.
type ordinaryClient struct {
	address  string
	name     string
	deadline time.Duration // of its requests

	conn         net.Conn // nil: none
	in           *bufio.Reader
	sent, served int
	doorCloses   int           // requests whose connection was closed before the node had read them
	longest      time.Duration // that a request waited for its answer
	lost         []string
}

// run sends until stop is closed.
func (c *ordinaryClient) run(stop <-chan struct{}) {
	defer c.disconnect()
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		c.sent++
		for range maxDoorCloses {
			if c.send(fmt.Sprint(c.name, "-", c.sent, "-", c.doorCloses)) {
				break
			}
		}
	}
}

func (c *ordinaryClient) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// send sends a request and reports false if its connection was closed and it may be sent once more.
func (c *ordinaryClient) send(id string) bool {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			return false
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	sentAt := time.Now()
	response, err := c.request(id)
	took := time.Since(sentAt)
	c.longest = max(c.longest, took)
	if err != nil {
		c.disconnect()
		return !c.crossed(id, err)
	}
	if response.Close {
		c.disconnect()
	}
	if response.StatusCode == http.StatusOK && took <= c.deadline {
		c.served++
	}
	return true
}

// crossed reports whether a request without an answer met the close of its connection and was not read. Else it is lost.
func (c *ordinaryClient) crossed(id string, err error) bool {
	_, forwarded := forwardedIDs.Load(id)
	if forwarded || errors.Is(err, os.ErrDeadlineExceeded) {
		c.lost = append(c.lost, fmt.Sprintf("%s: %v, forwarded: %t", id, err, forwarded))
		return false
	}
	c.doorCloses++
	return true
}

// request sends a request and waits for its answer until it would be lost.
func (c *ordinaryClient) request(id string) (*http.Response, error) {
	c.conn.SetDeadline(time.Now().Add(c.deadline + uploadGrace))
	writef(c.conn, "%sX-Remaining-Ms: %d\r\n\r\n", requestHead("GET", "view", id), c.deadline.Milliseconds())
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

// checkOrdinaryClients checks that no request was lost, and that a share of them was served in time.
func checkOrdinaryClients(t *testing.T, clients []*ordinaryClient, wantServed float64) {
	t.Helper()
	sent, served, doorCloses, longest := 0, 0, 0, time.Duration(0)
	for _, c := range clients {
		sent += c.sent
		served += c.served
		longest = max(longest, c.longest)
		doorCloses += c.doorCloses
		for _, text := range c.lost {
			t.Errorf("an ordinary request got no answer in time: %s", text)
		}
	}
	if float64(served) < wantServed*float64(sent) || sent == 0 {
		t.Errorf("got %d of %d ordinary requests served in time, want %.0f%%", served, sent, 100*wantServed)
	}
	if doorCloses > sent/10 {
		t.Errorf("got %d connections closed on unread ones of %d ordinary requests, want a tenth at most", doorCloses, sent)
	}
	t.Logf("%d ordinary requests, %d served, %d met a close, the longest took %v", sent, served, doorCloses, longest)
}

// startOrdinaryClients starts clients, and returns a function that ends and checks them.
func startOrdinaryClients(
	t *testing.T, address string, count int, deadline time.Duration,
) (check func(wantServed float64)) {
	stop := make(chan struct{})
	var done sync.WaitGroup
	var clients []*ordinaryClient
	for i := range count {
		c := &ordinaryClient{address: address, deadline: deadline, name: fmt.Sprintf("ordinary%d-%x", i, rand.Uint32())}
		clients = append(clients, c)
		done.Go(func() { c.run(stop) })
	}
	return func(wantServed float64) {
		t.Helper()
		close(stop)
		done.Wait()
		checkOrdinaryClients(t, clients, wantServed)
	}
}
