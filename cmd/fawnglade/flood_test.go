package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	floodPlay     = 1200 * time.Millisecond
	floodPart     = 64 // requests in one write
	floodGrowthKB = 8 << 10
)

// flood is a kind of request that is sent at full speed.
type flood struct {
	request func(id int) string
}

var floods = map[string]flood{
	"readiness": {request: func(int) string { return "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n" }},
	"valid":     {request: func(i int) string { return requestHead("GET", "view", fmt.Sprint("f", i)) + "\r\n" }},
	"unsafe": {request: func(i int) string {
		return requestHead("POST", "pay", fmt.Sprint("f", i)) + "Content-Length: 1\r\n\r\nx"
	}},
	"same id": {request: func(int) string { return requestHead("GET", "view", "always") + "\r\n" }},
	"no id":   {request: func(int) string { return "GET /view HTTP/1.1\r\nHost: h\r\n\r\n" }},
	"new classes": {request: func(i int) string {
		return requestHead("GET", fmt.Sprint("view", i), fmt.Sprint("f", i)) + "\r\n"
	}},
	"new tenants": {request: func(i int) string {
		return requestHead("GET", "view", fmt.Sprint("f", i)) + fmt.Sprintf("X-Org: org%d\r\n\r\n", i)
	}},
	"new fields": {request: func(i int) string {
		return requestHead("GET", "view", fmt.Sprint("f", i)) + fmt.Sprintf("X-F%d: %d\r\nCookie: k%d=%d\r\n\r\n", i, i, i, i)
	}},
	"new paths": {request: func(i int) string {
		return requestHead("GET", fmt.Sprintf("view/%d?q=%d", i, i), fmt.Sprint("f", i)) + "\r\n"
	}},
	"bad deadlines": {request: func(i int) string {
		return requestHead("GET", "view", fmt.Sprint("f", i)) + "X-Remaining-Ms: -1\r\n\r\n"
	}},
	"no time left": {request: func(i int) string {
		return requestHead("GET", "view", fmt.Sprint("f", i)) + "X-Remaining-Ms: 0\r\n\r\n"
	}},
	"empty lines": {request: func(int) string { return strings.Repeat("\r\n", 32) }},
	"noise":       {request: func(i int) string { return fmt.Sprintf("%d\x00\xff:\r\n\r\n", i) }},
	"bad lengths": {request: func(i int) string {
		return requestHead("POST", "view", fmt.Sprint("f", i)) + "Content-Length: -1\r\n\r\n"
	}},
}

// send sends the flood until the end, on one connection after another if the node closes them. It reads what it is sent.
func (f flood) send(address string, first int, end time.Time) (sent int) {
	for time.Now().Before(end) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		conn.SetDeadline(end)
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		for err == nil {
			var part strings.Builder
			for range floodPart {
				part.WriteString(f.request(first + sent))
				sent++
			}
			_, err = io.WriteString(conn, part.String())
		}
		conn.Close()
	}
	return sent
}

// Guards against one client that sends at full speed and so delays the answers to others, or makes memory grow.
func TestFloodOnOneConnectionDelaysNoOtherClient(t *testing.T) {
	for name, f := range floods {
		t.Run(name, func(t *testing.T) { playFloods(t, 1, func(int) flood { return f }) })
	}
}

// Guards against late answers while several clients send at full speed under ever new names.
func TestFloodsOnSeveralConnectionsDelayNoOtherClient(t *testing.T) {
	for name, f := range floods {
		t.Run(name, func(t *testing.T) { playFloods(t, 8, func(int) flood { return f }) })
	}
	var mixed []flood
	for _, f := range floods {
		mixed = append(mixed, f)
	}
	t.Run("all at once", func(t *testing.T) {
		playFloods(t, len(mixed), func(i int) flood { return mixed[i] })
	})
}

func playFloods(t *testing.T, count int, kind func(i int) flood) {
	var upstreams []string
	for range 4 {
		upstreams = append(upstreams, startLongUpstream(t))
	}
	node := startMemoryNode(t, strictProfiles, upstreams...)
	check := startOrdinaryClients(t, node.address, 8, strictDeadlines["view"])
	var done sync.WaitGroup
	end := time.Now().Add(floodPlay)
	var mu sync.Mutex
	total := 0
	halfway := 0
	time.AfterFunc(floodPlay/2, func() {
		mu.Lock()
		defer mu.Unlock()
		halfway = node.peakKiB(t)
	})
	for i := range count {
		done.Go(func() {
			sent := kind(i).send(node.address, i*100_000_000, end)
			mu.Lock()
			defer mu.Unlock()
			total += sent
		})
	}
	done.Wait()
	check(0.5)
	mu.Lock()
	defer mu.Unlock()
	peakKiB := node.peakKiB(t)
	t.Logf("%d requests at full speed, memory %d KiB halfway, peak %d KiB", total, halfway, peakKiB)
	if peakKiB > leastMemoryMiB<<10 || peakKiB-halfway > floodGrowthKB {
		t.Errorf("got a peak of %d KiB of memory after %d KiB halfway, want at most %d MiB and no growth",
			peakKiB, halfway, leastMemoryMiB)
	}
}
