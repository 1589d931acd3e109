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
	maxHeadBytes  = 64 << 10 // of a response
	jitterDivisor = 8        // gaps are shortened at random by up to one in so many, so that nodes do not call together
)

// Call is how a watch is called for. The functions are called from the goroutines of Open and of the watch's reader.
type Call struct {
	Address string // address and port of discovery
	Request string // the head of the HTTP request

	ConnectTimeout time.Duration // for a connection, and for writing the request
	FirstGap       time.Duration // between the first call and a second one beside it
	Gap            time.Duration // that later gaps are multiples of
	RetryInterval  time.Duration // after the first connection that fails; it doubles with each
	SilenceTimeout time.Duration // after which a watch is taken to be dead

	OnCall    func() // a connection is opened
	OnFailure func() // a call has failed while another goes on
	OnData    func() // the watch has received something
}

// Watch is the response to a call. Reads fail with os.ErrDeadlineExceeded after Call.SilenceTimeout without data.
type Watch struct {
	conn           net.Conn
	body           *bufio.Reader
	silenceTimeout time.Duration
	onData         func()
	stopContext    func() bool
	err            error
}

// Read reads from the body of the response.
func (w *Watch) Read(p []byte) (n int, err error) {
	w.conn.SetReadDeadline(time.Now().Add(w.silenceTimeout))
	n, err = w.body.Read(p)
	if n > 0 {
		w.onData()
	}
	w.err = err
	return n, err
}

// Err is the error of the last Read.
func (w *Watch) Err() error { return w.err }

// Close ends the watch.
func (w *Watch) Close() {
	w.stopContext()
	w.conn.Close()
}

// progress is how far a call has come.
type eventKind int

const (
	connected eventKind = iota
	connectFailed
	headReceived
	bodyStarted
	callFailed
)

// event is a step of one call.
type event struct {
	callID int
	kind   eventKind
	conn   net.Conn      // connected
	body   *bufio.Reader // bodyStarted
	err    error         // connectFailed, callFailed
}

// opening is the state of one Open.
type opening struct {
	call      *Call
	ctx       context.Context // done when Open returns
	startedAt time.Time
	pacer     *Pacer
	conns     map[int]net.Conn // of the calls that are out, by id
	events    chan event
}

// Open opens calls until the body of a response begins, and closes the others. A call that waits is kept, as a new one
// begins at the end of discovery's queue. It fails with the error of the last call once none is out, and with the
// context's error once that is done.
func (k *Call) Open(ctx context.Context) (*Watch, error) {
	openCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	o := &opening{
		call:      k,
		ctx:       openCtx,
		startedAt: time.Now(),
		pacer:     NewPacer(0, withJitter(k.FirstGap), withJitter(k.Gap), int64(k.RetryInterval)),
		conns:     map[int]net.Conn{},
		events:    make(chan event),
	}
	defer o.closeAll()
	due := time.NewTimer(0)
	defer due.Stop()
	lastID, connecting := 0, false
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-due.C:
			lastID++
			connecting = true
			k.OnCall()
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
				return k.newWatch(ctx, conn, e.body), nil
			}
		}
		if !connecting {
			due.Reset(time.Duration(o.pacer.Due() - o.now()))
		}
	}
}

func withJitter(gap time.Duration) int64 { return int64(gap) - rand.Int64N(int64(gap)/jitterDivisor+1) }

// now is the time of the pace.
func (o *opening) now() int64 { return int64(time.Since(o.startedAt)) }

func (o *opening) closeAll() {
	for _, conn := range o.conns {
		conn.Close()
	}
}

// handle takes in an event. It returns the connection of a call whose body has begun, or the error of the last call.
func (o *opening) handle(e event) (watched net.Conn, err error) {
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
		watched = o.conns[e.callID] // nil: it was replaced meanwhile
		delete(o.conns, e.callID)
	case callFailed:
		if o.conns[e.callID] == nil {
			return nil, nil // it was replaced
		}
		o.closeCall(e.callID)
		if !o.pacer.CallEnded(e.callID) {
			return nil, e.err
		}
		o.call.OnFailure()
	}
	return watched, nil
}

func (o *opening) closeCall(id int) {
	o.conns[id].Close()
	delete(o.conns, id)
}

func (k *Call) newWatch(ctx context.Context, conn net.Conn, body *bufio.Reader) *Watch {
	return &Watch{
		conn:           conn,
		body:           body,
		silenceTimeout: k.SilenceTimeout,
		onData:         k.OnData,
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

// report sends an event unless Open has returned.
func (o *opening) report(e event) {
	select {
	case o.events <- e:
	case <-o.ctx.Done():
	}
}

// request makes a call on its connection and reports its progress. It waits for as long as the connection is open.
func (o *opening) request(id int, conn net.Conn) {
	defer func() {
		if recovered := recover(); recovered != nil { // guards against a response that breaks the parser
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

// readUntilBody writes the request and reads until the first byte of the body.
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
		return nil, fmt.Errorf("discovery answered %s", response.Status)
	}
	limited.N = math.MaxInt64
	o.report(event{callID: id, kind: headReceived})
	body := bufio.NewReader(response.Body)
	_, err = body.Peek(1)
	return body, err
}
