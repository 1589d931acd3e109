package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
)

// judge adds all requests to the record, the broken ones last, and returns errBroken if there is one.
func judge(requests []*request, recordPath string) error {
	record, err := os.OpenFile(recordPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer record.Close()
	statuses := map[int]int{}
	var broken []string
	notTaken := 0
	var lines strings.Builder
	for _, r := range requests {
		statuses[r.status]++
		if r.sentAt.IsZero() {
			notTaken++
		}
		line := r.line()
		switch {
		case r.isForeign():
			line += fmt.Sprintf(" FOREIGN ANSWER %q", r.answer)
		case r.isLost():
			line += " LOST"
		}
		if r.isForeign() || r.isLost() {
			broken = append(broken, line)
		}
		lines.WriteString(line + "\n")
	}
	summary := fmt.Sprintf("requests %d, by status %v (0: no answer), not taken %d, broken %d\n", len(requests), statuses, notTaken, len(broken))
	for _, line := range broken {
		summary += "BROKEN " + line + "\n"
	}
	if _, err := record.WriteString(lines.String() + summary); err != nil {
		return err
	}
	fmt.Print(summary)
	switch {
	case statuses[http.StatusOK] == 0:
		return errors.New("no request was served: the case did not run")
	case len(broken) > 0:
		return errBroken
	}
	return nil
}
