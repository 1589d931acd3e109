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

// Guards against a late removal that closes connections to the new endpoint at the address, against a removed
// endpoint that stays because another has its address, and against a connection to the old one being used for the
// new.
func TestNewEndpointAtAddressOfRemovedOneKeepsItsConnections(t *testing.T) {
	server, _ := startUpstream(t, echo)
	n := startNode(t, nil, server)
	ask(t, n, "batch", "old", "")
	postList := func(version int, complete bool, entries ...string) {
		t.Helper()
		update, err := n.parseList([]byte(listText(version, complete, entries...)))
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan struct{})
		n.loop.postEndpoints(update.entries, update.complete)
		n.loop.post(func() { close(done) })
		<-done
	}
	postList(2, false, listEntry("s-0", server, "draining"), listEntry("young", server, "up"))
	ask(t, n, "batch", "young", "")
	if n.count(upstreamConnsOpened) != 2 {
		t.Errorf("%d connections, want one to the old server and one to the new", n.count(upstreamConnsOpened))
	}
	postList(3, false, listEntry("s-0", server, "removed"))
	time.Sleep(20 * time.Millisecond)
	ask(t, n, "batch", "again", "")
	if n.count(upstreamConnsOpened) != 2 {
		t.Error("the removal of the old server closed the connection to the new")
	}
	postList(4, true, listEntry("third", server, "up"))
	known := make(chan int)
	n.loop.post(func() { known <- len(n.loop.endpoints) })
	if count := <-known; count != 1 {
		t.Errorf("%d servers are known after a list of one", count)
	}
}

// Where removal is not binding, an endpoint that the list drops is still used; draining ends that all the same.
func TestRemovedEndpointServesWhereRemovalIsNotBinding(t *testing.T) {
	server, _ := startUpstream(t, echo)
	n := startNode(t, func(c *Config) {
		c.Settings = json.RawMessage(strings.Replace(settingsText, `"rules":{`,
			`"rules":{"removal_not_binding":true,`, 1))
	}, server)
	ask(t, n, "batch", "before", "")
	postList := func(text string) {
		update, err := n.parseList([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		n.loop.postEndpoints(update.entries, update.complete)
	}
	postList(listText(2, false, listEntry("s-0", server, "removed")))
	postList(listText(3, true))
	if status, _, _ := ask(t, n, "batch", "after", ""); status != http.StatusOK || n.count(upstreamConnsOpened) != 1 {
		t.Errorf("%d, %d connections to it", status, n.count(upstreamConnsOpened))
	}
	postList(listText(4, false, listEntry("s-0", server, "draining")))
	if status, _, _ := ask(t, n, "batch", "drained", ""); status != http.StatusServiceUnavailable {
		t.Errorf("a draining server was sent to: %d", status)
	}
}

// An endpoint is not removed because its entry could not be read, only because a complete readable list lacks it.
func TestInvalidEntryRemovesNoEndpoint(t *testing.T) {
	n := startNode(t, nil)
	update, err := n.parseList([]byte(listText(9, true, `{"host":"s-0","health":"odd"}`)))
	if update.complete || err != nil {
		t.Errorf("complete %t, error %v", update.complete, err)
	}
	for _, text := range []string{"", "[]", "{}", `{"seq":"a"}`, `{"seq":1,"hosts":{}}`} {
		if _, err := n.parseList([]byte(text)); err == nil {
			t.Errorf("%q was taken for a list", text)
		}
	}
}

// A request idempotent by key that may have run stays in its group also where its endpoint leaves the list while it
// is in flight: a list without the endpoint, or an entry that only calls it removed, does not tell its zone or pod.
func TestRetryStaysInGroupOfRemovedEndpoint(t *testing.T) {
	withPlace := func(zone string, pod int, entry string) string {
		return strings.NewReplacer(`"site":"a"`, fmt.Sprintf(`"site":%q`, zone), `"block":1`,
			fmt.Sprintf(`"block":%d`, pod)).Replace(entry)
	}
	for group, inRemovedsGroup := range map[string]func(entry string) string{
		"zone": func(entry string) string { return withPlace("b", 0, entry) },
		"cell": func(entry string) string { return withPlace("a", 3, entry) },
	} {
		outsideGroup := func(entry string) string { return withPlace("a", 0, entry) } // the first zone and cell by number
		for name, list := range map[string]func(removed, groupMember, outsider string) string{
			"a whole list without it": func(_, groupMember, outsider string) string {
				return listText(2, true, groupMember, outsider)
			},
			"a line of its own": func(removed, groupMember, outsider string) string {
				return listText(2, false, `{"host":"s-0","health":"removed"}`, groupMember, outsider)
			},
			"a line, and a list": func(removed, groupMember, outsider string) string {
				return listText(2, false, groupMember, outsider, removed)
			},
			"it moves, as listed": func(_, groupMember, outsider string) string {
				return listText(2, false, outsideGroup(listEntry("s-0", "127.0.0.1:1", "draining")), groupMember, outsider)
			},
		} {
			for _, outsider := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %s, somebody else there: %t", group, name, !outsider), func(t *testing.T) {
					t.Parallel()
					gate := newGate(t)
					// cut: it may have run
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
					gate.held(t, 1)
					memberEntry, want := inRemovedsGroup(listEntry("s-1", groupMember, "up")), 200
					if outsider {
						memberEntry, want = inRemovedsGroup(listEntry("s-1", groupMember, "draining")), 502
					}
					n.updateList(t, list(listEntry("s-0", first, "removed"), memberEntry,
						outsideGroup(listEntry("s-2", outsiderAddress, "up"))))
					gate.pass()
					if status, _, _ := readAnswer(answers); status != want || outsiderRequests.Load() != 0 {
						t.Errorf("answered %d, want %d; sent outside its group %d times", status, want,
							outsiderRequests.Load())
					}
				})
			}
		}
	}
}

// Where removal is not binding, a removed endpoint keeps its zone and pod.
func TestRemovedEndpointKeepsItsGroup(t *testing.T) {
	for group, moveToGroup := range map[string]*strings.Replacer{
		"zone": strings.NewReplacer(`"site":"a"`, `"site":"b"`),
		"cell": strings.NewReplacer(`"block":1`, `"block":3`),
	} {
		for name, list := range map[string]string{
			"a whole list without it": "",
			"a line of its own":       `{"host":"s-0","health":"removed"}`,
		} {
			t.Run(group+", "+name, func(t *testing.T) {
				t.Parallel()
				var mu sync.Mutex
				executed, executedTwice := map[string]bool{}, 0
				failing, attempts := startUpstream(t, func(c net.Conn, r *http.Request, _ string) bool {
					mu.Lock()
					executed[r.Header.Get(headerRequestID)] = true
					mu.Unlock()
					return writeAnswer(c, "500 Bad", "")
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
					ask(t, n, "update", fmt.Sprint("t", i), "")
				}
				mu.Lock()
				defer mu.Unlock()
				if attempts.Load() == 0 || served.Load() == 0 || executedTwice > 0 {
					t.Errorf("%d attempts failed, %d served by the removed endpoint, %d of them outside their group",
						attempts.Load(), served.Load(), executedTwice)
				}
			})
		}
	}
}
