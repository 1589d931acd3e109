package main

// A drain, while clients send the next request before they have the answer to the one before (case 10).

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["drain"] = playDrain }

const (
	drainClients   = 4
	drainAhead     = 2 // requests under way on a connection
	drainLetGo     = 4 * time.Second
	drainRecentUse = 2 * time.Second
)

func playDrain(w *world) ([]string, error) {
	var list []host
	for i := range 4 {
		s, err := newServer(w, fmt.Sprintf("s-%d", i+1), answerAfter(20*time.Millisecond))
		if err != nil {
			return nil, err
		}
		list = append(list, host{Host: s.name, Dial: s.address, Site: "milano-1", Class: "fast", Health: "up", Share: 1})
	}
	d, err := newDiscovery(w, 0, list...)
	if err != nil {
		return nil, err
	}
	console, err := freeAddress()
	if err != nil {
		return nil, err
	}
	n, err := w.startNode(nodeOptions{
		name: "n1", discovery: d.address, known: known(list...), console: console,
		settings: settings([]profile{class("lookup", "safe", 500, 2000, nil)}, nil),
	})
	if err != nil {
		return nil, err
	}
	if err := w.awaitReady(n); err != nil {
		return nil, err
	}
	ahead := 1
	if w.trouble {
		ahead = drainAhead
	}
	drained := make(chan time.Time, drainClients)
	held := make(chan string, drainClients)
	var wait sync.WaitGroup
	for i := range drainClients {
		c, err := w.connect(n)
		if err != nil {
			return nil, err
		}
		wait.Go(func() { w.keepAsking(i, c, ahead, drained, held) })
	}
	time.Sleep(time.Second)
	request, err := http.NewRequest(http.MethodPut, "http://"+console+"/drain", nil)
	if err != nil {
		return nil, err
	}
	calledAt := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	response.Body.Close()
	w.record("PUT /drain: %s", response.Status)
	for range drainClients {
		drained <- calledAt
	}
	wait.Wait()
	close(held)
	var broken []string
	for text := range held {
		broken = append(broken, text)
	}
	return broken, nil
}

// keepAsking has a client keep some requests under way on its connection, until the node ends that or says with an
// answer that it will. It sends to held if the node holds the connection for too
// long.
func (w *world) keepAsking(number int, c *client, ahead int, drained <-chan time.Time, held chan<- string) {
	defer c.conn.Close()
	var underWay []*call
	var calledAt, lastSentAt time.Time
	for {
		select {
		case calledAt = <-drained:
		default:
		}
		since := time.Since(calledAt)
		if !calledAt.IsZero() && since > drainLetGo && lastSentAt.After(calledAt) {
			w.record("client %d: its connection is held %d ms after the call", number, since.Milliseconds())
			held <- fmt.Sprintf("client %d: its connection is held %d ms after the call, with a request %d ms old", number,
				since.Milliseconds(), time.Since(lastSentAt).Milliseconds())
			return
		}
		for len(underWay) < ahead {
			request := newCall("lookup", drainRecentUse, false)
			if err := c.send(request); err != nil {
				w.record("client %d: %v", number, err)
				return
			}
			lastSentAt = time.Now()
			underWay = append(underWay, request)
			time.Sleep(3 * time.Millisecond)
		}
		closing := c.receive(underWay[0])
		w.record("client %d: %s", number, underWay[0].describe())
		if underWay[0].err != nil || closing {
			w.record("client %d: the node lets go of its connection", number)
			return
		}
		underWay = underWay[1:]
	}
}
