package discovery

// This file owns the connections of the calls for one watch, and the one that is answered. It must never read what the watch says, nor
// call again once every call has ended: when is for the caller to know.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

const (
	longestHead = 64 << 10 // of an answer, in bytes
	// Calls of nodes that were cut off together part by up to this part of their gap.
	parts = 8
)

// Call is how a watch is called for.
type Call struct {
	Address, Request             string        // Head is the request
	ConnectTimeout               time.Duration // within which a connection has to stand, and a request to be written
	FirstGap, Gap, RetryInterval time.Duration // see New
	SilenceTimeout               time.Duration // after which a watch is taken to be dead
	OnCall, OnFailure, OnData    func()        // at each connection; where one call has failed and another goes on; with each word of the watch
}

// Watch is what an answered call says. A read waits for Silence at most and fails with os.ErrDeadlineExceeded then.
type Watch struct {
	conn    net.Conn
	body    *bufio.Reader
	silence time.Duration
	said    func()
	left    func() bool
	ended   error
}

func (w *Watch) Read(p []byte) (n int, err error) {
	w.conn.SetReadDeadline(time.Now().Add(w.silence))
	if n, err = w.body.Read(p); n > 0 {
		w.said()
	}
	w.ended = err
	return n, err
}

// Ended is what the last read failed with, if it did.
func (w *Watch) Err() error { return w.ended }

// Close ends the watch.
func (w *Watch) Close() error {
	w.left()
	return w.conn.Close()
}

// reply is how far a call has come.
type reply struct {
	id   int
	how  step
	c    net.Conn      // connected
	said *bufio.Reader // speaks: what the watch says
	err  error         // unconnected, ended
}

type step int

const (
	connected step = iota
	unconnected
	begun  // its head is there
	speaks // and something after it
	ended
)

// Answered opens calls until one speaks, and closes the others. One that waits is kept: who calls anew begins at the queue's end. It fails
// with the last call's error once none is out, and with the place's once that is left.
func (k *Call) Open(place context.Context) (*Watch, error) {
	over, leave := context.WithCancel(place)
	defer leave()
	out, came := map[int]net.Conn{}, make(chan reply)
	defer func() {
		for _, c := range out {
			c.Close()
		}
	}()
	began := time.Now()
	apart := func(gap time.Duration) int64 { return int64(gap) - rand.Int64N(int64(gap)/parts+1) }
	pace := NewPace(0, apart(k.FirstGap), apart(k.Gap), int64(k.RetryInterval))
	due, dials := time.NewTimer(0), false
	defer due.Stop()
	for last := 0; ; {
		select {
		case <-place.Done():
			return nil, place.Err()
		case <-due.C:
			last, dials = last+1, true
			k.OnCall()
			go k.connect(over, last, came)
		case r := <-came:
			now := int64(time.Since(began))
			dials = dials && r.how != connected && r.how != unconnected
			switch r.how {
			case connected:
				if old, any := pace.Opened(now, r.id); any {
					out[old].Close()
					delete(out, old)
				}
				out[r.id] = r.c
				go k.ask(over, r.id, r.c, came)
			case unconnected:
				if len(out) == 0 {
					return nil, r.err
				}
				k.OnFailure()
				pace.Missed(now)
			case begun:
				pace.Head(now, int64(k.SilenceTimeout))
			case speaks:
				if c := out[r.id]; c != nil { // else it was closed as this came
					delete(out, r.id)
					return &Watch{conn: c, body: r.said, silence: k.SilenceTimeout, said: k.OnData, left: context.AfterFunc(place, func() { c.Close() })}, nil
				}
			case ended:
				if out[r.id] == nil {
					continue // closed for another
				}
				out[r.id].Close()
				if delete(out, r.id); !pace.Ended(r.id) {
					return nil, r.err
				}
				k.OnFailure()
			}
			if !dials {
				due.Reset(time.Duration(pace.Due() - now))
			}
		}
	}
}

// connect opens a connection for a call.
func (k *Call) connect(over context.Context, id int, came chan<- reply) {
	dialer := net.Dialer{Timeout: k.ConnectTimeout}
	r := reply{id: id, how: connected}
	if r.c, r.err = dialer.DialContext(over, "tcp", k.Address); r.err != nil {
		r.how = unconnected
	}
	select {
	case came <- r:
	case <-over.Done():
		if r.err == nil {
			r.c.Close()
		}
	}
}

// ask makes a call and tells how far it comes. It waits for as long as the connection stands.
func (k *Call) ask(over context.Context, id int, c net.Conn, came chan<- reply) {
	tell := func(r reply) {
		r.id = id
		select {
		case came <- r:
		case <-over.Done():
		}
	}
	defer func() {
		if broken := recover(); broken != nil { // by what came
			tell(reply{how: ended, err: fmt.Errorf("panic: %v", broken)})
		}
	}()
	c.SetWriteDeadline(time.Now().Add(k.ConnectTimeout))
	if _, err := io.WriteString(c, k.Request); err != nil {
		tell(reply{how: ended, err: err})
		return
	}
	in := &io.LimitedReader{R: c, N: longestHead}
	r, err := http.ReadResponse(bufio.NewReader(in), nil)
	if err == nil && r.StatusCode != http.StatusOK {
		err = fmt.Errorf("discovery answered %s", r.Status)
	}
	if err != nil {
		tell(reply{how: ended, err: err})
		return
	}
	in.N = math.MaxInt64
	tell(reply{how: begun})
	said := bufio.NewReader(r.Body)
	if _, err := said.Peek(1); err != nil {
		tell(reply{how: ended, err: err})
		return
	}
	tell(reply{how: speaks, said: said})
}
