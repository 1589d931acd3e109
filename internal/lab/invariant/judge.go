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
type Violation struct {
	Rule    int    `json:"rule"`
	What    string `json:"what"`
	Request    string `json:"task,omitempty"`
	Attempt int    `json:"hand_off"` // its place among the task's, from 0; -1 if it is about none
	Endpoint  int    `json:"server"`   // -1 if it is about none
	Node    int    `json:"node"`
	At      int64  `json:"at_ns"`
}

func (b Violation) String() string {
	text := fmt.Sprintf("rule %d at %.3f s, node %d: %s", b.Rule, float64(b.At)/1e9, b.Node, b.What)
	if b.Request != "" {
		text += ", task " + b.Request
	}
	if b.Attempt >= 0 {
		text += fmt.Sprintf(", hand-off %d", b.Attempt)
	}
	if b.Endpoint >= 0 {
		text += fmt.Sprintf(", server %d", b.Endpoint)
	}
	return text
}

type processKey struct{ node, life int }

type checker struct {
	*History
	classes []Class
	rules      Rules
	attemptsByID     map[string][]*Attempt
	processes      map[processKey]*Process
	knownStarts     map[endpointStart]int64
	afterCancel  []Violation // attempts for clients that had gone; the first few are let pass
	violations     []Violation
}

// filled has functions where a day has nothing to say.
func (r Rules) withDefaults() Rules {
	if r.Lag == nil {
		r.Lag = func(int64) int64 { return 0 }
	}
	if r.LinkDelay == nil {
		r.LinkDelay = func(int64) int64 { return 0 }
	}
	return r
}

// Judge reads the closed ledger and returns every break, in order of time.
func (l *History) Check(categories []Class, rules Rules) []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := &checker{History: l, classes: categories, rules: rules.withDefaults(), attemptsByID: map[string][]*Attempt{}, processes: map[processKey]*Process{}}
	for _, n := range l.Processes {
		j.processes[processKey{n.Node, n.Incarnation}] = n
	}
	for _, h := range l.Attempts {
		j.attemptsByID[h.Request] = append(j.attemptsByID[h.Request], h)
	}
	for _, list := range j.attemptsByID {
		slices.SortStableFunc(list, func(a, b *Attempt) int { return cmp.Compare(a.FirstByteAt, b.FirstByteAt) })
	}
	for _, t := range l.Requests {
		j.checkResponse(t)
		j.checkRepeats(t)
		j.checkCanceled(t)
	}
	j.checkDrains()
	j.checkCrashes()
	j.reportCanceled()
	j.checkReadiness()
	slices.SortStableFunc(j.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return j.violations
}

func (j *checker) report(b Violation) { j.violations = append(j.violations, b) }

// slack is what any time limit is longer by at a moment: the protocol's, and how late the rig may have seen it.
func (j *checker) slack(at int64) int64 { return j.rules.Slack + j.rules.Lag(at) }

// waySlack is slack for what servers or discovery saw, or had to be seen of them: the day itself may have held it up on the way.
func (j *checker) linkSlack(at int64) int64 { return j.slack(at) + j.rules.LinkDelay(at) }

// answer judges rule 1 for a task.
func (j *checker) checkResponse(t *Request) {
	about := Violation{Rule: 1, Request: t.ID, Attempt: -1, Endpoint: -1, Node: t.Node}
	say := func(at int64, what string) {
		b := about
		b.At, b.What = at, what
		j.report(b)
	}
	due := t.Deadline + j.rules.AnswerGrace
	due += j.slack(due)
	excused := j.excused(processKey{t.Node, t.Incarnation}, t.SentAt, min(t.AnsweredAt, t.ClosedAt, t.CrossedAt, due)) != 0
	list, first := j.attemptsOf(t)
	switch {
	case t.CrossedAt != Never:
		// A node may close between tasks. One that had handed the task off had read it, and owed its answer.
		if len(list) > 0 && !excused {
			say(t.CrossedAt, "connection ended without an answer")
		}
		return
	case t.AnsweredAt != Never && t.AnsweredAt > due:
		if !excused {
			say(t.AnsweredAt, fmt.Sprintf("answered %.0f ms after its hard limit", float64(t.AnsweredAt-t.Deadline)/1e6))
		}
	case t.AnsweredAt == Never && t.CanceledAt == Never && !t.Truncated && !excused:
		if t.ClosedAt != Never {
			say(t.ClosedAt, "connection ended without an answer")
		} else {
			say(due, "no answer by its hard limit")
		}
	}
	if t.ForeignBody {
		say(t.AnsweredAt, "answered with what no server made for it")
	}
	if t.ExtraAt != Never {
		say(t.ExtraAt, "a second answer")
	}
	over := t.AnsweredAt
	if over == Never {
		over = due // nothing may be sent for it once its time is up, answered or not
	}
	if over == due && excused {
		return // a node that was held still reads a task later than it came, and cannot know
	}
	for n, h := range list {
		if h.Node == t.Node && h.FirstByteAt > over+j.linkSlack(h.FirstByteAt) {
			b := about
			b.At, b.What, b.Attempt, b.Endpoint = h.FirstByteAt, "sent to a server after its final answer was due or given", first+n, h.Endpoint
			j.report(b)
		}
	}
}

// excused tells the end of the last time, of those that the day itself put a node out of work in, that a span touches;
// 0 if there is none.
func (j *checker) excused(k processKey, from, to int64) (end int64) {
	if life := j.processes[k]; life != nil {
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
func (j *checker) attemptsOf(t *Request) (list []*Attempt, first int) {
	all := j.attemptsByID[t.ID]
	for first < len(all) && all[first].FirstByteAt <= t.ResentAfter {
		first++
	}
	end := first
	for end < len(all) && all[end].FirstByteAt <= t.CrossedAt {
		end++
	}
	return all[first:end], first
}

// proof is when it was proved that a hand-off never ran; Never if it was not.
func (h *Attempt) provenNotRunAt() int64 {
	switch {
	case h.LastByteAt == Never:
		return h.FirstByteAt // cut before its last byte, which its sender knows
	case h.Rejected:
		return h.AnsweredAt
	}
	return Never
}

func (j *checker) sameGroup(g DedupGroup, a, b *Attempt) bool {
	switch g {
	case DedupZone:
		return a.Zone == b.Zone
	case DedupPod:
		return a.Pod == b.Pod
	}
	return true
}

// effects judges rule 2 for a task: resends, second copies and declines.
func (j *checker) checkRepeats(t *Request) {
	c := j.classes[t.Class]
	list, first := j.attemptsOf(t)
	for n, h := range list {
		about := Violation{Rule: 2, Request: t.ID, Attempt: first + n, Endpoint: h.Endpoint, Node: h.Node, At: h.FirstByteAt}
		for _, earlier := range list[:n] {
			// An answer is written before its node can know of it, so it needs no slack; a close may be seen late.
			out := earlier.LastByteAt != Never && earlier.AnsweredAt > h.FirstByteAt && earlier.ClosedAt > h.FirstByteAt+j.linkSlack(h.FirstByteAt)
			if out && !j.rules.MayHedge {
				about.What = "a second copy while another was out"
				j.report(about)
				break
			}
			if earlier.provenNotRunAt() <= h.FirstByteAt {
				continue
			}
			if c.Idempotency == NonIdempotent {
				about.What = "an exclusive task sent again that may have run"
				j.report(about)
				break
			}
			if c.Idempotency == IdempotentByKey && !j.sameGroup(c.DedupGroup, earlier, h) {
				about.What = "a ticketed task that may have run sent again outside its group"
				j.report(about)
				break
			}
			if c.Idempotency == IdempotentByKey && h.FirstByteAt > earlier.FirstByteAt+c.DedupWindow+j.linkSlack(h.FirstByteAt) {
				about.What = "a ticketed task that may have run sent again after the memory's span"
				j.report(about)
				break
			}
		}
	}
	if t.AnsweredAt == Never || t.Status != 429 && t.Status != 503 || c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.DedupGroup == DedupFleet {
		return
	}
	for n, h := range list {
		// A hand-off that began after the answer is rule 1's. Where the turning away was written later than the
		// answer came, the node declined before it knew.
		if h.FirstByteAt <= t.AnsweredAt && h.provenNotRunAt() > t.AnsweredAt {
			j.report(Violation{Rule: 2, What: "declined though it may have run", Request: t.ID, Attempt: first + n, Endpoint: h.Endpoint, Node: t.Node, At: t.AnsweredAt})
			return
		}
	}
}

// word is what a node has been told of a server, in order of time.
type knownState struct {
	at     int64
	health model.State
}

type endpointKey struct{ node, life, server int }

// drains judges rule 3: nothing new to a server that the node knows, or is taken to know, to be draining or gone.
func (j *checker) checkDrains() {
	words := map[endpointKey][]knownState{}
	for _, t := range j.Entries {
		k := endpointKey{t.Node, t.Incarnation, t.Endpoint}
		words[k] = append(words[k], knownState{t.At, t.State})
	}
	for _, n := range j.Processes {
		anyway := j.presumed(n, words)
		j.addMissedPolls(n, words)
		for k, list := range anyway {
			words[k] = append(words[k], list...)
		}
	}
	for k, list := range words {
		slices.SortStableFunc(list, func(a, b knownState) int { return cmp.Compare(a.at, b.at) })
		words[k] = list
	}
	j.addPersisted(words)
	for _, h := range j.Attempts {
		list := words[endpointKey{h.Node, j.incarnationAt(h.Node, h.FirstByteAt), h.Endpoint}]
		told := int64(Never) // since when it has been known not to want anything new
		for _, w := range list {
			if w.at > h.FirstByteAt {
				break
			}
			if w.health == model.Up {
				told = Never
			} else if told == Never {
				// What was told to a node that the day held still, it could only read afterwards.
				told = max(w.at, j.excused(processKey{h.Node, j.incarnationAt(h.Node, h.FirstByteAt)}, w.at, w.at))
			}
		}
		if told == Never || h.FirstByteAt <= told+j.rules.StopSending+j.linkSlack(h.FirstByteAt) || j.rules.ListGossip && j.listedUpSince(h.Endpoint, told, h.FirstByteAt) {
			continue
		}
		n := slices.Index(j.attemptsByID[h.Request], h)
		j.report(Violation{
			Rule: 3, What: fmt.Sprintf("sent to a draining or gone server %.0f ms after it was told", float64(h.FirstByteAt-told)/1e6),
			Request: h.Request, Attempt: n, Endpoint: h.Endpoint, Node: h.Node, At: h.FirstByteAt,
		})
	}
}

// backSince tells whether discovery has listed a server as up after a moment, and still did at another: what one node was told of it
// another may since know better. What a node says that it heard does not count, only what discovery listed.
func (j *checker) listedUpSince(server int, told, at int64) bool {
	up := false
	for _, c := range j.ListChanges {
		if c.Endpoint == server && c.At <= at {
			up = c.State == model.Up && c.At > told
		}
	}
	return up
}

func (j *checker) incarnationAt(node int, at int64) int {
	life := 0
	for _, n := range j.Processes {
		if n.Node == node && n.StartedAt <= at && n.Incarnation > life {
			life = n.Incarnation
		}
	}
	return life
}

// unwritten is how long before its end a life may be told what the next one does not know yet, as it was not on the disk.
const persistDelay = int64(100e6)

// remembered gives a life that kept its disk what the one before was told last of each server.
func (j *checker) addPersisted(words map[endpointKey][]knownState) {
	lives := slices.SortedFunc(slices.Values(j.Processes), func(a, b *Process) int { return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation)) })
	for i, n := range lives {
		if i == 0 || !n.Persistent || lives[i-1].Node != n.Node {
			continue
		}
		for server := range j.endpointsListed() {
			last := knownState{health: model.Up}
			for _, w := range words[endpointKey{n.Node, lives[i-1].Incarnation, server}] {
				if w.at <= lives[i-1].EndedAt-persistDelay {
					last = w
				}
			}
			if last.health != model.Up {
				k := endpointKey{n.Node, n.Incarnation, server}
				words[k] = append([]knownState{{n.StartedAt, last.health}}, words[k]...)
			}
		}
	}
}

func (j *checker) endpointsListed() map[int]bool {
	all := map[int]bool{}
	for _, t := range j.Entries {
		all[t.Endpoint] = true
	}
	return all
}

// unasked adds what a node is taken to know though nobody told it: it neither watched nor asked for too long. After a
// call that failed it has four times as long.
func (j *checker) addMissedPolls(n *Process, words map[endpointKey][]knownState) {
	within := j.rules.PollWithin
	if within <= 0 {
		return
	}
	var mine []*Watch
	for _, w := range j.Watches {
		if w.Node == n.Node && w.Incarnation == n.Incarnation {
			mine = append(mine, w)
		}
	}
	slices.SortFunc(mine, func(a, b *Watch) int { return cmp.Compare(a.From, b.From) })
	from, wait := n.StartedAt, within
	gap := func(until int64) {
		if from == Never { // it still watches
			return
		}
		for _, c := range j.ListChanges {
			// The list as it stood that long ago is taken as known, from when the gap has lasted as long.
			at := max(from, c.At) + wait
			if at < until {
				k := endpointKey{n.Node, n.Incarnation, c.Endpoint}
				words[k] = append(words[k], knownState{at, c.State})
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
	gap(n.EndedAt)
}

// falls judges rule 4: a cold server was pushed over, and two thirds of the push came from nodes that knew of its start.
func (j *checker) checkCrashes() {
	for _, f := range j.Crashes {
		knowing, byNode, worst := 0.0, map[int]float64{}, -1
		for _, p := range f.Arrivals {
			if j.knewStart(f.Endpoint, f.StartedAt, p) {
				knowing += p.Work
			}
			byNode[p.Node] += p.Work
			if worst < 0 || byNode[p.Node] > byNode[worst] {
				worst = p.Node
			}
		}
		if knowing >= f.Work*2/3 {
			j.report(Violation{
				Rule: 4, What: fmt.Sprintf("a cold server was pushed over: %.2f s of work on a capacity of %.2f a second", f.Work, f.Capacity),
				Attempt: -1, Endpoint: f.Endpoint, Node: worst, At: f.At,
			})
		}
	}
}

// Kept counts what passed, for the figures of a day.
type Counts struct {
	Attempts, Rejected, Errors, Unanswered, Incomplete, Succeeded, DoubleEffects int
}

// Count sums hand-offs up by what became of them. Twice counts effects beyond the first of a task that must have one.
func (l *History) Count(ticketOf func(task string) (ticket string, matters bool)) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	var k Counts
	ran := map[string]bool{}
	for _, h := range l.Attempts {
		k.Attempts++
		switch {
		case h.LastByteAt == Never:
			k.Incomplete++
		case h.AnsweredAt == Never:
			k.Unanswered++
		case h.Rejected:
			k.Rejected++
		case h.Status == 200:
			k.Succeeded++
		default:
			k.Errors++
		}
		if ticket, matters := ticketOf(h.Request); h.Executed && !h.Deduplicated && matters {
			if ran[ticket] {
				k.DoubleEffects++
			}
			ran[ticket] = true
		}
	}
	return k
}
