package invariant

import (
	"cmp"
	"fmt"
	"slices"
)

// Violation is one violation of a rule. Attempt and Endpoint are -1 if the violation concerns none.
type Violation struct {
	Rule        int    `json:"rule"`
	Description string `json:"what"`
	Request     string `json:"task,omitempty"`
	Attempt     int    `json:"hand_off"` // index among the request's attempts, from 0
	Endpoint    int    `json:"server"`
	Node        int    `json:"node"`
	At          int64  `json:"at_ns"`
}

func (v Violation) String() string {
	text := fmt.Sprintf("rule %d at %.3f s, node %d: %s", v.Rule, float64(v.At)/1e9, v.Node, v.Description)
	if v.Request != "" {
		text += ", task " + v.Request
	}
	if v.Attempt >= 0 {
		text += fmt.Sprintf(", hand-off %d", v.Attempt)
	}
	if v.Endpoint >= 0 {
		text += fmt.Sprintf(", server %d", v.Endpoint)
	}
	return text
}

type processKey struct{ node, incarnation int }

// checker checks one closed history.
type checker struct {
	*History
	classes             []Class
	rules               Rules
	attemptsByID        map[string][]*Attempt // by request ID, in order of their first bytes
	processes           map[processKey]*Process
	knownStarts         map[endpointStart]int64
	attemptsAfterCancel []Violation // the first maxAttemptsAfterCancel are tolerated
	violations          []Violation
}

func newChecker(h *History, classes []Class, rules Rules) *checker {
	c := &checker{
		History: h, classes: classes, rules: rules.withDefaults(),
		attemptsByID: map[string][]*Attempt{}, processes: map[processKey]*Process{},
	}
	for _, p := range h.Processes {
		c.processes[processKey{p.Node, p.Incarnation}] = p
	}
	for _, a := range h.Attempts {
		c.attemptsByID[a.Request] = append(c.attemptsByID[a.Request], a)
	}
	for _, list := range c.attemptsByID {
		slices.SortStableFunc(list, func(a, b *Attempt) int { return cmp.Compare(a.FirstByteAt, b.FirstByteAt) })
	}
	return c
}

// Check returns all violations in the closed history, in order of time.
func (h *History) Check(classes []Class, rules Rules) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := newChecker(h, classes, rules)
	for _, r := range h.Requests {
		c.checkResponse(r)
		c.checkRepeats(r)
		c.checkCanceled(r)
	}
	c.checkDrains()
	c.checkCrashes()
	c.reportCanceled()
	c.checkReadiness()
	sortByTime(c.violations)
	return c.violations
}

func sortByTime(violations []Violation) {
	slices.SortStableFunc(violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
}

func (c *checker) report(v Violation) { c.violations = append(c.violations, v) }

// excusedUntil returns the latest end of the process's excused intervals that overlap the time between from and to; 0
// if none does.
func (c *checker) excusedUntil(process processKey, from, to int64) (end int64) {
	p := c.processes[process]
	if p == nil {
		return 0
	}
	for _, interval := range p.Excused {
		if interval.From <= to && from < interval.To {
			end = max(end, interval.To)
		}
	}
	return end
}

// incarnationAt returns the incarnation of a node's newest process that had started by a time; 0 if there was none.
func (c *checker) incarnationAt(node int, at int64) int {
	incarnation := 0
	for _, p := range c.Processes {
		if p.Node == node && p.StartedAt <= at && p.Incarnation > incarnation {
			incarnation = p.Incarnation
		}
	}
	return incarnation
}

// attemptsOf returns the attempts of one request, and the index of the first of them among all attempts with its ID. A
// request that the client resent shares its ID with the first transmission; the attempts are assigned by time.
func (c *checker) attemptsOf(r *Request) (attempts []*Attempt, first int) {
	all := c.attemptsByID[r.ID]
	for first < len(all) && all[first].FirstByteAt <= r.ResentAfter {
		first++
	}
	end := first
	for end < len(all) && all[end].FirstByteAt <= r.CloseRaceAt {
		end++
	}
	return all[first:end], first
}
