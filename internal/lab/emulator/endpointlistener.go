package emulator

// The listeners of emulated endpoints, one for each node, and cutting a node off from an endpoint.

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"fawnglade/internal/lab/faultproxy"
)

// listener is the listener at which one node reaches one endpoint.
type listener struct {
	endpoint   *endpoint
	node       int
	address    string
	advertised string // address in the endpoint list; that of a proxy if the link has faults

	mu           sync.Mutex
	listener     net.Listener
	queueFillers []net.Conn // connections that fill the accept queue while the endpoint is cut off
	conns        map[*connection]struct{}
	cut          atomic.Bool
}

func (l *listener) open() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	ln, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.listener, l.address = ln, ln.Addr().String()
	l.endpoint.run.group.Go(func() error { l.accept(ln); return nil })
	return nil
}

func (l *listener) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		c := &connection{listener: l, conn: conn, isNew: true}
		l.mu.Lock()
		if l.listener != ln {
			l.mu.Unlock()
			reset(conn)
			continue
		}
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		e := l.endpoint
		e.mu.Lock()
		e.model.ConnectionOpened(e.run.now())
		e.connections++
		c.incarnation = e.incarnation
		c.overLimit = e.connections > e.fleet.Connections
		e.mu.Unlock()
		e.wake()
		e.run.group.Go(func() error { c.serve(); return nil })
	}
}

// close closes the listener and resets its connections.
func (l *listener) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		l.listener.Close()
		l.listener = nil
	}
	for c := range l.conns {
		reset(c.conn)
	}
	for _, p := range l.queueFillers {
		p.Close()
	}
	l.queueFillers = nil
	l.cut.Store(false)
}

// cutOff makes the endpoint unreachable for the node: open connections stay open but silent, and connection attempts
// time out. It replaces the listener by one that accepts nothing and whose accept queue is full, so that the kernel
// drops connection attempts.
func (l *listener) cutOff() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil || l.cut.Load() {
		return nil
	}
	l.cut.Store(true)
	l.listener.Close()
	ln, fillers, err := faultproxy.ListenFullBacklog(l.address)
	if err != nil {
		return fmt.Errorf("cutting off %s: %w", l.address, err)
	}
	l.listener, l.queueFillers = ln, fillers
	return nil
}

// reconnect makes the endpoint reachable again and resets the open connections.
func (l *listener) reconnect() error {
	if !l.cut.Load() {
		return nil
	}
	l.close()
	return l.open()
}
