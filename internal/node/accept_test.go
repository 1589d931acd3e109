package node

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// A node that stops takes what its machine has accepted, also where that has to wait for room.
func TestStopTakesWhatTheMachineHasAccepted(t *testing.T) {
	answers := newGate(t)
	server, _ := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
		answers.wait()
		return echo(c, r, body)
	})
	n := startNode(t, nil, server)
	n.frontend.setLimits(1, 0, 100)
	var ins []*bufio.Reader
	for i := range 5 { // one at work, one at the door, three in the machine
		c, in := dial(t, n)
		ins = append(ins, in)
		writeText(c, requestText("batch", fmt.Sprint("t", i), ""))
		eventually(t, "the first at work and the second at the door", func() bool { return int(n.count(clientsAccepted)) == min(i+1, 2) })
	}
	answers.held(t, 1)
	stopped := make(chan struct{})
	go func() { n.shutDown(); close(stopped) }()
	eventually(t, "the end of taking", n.frontend.draining.Load)
	answers.pass()
	for i, in := range ins {
		if status, body, _ := readAnswer(in); status != 200 {
			t.Errorf("task %d was answered %d %s", i, status, body)
		}
	}
	<-stopped
	if c, err := net.Dial("tcp", n.address()); err == nil {
		c.Close()
		t.Error("it still listens")
	}
}

// The socket that processes share turns blocking while one stands before its next accept: the end of taking reaches it all the same.
func TestSharedSocketTurnsBlocking(t *testing.T) {
	server, _ := startUpstream(t, echo)
	n := processes(t, server)()
	n.start()
	raw, err := n.frontend.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	held := -1
	raw.Control(func(fd uintptr) {
		held, _ = syscall.Dup(int(fd))
		syscall.SetNonblock(held, false) // and with it all that stand for the socket
	})
	defer syscall.Close(held)
	ask(t, n, "batch", "t", "") // the accept behind this one stands in the machine
	stopped := make(chan struct{})
	go func() { n.shutDown(); close(stopped) }()
	select {
	case <-stopped:
	case <-time.After(10 * time.Second):
		t.Error("the stop stands behind an accept")
	}
	over := make(chan bool, 1)
	n.loop.post(func() { over <- n.loop.stopping })
	if <-over {
		t.Error("the stop ended only by giving up")
	}
	syscall.SetNonblock(held, true) // and the accept is let go, for the end of the test
	if c, err := net.Dial("tcp", n.address()); err == nil {
		c.Close()
	}
}
