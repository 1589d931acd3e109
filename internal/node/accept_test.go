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

// A node that shuts down takes the connections that the kernel has accepted, also where they have to wait for a slot.
func TestShutdownTakesAcceptedConnections(t *testing.T) {
	responseGate := newGate(t)
	upstream, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		responseGate.wait()
		return echo(c, r, body)
	})
	n := startNode(t, nil, upstream)
	n.frontend.setLimits(1, 0, 100)
	var readers []*bufio.Reader
	for i := range 5 { // one served, one waiting for a slot, three in the kernel
		c, in := dial(t, n)
		readers = append(readers, in)
		writeText(c, requestText("batch", fmt.Sprint("t", i), ""))
		eventually(t, "the first to be served and the second to wait", func() bool {
			return int(n.count(clientsAccepted)) == min(i+1, 2)
		})
	}
	responseGate.awaitArrivals(t, 1)
	stopped := make(chan struct{})
	go func() { n.shutDown(); close(stopped) }()
	eventually(t, "the listener to drain", n.frontend.draining.Load)
	responseGate.release()
	for i, in := range readers {
		if status, body, _ := readResponse(in); status != 200 {
			t.Errorf("request %d was answered %d %s", i, status, body)
		}
	}
	<-stopped
	if c, err := net.Dial("tcp", n.address()); err == nil {
		c.Close()
		t.Error("it still listens")
	}
}

// The socket that processes share may become a blocking one before the next accept: the shutdown still ends.
func TestShutdownEndsWithBlockingListener(t *testing.T) {
	upstream, _ := startUpstream(t, echo)
	n := processes(t, upstream)()
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
	setNonblock := func(nonblocking bool) { // of all descriptors of the socket
		t.Helper()
		if err := syscall.SetNonblock(duplicate, nonblocking); err != nil {
			t.Error(err)
		}
	}
	setNonblock(false)
	sendRequest(t, n, "batch", "t", "") // the next accept blocks in the kernel
	stopped := make(chan struct{})
	go func() { n.shutDown(); close(stopped) }()
	select {
	case <-stopped:
	case <-time.After(10 * time.Second):
		t.Error("the shutdown waits for an accept")
	}
	rejecting := make(chan bool, 1)
	n.loop.post(func() { rejecting <- n.loop.rejectsNewRequests })
	if <-rejecting {
		t.Error("the shutdown ended only by giving up")
	}
	setNonblock(true) // and the accept is let go, for the end of the test
	if c, err := net.Dial("tcp", n.address()); err == nil {
		c.Close()
	}
}
