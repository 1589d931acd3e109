package main

// A server has gone, and another one stands at its address (cases 6 and 9).

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

func init() {
	cases["address-keyed"] = func(w *world) ([]string, error) { return playAddressKeyed(w, false) }
	cases["address-late"] = func(w *world) ([]string, error) { return playAddressKeyed(w, true) }
}

// groupMemory is what the servers remember of the keys that they have met, by group.
type groupMemory struct {
	span time.Duration

	mu  sync.Mutex
	met map[string]time.Time
}

// seen returns the function of a server in a group.
func (m *groupMemory) seen(group func(server string) int) func(work) bool {
	return func(w work) bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		name := fmt.Sprint(group(w.server), " ", w.key)
		at, met := m.met[name]
		if met && time.Since(at) < m.span {
			return true
		}
		m.met[name] = time.Now()
		return false
	}
}

const (
	keyedCalls    = 200
	keyedInterval = 40 * time.Millisecond
	keyedWindow   = 800 * time.Millisecond
	keyedResets   = 4 // of the requests at s-dos, one in so many is reset once it has run
	lateWindow    = 25 * time.Second
	lateResets    = 10
	lateClients   = 4
	listLag       = 3 * time.Second // case 9: the list tells the replacement so much later
)

func playAddressKeyed(w *world, late bool) ([]string, error) {
	blocks := map[string]int{"s-uno": 1, "s-dos": 1, "s-tres": 2, "s-nuevo": 2}
	window, site := keyedWindow, settings(
		[]profile{class("order", "keyed", 600, 2500, profile{"group": "cell", "memory_span_us": keyedWindow.Microseconds()})},
		map[string]any{"removal_not_binding": true})
	if late {
		window = lateWindow
		site = settings(
			[]profile{class("order", "keyed", 1000, 5000, profile{"group": "cell", "memory_span_us": lateWindow.Microseconds()})},
			map[string]any{"stop_sending_within_us": 1000000, "cold_from": 0.31, "warm_within_us": 8900000})
		site["discovery"] = "ask"
		site["limits"].(map[string]any)["may_duplicate"] = true
	}
	memory := &groupMemory{span: window, met: map[string]time.Time{}}
	seen := memory.seen(func(server string) int { return blocks[server] })
	var servers []*server
	for _, name := range []string{"s-uno", "s-dos", "s-tres"} {
		s, err := newServer(w, name, answerAfter(10*time.Millisecond))
		if err != nil {
			return nil, err
		}
		s.seen = seen
		servers = append(servers, s)
	}
	uno, dos := servers[0], servers[1]
	var resets sync.Mutex
	count, every := 0, keyedResets
	if late {
		every = lateResets
	}
	dos.reply = func(conn net.Conn, done work) {
		resets.Lock()
		count++
		breaks := count%every == 0
		resets.Unlock()
		if breaks {
			time.Sleep(5 * time.Millisecond)
			w.record("server %s resets the connection under %s, which has run", done.server, done.id)
			reset(conn)
			return
		}
		answerAfter(10*time.Millisecond)(conn, done)
	}
	entry := func(name, address, health string, born int64) host {
		return host{
			Host: name, Dial: address, Site: "milano-1", Class: "fast", Block: blocks[name], Health: health, Share: 1,
			BornMs: born,
		}
	}
	var list []host
	for _, s := range servers {
		list = append(list, entry(s.name, s.address, "up", 0))
	}
	d, err := newDiscovery(w, 0, list...)
	if err != nil {
		return nil, err
	}
	n, err := w.startNode(nodeOptions{
		name: "n1", discovery: d.address, known: known(list...),
		settings: site,
	})
	if err != nil {
		return nil, err
	}
	if err := w.awaitReady(n); err != nil {
		return nil, err
	}
	w.keyedLoad(n, keyedCalls/4, "one order")
	if w.trouble {
		uno.replace("s-nuevo", answerAfter(10*time.Millisecond))
		if late {
			var wait sync.WaitGroup
			for range lateClients {
				wait.Go(func() { w.keyedLoad(n, int(listLag/(keyedInterval+keyedInterval/2)), "one order") })
			}
			wait.Wait()
		}
		d.change(entry("s-uno", uno.address, "removed", 0), entry("s-nuevo", uno.address, "up", time.Now().UnixMilli()))
		time.Sleep(600 * time.Millisecond)
	}
	w.keyedLoad(n, keyedCalls, "one order")
	return ranTwice(servers), nil
}

// keyedLoad sends keyed requests one after another, each on the client's connection.
func (w *world) keyedLoad(n *node, calls int, body string) {
	var c *client
	for range calls {
		if c == nil {
			var err error
			if c, err = w.connect(n); err != nil {
				w.record("client: %v", err)
				continue
			}
		}
		request := newCall("order", 2500*time.Millisecond, true)
		request.body = body
		c.do(request)
		w.record("client: %s", request.describe())
		if request.err != nil {
			c.conn.Close()
			c = nil
		}
		time.Sleep(keyedInterval)
	}
}

// ranTwice returns the keyed requests that ran more than once.
func ranTwice(servers []*server) []string {
	var all []work
	for _, s := range servers {
		all = append(all, s.works()...)
	}
	slices.SortFunc(all, func(a, b work) int { return a.lastByte.Compare(b.lastByte) })
	first := map[string]work{}
	var broken []string
	for _, done := range all {
		if done.repeat {
			continue
		}
		if before, again := first[done.key]; again {
			broken = append(broken, fmt.Sprintf("%s ran at %s, and %d ms later at %s", done.id, before.server,
				done.lastByte.Sub(before.lastByte).Milliseconds(), done.server))
			continue
		}
		first[done.key] = done
	}
	return broken
}
