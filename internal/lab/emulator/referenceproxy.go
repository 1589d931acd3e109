package emulator

// Simple proxies to measure a node against: they select an endpoint in one well-known way and keep to the rules. A
// misbehavior can be set, to show that the rule checker sees it.

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

// ReferenceProxyKinds are the ways in which a reference proxy selects an endpoint.
var ReferenceProxyKinds = []string{"random", "round-robin", "least", "two-choices"}

// Misbehaviours are the ways in which one can be made to violate a rule, and just that one.
var Misbehaviors = []string{
	"lose", "late", "twice", "foreign", "after", "resend-exclusive", "decline-exclusive", "outside-group",
	"copy", "undrained", "rush-cold",
}

// ReferenceProxy is one simple proxy.
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

// NewReferenceProxy reads a node's configuration. It selects by kind; wrong names its misbehavior, if any.
func NewReferenceProxy(config, kind, wrong string) (*ReferenceProxy, error) {
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
		kind: kind, misbehavior: wrong, listen: in.Listen, discovery: in.Discovery, slowStartCapacity: s.Rules.SlowStartCapacity,
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

// Run serves until Stop.
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

// Stop ends it outright.
func (p *ReferenceProxy) Stop() {
	p.stop()
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.clients {
		c.Close()
	}
	for _, s := range p.endpoints {
		for _, c := range s.idle {
			c.conn.Close()
		}
		s.idle = nil
	}
}

// listUpdated takes a list update.
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
		for _, s := range p.endpoints {
			s.up = false
		}
	}
	for _, h := range in.Hosts {
		s := p.endpoints[h.Host]
		if s == nil {
			s = &proxyEndpoint{name: h.Host}
			p.endpoints[h.Host] = s
			p.names = append(p.names, h.Host)
			slices.Sort(p.names)
		}
		s.address, s.zone, s.pod, s.up, s.started = h.Dial, h.Site, h.Block, h.Health == "up", time.UnixMilli(h.Born)
		if h.Health != "up" && p.misbehavior == "undrained" {
			s.up = true
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

// proxyRequest is one request at work.
type proxyRequest struct {
	id, method, target, key string
	body                    []byte
	class                   proxyClass
	deadline                time.Time
	mayHaveRunAt            *proxyEndpoint // of the first hand-off that may have run
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
		left, err := strconv.ParseInt(string(m.get(headerRemaining)), 10, 64)
		category, known := p.classes[string(m.get(headerClass))]
		if err != nil || !known || len(m.get(headerRequestID)) == 0 {
			send(c, "HTTP/1.1 400 Bad\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return
		}
		t := &proxyRequest{
			id: string(m.get(headerRequestID)), method: method, target: target,
			key:  string(m.get(headerIdempotencyKey)),
			body: slices.Clone(m.body), class: category,
			deadline: time.Now().Add(time.Duration(left) * time.Millisecond),
		}
		status, body := p.handle(t)
		if !p.respond(c, t, status, body) {
			return
		}
	}
}

// respond writes the response, with a misbehavior if one is set.
func (p *ReferenceProxy) respond(c net.Conn, t *proxyRequest, status int, body []byte) bool {
	p.mu.Lock()
	p.requestCount++
	hit := p.requestCount%20 == 0
	before := p.lastResponse
	if status == 200 {
		p.lastResponse = slices.Clone(body)
	}
	p.mu.Unlock()
	switch {
	case hit && p.misbehavior == "lose":
		return false
	case hit && p.misbehavior == "late":
		time.Sleep(time.Until(t.deadline) + 200*time.Millisecond)
	case hit && p.misbehavior == "foreign" && status == 200 && before != nil:
		body = before
	}
	extra := ""
	if status == 503 && p.retryAfter > 0 {
		extra = fmt.Sprintf("%s: %.3f\r\n", headerRetryAfter, p.retryAfter)
	}
	text := fmt.Appendf(nil, "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, extra, len(body), body)
	if hit && p.misbehavior == "twice" {
		text = append(text, text...)
	}
	if _, err := c.Write(text); err != nil {
		return false
	}
	if hit && p.misbehavior == "after" && t.class.idempotency == "safe" {
		time.Sleep(200 * time.Millisecond)
		if s := p.pick(t, nil); s != nil {
			p.attempt(s, t)
		}
	}
	return true
}

// attemptOutcome is how one attempt ended.
type attemptOutcome int

const (
	outcomeSucceeded attemptOutcome = iota
	outcomeNeverRan
	outcomeUnknown
)

// handle takes a request to its response.
func (p *ReferenceProxy) handle(t *proxyRequest) (status int, body []byte) {
	var tried []*proxyEndpoint
	for n := 0; n < p.maxAttempts && time.Until(t.deadline) > 10*time.Millisecond; n++ {
		s := p.pick(t, tried)
		if s == nil {
			break
		}
		if p.misbehavior == "copy" && n == 0 {
			p.mu.Lock()
			p.requestCount++
			hit := p.requestCount%20 == 0
			p.mu.Unlock()
			if other := p.pick(t, []*proxyEndpoint{s}); hit && other != nil && t.class.idempotency == "safe" {
				p.group.Go(func() { p.attempt(other, t) })
				time.Sleep(2 * time.Millisecond)
			}
		}
		if t.mayHaveRunAt == nil {
			t.mayHaveRunSince = time.Now()
		}
		how, body := p.attempt(s, t)
		switch {
		case how == outcomeSucceeded:
			return 200, body
		case how == outcomeUnknown && t.mayHaveRunAt == nil:
			t.mayHaveRunAt = s
		}
		tried = append(tried, s)
		if t.mayHaveRunAt != nil && !p.mayRetry(t) {
			break
		}
	}
	if t.mayHaveRunAt == nil || t.class.idempotency == "safe" || t.class.idempotency == "keyed" &&
		t.class.group == "all" || p.misbehavior == "decline-exclusive" {
		return 503, nil
	}
	return 502, nil
}

func (p *ReferenceProxy) mayRetry(t *proxyRequest) bool {
	switch t.class.idempotency {
	case "safe":
		return true
	case "keyed":
		return time.Since(t.mayHaveRunSince) < t.class.dedupWindow
	}
	return p.misbehavior == "resend-exclusive"
}

// pick selects an endpoint by the proxy's kind among those that may get the request. One in slow start is a candidate
// with the part of its capacity that it is sure to have.
func (p *ReferenceProxy) pick(t *proxyRequest, tried []*proxyEndpoint) *proxyEndpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	var fit, cold []*proxyEndpoint
	for _, name := range p.names {
		s := p.endpoints[name]
		if !s.up || slices.Contains(tried, s) {
			continue
		}
		if m := t.mayHaveRunAt; m != nil && t.class.idempotency == "keyed" && p.misbehavior != "outside-group" &&
			(t.class.group == "zone" && s.zone != m.zone || t.class.group == "cell" && s.pod != m.pod) {
			continue
		}
		if age := time.Since(s.started); age < p.slowStartWindow {
			cold = append(cold, s)
			if p.misbehavior != "rush-cold" &&
				p.random.Float64() > p.slowStartCapacity+(1-p.slowStartCapacity)*float64(age)/float64(p.slowStartWindow) {
				continue
			}
		}
		fit = append(fit, s)
	}
	if p.misbehavior == "rush-cold" && len(cold) > 0 {
		return cold[0]
	}
	if len(fit) == 0 {
		return nil
	}
	least := func(a, b *proxyEndpoint) int { return cmp.Compare(a.inFlight, b.inFlight) }
	switch p.kind {
	case "round-robin":
		p.nextIndex++
		return fit[p.nextIndex%len(fit)]
	case "least":
		p.random.Shuffle(len(fit), func(i, j int) { fit[i], fit[j] = fit[j], fit[i] })
		return slices.MinFunc(fit, least)
	case "two-choices":
		a, b := fit[p.random.IntN(len(fit))], fit[p.random.IntN(len(fit))]
		return slices.MinFunc([]*proxyEndpoint{a, b}, least)
	}
	return fit[p.random.IntN(len(fit))]
}

// attempt sends a request to an endpoint once and tells how far it came.
func (p *ReferenceProxy) attempt(s *proxyEndpoint, t *proxyRequest) (attemptOutcome, []byte) {
	p.mu.Lock()
	s.inFlight++
	var c *proxyConn
	if n := len(s.idle); n > 0 {
		c, s.idle = s.idle[n-1], s.idle[:n-1]
	}
	dial := s.address
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		s.inFlight--
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
		raw, err := net.DialTimeout("tcp", dial, min(p.connectTimeout, time.Until(t.deadline)))
		if err != nil {
			return outcomeNeverRan, nil
		}
		c = &proxyConn{raw, newReader(raw, func() int64 { return 0 })}
	}
	ticket := ""
	if t.key != "" {
		ticket = headerIdempotencyKey + ": " + t.key + "\r\n"
	}
	left := time.Until(t.deadline)
	text := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: lab\r\n%s: %s\r\n%s%s: %d\r\nContent-Length: %d\r\n\r\n%s", t.method, t.target,
		headerRequestID, t.id, ticket, headerRemaining, left.Milliseconds(), len(t.body), t.body)
	if n, err := c.conn.Write(text); err != nil {
		c.conn.Close()
		if n < len(text) {
			return outcomeNeverRan, nil
		}
		return outcomeUnknown, nil
	}
	c.conn.SetReadDeadline(t.deadline.Add(-5 * time.Millisecond))
	var m message
	err := c.reader.next(&m, true)
	for err == nil && m.status < 200 {
		err = c.reader.next(&m, true)
	}
	if err != nil {
		c.conn.Close()
		return outcomeUnknown, nil
	}
	how, body := outcomeUnknown, []byte(nil)
	switch {
	case m.status == 200:
		how, body = outcomeSucceeded, slices.Clone(m.body)
	case string(m.get(headerNotExecuted)) == "1":
		how = outcomeNeverRan
	}
	if m.closesConnection || c.reader.pending() > 0 || p.ctx.Err() != nil {
		c.conn.Close()
		return how, body
	}
	p.mu.Lock()
	s.idle = append(s.idle, c)
	p.mu.Unlock()
	return how, body
}

// StartReferenceProxy starts reference proxies inside this process.
func StartReferenceProxy(kind, wrong string) StartFunc {
	return func(config string, _ []string, _ io.Writer) (Process, error) {
		p, err := NewReferenceProxy(config, kind, wrong)
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
