package distsim

import "math/rand/v2"

// Change is a change of one record at the origin. The input lines of the origin process are JSON lists of changes.
type Change struct {
	Scope    string `json:"scope"`
	Key      string `json:"key"`
	Class    string `json:"class,omitempty"` // empty if Removed
	Body     string `json:"body,omitempty"`
	Removed  bool   `json:"gone,omitempty"`
	number   int
	endpoint int // index of the endpoint that this change drains or removes; -1: none
}

// expectedRecord is the expected state of one record.
type expectedRecord struct {
	body    string
	change  int // number of its last change
	removed bool
}

// expectedState draws the changes of a run, and holds the state that every record should have after them. It depends on
// the size alone, not on a clock or on the state of relays and nodes. Routes and tenants that no node follows never
// change and are not held.
type expectedState struct {
	size              Size
	random            *rand.Rand
	scopes            map[string]map[string]*expectedRecord // by scope and key
	present           map[string]int                        // number of records of each scope that are not removed
	names             []string                              // current names of the endpoints
	lastChange        int
	successor         map[int]int // for the number of a change, that of the next change of the same record
	starts            int         // number of endpoint starts so far
	configurationKeys []scopedKey // configuration records that change
}

type scopedKey struct {
	scope, key string
}

// changeStream is the random stream of the changes, separate from other uses of the seed.
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

// scope returns the records of a scope by key.
func (t *expectedState) scope(name string) map[string]*expectedRecord {
	if t.scopes[name] == nil {
		t.scopes[name] = map[string]*expectedRecord{}
	}
	return t.scopes[name]
}

// apply applies a change to the expected state and returns it.
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

// configure changes a random route or tenant that all nodes follow.
func (t *expectedState) configure() Change {
	at := t.configurationKeys[t.random.IntN(len(t.configurationKeys))]
	n := t.nextNumber()
	body := withChangeNumber(t.scopes[at.scope][at.key].body, n)
	return t.apply(Change{Scope: at.scope, Key: at.key, Class: classConfiguration, Body: body, number: n, endpoint: -1})
}

// setEndpoint writes an endpoint's record with a health state.
func (t *expectedState) setEndpoint(i int, health, class string) Change {
	n := t.nextNumber()
	return t.apply(Change{
		Scope: t.size.endpointScope(i), Key: endpointKey(t.names[i]), Class: class,
		Body: t.size.endpointBody(i, t.names[i], health, t.starts, n), number: n, endpoint: -1,
	})
}

// drainRandom drains a random endpoint, which begins a restart. restore ends it.
func (t *expectedState) drainRandom() Change {
	i := t.random.IntN(len(t.names))
	c := t.setEndpoint(i, "draining", classWithdrawal)
	c.endpoint = i
	return c
}

// removeRandom removes a random endpoint, as after a failure. restore replaces it.
func (t *expectedState) removeRandom() Change { return t.remove(t.random.IntN(len(t.names))) }

func (t *expectedState) remove(i int) Change {
	c := t.apply(Change{Scope: t.size.endpointScope(i), Key: endpointKey(t.names[i]), Removed: true, number: t.nextNumber()})
	c.endpoint = i
	return c
}

func (t *expectedState) isRemoved(i int) bool {
	return t.scopes[t.size.endpointScope(i)][endpointKey(t.names[i])].removed
}

// restore restarts a draining endpoint, or replaces a removed one by an endpoint with a new name.
func (t *expectedState) restore(i int) Change {
	t.starts++
	if t.isRemoved(i) {
		t.names[i] = endpointName(i, t.starts)
	}
	return t.setEndpoint(i, "up", classEndpoint)
}

// removeZone removes endpoints of a zone, at most limit.
func (t *expectedState) removeZone(zone, limit int) []Change {
	var changes []Change
	for i := range t.names {
		if len(changes) < limit && t.size.zoneOf(i) == zone && !t.isRemoved(i) {
			changes = append(changes, t.remove(i))
		}
	}
	return changes
}
