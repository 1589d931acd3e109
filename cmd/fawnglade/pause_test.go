package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// A process is stopped (SIGSTOP) while its clients disconnect. Their requests are not yet read, pipelined behind
// others, or in flight at an upstream that fails in the meantime. After SIGCONT the node must not begin attempts for
// them.
func TestNoAttemptsForClientsThatLeftWhileStopped(t *testing.T) {
	failUpstreams := make(chan struct{})
	var attempts, continuedAt atomic.Int64
	serve := func(c net.Conn) {
		for in := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			id := r.Header.Get("X-Txn")
			if strings.HasPrefix(id, "last") {
				writeText(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			if attempts.Add(1) > 6 {
				t.Logf("unexpected attempt %q %v, %v after SIGCONT", id, r.URL, time.Since(time.Unix(0, continuedAt.Load())))
			}
			<-failUpstreams
			writeText(c, "HTTP/1.1 500 Bad\r\nContent-Length: 0\r\n\r\n")
		}
	}
	var upstreams []string
	for range 20 { // enough that most have not failed a request
		upstreams = append(upstreams, startTCPServer(t, serve))
	}
	listen := freeAddress(t)
	node := startLimitedNode(t, 1024, "ask", listen, "127.0.0.1:1", t.TempDir(), nil, upstreams)
	request := func(id string) string { return "GET /view HTTP/1.1\r\nHost: h\r\nX-Txn: " + id + "\r\n\r\n" }
	connect := func(text string) net.Conn {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		writeText(c, text)
		return c
	}
	disconnect := func(i int, c net.Conn) {
		switch i % 3 {
		case 0:
			c.Close()
		case 1:
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		default:
			c.(*net.TCPConn).CloseWrite()
		}
	}
	var clients []net.Conn
	for i := range 6 {
		clients = append(clients, connect(request(fmt.Sprint("out", i)))) // in flight at an upstream
	}
	eventually(t, "all requests are in flight", func() bool { return attempts.Load() == 6 })
	sendSignal(t, node.Cmd, syscall.SIGSTOP)
	eventually(t, "the process is stopped", func() bool { return isStopped(node.Process.Pid) })
	close(failUpstreams)
	var pipelined strings.Builder
	for i := range 40 {
		pipelined.WriteString(request(fmt.Sprint("many", i)))
	}
	for i := range 6 {
		clients = append(clients, connect(request(fmt.Sprint("door", i))),
			connect(strings.ReplaceAll(pipelined.String(), "many", fmt.Sprint("many", i, "-"))))
	}
	time.Sleep(100 * time.Millisecond) // the failures reach the node before the clients disconnect
	for i, c := range clients {
		disconnect(i/2, c)
	}
	eventually(t, "all disconnects have reached the node", func() bool { return establishedConns(t, listen) == 0 })
	time.Sleep(150 * time.Millisecond)
	continuedAt.Store(time.Now().UnixNano())
	sendSignal(t, node.Cmd, syscall.SIGCONT)
	eventually(t, "a response to a new client", func() bool {
		_, status := sendViewRequest(listen, fmt.Sprint("last", time.Now().UnixNano()))
		return status == 200
	})
	sendSignal(t, node.Cmd, syscall.SIGTERM)
	if err := node.Wait(); err != nil {
		t.Errorf("the node exited with %v, want exit code 0", err)
	}
	if attempts.Load() != 6 {
		t.Errorf("got %d attempts, want only the 6 from before SIGSTOP", attempts.Load())
	}
}

// isStopped reports whether all threads of a process are stopped.
func isStopped(pid int) bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, thread := range threads {
		text, _ := os.ReadFile(thread)
		if _, state, _ := strings.Cut(string(text), ") "); !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return err == nil && len(threads) > 0
}

// establishedConns returns the number of connections to an address that the kernel lists as established.
func establishedConns(t *testing.T, address string) (n int) {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	port := netip.MustParseAddrPort(address).Port()
	for line := range strings.Lines(string(text)) {
		const established = "01"
		f := strings.Fields(line)
		if len(f) > 3 && strings.HasSuffix(f[1], fmt.Sprintf(":%04X", port)) && f[3] == established {
			n++
		}
	}
	return n
}
