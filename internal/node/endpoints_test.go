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
	sendRequest(t, n, "batch", "old", "")
	learn := func(version int, whole bool, entries ...string) {
		t.Helper()
		update, err := n.parseList([]byte(listText(version, whole, entries...)))
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan struct{})
		n.loop.postEndpoints(update.entries, update.complete)
		n.loop.post(func() { close(done) })
		<-done
	}
	learn(2, false, listEntry("s-0", server, "draining"), listEntry("young", server, "up"))
	sendRequest(t, n, "batch", "young", "")
	if n.count(upstreamConnsOpened) != 2 {
		t.Errorf("%d connections, want one to the old server and one to the new", n.count(upstreamConnsOpened))
	}
	learn(3, false, listEntry("s-0", server, "removed"))
	time.Sleep(20 * time.Millisecond)
	sendRequest(t, n, "batch", "again", "")
	if n.count(upstreamConnsOpened) != 2 {
		t.Error("the removal of the old server closed the connection to the new")
	}
	learn(4, true, listEntry("third", server, "up"))
	known := make(chan int)
	n.loop.post(func() { known <- len(n.loop.endpoints) })
	if fleet := <-known; fleet != 1 {
		t.Errorf("%d servers are known after a list of one", fleet)
	}
}

// Where removal is not binding, an endpoint that the list drops is still used; draining ends that all the same.
func TestRemovedEndpointServesWhereRemovalIsNotBinding(t *testing.T) {
	server, _ := startUpstream(t, echo)
	n := startNode(t, func(c *Config) {
		c.Settings = json.RawMessage(strings.Replace(settingsText, `"rules":{`,
			`"rules":{"removal_not_binding":true,`, 1))
	}, server)
	sendRequest(t, n, "batch", "before", "")
	learn := func(text string) {
		update, err := n.parseList([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		n.loop.postEndpoints(update.entries, update.complete)
	}
	learn(listText(2, false, listEntry("s-0", server, "removed")))
	learn(listText(3, true))
	if status, _, _ := sendRequest(t, n, "batch", "after", ""); status != http.StatusOK || n.count(upstreamConnsOpened) != 1 {
		t.Errorf("%d, %d connections to it", status, n.count(upstreamConnsOpened))
	}
	learn(listText(4, false, listEntry("s-0", server, "draining")))
	if status, _, _ := sendRequest(t, n, "batch", "drained", ""); status != http.StatusServiceUnavailable {
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
	in := func(site string, block int, entry string) string {
		return strings.NewReplacer(`"site":"a"`, fmt.Sprintf(`"site":%q`, site), `"block":1`,
			fmt.Sprintf(`"block":%d`, block)).Replace(entry)
	}
	for group, there := range map[string]func(entry string) string{
		"zone": func(entry string) string { return in("b", 0, entry) },
		"cell": func(entry string) string { return in("a", 3, entry) },
	} {
		other := func(entry string) string { return in("a", 0, entry) } // the first zone and cell by number
		for name, list := range map[string]func(gone, fellow, outside string) string{
			"a whole list without it": func(_, fellow, outside string) string {
				return listText(2, true, fellow, outside)
			},
			"a line of its own": func(gone, fellow, outside string) string {
				return listText(2, false, `{"host":"s-0","health":"removed"}`, fellow, outside)
			},
			"a line, and a list": func(gone, fellow, outside string) string {
				return listText(2, false, fellow, outside, gone)
			},
			"it moves, as listed": func(_, fellow, outside string) string {
				return listText(2, false, other(listEntry("s-0", "127.0.0.1:1", "draining")), fellow, outside)
			},
		} {
			for _, outside := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %s, somebody else there: %t", group, name, !outside), func(t *testing.T) {
					t.Parallel()
					gate := newGate(t)
					// cut: it may have run
					first, _ := startUpstream(t, func(net.Conn, *http.Request, string) bool {
						gate.wait()
						return false
					})
					fellow, _ := startUpstream(t, echo)
					elsewhere, strangers := startUpstream(t, echo)
					n := newNode(t, withSettings(`"group":"zone"`, fmt.Sprintf(`"group":%q`, group)))
					n.start()
					n.updateList(t, listText(1, true, there(listEntry("s-0", first, "up"))))
					client, answers := dial(t, n)
					writeText(client, requestText("update", "t1", "x"))
					gate.awaitArrivals(t, 1)
					inGroup, want := there(listEntry("s-1", fellow, "up")), 200
					if outside {
						inGroup, want = there(listEntry("s-1", fellow, "draining")), 502
					}
					n.updateList(t, list(listEntry("s-0", first, "removed"), inGroup,
						other(listEntry("s-2", elsewhere, "up"))))
					gate.release()
					if status, _, _ := readResponse(answers); status != want || strangers.Load() != 0 {
						t.Errorf("answered %d, want %d; sent outside its group %d times", status, want,
							strangers.Load())
					}
				})
			}
		}
	}
}

// Where removal is not binding, a removed endpoint keeps its zone and pod.
func TestRemovedEndpointKeepsItsGroup(t *testing.T) {
	for group, change := range map[string]*strings.Replacer{
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
				ran, both := map[string]bool{}, 0
				failing, attempts := startUpstream(t, func(c net.Conn, r *http.Request, _ string) bool {
					mu.Lock()
					ran[r.Header.Get(headerRequestID)] = true
					mu.Unlock()
					return writeResponse(c, "500 Bad", "")
				})
				left, served := startUpstream(t, func(c net.Conn, r *http.Request, body string) bool {
					mu.Lock()
					if ran[r.Header.Get(headerRequestID)] {
						both++
					}
					mu.Unlock()
					return echo(c, r, body)
				})
				n := newNode(t, withSettings(`"group":"zone"`, fmt.Sprintf(`"group":%q`, group), `"rules":{`,
					`"rules":{"removal_not_binding":true,`))
				n.start()
				stays := listEntry("s-1", failing, "up")
				if group == "cell" {
					stays = strings.Replace(stays, `"block":1`, `"block":0`, 1)
				}
				n.updateList(t, listText(1, true, change.Replace(listEntry("s-0", left, "up"))))
				if list == "" {
					n.updateList(t, listText(2, true, stays))
				} else {
					n.updateList(t, listText(2, false, list, stays))
				}
				for i := 0; i < 200 && (attempts.Load() == 0 || served.Load() == 0 || i < 20); i++ {
					sendRequest(t, n, "update", fmt.Sprint("t", i), "")
				}
				mu.Lock()
				defer mu.Unlock()
				if attempts.Load() == 0 || served.Load() == 0 || both > 0 {
					t.Errorf("%d attempts failed, %d served by the removed endpoint, %d of them outside their group",
						attempts.Load(), served.Load(), both)
				}
			})
		}
	}
}
