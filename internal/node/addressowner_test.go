package node

import (
	"fmt"
	"testing"
)

// Guards against requests for an endpoint that reach another one, whose process has come up at its address.
func TestEndpointLosesItsAddressToItsSuccessor(t *testing.T) {
	entry := func(name, address, health string, bornMs int) string {
		return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","class":"m","block":1,"health":%q,"share":1.0,"born_ms":%d}`,
			name, address, health, bornMs)
	}
	const x, y = "127.0.0.1:1001", "127.0.0.1:1002"
	for name, c := range map[string]struct {
		updates []string // changes, after a list with "old" at x
		want    map[string]bool
	}{
		"successor": {[]string{entry("new", x, "up", 5)}, map[string]bool{"old": false, "new": true}},
		"listed again": {
			[]string{entry("new", x, "up", 5), entry("old", x, "up", 0)}, map[string]bool{"old": false, "new": true},
		},
		"old one moves": {
			[]string{entry("new", x, "up", 5), entry("old", y, "up", 0)}, map[string]bool{"old": true, "new": true},
		},
		"old one starts again": {
			[]string{entry("new", x, "up", 5), entry("old", x, "up", 9)}, map[string]bool{"old": true, "new": false},
		},
		"successor removed": {
			[]string{entry("new", x, "up", 5), entry("new", x, "removed", 5)}, map[string]bool{"old": true, "new": false},
		},
		"together, one newer": {
			[]string{entry("a", y, "up", 1) + "," + entry("b", y, "up", 2)}, map[string]bool{"a": false, "b": true},
		},
		"together, same age": {
			[]string{entry("a", y, "up", 0) + "," + entry("b", y, "up", 0)}, map[string]bool{"a": true, "b": true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNode(t, silentDiscovery(t))
			n.start()
			n.updateList(t, listText(2, false, entry("old", x, "up", 0)))
			for i, text := range c.updates {
				n.updateList(t, listText(3+i, false, text))
			}
			n.awaitLoop()
			for endpoint, want := range c.want {
				if got := n.isEligibleByName(endpoint); got != want {
					t.Errorf("%s: got eligible %t, want %t", endpoint, got, want)
				}
			}
		})
	}
}

// isEligibleByName reports whether an endpoint gets new requests.
func (n *Node) isEligibleByName(name string) bool {
	eligible := make(chan bool, 1)
	n.loop.post(func() {
		for id, known := range n.loop.endpoints {
			if known.name == name {
				eligible <- n.upstreams.isEligible(upstreamTarget{id, known.address})
				return
			}
		}
		eligible <- false
	})
	return <-eligible
}
