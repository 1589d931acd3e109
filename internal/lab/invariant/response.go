package invariant

import "fmt"

// Rule 1: a request has one response, made by an endpoint for it, by its deadline and the grace; no attempt of it begins
// after that, nor once its client has gone.

// maxAttemptsAfterCancel is how many attempts of a run may begin after their client has gone.
const maxAttemptsAfterCancel = 2

func (c *checker) checkResponse(r *Request) {
	due := r.Deadline + c.rules.AnswerGrace
	due += c.rules.slack(due)
	process := processKey{r.Node, r.Incarnation}
	excused := c.excusedUntil(process, r.SentAt, min(r.AnsweredAt, r.ClosedAt, r.CloseRaceAt, due)) != 0
	if r.CloseRaceAt != Never {
		c.checkCloseRace(r, excused)
		return
	}
	if !excused {
		c.checkInTime(r, due)
	}
	if r.ForeignBody {
		c.reportResponse(r, r.AnsweredAt, "answered with what no server made for it")
	}
	if r.ExtraAt != Never {
		c.reportResponse(r, r.ExtraAt, "a second answer")
	}
	over := r.AnsweredAt
	if over == Never {
		over = due
	}
	if over == due && excused {
		return // a node that was paused reads a request late, and cannot know when it came
	}
	c.checkAttemptsAfter(r, over)
}

func (c *checker) reportResponse(r *Request, at int64, what string) {
	c.report(Violation{Rule: 1, Description: what, Request: r.ID, Attempt: -1, Endpoint: -1, Node: r.Node, At: at})
}

// checkCloseRace checks a request that crossed the closing of its connection. A node may close an idle connection, but one
// that began an attempt had read the request and owed a response.
func (c *checker) checkCloseRace(r *Request, excused bool) {
	if attempts, _ := c.attemptsOf(r); len(attempts) > 0 && !excused {
		c.reportResponse(r, r.CloseRaceAt, "connection ended without an answer")
	}
}

func (c *checker) checkInTime(r *Request, due int64) {
	switch {
	case r.AnsweredAt != Never && r.AnsweredAt > due:
		late := float64(r.AnsweredAt-r.Deadline) / 1e6
		c.reportResponse(r, r.AnsweredAt, fmt.Sprintf("answered %.0f ms after its hard limit", late))
	case r.AnsweredAt != Never || r.CanceledAt != Never || r.Truncated:
	case r.ClosedAt != Never:
		c.reportResponse(r, r.ClosedAt, "connection ended without an answer")
	default:
		c.reportResponse(r, due, "no answer by its hard limit")
	}
}

// checkAttemptsAfter reports attempts that began after the response was given or due.
func (c *checker) checkAttemptsAfter(r *Request, over int64) {
	attempts, first := c.attemptsOf(r)
	for n, a := range attempts {
		if a.Node == r.Node && a.FirstByteAt > over+c.rules.linkSlack(a.FirstByteAt) {
			c.report(Violation{
				Rule: 1, Description: "sent to a server after its final answer was due or given",
				Request: r.ID, Attempt: first + n, Endpoint: a.Endpoint, Node: r.Node, At: a.FirstByteAt,
			})
		}
	}
}

// checkCanceled notes attempts that began too long after the client had closed its connection or canceled.
func (c *checker) checkCanceled(r *Request) {
	if c.rules.CancelGrace <= 0 || r.CanceledAt == Never {
		return
	}
	// A node that was paused when the client went learns of it afterwards.
	process := processKey{r.Node, r.Incarnation}
	gone := max(r.CanceledAt, c.excusedUntil(process, r.CanceledAt, r.CanceledAt+c.rules.CancelGrace))
	if gone == Never {
		return
	}
	attempts, first := c.attemptsOf(r)
	for n, a := range attempts {
		if a.Node == r.Node && a.FirstByteAt > gone+c.rules.CancelGrace+c.rules.linkSlack(a.FirstByteAt) {
			late := float64(a.FirstByteAt-gone) / 1e6
			c.attemptsAfterCancel = append(c.attemptsAfterCancel, Violation{
				Rule: 1, Description: fmt.Sprintf("sent to a server %.0f ms after its client had gone", late),
				Request: r.ID, Attempt: first + n, Endpoint: a.Endpoint, Node: a.Node, At: a.FirstByteAt,
			})
		}
	}
}

// reportCanceled reports the attempts for clients that had gone, beyond those that are tolerated.
func (c *checker) reportCanceled() {
	sortByTime(c.attemptsAfterCancel)
	if len(c.attemptsAfterCancel) > maxAttemptsAfterCancel {
		c.violations = append(c.violations, c.attemptsAfterCancel[maxAttemptsAfterCancel:]...)
	}
}
