package invariant

import (
	"strings"
	"testing"

	"fawnglade/internal/lab/model"
)

// rulesWithAllLimits returns the rules with the limits that are off by default.
func rulesWithAllLimits() Rules {
	r := rules
	r.KnownWithin, r.CancelGrace, r.ReadyWithin, r.ReadyWithinAtEnd, r.End = 6000*ms, 100*ms, 10000*ms, 6000*ms, 60000*ms
	return r
}

// An endpoint drains at 2 s and gets an attempt later. A node is presumed to know the drain six seconds after discovery
// had it. The limit for nodes that poll the list is far longer, and four times that after a failed call, so it must not
// matter.
func TestPresumedKnowledge(t *testing.T) {
	unchanged := func(*History) {}
	outage := func(node int, from, to int64) func(*History) {
		return func(history *History) {
			o := &Outage{Node: node, Interval: Interval{From: from * ms}}
			history.RecordOutage(o)
			o.To = to * ms
		}
	}
	for name, c := range map[string]struct {
		change func(*History)
		sent   int64
		want   bool
	}{
		"after six seconds and the grace": {unchanged, 8560, true},
		"before that":                     {unchanged, 8540, false},
		"discovery down before":           {outage(-1, 1000, 4000), 10540, false},
		"six seconds after its return":    {outage(-1, 1000, 4000), 10560, true},
		"down before they are over":       {outage(-1, 7900, 9000), 15540, false},
		"down twice":                      {func(history *History) { outage(-1, 3000, 4000)(history); outage(-1, 9000, 9500)(history) }, 15990, false},
		"and six seconds after":           {func(history *History) { outage(-1, 3000, 4000)(history); outage(-1, 9000, 9500)(history) }, 16060, true},
		"down only later":                 {outage(-1, 8001, 30000), 8560, true},
		"unreachable for this node alone": {outage(0, 1000, 4000), 10540, false},
		"unreachable for another node":    {outage(1, 1000, 4000), 8560, true},
		"down to the end":                 {func(history *History) { history.RecordOutage(&Outage{Node: -1, Interval: Interval{From: 1000 * ms}}) }, 30000, false},
		"the node was paused":             {func(history *History) { history.Excuse(history.Processes[0], Interval{1000 * ms, 5000 * ms}) }, 11540, false},
		"and six seconds after the pause": {func(history *History) { history.Excuse(history.Processes[0], Interval{1000 * ms, 5000 * ms}) }, 11560, true},
		"received that it is up again": {func(history *History) {
			history.RecordListChange(ListChange{State: model.Up, At: 3000 * ms})
			history.RecordEntries(listEntry(3100, model.Up))
		}, 8800, false},
		"up again on the list, not received":       {func(history *History) { history.RecordListChange(ListChange{State: model.Up, At: 3000 * ms}) }, 9600, false},
		"received before the change that it is up": {func(history *History) { history.RecordEntries(listEntry(1900, model.Up)) }, 8560, true},
		"up and draining again, neither received": {func(history *History) {
			history.RecordListChange(ListChange{State: model.Up, At: 3000 * ms})
			history.RecordListChange(ListChange{State: model.Draining, At: 4000 * ms})
		}, 10560, true},
		"received up, then draining again, not received": {func(history *History) {
			history.RecordListChange(ListChange{State: model.Up, At: 3000 * ms})
			history.RecordEntries(listEntry(3100, model.Up))
			history.RecordListChange(ListChange{State: model.Draining, At: 4000 * ms})
		}, 10560, true},
	} {
		for _, polled := range []bool{true, false} {
			history := &History{}
			history.RecordProcess(&Process{Incarnation: 1})
			for at := int64(0); at < 30000; at += 1000 {
				history.RecordWatch(&Watch{Incarnation: 1, From: at * ms, To: at * ms, Failed: true})
			}
			history.RecordListChange(ListChange{State: model.Draining, At: 2000 * ms})
			c.change(history)
			history.addAttempt(c.sent, nil).addRequest(0, func(r *Request) { r.SentAt, r.Deadline = c.sent*ms-1, 99000*ms; answered(c.sent+9, 200)(r) })
			limits := rulesWithAllLimits()
			if !polled {
				limits.PollWithin = 0 // lists are pushed
			}
			got := history.Check(classes, limits)
			if c.want != (len(got) == 1) || c.want && (got[0].Rule != 3 || got[0].At != c.sent*ms) {
				t.Errorf("%s, list polled %v: got violations %v, want one of rule 3: %v", name, polled, got, c.want)
			}
		}
	}
}

// A process that starts with a stale list is presumed to know the drain six seconds after its start.
func TestPresumedKnowledgeOfNewProcess(t *testing.T) {
	for sent, want := range map[int64]bool{12540: false, 12560: true} {
		history := &History{}
		history.RecordProcess(&Process{Incarnation: 1})
		history.Processes[0].EndedAt = 5000 * ms
		history.RecordListChange(ListChange{State: model.Draining, At: 2000 * ms})
		history.RecordProcess(&Process{Incarnation: 2, StartedAt: 6000 * ms})
		history.addAttempt(sent, nil).addRequest(0, func(r *Request) {
			r.Incarnation, r.SentAt, r.Deadline = 2, sent*ms-1, 99000*ms
			answered(sent+9, 200)(r)
		})
		limits := rulesWithAllLimits()
		limits.ReadyWithin = 0
		if got := history.Check(classes, limits); want != (len(got) == 1) {
			t.Errorf("sent at %d ms: got violations %v, want one: %v", sent, got, want)
		}
	}
}

// Attempts that begin after their clients canceled are violations from the third on.
func TestAttemptsAfterCancel(t *testing.T) {
	for name, c := range map[string]struct {
		late, excuse int64
		cases, want  int
	}{
		"two":                            {200, 0, 2, 0},
		"the third":                      {200, 0, 3, 1},
		"each after it":                  {200, 0, 5, 3},
		"within the grace and the slack": {140, 0, 5, 0},
		"later than both":                {160, 0, 5, 3},
		"the node was paused":            {200, 100, 5, 0},
		"long after the pause":           {400, 100, 5, 3},
	} {
		history := newHistory()
		for i := range int64(c.cases) {
			canceledAt := (1000 + 10*i) * ms
			history.RecordRequest(&Request{ID: string(rune('a' + i)), Incarnation: 1, SentAt: canceledAt - 10*ms, Deadline: 9000 * ms})
			history.Requests[i].CanceledAt = canceledAt
			history.RecordAttempt(&Attempt{Request: string(rune('a' + i)), FirstByteAt: canceledAt - 5*ms, Zone: "a"})
			history.Attempts[2*i].LastByteAt, history.Attempts[2*i].ClosedAt = canceledAt-5*ms, canceledAt
			history.RecordAttempt(&Attempt{Request: string(rune('a' + i)), FirstByteAt: canceledAt + c.late*ms, Zone: "a"})
			history.Attempts[2*i+1].LastByteAt = canceledAt + c.late*ms
		}
		if c.excuse > 0 {
			history.Excuse(history.Processes[0], Interval{990 * ms, (1000 + 10*int64(c.cases) + c.excuse) * ms})
		}
		got := history.Check(classes, rulesWithAllLimits())
		if len(got) != c.want || c.want > 0 && (got[0].Rule != 1 || got[0].Request != "c" || got[0].Attempt != 1 || !strings.Contains(got[0].Description, "after its client closed or canceled")) {
			t.Errorf("%s: got violations %v, want %d of rule 1, from the third request on", name, got, c.want)
		}
	}
}

// Ten processes are restarted at 20 s; readyAfter has how many seconds later each was ready, 0 for never.
func TestReadiness(t *testing.T) {
	for name, c := range map[string]struct {
		readyAfter []int64
		runSeconds int64
		endedAfter int64 // seconds until the last process ended; 0: it did not
		want       string
	}{
		"all at once":                  {[]int64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, 60, 0, ""},
		"one never":                    {[]int64{1, 1, 1, 1, 9, 1, 1, 1, 1, 0}, 60, 0, ""},
		"two never":                    {[]int64{1, 1, 1, 1, 1, 1, 1, 1, 0, 0}, 60, 0, "rule 5 at 30.050 s, node 9: 8 of 10 processes started again were ready in time"},
		"two late":                     {[]int64{11, 1, 1, 1, 1, 1, 1, 1, 1, 12}, 60, 0, "rule 5 at 30.050 s, node 9: 8 of 10"},
		"two late in a shorter run":    {[]int64{7, 7, 1, 1, 1, 1, 1, 1, 1, 1}, 29, 0, "rule 5 at 26.050 s, node 1: 8 of 10"},
		"in time in a shorter run":     {[]int64{5, 5, 5, 1, 1, 1, 1, 1, 1, 1}, 29, 0, ""},
		"too near the end of the run":  {[]int64{0, 0, 0, 0, 0, 0, 0, 0, 0, 0}, 25, 0, ""},
		"one of nine that did not end": {[]int64{1, 1, 1, 1, 1, 1, 1, 1, 0, 0}, 60, 2, "rule 5 at 30.050 s, node 8: 8 of 9"},
	} {
		history := &History{}
		for node, readyAfter := range c.readyAfter {
			history.RecordProcess(&Process{Node: node, Incarnation: 1})
			history.Processes[2*node].EndedAt = 20000 * ms
			history.RecordProcess(&Process{Node: node, Incarnation: 2, StartedAt: 20000 * ms})
			if readyAfter > 0 {
				history.Processes[2*node+1].ReadyAt = (20 + readyAfter) * 1000 * ms
			}
		}
		if c.endedAfter > 0 {
			history.Processes[len(history.Processes)-1].EndedAt = (20 + c.endedAfter) * 1000 * ms
		}
		limits := rulesWithAllLimits()
		limits.End = c.runSeconds * 1000 * ms
		got := history.Check(classes, limits)
		if c.want == "" && len(got) > 0 || c.want != "" && (len(got) != 1 || !strings.HasPrefix(got[0].String(), c.want)) {
			t.Errorf("%s: got violations %v, want one that starts with %q (none if empty)", name, got, c.want)
		}
	}
	history := newHistory()
	if got := history.Check(classes, rulesWithAllLimits()); len(got) != 0 {
		t.Errorf("first incarnation never ready: got %v, want no violation, as the run waits for these", got)
	}
}

// Requests of one second of work arrive at an endpoint in slow start with a budget of four: first five from a node that
// does not know the start, then four from one that does, with one of the first node's still within the window.
func TestSlowStartPeaks(t *testing.T) {
	history := &History{}
	for node := range 2 {
		history.RecordProcess(&Process{Node: node, Incarnation: 1, StartedAt: -10000 * ms})
	}
	history.RecordEntries(ListEntry{Node: 1, Incarnation: 1, Endpoint: 3, StartedAt: 77, At: 1500 * ms}, ListEntry{Node: 0, Incarnation: 1, Endpoint: 3, StartedAt: 76, At: 0})
	slowStart := SlowStart{Endpoint: 3, Incarnation: 2, StartedAt: 77, MeanWork: 1, Window: 1000 * ms}
	add := func(node int, at ...int64) {
		for _, a := range at {
			slowStart.Arrivals = append(slowStart.Arrivals, model.Arrival{At: a * ms, Work: 1, Node: node, Budget: 4})
		}
	}
	add(0, 1000, 1001, 1002, 1600, 1700)
	add(1, 2100, 2650, 2660, 2670)
	history.RecordSlowStart(slowStart)
	history.RecordSlowStart(SlowStart{Endpoint: 4, MeanWork: 1, Window: 1000 * ms}) // not recorded, without arrivals
	all, known := history.Peaks(rulesWithAllLimits())
	if len(all) != 1 || all[0] != (Peak{Endpoint: 3, At: 1700 * ms, Load: 5, Budget: 4, Excess: 0.5}) {
		t.Errorf("all work: got peaks %+v, want a load of 5 at 1.7 s, an excess of 0.5, none from nodes that knew the start", all)
	}
	if len(known) != 1 || known[0] != (Peak{Endpoint: 3, At: 2670 * ms, Load: 5, Budget: 4, Excess: 0.5, KnownShare: 0.8}) {
		t.Errorf("nodes that knew the start: got peaks %+v, want a load of 5 at 2.67 s, four fifths of it from them", known)
	}
	// Six seconds after discovery listed the start, every node that could reach discovery is presumed to know it.
	history.RecordListChange(ListChange{Endpoint: 3, State: model.Up, At: -4395 * ms, StartedAt: 77})
	history.RecordListChange(ListChange{Endpoint: 3, State: model.Up, At: -9000 * ms, StartedAt: 76})
	if _, known := history.Peaks(rulesWithAllLimits()); len(known) != 1 || known[0] != (Peak{Endpoint: 3, At: 2670 * ms, Load: 5, Budget: 4, Excess: 0.5, KnownShare: 1}) {
		t.Errorf("start presumed known at 1.605 s: got peaks %+v, want a load of 5 at 2.67 s, all from nodes that knew", known)
	}
	slowStart.Arrivals = slowStart.Arrivals[:5]
	history = &History{}
	history.RecordProcess(&Process{Incarnation: 1})
	history.RecordSlowStart(slowStart)
	if all, known := history.Peaks(rulesWithAllLimits()); len(all) != 1 || len(known) != 0 {
		t.Errorf("no node knew the start: got peaks %+v and %+v, want one of all work and none of nodes that knew", all, known)
	}
}

// A crash is a violation if the nodes are presumed to know the start, even if they did not receive it.
func TestCrashesByPresumedKnowledge(t *testing.T) {
	for at, want := range map[int64]int{5900: 0, 6100: 1} {
		history := newHistory()
		history.RecordListChange(ListChange{Endpoint: 4, State: model.Up, At: 0, StartedAt: 77})
		history.RecordCrash(Crash{Endpoint: 4, StartedAt: 77, Crash: model.Crash{At: at * ms, Capacity: 0.5, Work: 1, Arrivals: []model.Arrival{{At: at * ms, Work: 1}}}})
		if got := history.Check(classes, rulesWithAllLimits()); len(got) != want || want > 0 && got[0].Rule != 4 {
			t.Errorf("crash at %d ms: got violations %v, want %d of rule 4", at, got, want)
		}
	}
}
