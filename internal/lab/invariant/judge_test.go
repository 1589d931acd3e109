package invariant

import (
	"fawnglade/internal/lab/model"
	"strings"
	"testing"
)

const ms = int64(1e6)

var rules = Rules{StopSending: 500 * ms, AskWithin: 10000 * ms, AnswerGrace: 20 * ms, Slack: 50 * ms}

var categories = []Category{
	{Name: "view"},
	{Name: "update", Repeat: Ticketed, Group: SameZone, Memory: 2000 * ms},
	{Name: "pay", Repeat: Exclusive},
	{Name: "wide", Repeat: Ticketed, Group: WholeFleet, Memory: 2000 * ms},
}

// day is a ledger with one node that watches from its start.
func day() *Ledger {
	l := &Ledger{}
	l.Live(&NodeLife{Node: 0, Life: 1})
	l.Watched(&Watch{Node: 0, Life: 1, From: 0, To: Never})
	return l
}

func (l *Ledger) try(category int, change func(*Try)) *Ledger {
	t := &Try{ID: "t", Life: 1, Category: category, Whole: 1000 * ms, Hard: 2000 * ms}
	l.Sent(t)
	change(t)
	return l
}

func (l *Ledger) hand(first int64, change func(*HandOff)) *Ledger {
	h := &HandOff{Task: "t", Zone: "a", First: first * ms}
	l.Began(h)
	h.Last = h.First
	if change != nil {
		change(h)
	}
	return l
}

func answered(at int64, status int) func(*Try) {
	return func(t *Try) { t.Answered, t.Status = at*ms, status }
}

func turned(at int64) func(*HandOff) {
	return func(h *HandOff) { h.TurnedAway, h.Answered, h.Status = true, at*ms, 503 }
}

func failed(at int64) func(*HandOff) {
	return func(h *HandOff) { h.Answered, h.Status = at*ms, 500 }
}

// Each case is a day in which one thing happened; want is the rule that it breaks and words of what is said, or none.
func TestJudge(t *testing.T) {
	for name, c := range map[string]struct {
		l    *Ledger
		want string
	}{
		"satisfied":                    {day().hand(1001, failed(1010)).hand(1020, nil).try(0, answered(1100, 200)), ""},
		"answered within the grace":    {day().try(0, answered(2060, 502)), ""},
		"answered late":                {day().try(0, answered(2080, 502)), "rule 1 at 2.080"},
		"never answered":               {day().try(0, func(*Try) {}), "rule 1 at 2.070 s, node 0: no answer"},
		"client left":                  {day().try(0, func(t *Try) { t.Left = 1500 * ms }), ""},
		"connection ended":             {day().try(0, func(t *Try) { t.Ended = 1200 * ms }), "rule 1 at 1.200 s, node 0: connection ended"},
		"crossed by a close":           {day().try(0, func(t *Try) { t.Crossed = 1200 * ms }), ""},
		"taken, then closed":           {day().hand(1001, failed(1002)).try(0, func(t *Try) { t.Crossed = 1200 * ms }), "rule 1 at 1.200 s, node 0: connection ended"},
		"cut in the middle of it":      {day().try(0, func(t *Try) { t.Cut = true }), ""},
		"of another task":              {day().try(0, func(t *Try) { answered(1100, 200)(t); t.Foreign = true }), "rule 1 at 1.100 s, node 0: answered with what no server"},
		"answered twice":               {day().try(0, func(t *Try) { answered(1100, 200)(t); t.Extra = 1101 * ms }), "rule 1 at 1.101 s, node 0: a second answer"},
		"sent after the answer":        {day().hand(1001, failed(1002)).hand(1300, nil).try(0, answered(1100, 503)), "rule 1 at 1.300 s, node 0: sent to a server after"},
		"sent just after, as seen":     {day().hand(1001, failed(1002)).hand(1140, nil).try(0, answered(1100, 503)), ""},
		"exclusive, turned away first": {day().hand(1001, turned(1002)).hand(1003, nil).try(2, answered(1100, 200)), ""},
		"exclusive, never whole first": {day().hand(1001, func(h *HandOff) { h.Last = Never }).hand(1003, nil).try(2, answered(1100, 200)), ""},
		"exclusive, failed first":      {day().hand(1001, failed(1002)).hand(1003, nil).try(2, answered(1100, 200)), "rule 2 at 1.003 s, node 0: an exclusive task sent again"},
		"exclusive, unknown first":     {day().hand(1001, func(h *HandOff) { h.Closed = 1002 * ms }).hand(1003, nil).try(2, answered(1100, 200)), "rule 2 at 1.003"},
		"exclusive, turned away later": {day().hand(1001, turned(1050)).hand(1003, nil).try(2, answered(1100, 200)), "rule 2 at 1.003"},
		"exclusive, declined after":    {day().hand(1001, failed(1002)).try(2, answered(1100, 503)), "rule 2 at 1.100 s, node 0: declined though it may have run"},
		"exclusive, declined, never":   {day().hand(1001, turned(1002)).try(2, answered(1100, 429)), ""},
		"exclusive, broken off":        {day().hand(1001, failed(1002)).try(2, answered(1100, 502)), ""},
		"ticketed in its group":        {day().hand(1001, failed(1002)).hand(1003, nil).try(1, answered(1100, 200)), ""},
		"ticketed outside it":          {day().hand(1001, failed(1002)).hand(1003, func(h *HandOff) { h.Zone = "b" }).try(1, answered(1100, 200)), "rule 2 at 1.003 s, node 0: a ticketed task that may have run sent again outside"},
		"ticketed outside, never ran":  {day().hand(1001, turned(1002)).hand(1003, func(h *HandOff) { h.Zone = "b" }).try(1, answered(1100, 200)), ""},
		"ticketed after the span": {
			day().hand(1001, failed(1002)).hand(3100, nil).try(1, func(t *Try) { t.Hard = 9000 * ms; answered(3200, 200)(t) }),
			"rule 2 at 3.100 s, node 0: a ticketed task that may have run sent again after the memory",
		},
		"ticketed, declined":       {day().hand(1001, failed(1002)).try(1, answered(1100, 503)), "rule 2 at 1.100"},
		"ticketed, fleet declined": {day().hand(1001, failed(1002)).try(3, answered(1100, 503)), ""},
		"two out at once":          {day().hand(1001, func(h *HandOff) { h.Answered = 1090 * ms }).hand(1003, nil).try(0, answered(1100, 200)), "rule 2 at 1.003 s, node 0: a second copy"},
		"given up, then again":     {day().hand(1001, func(h *HandOff) { h.Closed = 1004 * ms }).hand(1003, nil).try(0, answered(1100, 200)), ""},
	} {
		got := c.l.Judge(categories, rules)
		switch {
		case c.want == "" && len(got) > 0:
			t.Errorf("%s: %v, want nothing broken", name, got)
		case c.want != "" && (len(got) != 1 || !strings.HasPrefix(got[0].String(), c.want) || !strings.Contains(got[0].String(), "task t")):
			t.Errorf("%s: %v, want %q once, with its task", name, got, c.want)
		}
	}
}

func told(at int64, h model.Health) Told { return Told{Life: 1, Health: h, At: at * ms} }

func TestDrains(t *testing.T) {
	for name, c := range map[string]struct {
		told []Told
		sent int64
		want bool
	}{
		"within the grace":       {[]Told{told(0, model.Up), told(1000, model.Draining)}, 1540, false},
		"after it":               {[]Told{told(0, model.Up), told(1000, model.Draining)}, 1560, true},
		"after it, gone":         {[]Told{told(1000, model.Removed)}, 1560, true},
		"not counted anew":       {[]Told{told(1000, model.Draining), told(1400, model.Draining)}, 1560, true},
		"back again":             {[]Told{told(1000, model.Draining), told(1400, model.Up)}, 1560, false},
		"never told":             {nil, 1560, false},
		"told to an earlier one": {[]Told{{Life: 0, Health: model.Draining, At: 100 * ms}}, 1560, false},
	} {
		l := day().hand(c.sent, nil).try(0, func(t *Try) { t.Whole, t.Hard = c.sent*ms-1, 9000*ms; answered(c.sent+9, 200)(t) })
		l.Tell(c.told...)
		got := l.Judge(categories, rules)
		if c.want != (len(got) == 1) || c.want && (got[0].Rule != 3 || got[0].At != c.sent*ms || got[0].Attempt != 0) {
			t.Errorf("%s: %v, want broken %v", name, got, c.want)
		}
	}
}

// TestByOthers has a node that was told of a drain send to the server after discovery has listed it as up to others.
func TestByOthers(t *testing.T) {
	for name, c := range map[string]struct {
		listed []Listing
		hears  bool
		want   bool
	}{
		"up again":            {[]Listing{{Server: 0, Health: model.Draining, At: 900 * ms}, {Server: 0, Health: model.Up, At: 1200 * ms}}, true, false},
		"and nodes don't ask": {[]Listing{{Server: 0, Health: model.Up, At: 1200 * ms}}, false, true},
		"up before alone":     {[]Listing{{Server: 0, Health: model.Up, At: 900 * ms}}, true, true},
		"up, and out again":   {[]Listing{{Server: 0, Health: model.Up, At: 1200 * ms}, {Server: 0, Health: model.Removed, At: 1500 * ms}}, true, true},
		"up only later":       {[]Listing{{Server: 0, Health: model.Up, At: 2001 * ms}}, true, true},
		"another":             {[]Listing{{Server: 1, Health: model.Up, At: 1200 * ms}}, true, true},
	} {
		l := day().hand(2000, nil).try(0, func(t *Try) { t.Whole, t.Hard = 1999*ms, 9000*ms; answered(2009, 200)(t) })
		l.Tell(told(1000, model.Draining))
		for _, one := range c.listed {
			l.List(one)
		}
		r := rules
		r.ByOthers = c.hears
		if got := l.Judge(categories, r); c.want != (len(got) == 1) {
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
		l := &Ledger{}
		l.Live(&NodeLife{Life: 1})
		w := c.watch
		w.Life = 1
		l.Watched(&w)
		l.List(Listing{Health: model.Draining, At: 2000 * ms})
		l.hand(c.sent, nil).try(0, func(t *Try) { t.Whole, t.Hard = c.sent*ms-1, 99000*ms; answered(c.sent+9, 200)(t) })
		if got := l.Judge(categories, rules); c.want != (len(got) == 1) {
			t.Errorf("%s: %v, want broken %v", name, got, c.want)
		}
	}
}

func TestFalls(t *testing.T) {
	fall := func(knowing, unknowing int) *Ledger {
		l := day()
		l.Live(&NodeLife{Node: 1, Life: 1})
		l.Watched(&Watch{Node: 1, Life: 1, To: Never})
		l.Tell(Told{Node: 0, Life: 1, Server: 4, Started: 77, At: 10 * ms})
		f := Fall{Server: 4, Started: 77, Fall: model.Fall{At: 900 * ms, Capacity: 0.5}}
		for i := range knowing + unknowing {
			node := 0
			if i >= knowing {
				node = 1
			}
			f.Pushes = append(f.Pushes, model.Push{At: 800 * ms, Work: 1, Node: node})
			f.Work++
		}
		l.Fell(f)
		return l
	}
	if got := fall(4, 2).Judge(categories, rules); len(got) != 1 || got[0].Rule != 4 || got[0].Server != 4 || got[0].Node != 0 || got[0].At != 900*ms {
		t.Errorf("pushed by those who knew: %v, want rule 4 broken by node 0 at server 4", got)
	}
	if got := fall(3, 2).Judge(categories, rules); len(got) != 0 {
		t.Errorf("pushed by those who did not know: %v, want nothing broken", got)
	}
}

// What the day itself did to a node is not held against it, nor what the rig saw late.
func TestExcused(t *testing.T) {
	l := day().try(0, func(t *Try) { t.Ended = 1500 * ms })
	l.Excuse(l.Lives[0], Span{1200 * ms, Never})
	if got := l.Judge(categories, rules); len(got) != 0 {
		t.Errorf("killed outright: %v, want nothing broken", got)
	}
	l = day().try(0, func(t *Try) { t.Ended = 1100 * ms })
	l.Excuse(l.Lives[0], Span{1200 * ms, Never})
	if got := l.Judge(categories, rules); len(got) != 1 {
		t.Errorf("lost before it was killed: %v, want rule 1 broken", got)
	}
	late := rules
	late.Late = func(int64) int64 { return 30 * ms }
	if got := day().try(0, answered(2080, 502)).Judge(categories, late); len(got) != 0 {
		t.Errorf("seen late by a rig that ran late: %v, want nothing broken", got)
	}
}

// TestRemembered has a second life send to a server that the first was told drains: a break where the node kept its disk, unless the
// word came in the first one's last moment, or the second was told otherwise.
func TestRemembered(t *testing.T) {
	for name, c := range map[string]struct {
		remembers bool
		told      []Told
		want      bool
	}{
		"kept":               {true, []Told{told(300, model.Draining)}, true},
		"lost":               {false, []Told{told(300, model.Draining)}, false},
		"in the last moment": {true, []Told{told(950, model.Draining)}, false},
		"up before the end":  {true, []Told{told(300, model.Draining), told(500, model.Up)}, false},
		"told otherwise":     {true, []Told{told(300, model.Draining), {Life: 2, Health: model.Up, At: 1100 * ms}}, false},
	} {
		l := &Ledger{}
		l.Live(&NodeLife{Life: 1})
		l.Lives[0].Until = 1000 * ms
		l.Live(&NodeLife{Life: 2, From: 1050 * ms, Remembers: c.remembers})
		l.Watched(&Watch{Life: 1, To: 1000 * ms})
		l.Watched(&Watch{Life: 2, From: 1050 * ms, To: Never})
		l.Tell(c.told...)
		l.hand(2000, nil).try(0, func(t *Try) { t.Life, t.Whole, t.Hard = 2, 1999*ms, 9000*ms; answered(2009, 200)(t) })
		if got := l.Judge(categories, rules); c.want != (len(got) == 1) {
			t.Errorf("%s: %v, want broken %v", name, got, c.want)
		}
	}
}

// TestOnWay gives the time that a day holds up on a way to what is judged at its far end, and not to a node's answers.
func TestOnWay(t *testing.T) {
	slow := rules
	slow.OnWay = func(int64) int64 { return 200 * ms }
	l := day().hand(1700, nil).try(0, func(t *Try) { t.Whole, t.Hard = 1699*ms, 9000*ms; answered(1709, 200)(t) })
	l.Tell(told(1000, model.Draining))
	if got := l.Judge(categories, slow); len(got) != 0 {
		t.Errorf("held up on the way: %v", got)
	}
	if got := day().try(0, answered(2200, 502)).Judge(categories, slow); len(got) != 1 {
		t.Errorf("an answer past its time: %v, want rule 1 broken", got)
	}
}
