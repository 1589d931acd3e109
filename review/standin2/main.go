// Standin2 plays the cases 6 to 10 of the second review: it starts nodes with the command of the deploy file, stands in
// for clients, servers and discovery as the operators' protocol page describes them, and judges what these can see.
//
//	standin2 CASE RECORD
//
// CASE is a name of the table cases, RECORD the file that it writes. With TROUBLE=0 in the environment the disruption is
// left out. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	maxRunTime   = 110 * time.Second
	expectedArgs = 3
)

// errNotRun is wrapped by errors that keep a case from running.
var errNotRun = errors.New("the case could not run")

// cases are the cases by name. Each returns what broke the rule, one line for each break.
var cases = map[string]func(*world) ([]string, error){}

func main() {
	if len(os.Args) != expectedArgs || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays a case and returns the exit code.
func run(name, recordPath string) int {
	w, err := newWorld(recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		broken []string
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := cases[name](w)
		results <- result{broken, err}
	}()
	select {
	case r := <-results:
		return w.verdict(r.broken, r.err)
	case <-interrupts:
		return w.verdict(nil, fmt.Errorf("%w: interrupted", errNotRun))
	case <-time.After(maxRunTime):
		return w.verdict(nil, fmt.Errorf("%w: it took too long", errNotRun))
	}
}

// verdict writes the outcome to the record and to standard output, and returns the exit code.
func (w *world) verdict(broken []string, err error) int {
	code, text := exitHeld, "the rule held"
	switch {
	case err != nil:
		code, text = exitNotRun, err.Error()
	case len(broken) > 0:
		code, text = exitBroken, fmt.Sprintf("the rule was broken %d times", len(broken))
	}
	for _, line := range broken {
		w.record("broken: %s", line)
	}
	w.record("verdict: %s", text)
	fmt.Println(text)
	return code
}
