package invariant

import (
	"strings"
	"testing"

	"fawnglade/internal/lab/model"
)

// rulesWithAllLimits are the rules with the later terms of the standing test.
func rulesWithAllLimits() Rules {
	r := rules
	r.KnownWithin, r.CancelGrace, r.ReadyWithin, r.ReadyWithinAtEnd, r.End = 6000*ms, 100*ms, 10000*ms, 6000*ms, 60000*ms
	return r
}

// An endpoint drains at 2 s and gets an attempt later. Where the list is polled the limit is far longer than six seconds, and four
// times that after a failed call.
func TestPresumedKnowledge(t *testing.T) {
	none := func(*History) {}
	outage := func(node int, from, to int64) func(*History) {
		return func(l *History) {
			o := &Outage{Node: node, Interval: Interval{From: from * ms}}
			l.RecordOutage(o)
			o.To = to * ms
		}
	}
	for name, c := range map[string]struct {
		change func(*History)
		sent   int64
		want   bool
	}{
		"six seconds and the grace":    {none, 8560, true},
		"not yet":                      {none, 8540, false},
		"discovery down before":        {outage(-1, 1000, 4000), 10540, false},
		"six seconds after its return": {outage(-1, 1000, 4000), 10560, true},
		"down in the midst of them":    {outage(-1, 7900, 9000), 15540, false},
		"down twice":                   {func(l *History) { outage(-1, 3000, 4000)(l); outage(-1, 9000, 9500)(l) }, 15990, false},
		"and six seconds after":        {func(l *History) { outage(-1, 3000, 4000)(l); outage(-1, 9000, 9500)(l) }, 16060, true},
		"down only later":              {outage(-1, 8001, 30000), 8560, true},
		"cut off from it alone":        {outage(0, 1000, 4000), 10540, false},
		"another cut off from it":      {outage(1, 1000, 4000), 8560, true},
		"never back":                   {func(l *History) { l.RecordOutage(&Outage{Node: -1, Interval: Interval{From: 1000 * ms}}) }, 30000, false},
		"the node itself stood still":  {func(l *History) { l.Excuse(l.Processes[0], Interval{1000 * ms, 5000 * ms}) }, 11540, false},
		"and no longer":                {func(l *History) { l.Excuse(l.Processes[0], Interval{1000 * ms, 5000 * ms}) }, 11560, true},
		"told that it is up again": {func(l *History) {
			l.RecordListChange(ListChange{State: model.Up, At: 3000 * ms})
			l.RecordEntries(listEntry(3100, model.Up))
		}, 8800, false},
		"up again on the list, and not told":   {func(l *History) { l.RecordListChange(ListChange{State: model.Up, At: 3000 * ms}) }, 9600, false},
		"told before the change that it is up": {func(l *History) { l.RecordEntries(listEntry(1900, model.Up)) }, 8560, true},
		"up and draining again, neither told": {func(l *History) {
			l.RecordListChange(ListChange{State: model.Up, At: 3000 * ms})
			l.RecordListChange(ListChange{State: model.Draining, At: 4000 * ms})
		}, 10560, true},
		"told up, then draining again, not told": {func(l *History) {
			l.RecordListChange(ListChange{State: model.Up, At: 3000 * ms})
			l.RecordEntries(listEntry(3100, model.Up))
			l.RecordListChange(ListChange{State: model.Draining, At: 4000 * ms})
		}, 10560, true},
	} {
		for _, asked := range []bool{true, false} {
			l := &History{}
			l.RecordProcess(&Process{Incarnation: 1})
			for at := int64(0); at < 30000; at += 1000 {
				l.RecordWatch(&Watch{Incarnation: 1, From: at * ms, To: at * ms, Failed: true})
			}
			l.RecordListChange(ListChange{State: model.Draining, At: 2000 * ms})
			c.change(l)
			l.addAttempt(c.sent, nil).addRequest(0, func(t *Request) { t.SentAt, t.Deadline = c.sent*ms-1, 99000*ms; answered(c.sent+9, 200)(t) })
			r := rulesWithAllLimits()
			if !asked {
				r.PollWithin = 0 // lists are pushed
			}
			got := l.Check(classes, r)
			if c.want != (len(got) == 1) || c.want && (got[0].Rule != 3 || got[0].At != c.sent*ms) {
				t.Errorf("%s, asked %v: %v, want broken %v", name, asked, got, c.want)
			}
		}
	}
}

// A process that starts with a stale list has six seconds from its start.
func TestPresumedKnowledgeOfNewProcess(t *testing.T) {
	for sent, want := range map[int64]bool{12540: false, 12560: true} {
		l := &History{}
		l.RecordProcess(&Process{Incarnation: 1})
		l.Processes[0].EndedAt = 5000 * ms
		l.RecordListChange(ListChange{State: model.Draining, At: 2000 * ms})
		l.RecordProcess(&Process{Incarnation: 2, StartedAt: 6000 * ms})
		l.addAttempt(sent, nil).addRequest(0, func(t *Request) {
			t.Incarnation, t.SentAt, t.Deadline = 2, sent*ms-1, 99000*ms
			answered(sent+9, 200)(t)
		})
		r := rulesWithAllLimits()
		r.ReadyWithin = 0
		if got := l.Check(classes, r); want != (len(got) == 1) {
			t.Errorf("sent at %d ms: %v, want broken %v", sent, got, want)
		}
	}
}

// Attempts begin after their clients have gone.
func TestAttemptsAfterCancel(t *testing.T) {
	for name, c := range map[string]struct {
		late, excuse int64
		cases, want  int
	}{
		"two":                  {200, 0, 2, 0},
		"the third":            {200, 0, 3, 1},
		"each after it":        {200, 0, 5, 3},
		"just after the close": {140, 0, 5, 0},
		"later than the slack": {160, 0, 5, 3},
		"stood still then":     {200, 100, 5, 0},
		"and began afterwards": {400, 100, 5, 3},
	} {
		l := newHistory()
		for i := range int64(c.cases) {
			left := (1000 + 10*i) * ms
			l.RecordRequest(&Request{ID: string(rune('a' + i)), Incarnation: 1, SentAt: left - 10*ms, Deadline: 9000 * ms})
			l.Requests[i].CanceledAt = left
			l.RecordAttempt(&Attempt{Request: string(rune('a' + i)), FirstByteAt: left - 5*ms, Zone: "a"})
			l.Attempts[2*i].LastByteAt, l.Attempts[2*i].ClosedAt = left-5*ms, left
			l.RecordAttempt(&Attempt{Request: string(rune('a' + i)), FirstByteAt: left + c.late*ms, Zone: "a"})
			l.Attempts[2*i+1].LastByteAt = left + c.late*ms
		}
		if c.excuse > 0 {
			l.Excuse(l.Processes[0], Interval{990 * ms, (1000 + 10*int64(c.cases) + c.excuse) * ms})
		}
		got := l.Check(classes, rulesWithAllLimits())
		if len(got) != c.want || c.want > 0 && (got[0].Rule != 1 || got[0].Request != "c" || got[0].Attempt != 1 || !strings.Contains(got[0].Description, "after its client had gone")) {
			t.Errorf("%s: %v, want %d breaks from the third on", name, got, c.want)
		}
	}
}

// Ten processes are started again at 20 s, and ready so many seconds later; 0 is never.
func TestReadiness(t *testing.T) {
	for name, c := range map[string]struct {
		ready  []int64
		length int64
		ended  int64 // the last of them; 0: not
		want   string
	}{
		"all at once":                     {[]int64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, 60, 0, ""},
		"one never":                       {[]int64{1, 1, 1, 1, 9, 1, 1, 1, 1, 0}, 60, 0, ""},
		"two never":                       {[]int64{1, 1, 1, 1, 1, 1, 1, 1, 0, 0}, 60, 0, "rule 5 at 30.050 s, node 9: 8 of 10 processes started again were ready in time"},
		"two late":                        {[]int64{11, 1, 1, 1, 1, 1, 1, 1, 1, 12}, 60, 0, "rule 5 at 30.050 s, node 9: 8 of 10"},
		"a shorter day":                   {[]int64{7, 7, 1, 1, 1, 1, 1, 1, 1, 1}, 29, 0, "rule 5 at 26.050 s, node 1: 8 of 10"},
		"in a shorter day":                {[]int64{5, 5, 5, 1, 1, 1, 1, 1, 1, 1}, 29, 0, ""},
		"too near the day's end":          {[]int64{0, 0, 0, 0, 0, 0, 0, 0, 0, 0}, 25, 0, ""},
		"one of nine that were not ended": {[]int64{1, 1, 1, 1, 1, 1, 1, 1, 0, 0}, 60, 2, "rule 5 at 30.050 s, node 8: 8 of 9"},
	} {
		l := &History{}
		for node, ready := range c.ready {
			l.RecordProcess(&Process{Node: node, Incarnation: 1})
			l.Processes[2*node].EndedAt = 20000 * ms
			l.RecordProcess(&Process{Node: node, Incarnation: 2, StartedAt: 20000 * ms})
			if ready > 0 {
				l.Processes[2*node+1].ReadyAt = (20 + ready) * 1000 * ms
			}
		}
		if c.ended > 0 {
			l.Processes[len(l.Processes)-1].EndedAt = (20 + c.ended) * 1000 * ms
		}
		r := rulesWithAllLimits()
		r.End = c.length * 1000 * ms
		got := l.Check(classes, r)
		if c.want == "" && len(got) > 0 || c.want != "" && (len(got) != 1 || !strings.HasPrefix(got[0].String(), c.want)) {
			t.Errorf("%s: %v, want %q", name, got, c.want)
		}
	}
	l := newHistory()
	if got := l.Check(classes, rulesWithAllLimits()); len(got) != 0 {
		t.Errorf("a first life that was never ready: %v, want nothing broken: the day waits for these", got)
	}
}

// Requests of a second of work arrive at an endpoint in slow start with a budget of four: first five from a node that does not
// know of the start, then four from one that does, the last of them while one of the others is still within the window.
func TestSlowStartPeaks(t *testing.T) {
	l := &History{}
	for node := range 2 {
		l.RecordProcess(&Process{Node: node, Incarnation: 1, StartedAt: -10000 * ms})
	}
	l.RecordEntries(ListEntry{Node: 1, Incarnation: 1, Endpoint: 3, StartedAt: 77, At: 1500 * ms}, ListEntry{Node: 0, Incarnation: 1, Endpoint: 3, StartedAt: 76, At: 0})
	cold := SlowStart{Endpoint: 3, Incarnation: 2, StartedAt: 77, MeanWork: 1, Window: 1000 * ms}
	add := func(node int, at ...int64) {
		for _, a := range at {
			cold.Arrivals = append(cold.Arrivals, model.Arrival{At: a * ms, Work: 1, Node: node, Budget: 4})
		}
	}
	add(0, 1000, 1001, 1002, 1600, 1700)
	add(1, 2100, 2650, 2660, 2670)
	l.RecordSlowStart(cold)
	l.RecordSlowStart(SlowStart{Endpoint: 4, MeanWork: 1, Window: 1000 * ms}) // nothing arrived
	all, told := l.Peaks(rulesWithAllLimits())
	if len(all) != 1 || all[0] != (Peak{Endpoint: 3, At: 1700 * ms, Load: 5, Budget: 4, Excess: 0.5}) {
		t.Errorf("of all that came: %+v, want five at 1.7 s, half a root over, none from who was told", all)
	}
	if len(told) != 1 || told[0] != (Peak{Endpoint: 3, At: 2670 * ms, Load: 5, Budget: 4, Excess: 0.5, KnownShare: 0.8}) {
		t.Errorf("from nodes that were told: %+v, want five at 2.67 s, four of them from who was told", told)
	}
	// Six seconds after discovery listed the start every node that could reach it is presumed to know.
	l.RecordListChange(ListChange{Endpoint: 3, State: model.Up, At: -4395 * ms, StartedAt: 77})
	l.RecordListChange(ListChange{Endpoint: 3, State: model.Up, At: -9000 * ms, StartedAt: 76})
	if _, told := l.Peaks(rulesWithAllLimits()); len(told) != 1 || told[0] != (Peak{Endpoint: 3, At: 2670 * ms, Load: 5, Budget: 4, Excess: 0.5, KnownShare: 1}) {
		t.Errorf("taken to know at 1.605 s: %+v, want all five of 2.67 s", told)
	}
	cold.Arrivals = cold.Arrivals[:5]
	l = &History{}
	l.RecordProcess(&Process{Incarnation: 1})
	l.RecordSlowStart(cold)
	if all, told := l.Peaks(rulesWithAllLimits()); len(all) != 1 || len(told) != 0 {
		t.Errorf("nobody was told: %+v and %+v", all, told)
	}
}

// A crash is a violation where the nodes are presumed to know of the start, though they did not receive it.
func TestCrashesByPresumedKnowledge(t *testing.T) {
	for at, want := range map[int64]int{5900: 0, 6100: 1} {
		l := newHistory()
		l.RecordListChange(ListChange{Endpoint: 4, State: model.Up, At: 0, StartedAt: 77})
		l.RecordCrash(Crash{Endpoint: 4, StartedAt: 77, Crash: model.Crash{At: at * ms, Capacity: 0.5, Work: 1, Arrivals: []model.Arrival{{At: at * ms, Work: 1}}}})
		if got := l.Check(classes, rulesWithAllLimits()); len(got) != want || want > 0 && got[0].Rule != 4 {
			t.Errorf("pushed over at %d ms: %v, want %d broken", at, got, want)
		}
	}
}
