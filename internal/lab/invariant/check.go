package invariant

import (
	"cmp"
	"fmt"
	"slices"
)

// Violation is one rule violated once. Attempt and Endpoint are -1 where it concerns none.
type Violation struct {
	Rule        int    `json:"rule"`
	Description string `json:"what"`
	Request     string `json:"task,omitempty"`
	Attempt     int    `json:"hand_off"` // its place among the request's, from 0
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
	attemptsByID        map[string][]*Attempt // by request, in order of their first bytes
	processes           map[processKey]*Process
	knownStarts         map[endpointStart]int64
	attemptsAfterCancel []Violation // attempts for clients that had gone; the first few are tolerated
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

// Check returns every violation in the closed history, in order of time.
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

// excusedUntil is the end of the last excused time of a process that a span touches; 0 if there is none.
func (c *checker) excusedUntil(k processKey, from, to int64) (end int64) {
	p := c.processes[k]
	if p == nil {
		return 0
	}
	for _, s := range p.Excused {
		if s.From <= to && from < s.To {
			end = max(end, s.To)
		}
	}
	return end
}

// incarnationAt is the process of a node that ran at a moment; 0 if there was none.
func (c *checker) incarnationAt(node int, at int64) int {
	incarnation := 0
	for _, p := range c.Processes {
		if p.Node == node && p.StartedAt <= at && p.Incarnation > incarnation {
			incarnation = p.Incarnation
		}
	}
	return incarnation
}

// attemptsOf returns the attempts of one request, where a crossed one was sent before with the same ID, and how many
// attempts with the ID come before them.
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
