package main

// A node that starts while discovery is slow (case 10).

import (
	"fmt"
	"time"
)

func init() { cases["start"] = playStart }

const (
	slowDiscovery = 2500 * time.Millisecond
	drainGrace    = 550 * time.Millisecond // rules.stop_sending_within_us, and 50 ms on sockets
	startLoad     = 4 * time.Second
)

func playStart(w *world) ([]string, error) {
	var servers []*server
	var before, now []host
	for i := range 4 {
		s, err := newServer(w, fmt.Sprintf("s-%d", i+1), answerAfter(10*time.Millisecond))
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
		h := host{Host: s.name, Dial: s.address, Site: "milano-1", Class: "fast", Health: "up", Share: 1}
		before = append(before, h)
		if i == 0 {
			h.Health = "draining"
		}
		now = append(now, h)
	}
	delay := time.Duration(0)
	if w.trouble {
		delay = slowDiscovery
	}
	d, err := newDiscovery(w, delay, now...)
	if err != nil {
		return nil, err
	}
	n, err := w.startNode(nodeOptions{
		name: "n1", discovery: d.address, known: known(before...),
		settings: settings([]profile{class("lookup", "safe", 500, 2000, nil)}, nil),
	})
	if err != nil {
		return nil, err
	}
	if err := w.awaitReady(n); err != nil {
		return nil, err
	}
	c, err := w.connect(n)
	if err != nil {
		return nil, err
	}
	for until := time.Now().Add(startLoad); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		request := newCall("lookup", 2*time.Second, false)
		c.do(request)
		w.record("client: %s", request.describe())
	}
	var broken []string
	for _, done := range servers[0].works() {
		if late := done.firstByte.Sub(n.startedAt); late > drainGrace {
			broken = append(broken, fmt.Sprintf("%s was sent to %s, which drains, %d ms after the start of the process",
				done.id, done.server, late.Milliseconds()))
		}
	}
	return broken, nil
}
