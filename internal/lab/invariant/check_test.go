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

// newHistory returns a history with one node that watches the endpoint list from its start.
func newHistory() *History {
	l := &History{}
	l.RecordProcess(&Process{Node: 0, Incarnation: 1})
	l.RecordWatch(&Watch{Node: 0, Incarnation: 1, From: 0, To: Never})
	return l
}

func (h *History) addRequest(class int, change func(*Request)) *History {
	r := &Request{ID: "t", Incarnation: 1, Class: class, SentAt: 1000 * ms, Deadline: 2000 * ms}
	h.RecordRequest(r)
	change(r)
	return h
}

func (h *History) addAttempt(firstByteMs int64, change func(*Attempt)) *History {
	a := &Attempt{Request: "t", Zone: "a", FirstByteAt: firstByteMs * ms}
	h.RecordAttempt(a)
	a.LastByteAt = a.FirstByteAt
	if change != nil {
		change(a)
	}
	return h
}

func answered(at int64, status int) func(*Request) {
	return func(r *Request) { r.AnsweredAt, r.Status = at*ms, status }
}

func rejected(at int64) func(*Attempt) {
	return func(a *Attempt) { a.Rejected, a.AnsweredAt, a.Status = true, at*ms, 503 }
}

func failed(at int64) func(*Attempt) {
	return func(a *Attempt) { a.AnsweredAt, a.Status = at*ms, 500 }
}

// Each case is a history with a single event; want is the prefix of the one violation, or empty for none.
func TestResponsesAndRepeats(t *testing.T) {
	for name, c := range map[string]struct {
		history *History
		want    string
	}{
		"satisfied":                                    {newHistory().addAttempt(1001, failed(1010)).addAttempt(1020, nil).addRequest(0, answered(1100, 200)), ""},
		"answered within the grace":                    {newHistory().addRequest(0, answered(2060, 502)), ""},
		"answered late":                                {newHistory().addRequest(0, answered(2080, 502)), "rule 1 at 2.080"},
		"never answered":                               {newHistory().addRequest(0, func(*Request) {}), "rule 1 at 2.070 s, node 0: no answer"},
		"client canceled":                              {newHistory().addRequest(0, func(r *Request) { r.CanceledAt = 1500 * ms }), ""},
		"connection ended":                             {newHistory().addRequest(0, func(r *Request) { r.ClosedAt = 1200 * ms }), "rule 1 at 1.200 s, node 0: connection ended"},
		"resent after a close race":                    {newHistory().addRequest(0, func(r *Request) { r.CloseRaceAt = 1200 * ms }), ""},
		"attempted, then a close race":                 {newHistory().addAttempt(1001, failed(1002)).addRequest(0, func(r *Request) { r.CloseRaceAt = 1200 * ms }), "rule 1 at 1.200 s, node 0: connection ended"},
		"response truncated":                           {newHistory().addRequest(0, func(r *Request) { r.Truncated = true }), ""},
		"response of another request":                  {newHistory().addRequest(0, func(r *Request) { answered(1100, 200)(r); r.ForeignBody = true }), "rule 1 at 1.100 s, node 0: answered with what no server"},
		"second response":                              {newHistory().addRequest(0, func(r *Request) { answered(1100, 200)(r); r.ExtraAt = 1101 * ms }), "rule 1 at 1.101 s, node 0: a second answer"},
		"attempt after the response":                   {newHistory().addAttempt(1001, failed(1002)).addAttempt(1300, nil).addRequest(0, answered(1100, 503)), "rule 1 at 1.300 s, node 0: sent to a server after"},
		"attempt after the response, within the slack": {newHistory().addAttempt(1001, failed(1002)).addAttempt(1140, nil).addRequest(0, answered(1100, 503)), ""},
		"non-idempotent, rejected first":               {newHistory().addAttempt(1001, rejected(1002)).addAttempt(1003, nil).addRequest(2, answered(1100, 200)), ""},
		"non-idempotent, never complete first":         {newHistory().addAttempt(1001, func(a *Attempt) { a.LastByteAt = Never }).addAttempt(1003, nil).addRequest(2, answered(1100, 200)), ""},
		"non-idempotent, failed first":                 {newHistory().addAttempt(1001, failed(1002)).addAttempt(1003, nil).addRequest(2, answered(1100, 200)), "rule 2 at 1.003 s, node 0: an exclusive task sent again"},
		"non-idempotent, unknown first":                {newHistory().addAttempt(1001, func(a *Attempt) { a.ClosedAt = 1002 * ms }).addAttempt(1003, nil).addRequest(2, answered(1100, 200)), "rule 2 at 1.003"},
		"non-idempotent, rejected later":               {newHistory().addAttempt(1001, rejected(1050)).addAttempt(1003, nil).addRequest(2, answered(1100, 200)), "rule 2 at 1.003"},
		"non-idempotent, failed, then rejected":        {newHistory().addAttempt(1001, failed(1002)).addRequest(2, answered(1100, 503)), "rule 2 at 1.100 s, node 0: declined though it may have run"},
		"non-idempotent, rejected, never ran":          {newHistory().addAttempt(1001, rejected(1002)).addRequest(2, answered(1100, 429)), ""},
		"non-idempotent, failed":                       {newHistory().addAttempt(1001, failed(1002)).addRequest(2, answered(1100, 502)), ""},
		"by key in its group":                          {newHistory().addAttempt(1001, failed(1002)).addAttempt(1003, nil).addRequest(1, answered(1100, 200)), ""},
		"by key outside it":                            {newHistory().addAttempt(1001, failed(1002)).addAttempt(1003, func(a *Attempt) { a.Zone = "b" }).addRequest(1, answered(1100, 200)), "rule 2 at 1.003 s, node 0: a ticketed task that may have run sent again outside"},
		"by key outside, never ran":                    {newHistory().addAttempt(1001, rejected(1002)).addAttempt(1003, func(a *Attempt) { a.Zone = "b" }).addRequest(1, answered(1100, 200)), ""},
		"by key after the window": {
			newHistory().addAttempt(1001, failed(1002)).addAttempt(3100, nil).addRequest(1, func(r *Request) { r.Deadline = 9000 * ms; answered(3200, 200)(r) }),
			"rule 2 at 3.100 s, node 0: a ticketed task that may have run sent again after the deduplication window",
		},
		"by key, rejected":                {newHistory().addAttempt(1001, failed(1002)).addRequest(1, answered(1100, 503)), "rule 2 at 1.100"},
		"by key, fleet rejected":          {newHistory().addAttempt(1001, failed(1002)).addRequest(3, answered(1100, 503)), ""},
		"two in flight at once":           {newHistory().addAttempt(1001, func(a *Attempt) { a.AnsweredAt = 1090 * ms }).addAttempt(1003, nil).addRequest(0, answered(1100, 200)), "rule 2 at 1.003 s, node 0: a second copy"},
		"connection closed, then retried": {newHistory().addAttempt(1001, func(a *Attempt) { a.ClosedAt = 1004 * ms }).addAttempt(1003, nil).addRequest(0, answered(1100, 200)), ""},
	} {
		got := c.history.Check(classes, rules)
		switch {
		case c.want == "" && len(got) > 0:
			t.Errorf("%s: got violations %v, want none", name, got)
		case c.want != "" && (len(got) != 1 || !strings.HasPrefix(got[0].String(), c.want) || !strings.Contains(got[0].String(), "task t")):
			t.Errorf("%s: got violations %v, want one that starts with %q and names its request", name, got, c.want)
		}
	}
}

func listEntry(at int64, state model.State) ListEntry {
	return ListEntry{Incarnation: 1, State: state, At: at * ms}
}

func TestAttemptsAtDrainingEndpoints(t *testing.T) {
	for name, c := range map[string]struct {
		entries []ListEntry
		sent    int64
		want    bool
	}{
		"within the grace":  {[]ListEntry{listEntry(0, model.Up), listEntry(1000, model.Draining)}, 1540, false},
		"after it":          {[]ListEntry{listEntry(0, model.Up), listEntry(1000, model.Draining)}, 1560, true},
		"after it, removed": {[]ListEntry{listEntry(1000, model.Removed)}, 1560, true},
		"the second draining entry does not restart the grace": {[]ListEntry{listEntry(1000, model.Draining), listEntry(1400, model.Draining)}, 1560, true},
		"up again":                           {[]ListEntry{listEntry(1000, model.Draining), listEntry(1400, model.Up)}, 1560, false},
		"no entry received":                  {nil, 1560, false},
		"received by an earlier incarnation": {[]ListEntry{{Incarnation: 0, State: model.Draining, At: 100 * ms}}, 1560, false},
	} {
		history := newHistory().addAttempt(c.sent, nil).addRequest(0, func(r *Request) { r.SentAt, r.Deadline = c.sent*ms-1, 9000*ms; answered(c.sent+9, 200)(r) })
		history.RecordEntries(c.entries...)
		got := history.Check(classes, rules)
		if c.want != (len(got) == 1) || c.want && (got[0].Rule != 3 || got[0].At != c.sent*ms || got[0].Attempt != 0) {
			t.Errorf("%s: got violations %v, want one: %v", name, got, c.want)
		}
	}
}

// A node that received a drain sends to the endpoint after discovery has listed it as up again to other nodes: allowed
// where nodes gossip the list.
func TestDrainListedUpAgain(t *testing.T) {
	for name, c := range map[string]struct {
		listed     []ListChange
		listGossip bool
		want       bool
	}{
		"up again":                 {[]ListChange{{Endpoint: 0, State: model.Draining, At: 900 * ms}, {Endpoint: 0, State: model.Up, At: 1200 * ms}}, true, false},
		"without list gossip":      {[]ListChange{{Endpoint: 0, State: model.Up, At: 1200 * ms}}, false, true},
		"up only before the drain": {[]ListChange{{Endpoint: 0, State: model.Up, At: 900 * ms}}, true, true},
		"up, then removed":         {[]ListChange{{Endpoint: 0, State: model.Up, At: 1200 * ms}, {Endpoint: 0, State: model.Removed, At: 1500 * ms}}, true, true},
		"up only later":            {[]ListChange{{Endpoint: 0, State: model.Up, At: 2001 * ms}}, true, true},
		"another":                  {[]ListChange{{Endpoint: 1, State: model.Up, At: 1200 * ms}}, true, true},
	} {
		history := newHistory().addAttempt(2000, nil).addRequest(0, func(r *Request) { r.SentAt, r.Deadline = 1999*ms, 9000*ms; answered(2009, 200)(r) })
		history.RecordEntries(listEntry(1000, model.Draining))
		for _, change := range c.listed {
			history.RecordListChange(change)
		}
		limits := rules
		limits.ListGossip = c.listGossip
		if got := history.Check(classes, limits); c.want != (len(got) == 1) {
			t.Errorf("%s: got violations %v, want one: %v", name, got, c.want)
		}
	}
}

// A node that does not poll is presumed to know the list as it was PollWithin ago.
func TestMissedPolls(t *testing.T) {
	for name, c := range map[string]struct {
		watch Watch
		sent  int64
		want  bool
	}{
		"stopped polling":                          {Watch{From: 0, To: 1000 * ms}, 13100, true},
		"polled recently enough":                   {Watch{From: 0, To: 1000 * ms}, 12400, false},
		"still watching":                           {Watch{From: 0, To: Never}, 13100, false},
		"last call failed, so the limit is longer": {Watch{From: 1000 * ms, To: 1000 * ms, Failed: true}, 13100, false},
	} {
		history := &History{}
		history.RecordProcess(&Process{Incarnation: 1})
		w := c.watch
		w.Incarnation = 1
		history.RecordWatch(&w)
		history.RecordListChange(ListChange{State: model.Draining, At: 2000 * ms})
		history.addAttempt(c.sent, nil).addRequest(0, func(r *Request) { r.SentAt, r.Deadline = c.sent*ms-1, 99000*ms; answered(c.sent+9, 200)(r) })
		if got := history.Check(classes, rules); c.want != (len(got) == 1) {
			t.Errorf("%s: got violations %v, want one: %v", name, got, c.want)
		}
	}
}

func TestSlowStartCrashes(t *testing.T) {
	crashHistory := func(knowing, unknowing int) *History {
		history := newHistory()
		history.RecordProcess(&Process{Node: 1, Incarnation: 1})
		history.RecordWatch(&Watch{Node: 1, Incarnation: 1, To: Never})
		history.RecordEntries(ListEntry{Node: 0, Incarnation: 1, Endpoint: 4, StartedAt: 77, At: 10 * ms})
		crash := Crash{Endpoint: 4, StartedAt: 77, Crash: model.Crash{At: 900 * ms, Capacity: 0.5}}
		for i := range knowing + unknowing {
			node := 0
			if i >= knowing {
				node = 1
			}
			crash.Arrivals = append(crash.Arrivals, model.Arrival{At: 800 * ms, Work: 1, Node: node})
			crash.Work++
		}
		history.RecordCrash(crash)
		return history
	}
	if got := crashHistory(4, 2).Check(classes, rules); len(got) != 1 || got[0].Rule != 4 || got[0].Endpoint != 4 || got[0].Node != 0 || got[0].At != 900*ms {
		t.Errorf("overloaded by nodes that knew the start: got %v, want one violation of rule 4 by node 0 at endpoint 4", got)
	}
	if got := crashHistory(3, 2).Check(classes, rules); len(got) != 0 {
		t.Errorf("overloaded by nodes that did not know the start: got %v, want no violation", got)
	}
}

// Faults that the run itself injects, and late observations of the lab, are not counted as violations of the node.
func TestExcusedTimeAndLagAreNoViolations(t *testing.T) {
	history := newHistory().addRequest(0, func(r *Request) { r.ClosedAt = 1500 * ms })
	history.Excuse(history.Processes[0], Interval{1200 * ms, Never})
	if got := history.Check(classes, rules); len(got) != 0 {
		t.Errorf("killed by the run: got %v, want no violation", got)
	}
	history = newHistory().addRequest(0, func(r *Request) { r.ClosedAt = 1100 * ms })
	history.Excuse(history.Processes[0], Interval{1200 * ms, Never})
	if got := history.Check(classes, rules); len(got) != 1 {
		t.Errorf("connection lost before the kill: got %v, want one violation of rule 1", got)
	}
	lateLab := rules
	lateLab.Lag = func(int64) int64 { return 30 * ms }
	if got := newHistory().addRequest(0, answered(2080, 502)).Check(classes, lateLab); len(got) != 0 {
		t.Errorf("response observed late by a lab that ran late: got %v, want no violation", got)
	}
}

// A restarted process sends to an endpoint that its predecessor knew to be draining. This is a violation if the state
// is persisted, unless the predecessor received the entry within persistDelay of its end or the new process received
// another.
func TestPersistedKnowledge(t *testing.T) {
	for name, c := range map[string]struct {
		persistent bool
		entries    []ListEntry
		want       bool
	}{
		"kept":                          {true, []ListEntry{listEntry(300, model.Draining)}, true},
		"lost":                          {false, []ListEntry{listEntry(300, model.Draining)}, false},
		"within the persist delay":      {true, []ListEntry{listEntry(950, model.Draining)}, false},
		"up before the end":             {true, []ListEntry{listEntry(300, model.Draining), listEntry(500, model.Up)}, false},
		"newer entry after the restart": {true, []ListEntry{listEntry(300, model.Draining), {Incarnation: 2, State: model.Up, At: 1100 * ms}}, false},
	} {
		history := &History{}
		history.RecordProcess(&Process{Incarnation: 1})
		history.Processes[0].EndedAt = 1000 * ms
		history.RecordProcess(&Process{Incarnation: 2, StartedAt: 1050 * ms, Persistent: c.persistent})
		history.RecordWatch(&Watch{Incarnation: 1, To: 1000 * ms})
		history.RecordWatch(&Watch{Incarnation: 2, From: 1050 * ms, To: Never})
		history.RecordEntries(c.entries...)
		history.addAttempt(2000, nil).addRequest(0, func(r *Request) { r.Incarnation, r.SentAt, r.Deadline = 2, 1999*ms, 9000*ms; answered(2009, 200)(r) })
		if got := history.Check(classes, rules); c.want != (len(got) == 1) {
			t.Errorf("%s: got violations %v, want one: %v", name, got, c.want)
		}
	}
}

// LinkDelay extends limits that are observed at endpoints, but not the limit of a node's responses to clients.
func TestLinkDelay(t *testing.T) {
	delayed := rules
	delayed.LinkDelay = func(int64) int64 { return 200 * ms }
	history := newHistory().addAttempt(1700, nil).addRequest(0, func(r *Request) { r.SentAt, r.Deadline = 1699*ms, 9000*ms; answered(1709, 200)(r) })
	history.RecordEntries(listEntry(1000, model.Draining))
	if got := history.Check(classes, delayed); len(got) != 0 {
		t.Errorf("attempt delayed on the link: got %v, want no violation", got)
	}
	if got := newHistory().addRequest(0, answered(2200, 502)).Check(classes, delayed); len(got) != 1 {
		t.Errorf("late response: got %v, want one violation of rule 1", got)
	}
}
