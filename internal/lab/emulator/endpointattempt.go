package emulator

// Attempts at emulated endpoints: their jobs, responses, and corrupt responses.

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"fawnglade/internal/lab/invariant"
	"fawnglade/internal/lab/model"
	"fawnglade/internal/lab/scenario"
)

// attempt is one attempt of a request at an endpoint.
type attempt struct {
	conn         *connection
	record       *invariant.Attempt
	id           int64
	incarnation  int
	bodySize     int           // of the request
	failureDraw  float64       // the attempt fails if this is below the fleet's error share
	oneWay       time.Duration // network delay to the endpoint and back, each way
	deduplicated bool
	answered     atomic.Bool
}

func afterDelay(d time.Duration, do func()) {
	if d < 50*time.Microsecond {
		do()
		return
	}
	time.AfterFunc(d, do)
}

// arrive passes the attempt to the endpoint's model as a job, unless an active fault handles it.
func (a *attempt) arrive(work, until int64, idempotencyKey string, class, tenant int) {
	e := a.conn.listener.endpoint
	e.mu.Lock()
	if e.incarnation != a.incarnation || e.model.HasCrashed() {
		e.mu.Unlock()
		return
	}
	t := e.faults
	rejected := a.conn.overLimit || e.draining || e.random.Float64() < t.reject
	switch {
	case t.unresponsive:
		e.mu.Unlock()
		return
	case rejected:
		e.mu.Unlock()
		a.reject()
		return
	case e.random.Float64() < t.reset:
		e.mu.Unlock()
		reset(a.conn.conn)
		return
	case e.random.Float64() < t.fail:
		e.mu.Unlock()
		a.respond("500 Broken", "", nil)
		return
	}
	if idempotencyKey != "" {
		if a.deduplicated = e.run.deduplicatorOf(e, class).seen(e.run.now(), idempotencyKey); a.deduplicated {
			work = min(work, int64(200*time.Microsecond)) // it only looks up the earlier response
		}
		e.run.history.Update(func() { a.record.Deduplicated = a.deduplicated })
	}
	job := &model.Job{
		ID: a.id, Work: work, Deadline: until, Node: a.conn.listener.node, Wait: e.run.slotWait(class, tenant),
	}
	accepted, crash := e.model.Arrive(e.run.now(), job)
	if accepted {
		e.jobs[a.id] = a
	}
	e.mu.Unlock()
	switch {
	case crash != nil:
		e.run.endpointCrashed(e, a.incarnation, crash)
	case !accepted:
		a.reject()
	}
	e.wake()
}

// reject responds that the request was not executed.
func (a *attempt) reject() {
	a.conn.listener.endpoint.run.history.Update(func() { a.record.Rejected = true })
	afterDelay(a.oneWay, func() { a.respond("503 Turned Away", "\r\n"+headerNotExecuted+": 1", nil) })
}

// finish responds to an attempt that has run.
func (a *attempt) finish() {
	e := a.conn.listener.endpoint
	afterDelay(a.oneWay, func() {
		if a.failureDraw < e.fleet.ErrorShare {
			a.respond("500 Error", "", nil)
			return
		}
		e.mu.Lock()
		t := e.faults
		corrupt := t.corrupt != "" && e.random.Float64() < t.corruptShare
		e.mu.Unlock()
		if corrupt {
			a.corrupt(t.corrupt)
			return
		}
		a.respond("200 OK", "", responseBody(nil, e.spec.Name, a.record.Request, a.bodySize))
	})
}

// respond writes a response, with a load report if there is one.
func (a *attempt) respond(status, extra string, body []byte) {
	e := a.conn.listener.endpoint
	now := e.run.now()
	if a.conn.listener.cut.Load() || a.answered.Swap(true) {
		return
	}
	code, _ := strconv.Atoi(status[:3])
	e.run.history.Update(func() { a.record.AnsweredAt, a.record.Status = now, code })
	out := append(make([]byte, 0, 256+len(body)), "HTTP/1.1 "...)
	out = append(out, status...)
	out = append(out, extra...)
	if report := e.report(now); report != "" {
		out = append(out, "\r\n"+headerLoadReport+": "...)
		out = append(out, report...)
	}
	out = append(out, "\r\nContent-Length: "...)
	out = strconv.AppendInt(out, int64(len(body)), 10)
	out = append(out, "\r\n\r\n"...)
	send(a.conn.conn, append(out, body...))
}

// The delay of a late copy, after its response.
const (
	minCopyDelay = time.Millisecond
	maxCopyDelay = 9 * time.Millisecond
)

// sendLateCopy sends a response again some milliseconds later, unless the endpoint has received another request on the
// connection by then. Such a request may be on its way.
func (a *attempt) sendLateCopy(response string) {
	_, fraction := math.Modf(a.failureDraw * 1e6)
	delay := minCopyDelay + time.Duration(fraction*float64(maxCopyDelay-minCopyDelay))
	time.AfterFunc(delay, func() {
		c := a.conn
		c.mu.Lock()
		defer c.mu.Unlock()
		decidedAt := c.listener.endpoint.run.now() - int64(a.oneWay) // the copy has been on its way since
		if c.current != a && c.current.arrivedBefore(decidedAt) {
			return
		}
		send(c.conn, response)
	})
}

// arrivedBefore reports whether the request has reached the endpoint before a time.
func (a *attempt) arrivedBefore(at int64) bool {
	return a.answered.Load() || a.record.FirstByteAt+int64(a.oneWay) < at
}

// corrupt writes a corrupt response.
func (a *attempt) corrupt(how string) {
	e, c := a.conn.listener.endpoint, a.conn.conn
	body := string(responseBody(nil, e.spec.Name, a.record.Request, a.bodySize))
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	now := e.run.now()
	intact := false
	for _, k := range scenario.IntactKinds {
		intact = intact || k == how
	}
	if a.answered.Swap(true) {
		return
	}
	e.run.history.Update(func() {
		a.record.AnsweredAt, a.record.Status = now, 502
		if intact {
			a.record.Status = 200
		}
	})
	switch how {
	case "twice":
		send(c, response+response)
	case "late-copy":
		send(c, response)
		a.sendLateCopy(response)
	case "interim":
		send(c, "HTTP/1.1 103 Early Hints\r\n\r\n"+response)
	case "bad-report":
		report := "\r\n" + headerLoadReport + ": queue=much,inflight=-7,=,util=NaN\r\n"
		send(c, strings.Replace(response, "\r\n", report, 1))
	case "other-body":
		// A node must not forward the response to another request. Instead of the correct response it could not be
		// recognized by the protocol, so it is sent after the correct one, as unexpected bytes.
		send(c, response+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
	case "noise":
		noise := make([]byte, 300)
		for i := range noise {
			noise[i] = byte(a.failureDraw*1e6) + byte(i*131)
		}
		send(c, noise)
	case "endless-head":
		e.run.group.Go(func() error {
			send(c, "HTTP/1.1 200 OK\r\n")
			for n := 0; n < 64; n++ {
				if _, err := fmt.Fprintf(c, "X-%d: %s\r\n", n, strings.Repeat("y", 1000)); err != nil {
					return nil
				}
			}
			return nil
		})
	case "short":
		sendf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+1000, body)
	case "long":
		e.run.group.Go(func() error {
			send(c, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")
			block := make([]byte, 64<<10)
			for range 200 {
				c.SetWriteDeadline(time.Now().Add(time.Second))
				if _, err := c.Write(block); err != nil {
					return nil
				}
			}
			return nil
		})
	}
}
