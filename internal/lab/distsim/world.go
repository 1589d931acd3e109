package distsim

// This file owns what is true: the records of the run and the changes that are drawn, each with a number of its own. It must never
// read a clock, nor what the tree made of a change. Routes and tenants that no hollow node follows never change and are not kept.

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strconv"
)

// Change is one change at the origin, as it goes to it on one line.
type Change struct {
	Scope    string `json:"scope"`
	Key      string `json:"key"`
	Class    string `json:"class,omitempty"` // withdrawal, endpoint or configuration
	Body     string `json:"body,omitempty"`
	Removed  bool   `json:"gone,omitempty"`
	number   int    // its number
	endpoint int    // an endpoint that this change leaves draining or gone
}

const (
	classWithdrawal    = "withdrawal"
	classEndpoint      = "endpoint"
	classConfiguration = "configuration"
)

// held is one record as it should be.
type truthRecord struct {
	body    string
	change  int // the change that made it so
	removed bool
}

// world is the truth.
type truth struct {
	size                Size
	random              *rand.Rand
	scopes              map[string]map[string]*truthRecord
	present             map[string]int // records of a scope that are not gone
	names               []string       // the name that endpoint i has now
	lastChange          int            // change
	successor           map[int]int    // a change and the one that took its place
	starts              int
	configurationKeys   []string // keys of the shared configuration, scope by scope in step
	configurationScopes []string
}

func regionName(i int) string  { return fmt.Sprintf("r%02d", i) }
func serviceName(i int) string { return fmt.Sprintf("s%04d", i) }

// configScope is where a service's routes and tenants are; every region takes the same.
func configScope(service int) string { return "configuration/" + serviceName(service) }

func (s Size) endpointScope(i int) string {
	i %= s.Services * s.Regions
	return regionName(i%s.Regions) + "/" + serviceName(i/s.Regions)
}

// zoneOf is one of the zones of its endpoint's region.
func (s Size) zoneOf(i int) int {
	region := i % (s.Services * s.Regions) % s.Regions
	own := (s.Zones - region + s.Regions - 1) / s.Regions
	return region + s.Regions*(i/(s.Services*s.Regions)+i/s.Regions%own)%(s.Regions*own)
}

func (s Size) endpointBody(i int, host, health string, born, n int) string {
	return fmt.Sprintf(`{"host":%q,"dial":"10.%d.%d.%d:8080","site":"z%02d","block":%d,"health":%q,"share":1,"born_ms":%d,"n":%d}`,
		host, i>>16&255, i>>8&255, i&255, s.zoneOf(i), i%512, health, born, n)
}

// plainRecords are routes and tenants: record i of all, its scope, key and body after change n.
func (s Size) configurationRecord(i, n int) (scope, key, body string) {
	service := i % s.Services
	if i < s.Routes {
		return configScope(service), fmt.Sprintf("route/%06d", i),
			fmt.Sprintf(`{"path":"/p%06d","service":%q,"timeout_ms":%d,"retries":2,"n":%d}`, i, serviceName(service), 200+i%1800, n)
	}
	return configScope(service), fmt.Sprintf("tenant/%07d", i-s.Routes), fmt.Sprintf(`{"rate":%d,"burst":%d,"weight":1,"n":%d}`, 10+i%90, 20+i%180, n)
}

// each tells all records at the beginning, for the origin and for the truth alike.
func (s Size) forEachRecord(one func(scope, key, class, body string)) {
	for i := range s.Endpoints {
		host := endpointName(i, 0)
		one(s.endpointScope(i), "endpoint/"+host, classEndpoint, s.endpointBody(i, host, "up", 0, 0))
	}
	for i := range s.Routes + s.Tenants {
		scope, key, body := s.configurationRecord(i, 0)
		one(scope, key, classConfiguration, body)
	}
}

func endpointName(i, life int) string {
	if life == 0 {
		return fmt.Sprintf("e%06d", i)
	}
	return fmt.Sprintf("e%06d-%d", i, life)
}

func newTruth(s Size) *truth {
	w := &truth{size: s, random: rand.New(rand.NewPCG(s.Seed, 50)), scopes: map[string]map[string]*truthRecord{}, present: map[string]int{}, successor: map[int]int{}}
	follows := map[string]bool{}
	for i := range s.SharedServices {
		follows[configScope(i)] = true
	}
	s.forEachRecord(func(scope, key, class, body string) {
		if class == classConfiguration && !follows[scope] {
			return
		}
		in := w.scopes[scope]
		if in == nil {
			in = map[string]*truthRecord{}
			w.scopes[scope] = in
		}
		in[key] = &truthRecord{body: body}
		w.present[scope]++
		if class == classConfiguration {
			w.configurationKeys, w.configurationScopes = append(w.configurationKeys, key), append(w.configurationScopes, scope)
		}
	})
	for i := range s.Endpoints {
		w.names = append(w.names, endpointName(i, 0))
	}
	return w
}

// put makes a change true.
func (w *truth) put(c Change) Change {
	in := w.scopes[c.Scope]
	if in == nil {
		in = map[string]*truthRecord{}
		w.scopes[c.Scope] = in
	}
	was := in[c.Key]
	if was != nil {
		w.successor[was.change] = c.number
	}
	if was != nil && !was.removed {
		w.present[c.Scope]--
	}
	if !c.Removed {
		w.present[c.Scope]++
	}
	in[c.Key] = &truthRecord{body: c.Body, change: c.number, removed: c.Removed}
	return c
}

func (w *truth) nextNumber() int {
	w.lastChange++
	return w.lastChange
}

// configure changes a route or a tenant that every node follows.
func (w *truth) configure() Change {
	i, n := w.random.IntN(len(w.configurationKeys)), w.nextNumber()
	was := w.scopes[w.configurationScopes[i]][w.configurationKeys[i]].body
	body := was[:bytes.LastIndexByte([]byte(was), ':')+1] + strconv.Itoa(n) + "}"
	return w.put(Change{Scope: w.configurationScopes[i], Key: w.configurationKeys[i], Class: classConfiguration, Body: body, number: n, endpoint: -1})
}

func (w *truth) setEndpoint(i int, health, class string) Change {
	n := w.nextNumber()
	return w.put(Change{
		Scope: w.size.endpointScope(i), Key: "endpoint/" + w.names[i], Class: class,
		Body: w.size.endpointBody(i, w.names[i], health, w.starts, n), number: n, endpoint: -1,
	})
}

// drain begins a restart; back ends one, or puts another machine in a failed one's place.
func (w *truth) drainRandom() Change {
	i := w.random.IntN(len(w.names))
	c := w.setEndpoint(i, "draining", classWithdrawal)
	c.endpoint = i
	return c
}

func (w *truth) remove(i int) Change {
	c := w.put(Change{Scope: w.size.endpointScope(i), Key: "endpoint/" + w.names[i], Removed: true, number: w.nextNumber()})
	c.endpoint = i
	return c
}

func (w *truth) removeRandom() Change { return w.remove(w.random.IntN(len(w.names))) }

func (w *truth) restore(i int) Change {
	w.starts++
	if now := w.scopes[w.size.endpointScope(i)]["endpoint/"+w.names[i]]; now.removed {
		w.names[i] = endpointName(i, w.starts)
	}
	return w.setEndpoint(i, "up", classEndpoint)
}

// zone has up to most endpoints of a zone go; most at once is what the letter calls a zone's loss.
func (w *truth) removeZone(zone, most int) (all []Change) {
	for i := range w.names {
		if len(all) < most && w.size.zoneOf(i) == zone && !w.scopes[w.size.endpointScope(i)]["endpoint/"+w.names[i]].removed {
			all = append(all, w.remove(i))
		}
	}
	return all
}

// numberOf reads a body's number; -1 without one.
func changeNumber(body []byte) int {
	at := bytes.LastIndexByte(body, ':')
	if at < 0 || !bytes.HasSuffix(body, []byte("}")) {
		return -1
	}
	n, err := strconv.Atoi(string(body[at+1 : len(body)-1]))
	if err != nil {
		return -1
	}
	return n
}

// follows are the scopes of a node: its services in its region, and the shared configuration.
func (s Size) scopesOf(node int) (scopes []string) {
	region := regionName(node % s.Regions)
	first := int(uint64(node/s.Regions) * 2654435761 % uint64(s.Services))
	step := 1
	if s.Services%7 != 0 {
		step = 7 // spread, and no service twice as 7 is no divisor
	}
	for k := range s.ServicesPerNode {
		scopes = append(scopes, region+"/"+serviceName((first+k*step)%s.Services))
	}
	for i := range s.SharedServices {
		scopes = append(scopes, configScope(i))
	}
	return scopes
}
