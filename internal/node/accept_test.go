package node

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// Guards against resetting connections in the listen backlog during a shutdown, with requests already written: they are
// accepted and answered even if they have to wait for a slot.
func TestShutdownTakesAcceptedConnections(t *testing.T) {
	responseGate := newGate(t)
	upstream, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		responseGate.wait()
		return echo(c, r, body)
	})
	n := startNode(t, nil, upstream)
	n.frontend.setLimits(1, 0, 100)
	var readers []*bufio.Reader
	for i := range 5 { // one served, one waiting for a slot, three in the listen backlog
		c, in := dial(t, n)
		readers = append(readers, in)
		writeText(c, requestText("batch", fmt.Sprint("t", i), ""))
		eventually(t, "the node has accepted min(i+1, 2) connections", func() bool {
			return int(n.count(clientsAccepted)) == min(i+1, 2)
		})
	}
	responseGate.awaitArrivals(t, 1)
	stopped := make(chan struct{})
	go func() { n.shutDown(); close(stopped) }()
	eventually(t, "the listener is draining", n.frontend.draining.Load)
	responseGate.release()
	for i, in := range readers {
		if status, body, _ := readResponse(in); status != 200 {
			t.Errorf("request %d: got status %d, body %q, want status 200", i, status, body)
		}
	}
	<-stopped
	if c, err := net.Dial("tcp", n.address()); err == nil {
		c.Close()
		t.Error("connecting after the shutdown succeeded, want an error: the listener is still open")
	}
}

// Guards against a shutdown that waits for an accept blocked in the kernel. That happens if another process that shares
// the socket switches it to blocking mode.
func TestShutdownEndsWithBlockingListener(t *testing.T) {
	upstream, _ := startUpstream(t, echo)
	n := newProcessFactory(t, upstream)()
	n.start()
	raw, err := n.frontend.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	duplicate := -1
	var dupErr error
	err = raw.Control(func(fd uintptr) {
		duplicate, dupErr = syscall.Dup(int(fd))
	})
	if err = errors.Join(err, dupErr); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Close(duplicate) }()
	setNonblock := func(nonblocking bool) { // applies to all descriptors of the socket
		t.Helper()
		if err := syscall.SetNonblock(duplicate, nonblocking); err != nil {
			t.Error(err)
		}
	}
	setNonblock(false)
	sendRequest(t, n, "batch", "t", "") // after this connection the next accept blocks in the kernel
	stopped := make(chan struct{})
	go func() { n.shutDown(); close(stopped) }()
	select {
	case <-stopped:
	case <-time.After(10 * time.Second):
		t.Error("shutdown not done after 10 s, it waits for the blocked accept")
	}
	rejecting := make(chan bool, 1)
	n.loop.post(func() { rejecting <- n.loop.rejectsNewRequests })
	if <-rejecting {
		t.Error("shutdown ended only by its timeout: rejectsNewRequests is true, want false")
	}
	setNonblock(true) // unblocks the accept, so that the test can end
	if c, err := net.Dial("tcp", n.address()); err == nil {
		c.Close()
	}
}
