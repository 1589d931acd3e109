// Package simadapter speaks the bench's wire for many independent instances of the decision module.
// Wire words, microseconds and list numbers end here.
package simadapter

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"errors"
	"fawnglade/internal/gossip"
	"fawnglade/internal/settings"
	"fawnglade/policy"
	"fmt"
	"io"
	"math"
	"runtime/debug"
	"strconv"
	"time"
)

const (
	micro    = 1000 // nanoseconds
	maxLine  = 8 << 20
	catalogs = 16
)

var outcomes = map[string]policy.Outcome{
	"Ok": policy.OutcomeSucceeded, "Failed": policy.OutcomeError, "QueueFull": policy.OutcomeRejected, "TimedOut": policy.OutcomeTimedOut,
	"ConnectError": policy.OutcomeConnectFailed, "ResetByPeer": policy.OutcomeReset, "Canceled": policy.OutcomeCanceled,
	"Ignored": policy.OutcomeNotSent,
}

var conditions = map[string]policy.EndpointState{
	"active": policy.StateActive, "leaving": policy.StateDraining, "left": policy.StateRemoved,
}

// instance is one node's module with the host that turns its calls into reply lines.
type instance struct {
	number     []byte
	policy     *policy.Balancer
	categories int
	inbox      gossip.Inbox
	link       *link
}

type link struct {
	in        *bufio.Reader
	out       *bufio.Writer
	instances map[string]*instance
	lists     [catalogs][]policy.EndpointInfo
	given     [catalogs]bool
	now       int64
	line      int

	passedOver int // messages between instances that were no news
	scratch    []byte
	long       []byte
}

// Run serves the wire until the input ends and returns the process's exit code.
func Run(in io.Reader, out, complaints io.Writer) int {
	debug.SetGCPercent(400) // the collector's time is booked to the nodes; the heap is small
	l := &link{
		in: bufio.NewReaderSize(in, 1<<20), out: bufio.NewWriterSize(out, 1<<18),
		instances: map[string]*instance{},
	}
	for {
		err := l.batch()
		if err == io.EOF {
			if l.passedOver > 0 {
				fmt.Fprintf(complaints, "benchlink: %d messages passed over\n", l.passedOver)
			}
			return 0
		}
		if err != nil {
			l.out.Flush()
			fmt.Fprintf(complaints, "benchlink: line %d: %v\n", l.line, err)
			return 1
		}
	}
}

func (l *link) readLine() ([]byte, error) {
	line, err := l.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		l.long = append(l.long[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) && len(l.long) <= maxLine {
			line, err = l.in.ReadSlice('\n')
			l.long = append(l.long, line...)
		}
		if len(l.long) > maxLine {
			l.line++
			return nil, fmt.Errorf("expected a line of at most %d bytes", maxLine)
		}
		line = l.long
	}
	l.line++
	if err == io.EOF && len(line) > 0 {
		return nil, errors.New("expected a whole line, the input ends within it")
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'}), nil
}

func (l *link) batch() error {
	text, err := l.readLine()
	if err != nil {
		return err
	}
	f := fields{rest: text}
	if name := f.word("message"); string(name) != "BEGIN_BATCH" {
		return fmt.Errorf("message: expected BEGIN_BATCH, got %q", name)
	}
	l.now = f.time("clock")
	if f.err != nil {
		return f.err
	}
	for {
		if text, err = l.readLine(); err == io.EOF {
			return errors.New("message: expected EOB, the input ends within a batch")
		} else if err != nil {
			return err
		}
		f = fields{rest: text}
		name := f.word("message")
		if string(name) == "EOB" {
			break
		}
		if err = l.event(name, &f); err != nil {
			return err
		}
	}
	l.out.WriteString("DONE\n")
	return l.out.Flush()
}

func (l *link) event(name []byte, f *fields) error {
	if string(name) == "CATALOG" {
		return l.catalog(f)
	}
	switch string(name) {
	case "CONFIGURE", "STOP", "REGISTRY", "REQ", "OPENED", "RESOLVED", "WITHDRAWN", "WAKEUP",
		"HEALTH_RESULT", "PEER":
	default:
		return fmt.Errorf("message: expected an event of the wire, got %q", name)
	}
	who := f.word("who")
	if _, err := strconv.ParseUint(string(who), 10, 64); err != nil && f.err == nil {
		return fmt.Errorf("who: expected a whole number, got %q", who)
	}
	if string(name) == "CONFIGURE" {
		return l.configure(who, f)
	}
	i := l.instances[string(who)]
	if i == nil {
		if f.err != nil {
			return f.err
		}
		return fmt.Errorf("who: expected an instance that was configured, got %q", who)
	}
	if string(name) == "STOP" {
		delete(l.instances, string(who))
		return nil
	}
	return i.event(name, f, l)
}

func (l *link) configure(who []byte, f *fields) error {
	seed := f.unsigned("entropy", 64)
	if f.err != nil {
		return f.err
	}
	decoded, err := settings.FromLine(string(f.rest))
	if err != nil {
		return fmt.Errorf("profile_data: %w", err)
	}
	i := &instance{number: append([]byte(nil), who...), link: l, categories: len(decoded.Policy.Classes)}
	l.instances[string(who)] = i
	i.policy = policy.New(decoded.Policy, seed, i)
	return nil
}

func (l *link) catalog(f *fields) error {
	sheet, count := f.sheet(), f.unsigned("nodes_list", 32)
	if f.err != nil {
		return f.err
	}
	list := l.lists[sheet][:0]
	for ; count > 0; count-- {
		text, err := l.readLine()
		if err != nil {
			return fmt.Errorf("nodes_list: expected %d more SERVER lines", count)
		}
		e := fields{rest: text}
		if name := e.word("message"); string(name) != "SERVER" {
			return fmt.Errorf("message: expected SERVER, got %q", name)
		}
		s := policy.EndpointInfo{
			ID:   policy.EndpointID(e.unsigned("server", 32)),
			Zone: int(e.unsigned("site", 31)),
		}
		e.unsigned("class_of_host", 31) // nothing is decided on machine kinds
		s.Pod = int(e.unsigned("cell", 31))
		condition := e.word("condition")
		state, known := conditions[string(condition)]
		s.State = state
		s.Weight = e.decimal("share")
		s.StartedAt = policy.Time(e.timeOrNone("born_us"))
		if e.err == nil && !known {
			e.err = fmt.Errorf("condition: expected active, leaving or left, got %q", condition)
		}
		if e.err != nil {
			return e.err
		}
		list = append(list, s)
	}
	l.lists[sheet], l.given[sheet] = list, true
	return nil
}

// caught, when deferred, reports a panic in the decisions as the wire wants it instead of dying without a word.
func (i *instance) caught() {
	if broken := recover(); broken != nil {
		text := bytes.ReplaceAll(fmt.Append(nil, broken), []byte{'\n'}, []byte{' '})
		i.begin("FATAL").text(string(text)).end()
	}
}

func (i *instance) event(name []byte, f *fields, l *link) error {
	defer i.caught()
	switch string(name) {
	case "REGISTRY":
		form := string(f.word("form"))
		f.word("seq_no")
		switch form {
		case "FAILED":
			if f.err == nil {
				i.policy.WatchFailed(policy.Time(l.now))
			}
			return f.err
		case "INCREMENTAL", "FULL", "SAVED":
		default:
			return fmt.Errorf("form: expected INCREMENTAL, FULL, SAVED or FAILED, got %q", form)
		}
		sheet := f.sheet()
		if f.err == nil && !l.given[sheet] {
			return fmt.Errorf("sheet: expected a list that was given, got %d", sheet)
		}
		if f.err == nil {
			i.policy.EndpointsUpdated(policy.Time(l.now), l.lists[sheet], form != "INCREMENTAL")
		}
	case "REQ":
		t := policy.Request{
			ID:       policy.RequestID(f.word("msg_id")),
			Class:    int(f.unsigned("band", 31)),
			Tenant:   int(f.unsignedOrNone("project", 31)),
			Deadline: policy.Time(f.time("client_deadline_us")),
		}
		marks := f.unsignedOrNone("marks", 63)
		t.ClientRetry = marks&2 != 0
		if cost := f.timeOrNone("cost_guess_us"); marks&1 != 0 && cost > 0 {
			t.CostHint = time.Duration(cost)
		}
		t.Key = f.maybe()
		if f.err == nil && t.Class >= i.categories {
			return fmt.Errorf("band: expected a category of the settings, got %d", t.Class)
		}
		if f.err == nil {
			i.policy.RequestArrived(policy.Time(l.now), t)
		}
	case "RESOLVED":
		a := policy.AttemptResult{
			Request:     policy.RequestID(f.word("msg_id")),
			Elapsed:     time.Duration(f.time("lag_us")),
			Endpoint:    policy.EndpointID(f.unsigned("server", 32)),
			RequestDone: f.truth("over"),
		}
		a.Outcome = outcomes[string(f.word("disposition"))]
		a.Attempt = int(f.unsigned("shot", 31))
		a.Report = f.report()
		if f.err == nil {
			i.policy.AttemptEnded(policy.Time(l.now), a)
		}
	case "OPENED": // no deployment streams its answers
	case "WITHDRAWN":
		if id := policy.RequestID(f.word("msg_id")); f.err == nil {
			i.policy.ClientGone(policy.Time(l.now), id)
		}
	case "WAKEUP":
		if cookie := f.unsigned("cookie", 63); f.err == nil {
			i.policy.TimerFired(policy.Time(l.now), cookie)
		}
	case "HEALTH_RESULT":
		server := policy.EndpointID(f.unsigned("server", 32))
		outcome := outcomes[string(f.word("disposition"))]
		f.time("lag_us")
		if report := f.report(); f.err == nil {
			i.policy.HealthChecked(policy.Time(l.now), server, outcome, report)
		}
	case "PEER":
		from := int(f.unsigned("neighbour", 31))
		octets := f.maybe()
		message, err := base64.StdEncoding.DecodeString(octets)
		if err != nil && f.err == nil {
			f.err = fmt.Errorf("octets: expected base64, got %q", octets)
		}
		if f.err != nil {
			return f.err
		}
		// What is no news is passed over and counted: a peer must not be able to end this process.
		if told, err := i.inbox.Open(from, message, l.now); err != nil {
			l.passedOver++
		} else {
			i.policy.GossipReceived(policy.Time(l.now), told)
		}
	}
	return f.err
}

// fields takes one line's values in turn and keeps the first complaint.
type fields struct {
	rest []byte
	err  error
}

func (f *fields) word(field string) []byte {
	word, rest, _ := bytes.Cut(f.rest, []byte{' '})
	if len(word) == 0 && f.err == nil {
		f.err = fmt.Errorf("%s: expected a value, got none", field)
	}
	f.rest = rest
	return word
}

func (f *fields) maybe() string {
	word, rest, _ := bytes.Cut(f.rest, []byte{' '})
	f.rest = rest
	if string(word) == "-" {
		return ""
	}
	return string(word)
}

func (f *fields) unsigned(field string, bits int) uint64 {
	word := f.word(field)
	v, err := strconv.ParseUint(string(word), 10, bits)
	if err != nil && f.err == nil {
		f.err = fmt.Errorf("%s: expected a whole number below 2^%d, got %q", field, bits, word)
	}
	return v
}

func (f *fields) unsignedOrNone(field string, bits int) uint64 {
	if f.absent() {
		return 0
	}
	return f.unsigned(field, bits)
}

func (f *fields) absent() bool {
	if len(f.rest) == 0 {
		return true
	}
	if f.rest[0] == '-' && (len(f.rest) == 1 || f.rest[1] == ' ') {
		f.word("")
		return true
	}
	return false
}

func (f *fields) time(field string) int64 {
	word := f.word(field)
	v, err := strconv.ParseInt(string(word), 10, 64)
	if (err != nil || v < math.MinInt64/micro || v > math.MaxInt64/micro) && f.err == nil {
		f.err = fmt.Errorf("%s: expected a time in microseconds, got %q", field, word)
	}
	return v * micro
}

func (f *fields) timeOrNone(field string) int64 {
	if f.absent() {
		return 0
	}
	return f.time(field)
}

func (f *fields) decimal(field string) float64 {
	if f.absent() {
		return 0
	}
	word := f.word(field)
	v, err := strconv.ParseFloat(string(word), 64)
	if (err != nil || !(v >= 0) || math.IsInf(v, 0)) && f.err == nil {
		f.err = fmt.Errorf("%s: expected a number of at least 0, got %q", field, word)
	}
	return v
}

func (f *fields) truth(field string) bool {
	word := f.word(field)
	if (len(word) != 1 || word[0] != '0' && word[0] != '1') && f.err == nil {
		f.err = fmt.Errorf("%s: expected 1 or 0, got %q", field, word)
	}
	return len(word) == 1 && word[0] == '1'
}

func (f *fields) sheet() uint64 {
	v := f.unsigned("sheet", 31)
	if v >= catalogs {
		if f.err == nil {
			f.err = fmt.Errorf("sheet: expected a number from 0 to %d, got %d", catalogs-1, v)
		}
		return 0
	}
	return v
}

// report skips names it does not know and values that cannot be a load.
func (f *fields) report() policy.LoadReport {
	r := policy.LoadReport{Utilization: -1, QueueLength: -1, ServiceTime: -1}
	if f.absent() {
		return r
	}
	for text := f.word("gauge"); len(text) > 0; {
		var pair []byte
		pair, text, _ = bytes.Cut(text, []byte{','})
		name, value, ok := bytes.Cut(pair, []byte{':'})
		if !ok {
			if f.err == nil {
				f.err = fmt.Errorf("gauge: expected name:value pairs, got %q", pair)
			}
			return r
		}
		v, err := strconv.ParseFloat(string(value), 64)
		if err != nil && !errors.Is(err, strconv.ErrRange) && f.err == nil {
			f.err = fmt.Errorf("gauge: expected a number for %s, got %q", name, value)
		}
		if !(v >= 0) || math.IsInf(v, 0) {
			continue
		}
		switch string(name) {
		case "util":
			r.Utilization = v
		case "queue":
			r.QueueLength = v
		case "latency_ms":
			r.ServiceTime = v
		}
	}
	return r
}

// reply builds one action line in the link's scratch space.
type reply struct{ link *link }

func (i *instance) begin(name string) reply {
	b := append(i.link.scratch[:0], name...)
	b = append(b, ' ')
	i.link.scratch = append(b, i.number...)
	return reply{i.link}
}

func (r reply) text(s string) reply {
	r.link.scratch = append(append(r.link.scratch, ' '), s...)
	return r
}

func (r reply) int(v int64) reply {
	r.link.scratch = strconv.AppendInt(append(r.link.scratch, ' '), v, 10)
	return r
}

func (r reply) end() { r.link.out.Write(append(r.link.scratch, '\n')) }

// inMicros rounds up, so that a timer never comes early and a wait is never nought.
func inMicros(ns int64) int64 { return (ns + micro - 1) / micro }

func (i *instance) Send(task policy.RequestID, server policy.EndpointID, timeOut time.Duration) {
	i.begin("ISSUE").text(string(task)).int(int64(server)).int(max(1, timeOut.Microseconds())).end()
}

func (i *instance) Cancel(task policy.RequestID, number int) {
	i.begin("RECALL").text(string(task)).int(int64(number)).end()
}

func (i *instance) Reject(task policy.RequestID, comeBackIn time.Duration) {
	i.begin("BUSY").text(string(task)).int(inMicros(int64(comeBackIn))).end()
}

func (i *instance) Fail(task policy.RequestID) { i.begin("FINISH_ERROR").text(string(task)).end() }

func (i *instance) SetTimer(at policy.Time, cookie uint64) {
	i.begin("AFTER").int(inMicros(int64(at))).int(int64(cookie)).end()
}

func (i *instance) WatchEndpoints() { i.begin("OBSERVE").int(1).end() }

func (i *instance) CloseIdle(server policy.EndpointID) { i.begin("RELEASE").int(int64(server)).end() }

func (i *instance) Gossip(n policy.GossipMessage) {
	i.begin("ANNOUNCE").text("all").text(base64.StdEncoding.EncodeToString(gossip.Encode(n, i.link.now))).end()
}

func (i *instance) CheckHealth(server policy.EndpointID) { i.begin("TEST").int(int64(server)).end() }
