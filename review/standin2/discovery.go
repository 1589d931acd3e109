package main

// Discovery, as the protocol page describes it: a watch of the list of servers, with an empty line every 2 s.

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	emptyLineInterval = 2 * time.Second
	knownVersion      = 40
)

// host is one entry of the list, in discovery's form.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

// discovery serves one list.
type discovery struct {
	w       *world
	address string
	delay   time.Duration // a call waits for so long before it is worked on

	mu      sync.Mutex
	version int64
	hosts   map[string]host
	order   []string
	watches map[chan string]bool
}

func newDiscovery(w *world, delay time.Duration, hosts ...host) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{
		w: w, address: listener.Addr().String(), delay: delay, version: knownVersion + 1, hosts: map[string]host{},
		watches: map[chan string]bool{},
	}
	for _, h := range hosts {
		d.order = append(d.order, h.Host)
		d.hosts[h.Host] = h
	}
	go func() { w.record("discovery ended: %v", http.Serve(listener, d)) }()
	return d, nil
}

func encode(version int64, whole bool, hosts []host) string {
	text, err := json.Marshal(map[string]any{"seq": version, "whole": whole, "hosts": hosts})
	if err != nil {
		panic(err) // strings and numbers only
	}
	return string(text) + "\n"
}

// listed returns the list as a line; the caller holds mu.
func (d *discovery) listed() string {
	hosts := []host{}
	for _, name := range d.order {
		if h, found := d.hosts[name]; found {
			hosts = append(hosts, h)
		}
	}
	return encode(d.version, true, hosts)
}

// known returns a list in the form of the configuration, one version before that of discovery.
func known(hosts ...host) map[string]any {
	return map[string]any{"seq": knownVersion, "whole": true, "hosts": hosts}
}

// change changes entries, and writes them to all watches as one line.
func (d *discovery) change(hosts ...host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for _, h := range hosts {
		if _, found := d.hosts[h.Host]; !found {
			d.order = append(d.order, h.Host)
		}
		d.hosts[h.Host] = h
		if h.Health == "removed" {
			delete(d.hosts, h.Host)
		}
		d.w.record("discovery: %s at %s is %s, block %d", h.Host, h.Dial, h.Health, h.Block)
	}
	line := encode(d.version, false, hosts)
	for watch := range d.watches {
		watch <- line
	}
}

// ServeHTTP answers a call or a watch.
func (d *discovery) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	d.w.record("discovery: call %s", r.URL)
	select {
	case <-time.After(d.delay):
	case <-r.Context().Done():
		return
	}
	lines := make(chan string, 64)
	d.mu.Lock()
	first := d.listed()
	if after == d.version {
		first = "\n" // nothing has changed after that version
	}
	d.watches[lines] = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.watches, lines)
	}()
	if r.URL.Query().Get("watch") == "" {
		d.write(out, first)
		return
	}
	d.write(out, first)
	ticker := time.NewTicker(emptyLineInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-lines:
			d.write(out, line)
		case <-ticker.C:
			d.write(out, "\n")
		case <-r.Context().Done():
			return
		}
	}
}

func (d *discovery) write(out http.ResponseWriter, line string) {
	if _, err := fmt.Fprint(out, line); err != nil {
		return
	}
	if err := http.NewResponseController(out).Flush(); err != nil {
		return
	}
	if line != "\n" {
		d.w.record("discovery: written: %.200s", line)
	}
}
