package invariant

import (
	"fawnglade/internal/lab/model"
	"strings"
	"testing"
)

const ms = int64(1e6)

var rules = Rules{StopSending: 500 * ms, PollWithin: 10000 * ms, AnswerGrace: 20 * ms, Slack: 50 * ms}

var categories = []Class{
	{Name: "view"},
	{Name: "update", Idempotency: IdempotentByKey, DedupGroup: DedupZone, DedupWindow: 2000 * ms},
	{Name: "pay", Idempotency: NonIdempotent},
	{Name: "wide", Idempotency: IdempotentByKey, DedupGroup: DedupFleet, DedupWindow: 2000 * ms},
}

// day is a ledger with one node that watches from its start.
func day() *History {
	l := &History{}
	l.RecordProcess(&Process{Node: 0, Incarnation: 1})
	l.RecordWatch(&Watch{Node: 0, Incarnation: 1, From: 0, To: Never})
	return l
}

func (l *History) request(category int, change func(*Request)) *History {
	t := &Request{ID: "t", Incarnation: 1, Class: category, SentAt: 1000 * ms, Deadline: 2000 * ms}
	l.RecordRequest(t)
	change(t)
	return l
}

func (l *History) attempt(first int64, change func(*Attempt)) *History {
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

func turned(at int64) func(*Attempt) {
	return func(h *Attempt) { h.Rejected, h.AnsweredAt, h.Status = true, at*ms, 503 }
}

func failed(at int64) func(*Attempt) {
	return func(h *Attempt) { h.AnsweredAt, h.Status = at*ms, 500 }
}

// Each case is a day in which one thing happened; want is the rule that it breaks and words of what is said, or none.
func TestJudge(t *testing.T) {
	for name, c := range map[string]struct {
		l    *History
		want string
	}{
		"satisfied":                    {day().attempt(1001, failed(1010)).attempt(1020, nil).request(0, answered(1100, 200)), ""},
		"answered within the grace":    {day().request(0, answered(2060, 502)), ""},
		"answered late":                {day().request(0, answered(2080, 502)), "rule 1 at 2.080"},
		"never answered":               {day().request(0, func(*Request) {}), "rule 1 at 2.070 s, node 0: no answer"},
		"client left":                  {day().request(0, func(t *Request) { t.CanceledAt = 1500 * ms }), ""},
		"connection ended":             {day().request(0, func(t *Request) { t.ClosedAt = 1200 * ms }), "rule 1 at 1.200 s, node 0: connection ended"},
		"crossed by a close":           {day().request(0, func(t *Request) { t.CrossedAt = 1200 * ms }), ""},
		"taken, then closed":           {day().attempt(1001, failed(1002)).request(0, func(t *Request) { t.CrossedAt = 1200 * ms }), "rule 1 at 1.200 s, node 0: connection ended"},
		"cut in the middle of it":      {day().request(0, func(t *Request) { t.Truncated = true }), ""},
		"of another task":              {day().request(0, func(t *Request) { answered(1100, 200)(t); t.ForeignBody = true }), "rule 1 at 1.100 s, node 0: answered with what no server"},
		"answered twice":               {day().request(0, func(t *Request) { answered(1100, 200)(t); t.ExtraAt = 1101 * ms }), "rule 1 at 1.101 s, node 0: a second answer"},
		"sent after the answer":        {day().attempt(1001, failed(1002)).attempt(1300, nil).request(0, answered(1100, 503)), "rule 1 at 1.300 s, node 0: sent to a server after"},
		"sent just after, as seen":     {day().attempt(1001, failed(1002)).attempt(1140, nil).request(0, answered(1100, 503)), ""},
		"exclusive, turned away first": {day().attempt(1001, turned(1002)).attempt(1003, nil).request(2, answered(1100, 200)), ""},
		"exclusive, never whole first": {day().attempt(1001, func(h *Attempt) { h.LastByteAt = Never }).attempt(1003, nil).request(2, answered(1100, 200)), ""},
		"exclusive, failed first":      {day().attempt(1001, failed(1002)).attempt(1003, nil).request(2, answered(1100, 200)), "rule 2 at 1.003 s, node 0: an exclusive task sent again"},
		"exclusive, unknown first":     {day().attempt(1001, func(h *Attempt) { h.ClosedAt = 1002 * ms }).attempt(1003, nil).request(2, answered(1100, 200)), "rule 2 at 1.003"},
		"exclusive, turned away later": {day().attempt(1001, turned(1050)).attempt(1003, nil).request(2, answered(1100, 200)), "rule 2 at 1.003"},
		"exclusive, declined after":    {day().attempt(1001, failed(1002)).request(2, answered(1100, 503)), "rule 2 at 1.100 s, node 0: declined though it may have run"},
		"exclusive, declined, never":   {day().attempt(1001, turned(1002)).request(2, answered(1100, 429)), ""},
		"exclusive, broken off":        {day().attempt(1001, failed(1002)).request(2, answered(1100, 502)), ""},
		"ticketed in its group":        {day().attempt(1001, failed(1002)).attempt(1003, nil).request(1, answered(1100, 200)), ""},
		"ticketed outside it":          {day().attempt(1001, failed(1002)).attempt(1003, func(h *Attempt) { h.Zone = "b" }).request(1, answered(1100, 200)), "rule 2 at 1.003 s, node 0: a ticketed task that may have run sent again outside"},
		"ticketed outside, never ran":  {day().attempt(1001, turned(1002)).attempt(1003, func(h *Attempt) { h.Zone = "b" }).request(1, answered(1100, 200)), ""},
		"ticketed after the span": {
			day().attempt(1001, failed(1002)).attempt(3100, nil).request(1, func(t *Request) { t.Deadline = 9000 * ms; answered(3200, 200)(t) }),
			"rule 2 at 3.100 s, node 0: a ticketed task that may have run sent again after the memory",
		},
		"ticketed, declined":       {day().attempt(1001, failed(1002)).request(1, answered(1100, 503)), "rule 2 at 1.100"},
		"ticketed, fleet declined": {day().attempt(1001, failed(1002)).request(3, answered(1100, 503)), ""},
		"two out at once":          {day().attempt(1001, func(h *Attempt) { h.AnsweredAt = 1090 * ms }).attempt(1003, nil).request(0, answered(1100, 200)), "rule 2 at 1.003 s, node 0: a second copy"},
		"given up, then again":     {day().attempt(1001, func(h *Attempt) { h.ClosedAt = 1004 * ms }).attempt(1003, nil).request(0, answered(1100, 200)), ""},
	} {
		got := c.l.Check(categories, rules)
		switch {
		case c.want == "" && len(got) > 0:
			t.Errorf("%s: %v, want nothing broken", name, got)
		case c.want != "" && (len(got) != 1 || !strings.HasPrefix(got[0].String(), c.want) || !strings.Contains(got[0].String(), "task t")):
			t.Errorf("%s: %v, want %q once, with its task", name, got, c.want)
		}
	}
}

func told(at int64, h model.State) ListEntry { return ListEntry{Incarnation: 1, State: h, At: at * ms} }

func TestDrains(t *testing.T) {
	for name, c := range map[string]struct {
		told []ListEntry
		sent int64
		want bool
	}{
		"within the grace":       {[]ListEntry{told(0, model.Up), told(1000, model.Draining)}, 1540, false},
		"after it":               {[]ListEntry{told(0, model.Up), told(1000, model.Draining)}, 1560, true},
		"after it, gone":         {[]ListEntry{told(1000, model.Removed)}, 1560, true},
		"not counted anew":       {[]ListEntry{told(1000, model.Draining), told(1400, model.Draining)}, 1560, true},
		"back again":             {[]ListEntry{told(1000, model.Draining), told(1400, model.Up)}, 1560, false},
		"never told":             {nil, 1560, false},
		"told to an earlier one": {[]ListEntry{{Incarnation: 0, State: model.Draining, At: 100 * ms}}, 1560, false},
	} {
		l := day().attempt(c.sent, nil).request(0, func(t *Request) { t.SentAt, t.Deadline = c.sent*ms-1, 9000*ms; answered(c.sent+9, 200)(t) })
		l.RecordEntries(c.told...)
		got := l.Check(categories, rules)
		if c.want != (len(got) == 1) || c.want && (got[0].Rule != 3 || got[0].At != c.sent*ms || got[0].Attempt != 0) {
			t.Errorf("%s: %v, want broken %v", name, got, c.want)
		}
	}
}

// TestByOthers has a node that was told of a drain send to the server after discovery has listed it as up to others.
func TestByOthers(t *testing.T) {
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
		l := day().attempt(2000, nil).request(0, func(t *Request) { t.SentAt, t.Deadline = 1999*ms, 9000*ms; answered(2009, 200)(t) })
		l.RecordEntries(told(1000, model.Draining))
		for _, one := range c.listed {
			l.RecordListChange(one)
		}
		r := rules
		r.ListGossip = c.hears
		if got := l.Check(categories, r); c.want != (len(got) == 1) {
			t.Errorf("%s: %v, want broken %v", name, got, c.want)
		}
	}
}

// A node that does not ask is taken to know what stood on the list so long ago.
func TestUnasked(t *testing.T) {
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
		l.attempt(c.sent, nil).request(0, func(t *Request) { t.SentAt, t.Deadline = c.sent*ms-1, 99000*ms; answered(c.sent+9, 200)(t) })
		if got := l.Check(categories, rules); c.want != (len(got) == 1) {
			t.Errorf("%s: %v, want broken %v", name, got, c.want)
		}
	}
}

func TestFalls(t *testing.T) {
	fall := func(knowing, unknowing int) *History {
		l := day()
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
	if got := fall(4, 2).Check(categories, rules); len(got) != 1 || got[0].Rule != 4 || got[0].Endpoint != 4 || got[0].Node != 0 || got[0].At != 900*ms {
		t.Errorf("pushed by those who knew: %v, want rule 4 broken by node 0 at server 4", got)
	}
	if got := fall(3, 2).Check(categories, rules); len(got) != 0 {
		t.Errorf("pushed by those who did not know: %v, want nothing broken", got)
	}
}

// What the day itself did to a node is not held against it, nor what the rig saw late.
func TestExcused(t *testing.T) {
	l := day().request(0, func(t *Request) { t.ClosedAt = 1500 * ms })
	l.Excuse(l.Processes[0], Span{1200 * ms, Never})
	if got := l.Check(categories, rules); len(got) != 0 {
		t.Errorf("killed outright: %v, want nothing broken", got)
	}
	l = day().request(0, func(t *Request) { t.ClosedAt = 1100 * ms })
	l.Excuse(l.Processes[0], Span{1200 * ms, Never})
	if got := l.Check(categories, rules); len(got) != 1 {
		t.Errorf("lost before it was killed: %v, want rule 1 broken", got)
	}
	late := rules
	late.Lag = func(int64) int64 { return 30 * ms }
	if got := day().request(0, answered(2080, 502)).Check(categories, late); len(got) != 0 {
		t.Errorf("seen late by a rig that ran late: %v, want nothing broken", got)
	}
}

// TestRemembered has a second life send to a server that the first was told drains: a break where the node kept its disk, unless the
// word came in the first one's last moment, or the second was told otherwise.
func TestRemembered(t *testing.T) {
	for name, c := range map[string]struct {
		remembers bool
		told      []ListEntry
		want      bool
	}{
		"kept":               {true, []ListEntry{told(300, model.Draining)}, true},
		"lost":               {false, []ListEntry{told(300, model.Draining)}, false},
		"in the last moment": {true, []ListEntry{told(950, model.Draining)}, false},
		"up before the end":  {true, []ListEntry{told(300, model.Draining), told(500, model.Up)}, false},
		"told otherwise":     {true, []ListEntry{told(300, model.Draining), {Incarnation: 2, State: model.Up, At: 1100 * ms}}, false},
	} {
		l := &History{}
		l.RecordProcess(&Process{Incarnation: 1})
		l.Processes[0].EndedAt = 1000 * ms
		l.RecordProcess(&Process{Incarnation: 2, StartedAt: 1050 * ms, Persistent: c.remembers})
		l.RecordWatch(&Watch{Incarnation: 1, To: 1000 * ms})
		l.RecordWatch(&Watch{Incarnation: 2, From: 1050 * ms, To: Never})
		l.RecordEntries(c.told...)
		l.attempt(2000, nil).request(0, func(t *Request) { t.Incarnation, t.SentAt, t.Deadline = 2, 1999*ms, 9000*ms; answered(2009, 200)(t) })
		if got := l.Check(categories, rules); c.want != (len(got) == 1) {
			t.Errorf("%s: %v, want broken %v", name, got, c.want)
		}
	}
}

// TestOnWay gives the time that a day holds up on a way to what is judged at its far end, and not to a node's answers.
func TestOnWay(t *testing.T) {
	slow := rules
	slow.LinkDelay = func(int64) int64 { return 200 * ms }
	l := day().attempt(1700, nil).request(0, func(t *Request) { t.SentAt, t.Deadline = 1699*ms, 9000*ms; answered(1709, 200)(t) })
	l.RecordEntries(told(1000, model.Draining))
	if got := l.Check(categories, slow); len(got) != 0 {
		t.Errorf("held up on the way: %v", got)
	}
	if got := day().request(0, answered(2200, 502)).Check(categories, slow); len(got) != 1 {
		t.Errorf("an answer past its time: %v, want rule 1 broken", got)
	}
}
