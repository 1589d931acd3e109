package distsim

import "math/rand/v2"

// Change is one change at the origin. Its JSON is a line of what the origin's process reads.
type Change struct {
	Scope    string `json:"scope"`
	Key      string `json:"key"`
	Class    string `json:"class,omitempty"` // empty if Removed
	Body     string `json:"body,omitempty"`
	Removed  bool   `json:"gone,omitempty"`
	number   int
	endpoint int // that this change leaves draining or removed
}

// expectedRecord is one record as it should be.
type expectedRecord struct {
	body    string
	change  int // number of the last one
	removed bool
}

// truth draws the changes of a run, and holds what every record should be after them. It depends on the size alone: on
// no clock, and on nothing that a relay or a node says. Routes and tenants that no node follows never change and are
// not held.
type expectedState struct {
	size              Size
	random            *rand.Rand
	scopes            map[string]map[string]*expectedRecord // by scope and key
	present           map[string]int                        // records of a scope that are not removed
	names             []string                              // of endpoints, as they are now
	lastChange        int
	successor         map[int]int // of changes, the next one of the same record
	starts            int         // of endpoints
	configurationKeys []scopedKey // that change
}

type scopedKey struct {
	scope, key string
}

// changeStream separates the draws of changes from other users of the seed.
const changeStream = 50

func newExpectedState(s Size) *expectedState {
	t := &expectedState{
		size: s, random: rand.New(rand.NewPCG(s.Seed, changeStream)),
		scopes: map[string]map[string]*expectedRecord{}, present: map[string]int{}, successor: map[int]int{},
	}
	followed := map[string]bool{}
	for i := range s.SharedServices {
		followed[configScope(i)] = true
	}
	s.forEachRecord(func(c Change) {
		if c.Class == classConfiguration {
			if !followed[c.Scope] {
				return
			}
			t.configurationKeys = append(t.configurationKeys, scopedKey{c.Scope, c.Key})
		}
		t.scope(c.Scope)[c.Key] = &expectedRecord{body: c.Body}
		t.present[c.Scope]++
	})
	for i := range s.Endpoints {
		t.names = append(t.names, endpointName(i, 0))
	}
	return t
}

// scope returns the records of a scope, by key.
func (t *expectedState) scope(name string) map[string]*expectedRecord {
	if t.scopes[name] == nil {
		t.scopes[name] = map[string]*expectedRecord{}
	}
	return t.scopes[name]
}

// apply makes a change true.
func (t *expectedState) apply(c Change) Change {
	records := t.scope(c.Scope)
	if before := records[c.Key]; before != nil {
		t.successor[before.change] = c.number
		if !before.removed {
			t.present[c.Scope]--
		}
	}
	if !c.Removed {
		t.present[c.Scope]++
	}
	records[c.Key] = &expectedRecord{body: c.Body, change: c.number, removed: c.Removed}
	return c
}

func (t *expectedState) nextNumber() int {
	t.lastChange++
	return t.lastChange
}

// configure changes a random route or tenant that every node follows.
func (t *expectedState) configure() Change {
	at := t.configurationKeys[t.random.IntN(len(t.configurationKeys))]
	n := t.nextNumber()
	body := withChangeNumber(t.scopes[at.scope][at.key].body, n)
	return t.apply(Change{Scope: at.scope, Key: at.key, Class: classConfiguration, Body: body, number: n, endpoint: -1})
}

// setEndpoint puts an endpoint with a state of health.
func (t *expectedState) setEndpoint(i int, health, class string) Change {
	n := t.nextNumber()
	return t.apply(Change{
		Scope: t.size.endpointScope(i), Key: endpointKey(t.names[i]), Class: class,
		Body: t.size.endpointBody(i, t.names[i], health, t.starts, n), number: n, endpoint: -1,
	})
}

// drainRandom begins a restart, which restore ends.
func (t *expectedState) drainRandom() Change {
	i := t.random.IntN(len(t.names))
	c := t.setEndpoint(i, "draining", classWithdrawal)
	c.endpoint = i
	return c
}

// removeRandom is a failure of an endpoint, which restore replaces.
func (t *expectedState) removeRandom() Change { return t.remove(t.random.IntN(len(t.names))) }

func (t *expectedState) remove(i int) Change {
	c := t.apply(Change{Scope: t.size.endpointScope(i), Key: endpointKey(t.names[i]), Removed: true, number: t.nextNumber()})
	c.endpoint = i
	return c
}

func (t *expectedState) isRemoved(i int) bool {
	return t.scopes[t.size.endpointScope(i)][endpointKey(t.names[i])].removed
}

// restore has a draining endpoint start anew, or puts another one in the place of a removed one.
func (t *expectedState) restore(i int) Change {
	t.starts++
	if t.isRemoved(i) {
		t.names[i] = endpointName(i, t.starts)
	}
	return t.setEndpoint(i, "up", classEndpoint)
}

// removeZone removes the endpoints of a zone, up to a number.
func (t *expectedState) removeZone(zone, limit int) []Change {
	var changes []Change
	for i := range t.names {
		if len(changes) < limit && t.size.zoneOf(i) == zone && !t.isRemoved(i) {
			changes = append(changes, t.remove(i))
		}
	}
	return changes
}
