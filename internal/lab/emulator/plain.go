package emulator

// This file owns the plain proxies that a node is measured against: they pick a server in one well-known way and keep
// to the rules. A way of misbehaving can be set, so that the ledger can be shown to see it. No node may ever use them.

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

// PlainKinds are the ways in which a plain proxy picks a server.
var PlainKinds = []string{"random", "round-robin", "least", "two-choices"}

// Misbehaviours are the ways in which one can be made to break a rule, and just that one.
var Misbehaviours = []string{
	"lose", "late", "twice", "foreign", "after", "resend-exclusive", "decline-exclusive", "outside-group",
	"copy", "undrained", "rush-cold",
}

// Plain is one plain proxy.
type Plain struct {
	kind, wrong string
	listen      string
	discovery   string
	grace       time.Duration
	coldFrom    float64
	warm        time.Duration
	connect     time.Duration
	most        int
	advice      float64
	categories  map[string]plainCategory

	mu       sync.Mutex
	draw     *rand.Rand
	servers  map[string]*plainServer
	order    []string
	turn     int
	seen     int
	listener net.Listener
	clients  map[net.Conn]struct{}
	stop     context.CancelFunc
	ctx      context.Context
	version  int64
	running  sync.WaitGroup
	last     []byte
}

type plainCategory struct {
	repeat, group string
	memory        time.Duration
}

type plainServer struct {
	name, dial, zone string
	pod              int
	up               bool
	started          time.Time
	out              int
	idle             []*plainConn
}

type plainConn struct {
	conn net.Conn
	in   *reader
}

// NewPlain reads a node's configuration. It picks by kind; wrong names what it does wrong, if anything.
func NewPlain(config, kind, wrong string) (*Plain, error) {
	text, err := os.ReadFile(config)
	if err != nil {
		return nil, err
	}
	var in struct {
		Listen, Discovery, Seed string
		Known                   json.RawMessage
		Settings                struct {
			Limits struct {
				Connect int64 `json:"connect_timeout_us"`
				Tries   int   `json:"try_limit"`
				Advice  int64 `json:"max_retry_after_us"`
			}
			Rules struct {
				Cold float64 `json:"cold_from"`
				Warm int64   `json:"warm_within_us"`
			}
			Profiles []struct {
				Name, Repeat, Group string
				Memory              int64 `json:"memory_span_us"`
			}
		}
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return nil, fmt.Errorf("%s: %w", config, err)
	}
	if !slices.Contains(PlainKinds, kind) {
		return nil, fmt.Errorf("kind: expected one of %s, got %q", strings.Join(PlainKinds, ", "), kind)
	}
	seed, err := strconv.ParseUint(in.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	s := &in.Settings
	p := &Plain{
		kind: kind, wrong: wrong, listen: in.Listen, discovery: in.Discovery, coldFrom: s.Rules.Cold,
		warm: time.Duration(s.Rules.Warm) * time.Microsecond, connect: time.Duration(s.Limits.Connect) * time.Microsecond,
		most: s.Limits.Tries, advice: float64(s.Limits.Advice) / 1e6 / 10, categories: map[string]plainCategory{}, draw: rand.New(rand.NewPCG(seed, 11)),
		servers: map[string]*plainServer{}, clients: map[net.Conn]struct{}{},
	}
	for _, c := range s.Profiles {
		p.categories[c.Name] = plainCategory{c.Repeat, c.Group, time.Duration(c.Memory) * time.Microsecond}
	}
	p.ctx, p.stop = context.WithCancel(context.Background())
	if len(in.Known) > 0 {
		if err := p.listed(in.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	if p.listener, err = net.Listen("tcp", p.listen); err != nil {
		return nil, err
	}
	return p, nil
}

// Run serves until Stop.
func (p *Plain) Run() {
	p.running.Go(p.watch)
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
		p.running.Go(func() {
			defer func() {
				c.Close()
				p.mu.Lock()
				delete(p.clients, c)
				p.mu.Unlock()
			}()
			p.serve(c)
		})
	}
	p.running.Wait()
}

// Stop ends it outright.
func (p *Plain) Stop() {
	p.stop()
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.clients {
		c.Close()
	}
	for _, s := range p.servers {
		for _, c := range s.idle {
			c.conn.Close()
		}
		s.idle = nil
	}
}

// listed takes a line of the list in.
func (p *Plain) listed(text []byte) error {
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
		for _, s := range p.servers {
			s.up = false
		}
	}
	for _, h := range in.Hosts {
		s := p.servers[h.Host]
		if s == nil {
			s = &plainServer{name: h.Host}
			p.servers[h.Host] = s
			p.order = append(p.order, h.Host)
			slices.Sort(p.order)
		}
		s.dial, s.zone, s.pod, s.up, s.started = h.Dial, h.Site, h.Block, h.Health == "up", time.UnixMilli(h.Born)
		if h.Health != "up" && p.wrong == "undrained" {
			s.up = true
		}
	}
	return nil
}

func (p *Plain) watch() {
	for p.ctx.Err() == nil {
		p.follow()
		select {
		case <-p.ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
}

func (p *Plain) follow() {
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
	fmt.Fprintf(c, "GET %s?watch=1&after=%d HTTP/1.1\r\nHost: lab\r\n\r\n", pathList, version)
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || r.StatusCode != http.StatusOK {
		return
	}
	lines := bufio.NewScanner(r.Body)
	lines.Buffer(nil, 4<<20)
	for {
		c.SetReadDeadline(time.Now().Add(4 * time.Second))
		if !lines.Scan() || len(lines.Bytes()) > 0 && p.listed(lines.Bytes()) != nil {
			return
		}
	}
}

// plainTask is one task at work.
type plainTask struct {
	id, method, target, ticket string
	body                       []byte
	category                   plainCategory
	hard                       time.Time
	mayHave                    *plainServer // of the first hand-off that may have run
	since                      time.Time
}

func (p *Plain) serve(c net.Conn) {
	in := newReader(c, func() int64 { return 0 })
	for {
		var m message
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		if in.next(&m, false) != nil {
			return
		}
		method, rest, _ := strings.Cut(string(m.first), " ")
		target, _, _ := strings.Cut(rest, " ")
		if target == pathReady {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		left, err := strconv.ParseInt(string(m.get(nameRemaining)), 10, 64)
		category, known := p.categories[string(m.get(nameCategory))]
		if err != nil || !known || len(m.get(nameTask)) == 0 {
			io.WriteString(c, "HTTP/1.1 400 Bad\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return
		}
		t := &plainTask{
			id: string(m.get(nameTask)), method: method, target: target, ticket: string(m.get(nameTicket)),
			body: slices.Clone(m.body), category: category, hard: time.Now().Add(time.Duration(left) * time.Millisecond),
		}
		status, body := p.handle(t)
		if !p.say(c, t, status, body) {
			return
		}
	}
}

// say writes the answer, in the way that a misbehaviour has it.
func (p *Plain) say(c net.Conn, t *plainTask, status int, body []byte) bool {
	p.mu.Lock()
	p.seen++
	hit := p.seen%20 == 0
	before := p.last
	if status == 200 {
		p.last = slices.Clone(body)
	}
	p.mu.Unlock()
	switch {
	case hit && p.wrong == "lose":
		return false
	case hit && p.wrong == "late":
		time.Sleep(time.Until(t.hard) + 200*time.Millisecond)
	case hit && p.wrong == "foreign" && status == 200 && before != nil:
		body = before
	}
	extra := ""
	if status == 503 && p.advice > 0 {
		extra = fmt.Sprintf("%s: %.3f\r\n", nameAdvice, p.advice)
	}
	text := fmt.Appendf(nil, "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, extra, len(body), body)
	if hit && p.wrong == "twice" {
		text = append(text, text...)
	}
	if _, err := c.Write(text); err != nil {
		return false
	}
	if hit && p.wrong == "after" && t.category.repeat == "safe" {
		time.Sleep(200 * time.Millisecond)
		if s := p.pick(t, nil); s != nil {
			p.handOff(s, t)
		}
	}
	return true
}

// result of one hand-off.
type result int

const (
	resultOK result = iota
	resultNever
	resultMaybe
)

// handle takes a task to its answer.
func (p *Plain) handle(t *plainTask) (status int, body []byte) {
	var tried []*plainServer
	for n := 0; n < p.most && time.Until(t.hard) > 10*time.Millisecond; n++ {
		s := p.pick(t, tried)
		if s == nil {
			break
		}
		if p.wrong == "copy" && n == 0 {
			p.mu.Lock()
			p.seen++
			hit := p.seen%20 == 0
			p.mu.Unlock()
			if other := p.pick(t, []*plainServer{s}); hit && other != nil && t.category.repeat == "safe" {
				p.running.Go(func() { p.handOff(other, t) })
				time.Sleep(2 * time.Millisecond)
			}
		}
		if t.mayHave == nil {
			t.since = time.Now()
		}
		how, body := p.handOff(s, t)
		switch {
		case how == resultOK:
			return 200, body
		case how == resultMaybe && t.mayHave == nil:
			t.mayHave = s
		}
		tried = append(tried, s)
		if t.mayHave != nil && !p.mayResend(t) {
			break
		}
	}
	if t.mayHave == nil || t.category.repeat == "safe" || t.category.repeat == "keyed" && t.category.group == "all" || p.wrong == "decline-exclusive" {
		return 503, nil
	}
	return 502, nil
}

func (p *Plain) mayResend(t *plainTask) bool {
	switch t.category.repeat {
	case "safe":
		return true
	case "keyed":
		return time.Since(t.since) < t.category.memory
	}
	return p.wrong == "resend-exclusive"
}

// pick chooses a server by the proxy's kind among those that may have the task. A cold one counts as there with the
// part of its capacity that it is sure to have.
func (p *Plain) pick(t *plainTask, tried []*plainServer) *plainServer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var fit, cold []*plainServer
	for _, name := range p.order {
		s := p.servers[name]
		if !s.up || slices.Contains(tried, s) {
			continue
		}
		if m := t.mayHave; m != nil && t.category.repeat == "keyed" && p.wrong != "outside-group" &&
			(t.category.group == "zone" && s.zone != m.zone || t.category.group == "cell" && s.pod != m.pod) {
			continue
		}
		if age := time.Since(s.started); age < p.warm {
			cold = append(cold, s)
			if p.wrong != "rush-cold" && p.draw.Float64() > p.coldFrom+(1-p.coldFrom)*float64(age)/float64(p.warm) {
				continue
			}
		}
		fit = append(fit, s)
	}
	if p.wrong == "rush-cold" && len(cold) > 0 {
		return cold[0]
	}
	if len(fit) == 0 {
		return nil
	}
	least := func(a, b *plainServer) int { return cmp.Compare(a.out, b.out) }
	switch p.kind {
	case "round-robin":
		p.turn++
		return fit[p.turn%len(fit)]
	case "least":
		p.draw.Shuffle(len(fit), func(i, j int) { fit[i], fit[j] = fit[j], fit[i] })
		return slices.MinFunc(fit, least)
	case "two-choices":
		a, b := fit[p.draw.IntN(len(fit))], fit[p.draw.IntN(len(fit))]
		return slices.MinFunc([]*plainServer{a, b}, least)
	}
	return fit[p.draw.IntN(len(fit))]
}

// handOff sends a task to a server once and tells how far it came.
func (p *Plain) handOff(s *plainServer, t *plainTask) (result, []byte) {
	p.mu.Lock()
	s.out++
	var c *plainConn
	if n := len(s.idle); n > 0 {
		c, s.idle = s.idle[n-1], s.idle[:n-1]
	}
	dial := s.dial
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		s.out--
		p.mu.Unlock()
	}()
	if c != nil {
		c.conn.SetReadDeadline(time.Time{})
		if more, ended := standing(c.conn); more || ended {
			c.conn.Close()
			c = nil
		}
	}
	if c == nil {
		raw, err := net.DialTimeout("tcp", dial, min(p.connect, time.Until(t.hard)))
		if err != nil {
			return resultNever, nil
		}
		c = &plainConn{raw, newReader(raw, func() int64 { return 0 })}
	}
	ticket := ""
	if t.ticket != "" {
		ticket = nameTicket + ": " + t.ticket + "\r\n"
	}
	left := time.Until(t.hard)
	text := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: lab\r\n%s: %s\r\n%s%s: %d\r\nContent-Length: %d\r\n\r\n%s", t.method, t.target,
		nameTask, t.id, ticket, nameRemaining, left.Milliseconds(), len(t.body), t.body)
	if n, err := c.conn.Write(text); err != nil {
		c.conn.Close()
		if n < len(text) {
			return resultNever, nil
		}
		return resultMaybe, nil
	}
	c.conn.SetReadDeadline(t.hard.Add(-5 * time.Millisecond))
	var m message
	err := c.in.next(&m, true)
	for err == nil && m.status < 200 {
		err = c.in.next(&m, true)
	}
	if err != nil {
		c.conn.Close()
		return resultMaybe, nil
	}
	how, body := resultMaybe, []byte(nil)
	switch {
	case m.status == 200:
		how, body = resultOK, slices.Clone(m.body)
	case string(m.get(nameNeverRan)) == "1":
		how = resultNever
	}
	if m.close || c.in.pending() > 0 || p.ctx.Err() != nil {
		c.conn.Close()
		return how, body
	}
	p.mu.Lock()
	s.idle = append(s.idle, c)
	p.mu.Unlock()
	return how, body
}

// PlainStart begins plain proxies inside this process, for tests of the rig itself.
func PlainStart(kind, wrong string) Start {
	return func(config string, _ []string, _ io.Writer) (Proc, error) {
		p, err := NewPlain(config, kind, wrong)
		if err != nil {
			return nil, err
		}
		in := &inside{plain: p, done: make(chan struct{})}
		go func() {
			p.Run()
			close(in.done)
		}()
		return in, nil
	}
}

type inside struct {
	plain *Plain
	done  chan struct{}
}

func (i *inside) Signal(s os.Signal) error {
	select {
	case <-i.done:
		return os.ErrProcessDone
	default:
	}
	if s == os.Interrupt || s == os.Kill {
		i.plain.Stop()
	}
	return nil
}
func (i *inside) Done() <-chan struct{} { return i.done }
func (i *inside) PID() int              { return 0 }
