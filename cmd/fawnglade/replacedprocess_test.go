package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// startDyingUpstream starts an upstream that dies after one request, and then a replacement at its address.
func startDyingUpstream(t *testing.T) (address string, died chan struct{}, replacementRuns *atomic.Int64) {
	t.Helper()
	replacementRuns = new(atomic.Int64)
	died = make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address = listener.Addr().String()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		listener.Close()
		replacement, err := net.Listen("tcp", address)
		if err != nil {
			t.Error(err)
			return
		}
		t.Cleanup(func() { replacement.Close() })
		serveHTTP(replacement, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			replacementRuns.Add(1)
			writeText(w, "replacement")
		}))
		conn.(*net.TCPConn).SetLinger(0) // the reset of a process that dies
		conn.Close()
		close(died)
	}()
	return address, died, replacementRuns
}

// Guards against a second run at a process that has replaced another one at its address.
func TestKeyedRequestIsNotRepeatedAtReplacementProcess(t *testing.T) {
	for i := range 5 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			address, died, replacementRuns := startDyingUpstream(t)
			listen := freeAddress(t)
			startProcess(t, playConfig(listen, uploadProfiles, address), listen)
			conn := dialNode(t, listen)
			conn.SetDeadline(time.Now().Add(5 * time.Second))
			writeText(conn, requestHead("POST", "update", "keyed")+"Content-Length: 0\r\n\r\n")
			r, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			<-died
			if r.StatusCode != http.StatusBadGateway || replacementRuns.Load() > 0 {
				t.Errorf("got status %d, %d runs at the replacement, want 502 and none", r.StatusCode, replacementRuns.Load())
			}
		})
	}
}
