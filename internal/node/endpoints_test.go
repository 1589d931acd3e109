package node

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against three faults when a new endpoint has the address of an old one: the removal of the old one closes
// connections to the new one; the old one is never removed; connections to the old one are used for the new one.
func TestNewEndpointAtAddressOfRemovedOneKeepsItsConnections(t *testing.T) {
	server, _ := startUpstream(t, echo)
	n := startNodeWithoutCooldown(t, nil, server)
	sendRequest(t, n, "batch", "old", "")
	postList := func(version int, allEndpoints bool, entries ...string) {
		t.Helper()
		update, err := n.parseList([]byte(listText(version, allEndpoints, entries...)))
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan struct{})
		n.loop.postEndpoints(update.entries, update.complete)
		n.loop.post(func() { close(done) })
		<-done
	}
	postList(2, false, listEntry("s-0", server, "draining"), listEntry("young", server, "up"))
	sendRequest(t, n, "batch", "young", "")
	if n.count(upstreamConnsOpened) != 2 {
		t.Errorf("got %d connections opened, want 2: one to the old endpoint and one to the new", n.count(upstreamConnsOpened))
	}
	postList(3, false, listEntry("s-0", server, "removed"))
	time.Sleep(20 * time.Millisecond)
	sendRequest(t, n, "batch", "again", "")
	if n.count(upstreamConnsOpened) != 2 {
		t.Error("the removal of the old endpoint closed the connection to the new one")
	}
	postList(4, true, listEntry("third", server, "up"))
	known := make(chan int)
	n.loop.post(func() { known <- len(n.loop.endpoints) })
	if knownEndpoints := <-known; knownEndpoints != 1 {
		t.Errorf("got %d known endpoints after a complete list of 1, want 1", knownEndpoints)
	}
}

// Where removal is not binding, an endpoint missing from the list still gets requests; a draining one does not.
func TestRemovedEndpointServesWhereRemovalIsNotBinding(t *testing.T) {
	server, _ := startUpstream(t, echo)
	n := startNodeWithoutCooldown(t, func(c *Config) {
		c.Settings = json.RawMessage(strings.Replace(settingsText, `"rules":{`,
			`"rules":{"removal_not_binding":true,`, 1))
	}, server)
	sendRequest(t, n, "batch", "before", "")
	postList := func(text string) {
		update, err := n.parseList([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		n.loop.postEndpoints(update.entries, update.complete)
	}
	postList(listText(2, false, listEntry("s-0", server, "removed")))
	postList(listText(3, true))
	if status, _, _ := sendRequest(t, n, "batch", "after", ""); status != http.StatusOK || n.count(upstreamConnsOpened) != 1 {
		t.Errorf("got status %d and %d connections opened, want 200 and 1", status, n.count(upstreamConnsOpened))
	}
	postList(listText(4, false, listEntry("s-0", server, "draining")))
	if status, _, _ := sendRequest(t, n, "batch", "drained", ""); status != http.StatusServiceUnavailable {
		t.Errorf("got status %d with only a draining endpoint, want 503", status)
	}
}

// Guards against removing an endpoint whose entry is invalid: only a complete list without invalid entries removes
// endpoints.
func TestInvalidEntryRemovesNoEndpoint(t *testing.T) {
	n := startNode(t, nil)
	update, err := n.parseList([]byte(listText(9, true, `{"host":"s-0","health":"odd"}`)))
	if update.complete || err != nil {
		t.Errorf("got complete %t and error %v for a list with an invalid entry, want false and no error", update.complete, err)
	}
	for _, text := range []string{"", "[]", "{}", `{"seq":"a"}`, `{"seq":1,"hosts":{}}`} {
		if _, err := n.parseList([]byte(text)); err == nil {
			t.Errorf("got no error for %q, want one: it is not a list", text)
		}
	}
}

// Guards against a retry outside the deduplication group: a request idempotent by key that may have been executed must
// stay in the zone or pod of its first endpoint. If that endpoint leaves the list while the request is in flight, the
// list no longer gives its zone and pod.
func TestRetryStaysInGroupOfRemovedEndpoint(t *testing.T) {
	withPlace := func(zone string, pod int, entry string) string {
		return strings.NewReplacer(`"site":"a"`, fmt.Sprintf(`"site":%q`, zone), `"block":1`,
			fmt.Sprintf(`"block":%d`, pod)).Replace(entry)
	}
	for group, inRemovedsGroup := range map[string]func(entry string) string{
		"zone": func(entry string) string { return withPlace("b", 0, entry) },
		"cell": func(entry string) string { return withPlace("a", 3, entry) },
	} {
		outsideGroup := func(entry string) string { return withPlace("a", 0, entry) } // the zone and the pod with index 0
		for name, list := range map[string]func(removed, groupMember, outsider string) string{
			"complete list without it": func(_, groupMember, outsider string) string {
				return listText(2, true, groupMember, outsider)
			},
			"update with a removed entry": func(removed, groupMember, outsider string) string {
				return listText(2, false, `{"host":"s-0","health":"removed"}`, groupMember, outsider)
			},
			"removed entry last": func(removed, groupMember, outsider string) string {
				return listText(2, false, groupMember, outsider, removed)
			},
			"draining entry in another group": func(_, groupMember, outsider string) string {
				return listText(2, false, outsideGroup(listEntry("s-0", "127.0.0.1:1", "draining")), groupMember, outsider)
			},
		} {
			for _, groupDrains := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %s, another group member active: %t", group, name, !groupDrains), func(t *testing.T) {
					t.Parallel()
					gate := newGate(t)
					// the connection is closed without a response: the request may have been executed
					first, _ := startUpstream(t, func(net.Conn, *http.Request, string) bool {
						gate.wait()
						return false
					})
					groupMember, _ := startUpstream(t, echo)
					outsiderAddress, outsiderRequests := startUpstream(t, echo)
					n := newNode(t, withSettings(`"group":"zone"`, fmt.Sprintf(`"group":%q`, group)))
					n.start()
					n.updateList(t, listText(1, true, inRemovedsGroup(listEntry("s-0", first, "up"))))
					client, answers := dial(t, n)
					writeText(client, requestText("update", "t1", "x"))
					gate.awaitArrivals(t, 1)
					memberEntry, want := inRemovedsGroup(listEntry("s-1", groupMember, "up")), 200
					if groupDrains {
						memberEntry, want = inRemovedsGroup(listEntry("s-1", groupMember, "draining")), 502
					}
					n.updateList(t, list(listEntry("s-0", first, "removed"), memberEntry,
						outsideGroup(listEntry("s-2", outsiderAddress, "up"))))
					gate.release()
					if status, _, _ := readResponse(answers); status != want || outsiderRequests.Load() != 0 {
						t.Errorf("got status %d, want %d; got %d attempts outside the group, want 0", status, want,
							outsiderRequests.Load())
					}
				})
			}
		}
	}
}

// Where removal is not binding, a removed endpoint that still serves keeps its zone and pod.
func TestRemovedEndpointKeepsItsGroup(t *testing.T) {
	for group, moveToGroup := range map[string]*strings.Replacer{
		"zone": strings.NewReplacer(`"site":"a"`, `"site":"b"`),
		"cell": strings.NewReplacer(`"block":1`, `"block":3`),
	} {
		for name, list := range map[string]string{
			"complete list without it":    "",
			"update with a removed entry": `{"host":"s-0","health":"removed"}`,
		} {
			t.Run(group+", "+name, func(t *testing.T) {
				t.Parallel()
				var mu sync.Mutex
				executed, executedTwice := map[string]bool{}, 0
				failing, attempts := startUpstream(t, func(c net.Conn, r *http.Request, _ string) bool {
					mu.Lock()
					executed[r.Header.Get(headerRequestID)] = true
					mu.Unlock()
					return writeResponse(c, "500 Bad", "")
				})
				removed, served := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
					mu.Lock()
					if executed[r.Header.Get(headerRequestID)] {
						executedTwice++
					}
					mu.Unlock()
					return echo(c, r, body)
				})
				n := newNode(t, withSettings(`"group":"zone"`, fmt.Sprintf(`"group":%q`, group), `"rules":{`,
					`"rules":{"removal_not_binding":true,`))
				n.start()
				otherEntry := listEntry("s-1", failing, "up")
				if group == "cell" {
					otherEntry = strings.Replace(otherEntry, `"block":1`, `"block":0`, 1)
				}
				n.updateList(t, listText(1, true, moveToGroup.Replace(listEntry("s-0", removed, "up"))))
				if list == "" {
					n.updateList(t, listText(2, true, otherEntry))
				} else {
					n.updateList(t, listText(2, false, list, otherEntry))
				}
				for i := 0; i < 200 && (attempts.Load() == 0 || served.Load() == 0 || i < 20); i++ {
					sendRequest(t, n, "update", fmt.Sprint("t", i), "")
				}
				mu.Lock()
				defer mu.Unlock()
				if attempts.Load() == 0 || served.Load() == 0 || executedTwice > 0 {
					t.Errorf("got %d failed attempts and %d served by the removed endpoint, want some of each; got %d retries outside the group, want 0",
						attempts.Load(), served.Load(), executedTwice)
				}
			})
		}
	}
}
