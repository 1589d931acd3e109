package invariant

import "net/http"

// Counts are numbers of attempts by outcome.
type Counts struct {
	Attempts, Rejected, Errors, Unanswered, Incomplete, Succeeded int
	DoubleEffects                                                 int // repeated executions of what must run once
}

// Count counts the attempts of the closed history. effectOf returns the name of a request's effect, and whether
// it must happen only once.
func (h *History) Count(effectOf func(request string) (effect string, once bool)) Counts {
	h.mu.Lock()
	defer h.mu.Unlock()
	var counts Counts
	executed := map[string]bool{}
	for _, a := range h.Attempts {
		counts.Attempts++
		switch {
		case a.LastByteAt == Never:
			counts.Incomplete++
		case a.AnsweredAt == Never:
			counts.Unanswered++
		case a.Rejected:
			counts.Rejected++
		case a.Status == http.StatusOK:
			counts.Succeeded++
		default:
			counts.Errors++
		}
		if effect, once := effectOf(a.Request); a.Executed && !a.Deduplicated && once {
			if executed[effect] {
				counts.DoubleEffects++
			}
			executed[effect] = true
		}
	}
	return counts
}
