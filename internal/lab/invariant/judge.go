package invariant

// This file owns the judgement of the four rules. It must be able to say no for each of them, and to name task,
// hand-off, server and moment. What it cannot see for certain counts for the node, what the rules call unknown does not.

import (
	"cmp"
	"fawnglade/internal/lab/model"
	"fmt"
	"slices"
)

// Break is one rule broken once.
type Break struct {
	Rule    int    `json:"rule"`
	What    string `json:"what"`
	Task    string `json:"task,omitempty"`
	Attempt int    `json:"hand_off"` // its place among the task's, from 0; -1 if it is about none
	Server  int    `json:"server"`   // -1 if it is about none
	Node    int    `json:"node"`
	At      int64  `json:"at_ns"`
}

func (b Break) String() string {
	text := fmt.Sprintf("rule %d at %.3f s, node %d: %s", b.Rule, float64(b.At)/1e9, b.Node, b.What)
	if b.Task != "" {
		text += ", task " + b.Task
	}
	if b.Attempt >= 0 {
		text += fmt.Sprintf(", hand-off %d", b.Attempt)
	}
	if b.Server >= 0 {
		text += fmt.Sprintf(", server %d", b.Server)
	}
	return text
}

type lifeKey struct{ node, life int }

type judge struct {
	*Ledger
	categories []Category
	rules      Rules
	byTask     map[string][]*HandOff
	lives      map[lifeKey]*NodeLife
	starts     map[start]int64
	afterGone  []Break // attempts for clients that had gone; the first few are let pass
	breaks     []Break
}

// filled has functions where a day has nothing to say.
func (r Rules) filled() Rules {
	if r.Late == nil {
		r.Late = func(int64) int64 { return 0 }
	}
	if r.OnWay == nil {
		r.OnWay = func(int64) int64 { return 0 }
	}
	return r
}

// Judge reads the closed ledger and returns every break, in order of time.
func (l *Ledger) Judge(categories []Category, rules Rules) []Break {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := &judge{Ledger: l, categories: categories, rules: rules.filled(), byTask: map[string][]*HandOff{}, lives: map[lifeKey]*NodeLife{}}
	for _, n := range l.Lives {
		j.lives[lifeKey{n.Node, n.Life}] = n
	}
	for _, h := range l.HandOffs {
		j.byTask[h.Task] = append(j.byTask[h.Task], h)
	}
	for _, list := range j.byTask {
		slices.SortStableFunc(list, func(a, b *HandOff) int { return cmp.Compare(a.First, b.First) })
	}
	for _, t := range l.Tries {
		j.answer(t)
		j.effects(t)
		j.forGone(t)
	}
	j.drains()
	j.falls()
	j.gone()
	j.readiness()
	slices.SortStableFunc(j.breaks, func(a, b Break) int { return cmp.Compare(a.At, b.At) })
	return j.breaks
}

func (j *judge) broken(b Break) { j.breaks = append(j.breaks, b) }

// slack is what any time limit is longer by at a moment: the protocol's, and how late the rig may have seen it.
func (j *judge) slack(at int64) int64 { return j.rules.Slack + j.rules.Late(at) }

// waySlack is slack for what servers or discovery saw, or had to be seen of them: the day itself may have held it up on the way.
func (j *judge) waySlack(at int64) int64 { return j.slack(at) + j.rules.OnWay(at) }

// answer judges rule 1 for a task.
func (j *judge) answer(t *Try) {
	about := Break{Rule: 1, Task: t.ID, Attempt: -1, Server: -1, Node: t.Node}
	say := func(at int64, what string) {
		b := about
		b.At, b.What = at, what
		j.broken(b)
	}
	due := t.Hard + j.rules.AnswerGrace
	due += j.slack(due)
	excused := j.excused(lifeKey{t.Node, t.Life}, t.Whole, min(t.Answered, t.Ended, t.Crossed, due)) != 0
	list, first := j.handOffsOf(t)
	switch {
	case t.Crossed != Never:
		// A node may close between tasks. One that had handed the task off had read it, and owed its answer.
		if len(list) > 0 && !excused {
			say(t.Crossed, "connection ended without an answer")
		}
		return
	case t.Answered != Never && t.Answered > due:
		if !excused {
			say(t.Answered, fmt.Sprintf("answered %.0f ms after its hard limit", float64(t.Answered-t.Hard)/1e6))
		}
	case t.Answered == Never && t.Left == Never && !t.Cut && !excused:
		if t.Ended != Never {
			say(t.Ended, "connection ended without an answer")
		} else {
			say(due, "no answer by its hard limit")
		}
	}
	if t.Foreign {
		say(t.Answered, "answered with what no server made for it")
	}
	if t.Extra != Never {
		say(t.Extra, "a second answer")
	}
	over := t.Answered
	if over == Never {
		over = due // nothing may be sent for it once its time is up, answered or not
	}
	if over == due && excused {
		return // a node that was held still reads a task later than it came, and cannot know
	}
	for n, h := range list {
		if h.Node == t.Node && h.First > over+j.waySlack(h.First) {
			b := about
			b.At, b.What, b.Attempt, b.Server = h.First, "sent to a server after its final answer was due or given", first+n, h.Server
			j.broken(b)
		}
	}
}

// excused tells the end of the last time, of those that the day itself put a node out of work in, that a span touches;
// 0 if there is none.
func (j *judge) excused(k lifeKey, from, to int64) (end int64) {
	if life := j.lives[k]; life != nil {
		for _, s := range life.Excused {
			if s.From <= to && from < s.To {
				end = max(end, s.To)
			}
		}
	}
	return end
}

// handOffsOf are those of a try alone, where a crossed one had been sent before with the same id, and how many come
// before them.
func (j *judge) handOffsOf(t *Try) (list []*HandOff, first int) {
	all := j.byTask[t.ID]
	for first < len(all) && all[first].First <= t.From {
		first++
	}
	end := first
	for end < len(all) && all[end].First <= t.Crossed {
		end++
	}
	return all[first:end], first
}

// proof is when it was proved that a hand-off never ran; Never if it was not.
func (h *HandOff) proof() int64 {
	switch {
	case h.Last == Never:
		return h.First // cut before its last byte, which its sender knows
	case h.TurnedAway:
		return h.Answered
	}
	return Never
}

func (j *judge) sameGroup(g Group, a, b *HandOff) bool {
	switch g {
	case SameZone:
		return a.Zone == b.Zone
	case SamePod:
		return a.Pod == b.Pod
	}
	return true
}

// effects judges rule 2 for a task: resends, second copies and declines.
func (j *judge) effects(t *Try) {
	c := j.categories[t.Category]
	list, first := j.handOffsOf(t)
	for n, h := range list {
		about := Break{Rule: 2, Task: t.ID, Attempt: first + n, Server: h.Server, Node: h.Node, At: h.First}
		for _, earlier := range list[:n] {
			// An answer is written before its node can know of it, so it needs no slack; a close may be seen late.
			out := earlier.Last != Never && earlier.Answered > h.First && earlier.Closed > h.First+j.waySlack(h.First)
			if out && !j.rules.MayDuplicate {
				about.What = "a second copy while another was out"
				j.broken(about)
				break
			}
			if earlier.proof() <= h.First {
				continue
			}
			if c.Repeat == Exclusive {
				about.What = "an exclusive task sent again that may have run"
				j.broken(about)
				break
			}
			if c.Repeat == Ticketed && !j.sameGroup(c.Group, earlier, h) {
				about.What = "a ticketed task that may have run sent again outside its group"
				j.broken(about)
				break
			}
			if c.Repeat == Ticketed && h.First > earlier.First+c.Memory+j.waySlack(h.First) {
				about.What = "a ticketed task that may have run sent again after the memory's span"
				j.broken(about)
				break
			}
		}
	}
	if t.Answered == Never || t.Status != 429 && t.Status != 503 || c.Repeat == Rerunnable || c.Repeat == Ticketed && c.Group == WholeFleet {
		return
	}
	for n, h := range list {
		// A hand-off that began after the answer is rule 1's. Where the turning away was written later than the
		// answer came, the node declined before it knew.
		if h.First <= t.Answered && h.proof() > t.Answered {
			j.broken(Break{Rule: 2, What: "declined though it may have run", Task: t.ID, Attempt: first + n, Server: h.Server, Node: t.Node, At: t.Answered})
			return
		}
	}
}

// word is what a node has been told of a server, in order of time.
type word struct {
	at     int64
	health model.Health
}

type wordKey struct{ node, life, server int }

// drains judges rule 3: nothing new to a server that the node knows, or is taken to know, to be draining or gone.
func (j *judge) drains() {
	words := map[wordKey][]word{}
	for _, t := range j.Told {
		k := wordKey{t.Node, t.Life, t.Server}
		words[k] = append(words[k], word{t.At, t.Health})
	}
	for _, n := range j.Lives {
		anyway := j.toldAnyway(n, words)
		j.unasked(n, words)
		for k, list := range anyway {
			words[k] = append(words[k], list...)
		}
	}
	for k, list := range words {
		slices.SortStableFunc(list, func(a, b word) int { return cmp.Compare(a.at, b.at) })
		words[k] = list
	}
	j.remembered(words)
	for _, h := range j.HandOffs {
		list := words[wordKey{h.Node, j.lifeAt(h.Node, h.First), h.Server}]
		told := int64(Never) // since when it has been known not to want anything new
		for _, w := range list {
			if w.at > h.First {
				break
			}
			if w.health == model.Up {
				told = Never
			} else if told == Never {
				// What was told to a node that the day held still, it could only read afterwards.
				told = max(w.at, j.excused(lifeKey{h.Node, j.lifeAt(h.Node, h.First)}, w.at, w.at))
			}
		}
		if told == Never || h.First <= told+j.rules.StopSending+j.waySlack(h.First) || j.rules.ByOthers && j.backSince(h.Server, told, h.First) {
			continue
		}
		n := slices.Index(j.byTask[h.Task], h)
		j.broken(Break{
			Rule: 3, What: fmt.Sprintf("sent to a draining or gone server %.0f ms after it was told", float64(h.First-told)/1e6),
			Task: h.Task, Attempt: n, Server: h.Server, Node: h.Node, At: h.First,
		})
	}
}

// backSince tells whether discovery has listed a server as up after a moment, and still did at another: what one node was told of it
// another may since know better. What a node says that it heard does not count, only what discovery listed.
func (j *judge) backSince(server int, told, at int64) bool {
	up := false
	for _, c := range j.Listings {
		if c.Server == server && c.At <= at {
			up = c.Health == model.Up && c.At > told
		}
	}
	return up
}

func (j *judge) lifeAt(node int, at int64) int {
	life := 0
	for _, n := range j.Lives {
		if n.Node == node && n.From <= at && n.Life > life {
			life = n.Life
		}
	}
	return life
}

// unwritten is how long before its end a life may be told what the next one does not know yet, as it was not on the disk.
const unwritten = int64(100e6)

// remembered gives a life that kept its disk what the one before was told last of each server.
func (j *judge) remembered(words map[wordKey][]word) {
	lives := slices.SortedFunc(slices.Values(j.Lives), func(a, b *NodeLife) int { return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Life, b.Life)) })
	for i, n := range lives {
		if i == 0 || !n.Remembers || lives[i-1].Node != n.Node {
			continue
		}
		for server := range j.serversTold() {
			last := word{health: model.Up}
			for _, w := range words[wordKey{n.Node, lives[i-1].Life, server}] {
				if w.at <= lives[i-1].Until-unwritten {
					last = w
				}
			}
			if last.health != model.Up {
				k := wordKey{n.Node, n.Life, server}
				words[k] = append([]word{{n.From, last.health}}, words[k]...)
			}
		}
	}
}

func (j *judge) serversTold() map[int]bool {
	all := map[int]bool{}
	for _, t := range j.Told {
		all[t.Server] = true
	}
	return all
}

// unasked adds what a node is taken to know though nobody told it: it neither watched nor asked for too long. After a
// call that failed it has four times as long.
func (j *judge) unasked(n *NodeLife, words map[wordKey][]word) {
	within := j.rules.AskWithin
	if within <= 0 {
		return
	}
	var mine []*Watch
	for _, w := range j.Watches {
		if w.Node == n.Node && w.Life == n.Life {
			mine = append(mine, w)
		}
	}
	slices.SortFunc(mine, func(a, b *Watch) int { return cmp.Compare(a.From, b.From) })
	from, wait := n.From, within
	gap := func(until int64) {
		if from == Never { // it still watches
			return
		}
		for _, c := range j.Listings {
			// The list as it stood that long ago is taken as known, from when the gap has lasted as long.
			at := max(from, c.At) + wait
			if at < until {
				k := wordKey{n.Node, n.Life, c.Server}
				words[k] = append(words[k], word{at, c.Health})
			}
		}
	}
	for _, w := range mine {
		gap(w.From)
		if wait = within; w.Failed {
			wait = 4 * within
		}
		from = max(from, w.To)
	}
	gap(n.Until)
}

// falls judges rule 4: a cold server was pushed over, and two thirds of the push came from nodes that knew of its start.
func (j *judge) falls() {
	for _, f := range j.Falls {
		knowing, byNode, worst := 0.0, map[int]float64{}, -1
		for _, p := range f.Pushes {
			if j.knew(f.Server, f.Started, p) {
				knowing += p.Work
			}
			byNode[p.Node] += p.Work
			if worst < 0 || byNode[p.Node] > byNode[worst] {
				worst = p.Node
			}
		}
		if knowing >= f.Work*2/3 {
			j.broken(Break{
				Rule: 4, What: fmt.Sprintf("a cold server was pushed over: %.2f s of work on a capacity of %.2f a second", f.Work, f.Capacity),
				Attempt: -1, Server: f.Server, Node: worst, At: f.At,
			})
		}
	}
}

// Kept counts what passed, for the figures of a day.
type Kept struct {
	HandOffs, TurnedAway, Errors, Unanswered, Broken, Satisfied, Twice int
}

// Count sums hand-offs up by what became of them. Twice counts effects beyond the first of a task that must have one.
func (l *Ledger) Count(ticketOf func(task string) (ticket string, matters bool)) Kept {
	l.mu.Lock()
	defer l.mu.Unlock()
	var k Kept
	ran := map[string]bool{}
	for _, h := range l.HandOffs {
		k.HandOffs++
		switch {
		case h.Last == Never:
			k.Broken++
		case h.Answered == Never:
			k.Unanswered++
		case h.TurnedAway:
			k.TurnedAway++
		case h.Status == 200:
			k.Satisfied++
		default:
			k.Errors++
		}
		if ticket, matters := ticketOf(h.Task); h.Ran && !h.Repeated && matters {
			if ran[ticket] {
				k.Twice++
			}
			ran[ticket] = true
		}
	}
	return k
}
