package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// load is what clients send for a while.
type load struct {
	classes []class
	rate    float64 // requests per second and node
	length  time.Duration
	body    func(c class) int // bytes of a body
	pools   []*clientPool     // connections by node; none: new ones
}

// play sends the load to all nodes and returns all requests once they have ended.
func (l *load) play(p *plan) []*request {
	var mu sync.Mutex
	var all []*request
	var open sync.WaitGroup
	end := time.Now().Add(l.length)
	for i, n := range p.Nodes {
		pool := &clientPool{address: n.Listen}
		if i < len(l.pools) {
			pool = l.pools[i]
		}
		open.Go(func() {
			for next := time.Now(); next.Before(end); {
				next = next.Add(time.Duration(rand.ExpFloat64() / l.rate * float64(time.Second)))
				time.Sleep(time.Until(next))
				c := l.classes[rand.IntN(len(l.classes))]
				r := newRequest(c, l.body(c))
				open.Go(func() {
					pool.send(r)
					mu.Lock()
					defer mu.Unlock()
					all = append(all, r)
				})
			}
		})
	}
	open.Wait()
	return all
}

var payroll = []class{
	{"payslip-view", "GET", 300 * time.Millisecond},
	{"timesheet-update", "POST", 1200 * time.Millisecond},
	{"salary-run", "POST", 1500 * time.Millisecond},
}

func smallBody(c class) int {
	if c.method == "GET" {
		return 0
	}
	return 200 + rand.IntN(2000)
}

// uploadCommand sends the usual small requests and some long ones, and judges whether each got its final answer in
// time.
func uploadCommand(args []string) error {
	flags, planPath := newFlags("upload")
	length := flags.Duration("length", 30*time.Second, "how long requests are sent")
	rate := flags.Float64("rate", 80, "small requests per second and node")
	longRate := flags.Float64("long-rate", 2, "long requests per second and node")
	from := flags.Int("from", 2<<20, "bytes of the shortest long body")
	to := flags.Int("to", 16<<20, "bytes of the longest long body")
	recordPath := flags.String("record", "", "file to which the result is added")
	if err := flags.Parse(args); err != nil {
		return err
	}
	p, err := readPlan(*planPath)
	if err != nil {
		return err
	}
	small := load{classes: payroll, rate: *rate, length: *length, body: smallBody}
	long := load{classes: payroll[1:], rate: *longRate, length: *length}
	long.body = func(class) int { return *from + rand.IntN(*to-*from) }
	var requests []*request
	done := make(chan []*request)
	go func() { done <- long.play(p) }()
	requests = append(requests, small.play(p)...)
	requests = append(requests, <-done...)
	return judge(requests, *recordPath)
}
