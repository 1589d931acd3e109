package invariant

import "fmt"

// Rule 5: of the processes that were started again, nine in ten are ready in time.

const minReadyFraction = 0.9

func (c *checker) checkReadiness() {
	if c.rules.ReadyWithin <= 0 {
		return
	}
	first := c.firstIncarnations()
	restarts, inTime, last := 0, 0, Violation{}
	for _, p := range c.Processes {
		due, counts := c.readyBy(p)
		if !counts || p.Incarnation == first[p.Node] {
			continue
		}
		restarts++
		if p.ReadyAt <= due {
			inTime++
		} else if last.At <= due {
			last = Violation{Rule: 5, Attempt: -1, Endpoint: -1, Node: p.Node, At: due}
		}
	}
	if float64(inTime) < minReadyFraction*float64(restarts) {
		last.Description = fmt.Sprintf("%d of %d processes started again were ready in time, expected %.1f of them", inTime, restarts, minReadyFraction)
		c.report(last)
	}
}

func (c *checker) firstIncarnations() map[int]int {
	first := map[int]int{}
	for _, p := range c.Processes {
		if incarnation, had := first[p.Node]; !had || p.Incarnation < incarnation {
			first[p.Node] = p.Incarnation
		}
	}
	return first
}

// readyBy is when a process has to be ready. It does not count if the run ends, or ended the process, before that.
func (c *checker) readyBy(p *Process) (due int64, counts bool) {
	within := c.rules.ReadyWithin
	if p.StartedAt+within > c.rules.End {
		within = c.rules.ReadyWithinAtEnd
	}
	due = p.StartedAt + within
	due += c.rules.slack(due)
	return due, p.StartedAt+within <= c.rules.End && (p.ReadyAt <= due || p.EndedAt >= due)
}
