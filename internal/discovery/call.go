package discovery

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
	maxHeadBytes  = 64 << 10 // of a response head, status line included
	jitterDivisor = 8        // gaps are randomly shortened by up to 1/jitterDivisor, so that nodes do not call in step
)

// Call configures how a watch is opened. The callbacks run on the goroutines of Open and of the watch's reader.
type Call struct {
	Address string // address and port of discovery
	Request string // the HTTP request up to and including the empty line

	ConnectTimeout time.Duration // for opening a connection, and for writing the request
	FirstGap       time.Duration // between the first call and a second one in parallel
	SecondGap      time.Duration // between the second call and a third, which closes a waiting one; 0: Gap
	Gap            time.Duration // the unit of later gaps, which are multiples of it
	RetryInterval  time.Duration // after the first failed dial; it doubles with each further one
	SilenceTimeout time.Duration // without data, after which a watch is considered dead

	OnCall    func() // before a connection is dialed
	OnFailure func() // after a call has failed while another is in flight
	OnData    func() // after the watch has received data
}

// Watch is an open watch. Reads fail with os.ErrDeadlineExceeded after Call.SilenceTimeout without data.
type Watch struct {
	conn           net.Conn
	body           *bufio.Reader
	silenceTimeout time.Duration
	onData         func()
	stopContext    func() bool
	err            error
}

// Read reads from the body of the watch's response.
func (w *Watch) Read(p []byte) (n int, err error) {
	w.conn.SetReadDeadline(time.Now().Add(w.silenceTimeout))
	n, err = w.body.Read(p)
	if n > 0 {
		w.onData()
	}
	w.err = err
	return n, err
}

// Err returns the error of the last Read.
func (w *Watch) Err() error { return w.err }

// Close closes the watch and its connection.
func (w *Watch) Close() {
	w.stopContext()
	w.conn.Close()
}

// eventKind is the kind of an event of a call.
type eventKind int

const (
	connected eventKind = iota
	connectFailed
	headReceived
	bodyStarted
	callFailed
)

// event reports the progress of one call.
type event struct {
	callID int
	kind   eventKind
	conn   net.Conn      // set for connected
	body   *bufio.Reader // set for bodyStarted
	err    error         // set for connectFailed and callFailed
}

// opening is the state of one call of Open.
type opening struct {
	call      *Call
	ctx       context.Context // canceled when Open returns
	startedAt time.Time
	pacer     *Pacer
	conns     map[int]net.Conn // connections of the calls in flight, by call ID
	events    chan event
}

// Open makes calls until the body of one response starts, returns that as the watch and closes the other calls. A
// waiting call is kept while further ones are made, since a new call starts at the end of discovery's queue. Open
// returns the error of the last call once no call is in flight, and the context's error once the context is done.
func (c *Call) Open(ctx context.Context) (*Watch, error) {
	openCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	o := &opening{
		call:      c,
		ctx:       openCtx,
		startedAt: time.Now(),
		pacer:     NewPacer(0, withJitter(c.FirstGap), withJitter(c.Gap), int64(c.RetryInterval)),
		conns:     map[int]net.Conn{},
		events:    make(chan event),
	}
	if c.SecondGap > 0 {
		o.pacer.secondGap = withJitter(c.SecondGap)
	}
	defer o.closeAll()
	timer := time.NewTimer(0)
	defer timer.Stop()
	lastID, connecting := 0, false
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timer.C:
			lastID++
			connecting = true
			c.OnCall()
			go o.connect(lastID)
			continue
		case e := <-o.events:
			if e.kind == connected || e.kind == connectFailed {
				connecting = false
			}
			conn, err := o.handle(e)
			if err != nil {
				return nil, err
			}
			if conn != nil {
				return c.newWatch(ctx, conn, e.body), nil
			}
		}
		if !connecting {
			timer.Reset(time.Duration(o.pacer.Due() - o.now()))
		}
	}
}

func withJitter(gap time.Duration) int64 { return int64(gap) - rand.Int64N(int64(gap)/jitterDivisor+1) }

// now returns the pacer's time: nanoseconds since Open was called.
func (o *opening) now() int64 { return int64(time.Since(o.startedAt)) }

func (o *opening) closeAll() {
	for _, conn := range o.conns {
		conn.Close()
	}
}

// handle processes an event. It returns the connection of a call whose body has started, or the error of the last call.
func (o *opening) handle(e event) (watchConn net.Conn, err error) {
	now := o.now()
	switch e.kind {
	case connected:
		if replaced, ok := o.pacer.ConnectionOpened(now, e.callID); ok {
			o.closeCall(replaced)
		}
		o.conns[e.callID] = e.conn
		go o.request(e.callID, e.conn)
	case connectFailed:
		if len(o.conns) == 0 {
			return nil, e.err
		}
		o.call.OnFailure()
		o.pacer.DialFailed(now)
	case headReceived:
		o.pacer.HeadReceived(now, int64(o.call.SilenceTimeout))
	case bodyStarted:
		watchConn = o.conns[e.callID] // nil if the call was replaced in the meantime
		delete(o.conns, e.callID)
	case callFailed:
		if o.conns[e.callID] == nil {
			return nil, nil // the call was replaced
		}
		o.closeCall(e.callID)
		if !o.pacer.CallEnded(e.callID) {
			return nil, e.err
		}
		o.call.OnFailure()
	}
	return watchConn, nil
}

func (o *opening) closeCall(id int) {
	o.conns[id].Close()
	delete(o.conns, id)
}

func (c *Call) newWatch(ctx context.Context, conn net.Conn, body *bufio.Reader) *Watch {
	return &Watch{
		conn:           conn,
		body:           body,
		silenceTimeout: c.SilenceTimeout,
		onData:         c.OnData,
		stopContext:    context.AfterFunc(ctx, func() { conn.Close() }),
	}
}

// connect opens the connection of a call.
func (o *opening) connect(id int) {
	dialer := net.Dialer{Timeout: o.call.ConnectTimeout}
	conn, err := dialer.DialContext(o.ctx, "tcp", o.call.Address)
	e := event{callID: id, kind: connected, conn: conn}
	if err != nil {
		e = event{callID: id, kind: connectFailed, err: err}
	}
	select {
	case o.events <- e:
	case <-o.ctx.Done():
		if err == nil {
			conn.Close()
		}
	}
}

// report sends an event to Open, unless that has returned.
func (o *opening) report(e event) {
	select {
	case o.events <- e:
	case <-o.ctx.Done():
	}
}

// request makes a call on its connection and reports its progress. It blocks until the body starts or the connection
// fails or is closed.
func (o *opening) request(id int, conn net.Conn) {
	defer func() {
		if recovered := recover(); recovered != nil { // a malformed response must not crash the process
			o.report(event{callID: id, kind: callFailed, err: fmt.Errorf("panic: %v", recovered)})
		}
	}()
	body, err := o.readUntilBody(id, conn)
	if err != nil {
		o.report(event{callID: id, kind: callFailed, err: err})
		return
	}
	o.report(event{callID: id, kind: bodyStarted, body: body})
}

// readUntilBody writes the request and reads the response up to the first byte of the body.
func (o *opening) readUntilBody(id int, conn net.Conn) (*bufio.Reader, error) {
	conn.SetWriteDeadline(time.Now().Add(o.call.ConnectTimeout))
	if _, err := io.WriteString(conn, o.call.Request); err != nil {
		return nil, err
	}
	limited := &io.LimitedReader{R: conn, N: maxHeadBytes}
	response, err := http.ReadResponse(bufio.NewReader(limited), nil)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery: expected status 200 OK, got %s", response.Status)
	}
	limited.N = math.MaxInt64
	o.report(event{callID: id, kind: headReceived})
	body := bufio.NewReader(response.Body)
	_, err = body.Peek(1)
	return body, err
}
