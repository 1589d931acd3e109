package emulator

// Simple proxies with which nodes are compared. They select endpoints by a well-known algorithm and keep the rules. A
// misbehavior can be set to show that the rule checker finds it.

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ReferenceProxyKinds lists the algorithms by which a reference proxy selects endpoints.
var ReferenceProxyKinds = []string{"random", "round-robin", "least", "two-choices"}

// Misbehaviors lists the misbehaviors of reference proxies. Each violates exactly one rule.
var Misbehaviors = []string{
	"lose", "late", "twice", "foreign", "after", "resend-exclusive", "decline-exclusive", "outside-group",
	"copy", "undrained", "rush-cold",
}

// ReferenceProxy is a simple proxy with which nodes are compared.
type ReferenceProxy struct {
	kind, misbehavior string
	listen            string
	discovery         string
	slowStartCapacity float64
	slowStartWindow   time.Duration
	connectTimeout    time.Duration
	maxAttempts       int
	retryAfter        float64
	classes           map[string]proxyClass

	mu           sync.Mutex
	random       *rand.Rand
	endpoints    map[string]*proxyEndpoint
	names        []string
	nextIndex    int
	requestCount int
	listener     net.Listener
	clients      map[net.Conn]struct{}
	stop         context.CancelFunc
	ctx          context.Context
	version      int64
	group        sync.WaitGroup
	lastResponse []byte
}

type proxyClass struct {
	idempotency, group string
	dedupWindow        time.Duration
}

type proxyEndpoint struct {
	name, address, zone string
	pod                 int
	up                  bool
	started             time.Time
	inFlight            int
	idle                []*proxyConn
}

type proxyConn struct {
	conn   net.Conn
	reader *reader
}

// NewReferenceProxy creates a proxy from a node's configuration file, and opens its listener. kind is the selection
// algorithm; misbehavior is empty for none.
func NewReferenceProxy(config, kind, misbehavior string) (*ReferenceProxy, error) {
	text, err := os.ReadFile(config)
	if err != nil {
		return nil, err
	}
	var in struct {
		Listen, Discovery, Seed string
		Known                   json.RawMessage
		Settings                struct {
			Limits struct {
				ConnectTimeout int64 `json:"connect_timeout_us"`
				MaxAttempts    int   `json:"try_limit"`
				MaxRetryAfter  int64 `json:"max_retry_after_us"`
			}
			Rules struct {
				SlowStartCapacity float64 `json:"cold_from"`
				SlowStartWindow   int64   `json:"warm_within_us"`
			}
			Profiles []struct {
				Name, Repeat, Group string
				DedupWindow         int64 `json:"memory_span_us"`
			}
		}
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return nil, fmt.Errorf("%s: %w", config, err)
	}
	if !slices.Contains(ReferenceProxyKinds, kind) {
		return nil, fmt.Errorf("kind: expected one of %s, got %q", strings.Join(ReferenceProxyKinds, ", "), kind)
	}
	seed, err := strconv.ParseUint(in.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	s := &in.Settings
	p := &ReferenceProxy{
		kind: kind, misbehavior: misbehavior, listen: in.Listen, discovery: in.Discovery, slowStartCapacity: s.Rules.SlowStartCapacity,
		slowStartWindow: time.Duration(s.Rules.SlowStartWindow) * time.Microsecond,
		connectTimeout:  time.Duration(s.Limits.ConnectTimeout) * time.Microsecond,
		maxAttempts:     s.Limits.MaxAttempts, retryAfter: float64(s.Limits.MaxRetryAfter) / 1e6 / 10, classes: map[string]proxyClass{},
		random:    rand.New(rand.NewPCG(seed, 11)),
		endpoints: map[string]*proxyEndpoint{}, clients: map[net.Conn]struct{}{},
	}
	for _, c := range s.Profiles {
		p.classes[c.Name] = proxyClass{c.Repeat, c.Group, time.Duration(c.DedupWindow) * time.Microsecond}
	}
	p.ctx, p.stop = context.WithCancel(context.Background())
	if len(in.Known) > 0 {
		if err := p.listUpdated(in.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	if p.listener, err = net.Listen("tcp", p.listen); err != nil {
		return nil, err
	}
	return p, nil
}

// Run serves until Stop is called.
func (p *ReferenceProxy) Run() {
	p.group.Go(p.watch)
	for {
		c, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		p.mu.Lock()
		p.clients[c] = struct{}{}
		p.mu.Unlock()
		p.group.Go(func() {
			defer func() {
				c.Close()
				p.mu.Lock()
				delete(p.clients, c)
				p.mu.Unlock()
			}()
			p.serve(c)
		})
	}
	p.group.Wait()
}

// Stop closes the listener and all connections at once.
func (p *ReferenceProxy) Stop() {
	p.stop()
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.clients {
		c.Close()
	}
	for _, e := range p.endpoints {
		for _, c := range e.idle {
			c.conn.Close()
		}
		e.idle = nil
	}
}

// listUpdated applies an update of the endpoint list.
func (p *ReferenceProxy) listUpdated(text []byte) error {
	var in struct {
		Seq   int64
		Whole bool
		Hosts []struct {
			Host, Dial, Site, Health string
			Block                    int
			Born                     int64 `json:"born_ms"`
		}
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version = in.Seq
	if in.Whole {
		for _, e := range p.endpoints {
			e.up = false
		}
	}
	for _, h := range in.Hosts {
		e := p.endpoints[h.Host]
		if e == nil {
			e = &proxyEndpoint{name: h.Host}
			p.endpoints[h.Host] = e
			p.names = append(p.names, h.Host)
			slices.Sort(p.names)
		}
		e.address, e.zone, e.pod, e.up, e.started = h.Dial, h.Site, h.Block, h.Health == "up", time.UnixMilli(h.Born)
		if h.Health != "up" && p.misbehavior == "undrained" {
			e.up = true
		}
	}
	return nil
}

func (p *ReferenceProxy) watch() {
	for p.ctx.Err() == nil {
		p.watchOnce()
		select {
		case <-p.ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
}

func (p *ReferenceProxy) watchOnce() {
	dialer := net.Dialer{Timeout: time.Second}
	c, err := dialer.DialContext(p.ctx, "tcp", p.discovery)
	if err != nil {
		return
	}
	defer c.Close()
	defer context.AfterFunc(p.ctx, func() { c.Close() })()
	p.mu.Lock()
	version := p.version
	p.mu.Unlock()
	sendf(c, "GET %s?watch=1&after=%d HTTP/1.1\r\nHost: lab\r\n\r\n", pathList, version)
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || r.StatusCode != http.StatusOK {
		return
	}
	lines := bufio.NewScanner(r.Body)
	lines.Buffer(nil, 4<<20)
	for {
		c.SetReadDeadline(time.Now().Add(4 * time.Second))
		if !lines.Scan() || len(lines.Bytes()) > 0 && p.listUpdated(lines.Bytes()) != nil {
			return
		}
	}
}

// proxyRequest is a request that the proxy is handling.
type proxyRequest struct {
	id, method, target, key string
	body                    []byte
	class                   proxyClass
	deadline                time.Time
	mayHaveRunAt            *proxyEndpoint // endpoint of the first attempt that may have been executed
	mayHaveRunSince         time.Time
}

func (p *ReferenceProxy) serve(c net.Conn) {
	in := newReader(c, func() int64 { return 0 })
	for {
		var m message
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		if in.next(&m, false) != nil {
			return
		}
		method, rest, _ := strings.Cut(string(m.firstLine), " ")
		target, _, _ := strings.Cut(rest, " ")
		if target == pathReady {
			send(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		remaining, err := strconv.ParseInt(string(m.get(headerRemaining)), 10, 64)
		class, known := p.classes[string(m.get(headerClass))]
		if err != nil || !known || len(m.get(headerRequestID)) == 0 {
			send(c, "HTTP/1.1 400 Bad\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return
		}
		r := &proxyRequest{
			id: string(m.get(headerRequestID)), method: method, target: target,
			key:  string(m.get(headerIdempotencyKey)),
			body: slices.Clone(m.body), class: class,
			deadline: time.Now().Add(time.Duration(remaining) * time.Millisecond),
		}
		status, body := p.handle(r)
		if !p.respond(c, r, status, body) {
			return
		}
	}
}

// respond writes the response. With a misbehavior that concerns responses, it applies it to each 20th one.
func (p *ReferenceProxy) respond(c net.Conn, r *proxyRequest, status int, body []byte) bool {
	p.mu.Lock()
	p.requestCount++
	misbehaves := p.requestCount%20 == 0
	previous := p.lastResponse
	if status == 200 {
		p.lastResponse = slices.Clone(body)
	}
	p.mu.Unlock()
	switch {
	case misbehaves && p.misbehavior == "lose":
		return false
	case misbehaves && p.misbehavior == "late":
		time.Sleep(time.Until(r.deadline) + 200*time.Millisecond)
	case misbehaves && p.misbehavior == "foreign" && status == 200 && previous != nil:
		body = previous
	}
	extra := ""
	if status == 503 && p.retryAfter > 0 {
		extra = fmt.Sprintf("%s: %.3f\r\n", headerRetryAfter, p.retryAfter)
	}
	text := fmt.Appendf(nil, "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, extra, len(body), body)
	if misbehaves && p.misbehavior == "twice" {
		text = append(text, text...)
	}
	if _, err := c.Write(text); err != nil {
		return false
	}
	if misbehaves && p.misbehavior == "after" && r.class.idempotency == "safe" {
		time.Sleep(200 * time.Millisecond)
		if e := p.pick(r, nil); e != nil {
			p.attempt(e, r)
		}
	}
	return true
}

// attemptOutcome is the outcome of an attempt.
type attemptOutcome int

const (
	outcomeSucceeded attemptOutcome = iota
	outcomeNeverRan
	outcomeUnknown
)

// handle sends a request to endpoints and returns the response for the client.
func (p *ReferenceProxy) handle(r *proxyRequest) (status int, body []byte) {
	var tried []*proxyEndpoint
	for n := 0; n < p.maxAttempts && time.Until(r.deadline) > 10*time.Millisecond; n++ {
		e := p.pick(r, tried)
		if e == nil {
			break
		}
		if p.misbehavior == "copy" && n == 0 {
			p.mu.Lock()
			p.requestCount++
			misbehaves := p.requestCount%20 == 0
			p.mu.Unlock()
			if other := p.pick(r, []*proxyEndpoint{e}); misbehaves && other != nil && r.class.idempotency == "safe" {
				p.group.Go(func() { p.attempt(other, r) })
				time.Sleep(2 * time.Millisecond)
			}
		}
		if r.mayHaveRunAt == nil {
			r.mayHaveRunSince = time.Now()
		}
		outcome, body := p.attempt(e, r)
		switch {
		case outcome == outcomeSucceeded:
			return 200, body
		case outcome == outcomeUnknown && r.mayHaveRunAt == nil:
			r.mayHaveRunAt = e
		}
		tried = append(tried, e)
		if r.mayHaveRunAt != nil && !p.mayRetry(r) {
			break
		}
	}
	if r.mayHaveRunAt == nil || r.class.idempotency == "safe" || r.class.idempotency == "keyed" &&
		r.class.group == "all" || p.misbehavior == "decline-exclusive" {
		return 503, nil
	}
	return 502, nil
}

func (p *ReferenceProxy) mayRetry(r *proxyRequest) bool {
	switch r.class.idempotency {
	case "safe":
		return true
	case "keyed":
		return time.Since(r.mayHaveRunSince) < r.class.dedupWindow
	}
	return p.misbehavior == "resend-exclusive"
}

// pick selects an endpoint, by the proxy's kind, from those that may get the request. An endpoint in slow start is a
// candidate with a probability of the fraction of its capacity that it is certain to have.
func (p *ReferenceProxy) pick(r *proxyRequest, tried []*proxyEndpoint) *proxyEndpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	var candidates, inSlowStart []*proxyEndpoint
	for _, name := range p.names {
		e := p.endpoints[name]
		if !e.up || slices.Contains(tried, e) {
			continue
		}
		if m := r.mayHaveRunAt; m != nil && r.class.idempotency == "keyed" && p.misbehavior != "outside-group" &&
			(r.class.group == "zone" && e.zone != m.zone || r.class.group == "cell" && e.pod != m.pod) {
			continue
		}
		if age := time.Since(e.started); age < p.slowStartWindow {
			inSlowStart = append(inSlowStart, e)
			if p.misbehavior != "rush-cold" &&
				p.random.Float64() > p.slowStartCapacity+(1-p.slowStartCapacity)*float64(age)/float64(p.slowStartWindow) {
				continue
			}
		}
		candidates = append(candidates, e)
	}
	if p.misbehavior == "rush-cold" && len(inSlowStart) > 0 {
		return inSlowStart[0]
	}
	if len(candidates) == 0 {
		return nil
	}
	least := func(a, b *proxyEndpoint) int { return cmp.Compare(a.inFlight, b.inFlight) }
	switch p.kind {
	case "round-robin":
		p.nextIndex++
		return candidates[p.nextIndex%len(candidates)]
	case "least":
		p.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
		return slices.MinFunc(candidates, least)
	case "two-choices":
		a, b := candidates[p.random.IntN(len(candidates))], candidates[p.random.IntN(len(candidates))]
		return slices.MinFunc([]*proxyEndpoint{a, b}, least)
	}
	return candidates[p.random.IntN(len(candidates))]
}

// attempt sends a request to an endpoint once, and returns the outcome and the response body.
func (p *ReferenceProxy) attempt(e *proxyEndpoint, r *proxyRequest) (attemptOutcome, []byte) {
	p.mu.Lock()
	e.inFlight++
	var c *proxyConn
	if n := len(e.idle); n > 0 {
		c, e.idle = e.idle[n-1], e.idle[:n-1]
	}
	dial := e.address
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		e.inFlight--
		p.mu.Unlock()
	}()
	if c != nil {
		c.conn.SetReadDeadline(time.Time{})
		if more, ended := connState(c.conn); more || ended {
			c.conn.Close()
			c = nil
		}
	}
	if c == nil {
		raw, err := net.DialTimeout("tcp", dial, min(p.connectTimeout, time.Until(r.deadline)))
		if err != nil {
			return outcomeNeverRan, nil
		}
		c = &proxyConn{raw, newReader(raw, func() int64 { return 0 })}
	}
	idempotencyKey := ""
	if r.key != "" {
		idempotencyKey = headerIdempotencyKey + ": " + r.key + "\r\n"
	}
	remaining := time.Until(r.deadline)
	text := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: lab\r\n%s: %s\r\n%s%s: %d\r\nContent-Length: %d\r\n\r\n%s", r.method, r.target,
		headerRequestID, r.id, idempotencyKey, headerRemaining, remaining.Milliseconds(), len(r.body), r.body)
	if n, err := c.conn.Write(text); err != nil {
		c.conn.Close()
		if n < len(text) {
			return outcomeNeverRan, nil
		}
		return outcomeUnknown, nil
	}
	c.conn.SetReadDeadline(r.deadline.Add(-5 * time.Millisecond))
	var m message
	err := c.reader.next(&m, true)
	for err == nil && m.status < 200 {
		err = c.reader.next(&m, true)
	}
	if err != nil {
		c.conn.Close()
		return outcomeUnknown, nil
	}
	outcome, body := outcomeUnknown, []byte(nil)
	switch {
	case m.status == 200:
		outcome, body = outcomeSucceeded, slices.Clone(m.body)
	case string(m.get(headerNotExecuted)) == "1":
		outcome = outcomeNeverRan
	}
	if m.closesConnection || c.reader.pending() > 0 || p.ctx.Err() != nil {
		c.conn.Close()
		return outcome, body
	}
	p.mu.Lock()
	e.idle = append(e.idle, c)
	p.mu.Unlock()
	return outcome, body
}

// StartReferenceProxy returns a StartFunc that runs reference proxies inside this process.
func StartReferenceProxy(kind, misbehavior string) StartFunc {
	return func(config string, _ []string, _ io.Writer) (Process, error) {
		p, err := NewReferenceProxy(config, kind, misbehavior)
		if err != nil {
			return nil, err
		}
		in := &inProcess{proxy: p, done: make(chan struct{})}
		go func() {
			p.Run()
			close(in.done)
		}()
		return in, nil
	}
}

type inProcess struct {
	proxy *ReferenceProxy
	done  chan struct{}
}

func (i *inProcess) Signal(s os.Signal) error {
	select {
	case <-i.done:
		return os.ErrProcessDone
	default:
	}
	if s == os.Interrupt || s == os.Kill {
		i.proxy.Stop()
	}
	return nil
}
func (i *inProcess) Done() <-chan struct{} { return i.done }
func (i *inProcess) PID() int              { return 0 }
