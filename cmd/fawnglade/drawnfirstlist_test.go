package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// Drawn plays of processes that start: discovery fails or holds up calls for a while, then sends its list slowly.

const (
	drawnStarts = 24
	// drawnAtOnce is how long a call may take that still counts as failed at once.
	drawnAtOnce      = 600 * time.Millisecond
	drawnOutage      = 3 * time.Second         // of calls that fail at once, after which a process may serve
	drawnWait        = 5400 * time.Millisecond // without a list, after which a process may serve
	drawnDelivery    = 100 * time.Millisecond  // from a written list to a process that goes by it
	drawnMaxFailing  = 4500 * time.Millisecond
	drawnMaxDelay    = 4 * time.Second
	drawnMaxLateLine = 2 * time.Second // from an empty line to the list
	drawnMaxHeldCall = 2500 * time.Millisecond
)

// drawnFailure is a way in which a call fails; held is how long it may be held up before.
type drawnFailure func(c *startCall, held time.Duration)

var drawnFailures = []drawnFailure{
	func(c *startCall, _ time.Duration) { c.unavailable() },
	func(c *startCall, _ time.Duration) { c.reset() },
	func(c *startCall, _ time.Duration) {
		c.head()
		writeText(c.conn, "0\r\n\r\n")
	},
	func(c *startCall, held time.Duration) {
		time.Sleep(held)
		c.unavailable()
	},
	func(c *startCall, _ time.Duration) {
		c.head()
		c.chunk("no list\n")
	},
	func(c *startCall, _ time.Duration) { c.silent() },
}

// drawnForm is a way in which a call is sent the list.
type drawnForm struct {
	name string
	send func(c *startCall, line string, delay time.Duration)
}

var drawnForms = []drawnForm{
	{"late head", func(c *startCall, line string, delay time.Duration) {
		time.Sleep(delay)
		c.head()
		c.chunk(line)
	}},
	{"early head", func(c *startCall, line string, delay time.Duration) {
		c.head()
		time.Sleep(delay)
		c.chunk(line)
	}},
	{"pieces", func(c *startCall, line string, delay time.Duration) {
		c.head()
		const pieces = 8
		for i := range pieces {
			time.Sleep(delay / pieces)
			c.chunk(line[i*len(line)/pieces : (i+1)*len(line)/pieces])
		}
	}},
	{"indented", func(c *startCall, line string, delay time.Duration) {
		time.Sleep(delay)
		c.head()
		for _, piece := range strings.SplitAfter(line, ",") {
			c.chunk("\n  " + piece)
		}
	}},
	{"late start of the line", func(c *startCall, line string, delay time.Duration) {
		c.head()
		c.chunk("\n")
		time.Sleep(min(delay, drawnMaxLateLine))
		c.chunk(line)
	}},
}

// drawnStart is one drawn day.
type drawnStart struct {
	random      *rand.Rand // drawn from with mu held
	failing     time.Duration
	failures    []drawnFailure
	delay       time.Duration
	form        drawnForm
	line        func(p *startPlay) string
	persisted   bool
	mu          sync.Mutex
	calls       []drawnCall
	deliveredAt time.Duration // since the start, when a call that the process had kept was sent the list; 0: never
}

// drawnCall is one call that the process made.
type drawnCall struct {
	since, took time.Duration
	ended       bool
}

func drawStart(seed uint64) *drawnStart {
	random := rand.New(rand.NewPCG(seed, 84))
	d := &drawnStart{
		random: random,
		delay:  time.Duration(random.Int64N(int64(drawnMaxDelay))),
		form:   drawnForms[random.IntN(len(drawnForms))],
	}
	if random.IntN(3) > 0 {
		d.failing = time.Duration(random.Int64N(int64(drawnMaxFailing)))
	}
	for _, failure := range drawnFailures {
		if random.IntN(2) == 0 {
			d.failures = append(d.failures, failure)
		}
	}
	if len(d.failures) == 0 {
		d.failures = drawnFailures[:1]
	}
	d.persisted = random.IntN(4) == 0
	d.line = (*startPlay).draining
	if random.IntN(2) == 0 || d.persisted {
		d.line = (*startPlay).withoutDrained
	}
	return d
}

func (d *drawnStart) String() string {
	return fmt.Sprintf("%d kinds of failures for %v, then %q after %v, persisted %v",
		len(d.failures), d.failing, d.form.name, d.delay, d.persisted)
}

// handle handles a call of the process.
func (d *drawnStart) handle(p *startPlay, c *startCall) {
	d.mu.Lock()
	index := len(d.calls)
	d.calls = append(d.calls, drawnCall{since: c.since})
	failure := d.failures[d.random.IntN(len(d.failures))]
	held := time.Duration(d.random.Int64N(int64(drawnMaxHeldCall)))
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.calls[index].took = time.Since(p.startedAt) - c.since
		d.calls[index].ended = true
	}()
	if c.since < d.failing {
		failure(c, held)
		return
	}
	d.form.send(c, d.line(p), d.delay)
	delivered := time.Since(p.startedAt)
	time.Sleep(drawnDelivery)
	if c.kept() {
		d.mu.Lock()
		if d.deliveredAt == 0 {
			d.deliveredAt = delivered
		}
		d.mu.Unlock()
	}
	c.stayOpen()
}

// kept reports whether the process has not closed the call.
func (c *startCall) kept() bool {
	c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.conn.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}

func (d *drawnStart) play(t *testing.T) {
	p := newStartPlay(t)
	var env []string
	if d.persisted {
		p.slowStart = true
		env = append(env, "NODE_STATE="+t.TempDir())
		p.runBefore(env...)
		p.discovery.calls.Store(0)
	}
	p.discovery.handle = func(c *startCall) { d.handle(p, c) }
	if !d.persisted {
		p.discovery.listen(t)
	}
	p.start(env...)
	p.send()
	p.awaitReady(p.listen)
	time.Sleep(startServedFor)
	p.end()
	killAndWait(p.command)
	d.check(t, p)
}

// loggedResult returns why the process stopped waiting; with a persisted list the process before it has logged, too.
func (d *drawnStart) loggedResult(p *startPlay) string {
	const field = `"first list":"`
	log := p.log.String()
	log = log[strings.LastIndex(log, field)+len(field):]
	result, _, _ := strings.Cut(log, `"`)
	return result
}

// check checks that the process waited as long as there was a list to wait for.
func (d *drawnStart) check(t *testing.T, p *startPlay) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ready := p.readyAt.Sub(p.startedAt)
	result := d.loggedResult(p)
	binding := d.deliveredAt
	switch result {
	case "received":
		binding = 0
	case "discovery down":
		if ready < drawnOutage {
			t.Errorf("served %v after the start, want %v of failing calls at least", ready, drawnOutage)
		}
		for _, call := range d.calls {
			inOutage := call.since > ready-drawnOutage && call.since < ready
			if inOutage && (!call.ended || call.took > drawnAtOnce) {
				t.Errorf("a call %v after the start did not fail at once, but discovery counted as down at %v", call.since, ready)
			}
		}
	case "missing":
		if ready < drawnWait || d.deliveredAt > 0 && d.deliveredAt < ready-drawnDelivery {
			t.Errorf("served without a list %v after the start; it was sent at %v", ready, d.deliveredAt)
		}
	default:
		t.Errorf("got %q as the first list, but there was a change", result)
	}
	if result == "received" || d.deliveredAt > 0 {
		p.checkDrained(p.startedAt.Add(binding))
	}
	t.Logf("%s: %s, ready at %v, list sent at %v", d, result, ready, d.deliveredAt)
	if t.Failed() {
		t.Logf("calls: %+v", d.calls)
	}
}

// Guards against starts that serve by an old list in combinations of failing and slow calls that no other case has.
func TestStartWithDrawnDiscovery(t *testing.T) {
	for seed := range uint64(drawnStarts) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			drawStart(seed).play(t)
		})
	}
}
