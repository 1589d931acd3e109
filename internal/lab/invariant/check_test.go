package invariant

import (
	"strings"
	"testing"

	"fawnglade/internal/lab/model"
)

const ms = int64(1e6)

var rules = Rules{StopSendingWithin: 500 * ms, PollWithin: 10000 * ms, AnswerGrace: 20 * ms, Slack: 50 * ms}

var classes = []Class{
	{Name: "view"},
	{Name: "update", Idempotency: IdempotentByKey, DedupGroup: DedupZone, DedupWindow: 2000 * ms},
	{Name: "pay", Idempotency: NonIdempotent},
	{Name: "wide", Idempotency: IdempotentByKey, DedupGroup: DedupFleet, DedupWindow: 2000 * ms},
}

// newHistory has one node that watches from its start.
func newHistory() *History {
	l := &History{}
	l.RecordProcess(&Process{Node: 0, Incarnation: 1})
	l.RecordWatch(&Watch{Node: 0, Incarnation: 1, From: 0, To: Never})
	return l
}

func (l *History) addRequest(category int, change func(*Request)) *History {
	t := &Request{ID: "t", Incarnation: 1, Class: category, SentAt: 1000 * ms, Deadline: 2000 * ms}
	l.RecordRequest(t)
	change(t)
	return l
}

func (l *History) addAttempt(first int64, change func(*Attempt)) *History {
	h := &Attempt{Request: "t", Zone: "a", FirstByteAt: first * ms}
	l.RecordAttempt(h)
	h.LastByteAt = h.FirstByteAt
	if change != nil {
		change(h)
	}
	return l
}

func answered(at int64, status int) func(*Request) {
	return func(t *Request) { t.AnsweredAt, t.Status = at*ms, status }
}

func rejected(at int64) func(*Attempt) {
	return func(h *Attempt) { h.Rejected, h.AnsweredAt, h.Status = true, at*ms, 503 }
}

func failed(at int64) func(*Attempt) {
	return func(h *Attempt) { h.AnsweredAt, h.Status = at*ms, 500 }
}

// Each case is a history in which one thing happened; want is the beginning of the one violation, or empty.
func TestResponsesAndRepeats(t *testing.T) {
	for name, c := range map[string]struct {
		l    *History
		want string
	}{
		"satisfied":                            {newHistory().addAttempt(1001, failed(1010)).addAttempt(1020, nil).addRequest(0, answered(1100, 200)), ""},
		"answered within the grace":            {newHistory().addRequest(0, answered(2060, 502)), ""},
		"answered late":                        {newHistory().addRequest(0, answered(2080, 502)), "rule 1 at 2.080"},
		"never answered":                       {newHistory().addRequest(0, func(*Request) {}), "rule 1 at 2.070 s, node 0: no answer"},
		"client left":                          {newHistory().addRequest(0, func(t *Request) { t.CanceledAt = 1500 * ms }), ""},
		"connection ended":                     {newHistory().addRequest(0, func(t *Request) { t.ClosedAt = 1200 * ms }), "rule 1 at 1.200 s, node 0: connection ended"},
		"crossed by a close":                   {newHistory().addRequest(0, func(t *Request) { t.CloseRaceAt = 1200 * ms }), ""},
		"attempted, then closed":               {newHistory().addAttempt(1001, failed(1002)).addRequest(0, func(t *Request) { t.CloseRaceAt = 1200 * ms }), "rule 1 at 1.200 s, node 0: connection ended"},
		"cut in the middle of it":              {newHistory().addRequest(0, func(t *Request) { t.Truncated = true }), ""},
		"of another request":                   {newHistory().addRequest(0, func(t *Request) { answered(1100, 200)(t); t.ForeignBody = true }), "rule 1 at 1.100 s, node 0: answered with what no server"},
		"answered twice":                       {newHistory().addRequest(0, func(t *Request) { answered(1100, 200)(t); t.ExtraAt = 1101 * ms }), "rule 1 at 1.101 s, node 0: a second answer"},
		"sent after the answer":                {newHistory().addAttempt(1001, failed(1002)).addAttempt(1300, nil).addRequest(0, answered(1100, 503)), "rule 1 at 1.300 s, node 0: sent to a server after"},
		"sent just after, as seen":             {newHistory().addAttempt(1001, failed(1002)).addAttempt(1140, nil).addRequest(0, answered(1100, 503)), ""},
		"non-idempotent, rejected first":       {newHistory().addAttempt(1001, rejected(1002)).addAttempt(1003, nil).addRequest(2, answered(1100, 200)), ""},
		"non-idempotent, never complete first": {newHistory().addAttempt(1001, func(h *Attempt) { h.LastByteAt = Never }).addAttempt(1003, nil).addRequest(2, answered(1100, 200)), ""},
		"non-idempotent, failed first":         {newHistory().addAttempt(1001, failed(1002)).addAttempt(1003, nil).addRequest(2, answered(1100, 200)), "rule 2 at 1.003 s, node 0: an exclusive task sent again"},
		"non-idempotent, unknown first":        {newHistory().addAttempt(1001, func(h *Attempt) { h.ClosedAt = 1002 * ms }).addAttempt(1003, nil).addRequest(2, answered(1100, 200)), "rule 2 at 1.003"},
		"non-idempotent, rejected later":       {newHistory().addAttempt(1001, rejected(1050)).addAttempt(1003, nil).addRequest(2, answered(1100, 200)), "rule 2 at 1.003"},
		"non-idempotent, rejected after":       {newHistory().addAttempt(1001, failed(1002)).addRequest(2, answered(1100, 503)), "rule 2 at 1.100 s, node 0: declined though it may have run"},
		"non-idempotent, rejected, never ran":  {newHistory().addAttempt(1001, rejected(1002)).addRequest(2, answered(1100, 429)), ""},
		"non-idempotent, failed":               {newHistory().addAttempt(1001, failed(1002)).addRequest(2, answered(1100, 502)), ""},
		"by key in its group":                  {newHistory().addAttempt(1001, failed(1002)).addAttempt(1003, nil).addRequest(1, answered(1100, 200)), ""},
		"by key outside it":                    {newHistory().addAttempt(1001, failed(1002)).addAttempt(1003, func(h *Attempt) { h.Zone = "b" }).addRequest(1, answered(1100, 200)), "rule 2 at 1.003 s, node 0: a ticketed task that may have run sent again outside"},
		"by key outside, never ran":            {newHistory().addAttempt(1001, rejected(1002)).addAttempt(1003, func(h *Attempt) { h.Zone = "b" }).addRequest(1, answered(1100, 200)), ""},
		"by key after the span": {
			newHistory().addAttempt(1001, failed(1002)).addAttempt(3100, nil).addRequest(1, func(t *Request) { t.Deadline = 9000 * ms; answered(3200, 200)(t) }),
			"rule 2 at 3.100 s, node 0: a ticketed task that may have run sent again after the memory",
		},
		"by key, rejected":       {newHistory().addAttempt(1001, failed(1002)).addRequest(1, answered(1100, 503)), "rule 2 at 1.100"},
		"by key, fleet rejected": {newHistory().addAttempt(1001, failed(1002)).addRequest(3, answered(1100, 503)), ""},
		"two in flight at once":  {newHistory().addAttempt(1001, func(h *Attempt) { h.AnsweredAt = 1090 * ms }).addAttempt(1003, nil).addRequest(0, answered(1100, 200)), "rule 2 at 1.003 s, node 0: a second copy"},
		"given up, then again":   {newHistory().addAttempt(1001, func(h *Attempt) { h.ClosedAt = 1004 * ms }).addAttempt(1003, nil).addRequest(0, answered(1100, 200)), ""},
	} {
		got := c.l.Check(classes, rules)
		switch {
		case c.want == "" && len(got) > 0:
			t.Errorf("%s: %v, want nothing broken", name, got)
		case c.want != "" && (len(got) != 1 || !strings.HasPrefix(got[0].String(), c.want) || !strings.Contains(got[0].String(), "task t")):
			t.Errorf("%s: %v, want %q once, with its task", name, got, c.want)
		}
	}
}

func listEntry(at int64, h model.State) ListEntry {
	return ListEntry{Incarnation: 1, State: h, At: at * ms}
}

func TestAttemptsAtDrainingEndpoints(t *testing.T) {
	for name, c := range map[string]struct {
		told []ListEntry
		sent int64
		want bool
	}{
		"within the grace":       {[]ListEntry{listEntry(0, model.Up), listEntry(1000, model.Draining)}, 1540, false},
		"after it":               {[]ListEntry{listEntry(0, model.Up), listEntry(1000, model.Draining)}, 1560, true},
		"after it, gone":         {[]ListEntry{listEntry(1000, model.Removed)}, 1560, true},
		"not counted anew":       {[]ListEntry{listEntry(1000, model.Draining), listEntry(1400, model.Draining)}, 1560, true},
		"back again":             {[]ListEntry{listEntry(1000, model.Draining), listEntry(1400, model.Up)}, 1560, false},
		"never told":             {nil, 1560, false},
		"told to an earlier one": {[]ListEntry{{Incarnation: 0, State: model.Draining, At: 100 * ms}}, 1560, false},
	} {
		l := newHistory().addAttempt(c.sent, nil).addRequest(0, func(t *Request) { t.SentAt, t.Deadline = c.sent*ms-1, 9000*ms; answered(c.sent+9, 200)(t) })
		l.RecordEntries(c.told...)
		got := l.Check(classes, rules)
		if c.want != (len(got) == 1) || c.want && (got[0].Rule != 3 || got[0].At != c.sent*ms || got[0].Attempt != 0) {
			t.Errorf("%s: %v, want broken %v", name, got, c.want)
		}
	}
}

// A node that knows of a drain sends to the endpoint after discovery has listed it as up to others.
func TestDrainListedUpAgain(t *testing.T) {
	for name, c := range map[string]struct {
		listed []ListChange
		hears  bool
		want   bool
	}{
		"up again":            {[]ListChange{{Endpoint: 0, State: model.Draining, At: 900 * ms}, {Endpoint: 0, State: model.Up, At: 1200 * ms}}, true, false},
		"and nodes don't ask": {[]ListChange{{Endpoint: 0, State: model.Up, At: 1200 * ms}}, false, true},
		"up before alone":     {[]ListChange{{Endpoint: 0, State: model.Up, At: 900 * ms}}, true, true},
		"up, and out again":   {[]ListChange{{Endpoint: 0, State: model.Up, At: 1200 * ms}, {Endpoint: 0, State: model.Removed, At: 1500 * ms}}, true, true},
		"up only later":       {[]ListChange{{Endpoint: 0, State: model.Up, At: 2001 * ms}}, true, true},
		"another":             {[]ListChange{{Endpoint: 1, State: model.Up, At: 1200 * ms}}, true, true},
	} {
		l := newHistory().addAttempt(2000, nil).addRequest(0, func(t *Request) { t.SentAt, t.Deadline = 1999*ms, 9000*ms; answered(2009, 200)(t) })
		l.RecordEntries(listEntry(1000, model.Draining))
		for _, one := range c.listed {
			l.RecordListChange(one)
		}
		r := rules
		r.ListGossip = c.hears
		if got := l.Check(classes, r); c.want != (len(got) == 1) {
			t.Errorf("%s: %v, want broken %v", name, got, c.want)
		}
	}
}

// A node that does not poll is presumed to know the list of PollWithin ago.
func TestMissedPolls(t *testing.T) {
	for name, c := range map[string]struct {
		watch Watch
		sent  int64
		want  bool
	}{
		"asked no more":             {Watch{From: 0, To: 1000 * ms}, 13100, true},
		"not long enough ago":       {Watch{From: 0, To: 1000 * ms}, 12400, false},
		"watches on":                {Watch{From: 0, To: Never}, 13100, false},
		"its last call came to no ": {Watch{From: 1000 * ms, To: 1000 * ms, Failed: true}, 13100, false},
	} {
		l := &History{}
		l.RecordProcess(&Process{Incarnation: 1})
		w := c.watch
		w.Incarnation = 1
		l.RecordWatch(&w)
		l.RecordListChange(ListChange{State: model.Draining, At: 2000 * ms})
		l.addAttempt(c.sent, nil).addRequest(0, func(t *Request) { t.SentAt, t.Deadline = c.sent*ms-1, 99000*ms; answered(c.sent+9, 200)(t) })
		if got := l.Check(classes, rules); c.want != (len(got) == 1) {
			t.Errorf("%s: %v, want broken %v", name, got, c.want)
		}
	}
}

func TestSlowStartCrashes(t *testing.T) {
	fall := func(knowing, unknowing int) *History {
		l := newHistory()
		l.RecordProcess(&Process{Node: 1, Incarnation: 1})
		l.RecordWatch(&Watch{Node: 1, Incarnation: 1, To: Never})
		l.RecordEntries(ListEntry{Node: 0, Incarnation: 1, Endpoint: 4, StartedAt: 77, At: 10 * ms})
		f := Crash{Endpoint: 4, StartedAt: 77, Crash: model.Crash{At: 900 * ms, Capacity: 0.5}}
		for i := range knowing + unknowing {
			node := 0
			if i >= knowing {
				node = 1
			}
			f.Arrivals = append(f.Arrivals, model.Arrival{At: 800 * ms, Work: 1, Node: node})
			f.Work++
		}
		l.RecordCrash(f)
		return l
	}
	if got := fall(4, 2).Check(classes, rules); len(got) != 1 || got[0].Rule != 4 || got[0].Endpoint != 4 || got[0].Node != 0 || got[0].At != 900*ms {
		t.Errorf("pushed by those who knew: %v, want rule 4 broken by node 0 at server 4", got)
	}
	if got := fall(3, 2).Check(classes, rules); len(got) != 0 {
		t.Errorf("pushed by those who did not know: %v, want nothing broken", got)
	}
}

// Faults of the run itself are not held against a node, nor what the lab saw late.
func TestExcusedTimeAndLagAreNoViolations(t *testing.T) {
	l := newHistory().addRequest(0, func(t *Request) { t.ClosedAt = 1500 * ms })
	l.Excuse(l.Processes[0], Interval{1200 * ms, Never})
	if got := l.Check(classes, rules); len(got) != 0 {
		t.Errorf("killed outright: %v, want nothing broken", got)
	}
	l = newHistory().addRequest(0, func(t *Request) { t.ClosedAt = 1100 * ms })
	l.Excuse(l.Processes[0], Interval{1200 * ms, Never})
	if got := l.Check(classes, rules); len(got) != 1 {
		t.Errorf("lost before it was killed: %v, want rule 1 broken", got)
	}
	late := rules
	late.Lag = func(int64) int64 { return 30 * ms }
	if got := newHistory().addRequest(0, answered(2080, 502)).Check(classes, late); len(got) != 0 {
		t.Errorf("seen late by a rig that ran late: %v, want nothing broken", got)
	}
}

// A second process sends to an endpoint that the first knew to drain: a violation where the state is persisted, unless the
// entry came in the first one's last moment, or the second received another.
func TestPersistedKnowledge(t *testing.T) {
	for name, c := range map[string]struct {
		remembers bool
		told      []ListEntry
		want      bool
	}{
		"kept":               {true, []ListEntry{listEntry(300, model.Draining)}, true},
		"lost":               {false, []ListEntry{listEntry(300, model.Draining)}, false},
		"in the last moment": {true, []ListEntry{listEntry(950, model.Draining)}, false},
		"up before the end":  {true, []ListEntry{listEntry(300, model.Draining), listEntry(500, model.Up)}, false},
		"told otherwise":     {true, []ListEntry{listEntry(300, model.Draining), {Incarnation: 2, State: model.Up, At: 1100 * ms}}, false},
	} {
		l := &History{}
		l.RecordProcess(&Process{Incarnation: 1})
		l.Processes[0].EndedAt = 1000 * ms
		l.RecordProcess(&Process{Incarnation: 2, StartedAt: 1050 * ms, Persistent: c.remembers})
		l.RecordWatch(&Watch{Incarnation: 1, To: 1000 * ms})
		l.RecordWatch(&Watch{Incarnation: 2, From: 1050 * ms, To: Never})
		l.RecordEntries(c.told...)
		l.addAttempt(2000, nil).addRequest(0, func(t *Request) { t.Incarnation, t.SentAt, t.Deadline = 2, 1999*ms, 9000*ms; answered(2009, 200)(t) })
		if got := l.Check(classes, rules); c.want != (len(got) == 1) {
			t.Errorf("%s: %v, want broken %v", name, got, c.want)
		}
	}
}

// The delay that a run puts on links counts for what is observed at their far end, and not for a node's responses.
func TestLinkDelay(t *testing.T) {
	slow := rules
	slow.LinkDelay = func(int64) int64 { return 200 * ms }
	l := newHistory().addAttempt(1700, nil).addRequest(0, func(t *Request) { t.SentAt, t.Deadline = 1699*ms, 9000*ms; answered(1709, 200)(t) })
	l.RecordEntries(listEntry(1000, model.Draining))
	if got := l.Check(classes, slow); len(got) != 0 {
		t.Errorf("held up on the way: %v", got)
	}
	if got := newHistory().addRequest(0, answered(2200, 502)).Check(classes, slow); len(got) != 1 {
		t.Errorf("an answer past its time: %v, want rule 1 broken", got)
	}
}
