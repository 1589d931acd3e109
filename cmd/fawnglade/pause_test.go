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

// A process that is stopped while its clients leave, with their requests not yet read, behind others, or in flight at
// an upstream that has failed meanwhile, begins no attempt for them when it is continued.
func TestNoAttemptsForClientsThatLeftWhileStopped(t *testing.T) {
	fail := make(chan struct{})
	var begun, continued atomic.Int64
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
			if begun.Add(1) > 6 {
				t.Logf("%q %v, %v after it was continued", id, r.URL, time.Since(time.Unix(0, continued.Load())))
			}
			<-fail
			writeText(c, "HTTP/1.1 500 Bad\r\nContent-Length: 0\r\n\r\n")
		}
	}
	var servers []string
	for range 20 { // so that most have failed no request
		servers = append(servers, startTCPServer(t, serve))
	}
	listen := freeAddress(t)
	node := startLimitedNode(t, 1024, "ask", listen, "127.0.0.1:1", t.TempDir(), nil, servers)
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
	leave := func(i int, c net.Conn) {
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
	eventually(t, "all in flight", func() bool { return begun.Load() == 6 })
	sendSignal(t, node.Cmd, syscall.SIGSTOP)
	eventually(t, "the process to stop", func() bool { return isStopped(node.Process.Pid) })
	close(fail)
	var many strings.Builder
	for i := range 40 {
		many.WriteString(request(fmt.Sprint("many", i)))
	}
	for i := range 6 {
		clients = append(clients, connect(request(fmt.Sprint("door", i))),
			connect(strings.ReplaceAll(many.String(), "many", fmt.Sprint("many", i, "-"))))
	}
	time.Sleep(100 * time.Millisecond) // the failures are at the node before the ends are
	for i, c := range clients {
		leave(i/2, c)
	}
	eventually(t, "all ends to reach the node", func() bool { return establishedConns(t, listen) == 0 })
	time.Sleep(150 * time.Millisecond)
	continued.Store(time.Now().UnixNano())
	sendSignal(t, node.Cmd, syscall.SIGCONT)
	eventually(t, "an answer for a client that came last", func() bool {
		_, status := sendViewRequest(listen, fmt.Sprint("last", time.Now().UnixNano()))
		return status == 200
	})
	sendSignal(t, node.Cmd, syscall.SIGTERM)
	if err := node.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
	if begun.Load() != 6 {
		t.Errorf("%d attempts began, want the 6 from before the stop", begun.Load())
	}
}

// isStopped reports whether all threads of a process are stopped.
func isStopped(pid int) bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, one := range threads {
		text, _ := os.ReadFile(one)
		if _, state, _ := strings.Cut(string(text), ") "); !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return err == nil && len(threads) > 0
}

// establishedConns is how many connections to an address neither side has ended, as far as the kernel knows.
func establishedConns(t *testing.T, at string) (n int) {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	port := netip.MustParseAddrPort(at).Port()
	for line := range strings.Lines(string(text)) {
		const established = "01"
		f := strings.Fields(line)
		if len(f) > 3 && strings.HasSuffix(f[1], fmt.Sprintf(":%04X", port)) && f[3] == established {
			n++
		}
	}
	return n
}
