package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// maxHold is how long a node may be held up.
const maxHold = 150 * time.Millisecond

var trips = []class{
	{"dock-lookup", "GET", 1500 * time.Millisecond},
	{"dock-status", "GET", 5 * time.Second},
	{"pass-check", "GET", 2 * time.Second},
	{"trip-event", "POST", 5 * time.Second},
	{"trip-event", "POST", 5 * time.Second}, // nearly half of all requests
}

// shutdownCommand sends requests to the first node of the plan, and tells it to end meanwhile as the platform does:
// SIGTERM, new connections for another 0.3 s, and SIGKILL only when it is due. Shortly before, the node may be held up
// once. It judges whether each request got its final answer.
func shutdownCommand(args []string) error {
	flags, planPath := newFlags("shutdown")
	pid := flags.Int("pid", 0, "process of the node")
	rate := flags.Float64("rate", 40, "requests per second")
	termAfter := flags.Duration("term-after", 2*time.Second, "when SIGTERM comes")
	killAfter := flags.Duration("kill-after", 3700*time.Millisecond, "when SIGKILL comes at the earliest, from SIGTERM on")
	hold := flags.Duration("hold", 0, "how long the node is held up")
	holdBefore := flags.Duration("hold-before", 170*time.Millisecond, "when it is held up, before the earliest SIGKILL")
	recordPath := flags.String("record", "", "file to which the result is added")
	if err := flags.Parse(args); err != nil {
		return err
	}
	p, err := readPlan(*planPath)
	if err != nil {
		return err
	}
	p.Nodes = p.Nodes[:1]
	pool := &clientPool{address: p.Nodes[0].Listen}
	l := load{classes: trips, rate: *rate, length: *termAfter + *killAfter, pools: []*clientPool{pool}}
	l.body = func(c class) int {
		if c.method == "GET" {
			return 0
		}
		return 100 + rand.IntN(400)
	}
	done := make(chan []*request)
	go func() { done <- l.play(p) }()
	time.Sleep(*termAfter)
	termAt := time.Now()
	if err := syscall.Kill(*pid, syscall.SIGTERM); err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	pool.closed.Store(true)
	if *hold > 0 {
		time.Sleep(time.Until(termAt.Add(*killAfter - *holdBefore)))
		heldAt := time.Now()
		_ = syscall.Kill(*pid, syscall.SIGSTOP) // if it has ended already, so much the better
		time.Sleep(*hold)
		_ = syscall.Kill(*pid, syscall.SIGCONT)
		if held := time.Since(heldAt); held > maxHold {
			return fmt.Errorf("this machine held the node up for %v, longer than the page allows", held)
		}
	}
	time.Sleep(time.Until(termAt.Add(*killAfter + time.Second)))
	_ = syscall.Kill(*pid, syscall.SIGKILL)
	return judge(<-done, *recordPath)
}
