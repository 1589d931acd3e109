package scale

import (
	"strings"
	"testing"
)

func probeByName(t *testing.T, name string) *Probe {
	t.Helper()
	for _, p := range Probes() {
		if p.Name == name {
			return &p
		}
	}
	t.Fatalf("no probe %s", name)
	return nil
}

// TestPropagationTakesLinkDelays checks propagation times in virtual time, which depend on link delays and paces alone:
// a change takes 40 ms to each of two relay levels, and 1 ms to the node.
func TestPropagationTakesLinkDelays(t *testing.T) {
	e := &Env{Quick: true, Design: DefaultDesign, Dir: t.TempDir()}
	m, err := probeByName(t, "inforce").Measure(t.Context(), e, 20)
	if err != nil || m.Note != "" {
		t.Fatal(err, m.Note)
	}
	v := m.Values
	if want := float64(2*farDelay+nearDelay) / 1e9; v["change99"] != want || v["change100"] != want {
		t.Errorf("change: got 99%% of nodes after %v s and all after %v s, want %v s", v["change99"], v["change100"], want)
	}
	if v["burst100"] < v["burst99"] || v["burst99"] < v["change99"] || v["start100"] < v["start99"] {
		t.Errorf("got %v, want a burst to take at least as long as a change, and 100%% of nodes at least as long as 99%%", v)
	}
	if maximum := DefaultLimits.BytesPerSecond * 1.05; v["worst"] <= 0 || v["worst"] > maximum {
		t.Errorf("got %v bytes/s to a node, want above 0 and within 5%% of the pace of %v", v["worst"], DefaultLimits.BytesPerSecond)
	}
	// Five scopes of 24 endpoints of over 100 bytes each, at 22 kB/s with a burst allowance of a quarter of a second.
	if minimum := 5*24*100/DefaultLimits.BytesPerSecond - 0.25; v["start99"] < minimum {
		t.Errorf("start: got 99%% of nodes after %v s, want at least the %v s that the pace requires", v["start99"], minimum)
	}
	again, err := probeByName(t, "inforce").Measure(t.Context(), e, 20)
	if err != nil {
		t.Fatal(err)
	}
	for name := range v {
		if v[name] != again.Values[name] {
			t.Errorf("%s: got %v and then %v from two identical runs", name, v[name], again.Values[name])
		}
	}
}

// TestEndpointGossipProbeReportsListNeverAccepted checks that a list longer than nodes accept by gossip gives a note
// instead of a figure.
func TestEndpointGossipProbeReportsListNeverAccepted(t *testing.T) {
	p := probeByName(t, "hearsay")
	m, err := p.Measure(t.Context(), &Env{}, 500)
	if err != nil || m.Note != "" || m.Values["taken"] <= 0 || m.Values["bytes"] < 500*50 {
		t.Errorf("500 endpoints: got %+v, error %v; want the list accepted after at least 50 bytes per endpoint", m, err)
	}
	m, err = p.Measure(t.Context(), &Env{}, 9500)
	if _, taken := m.Values["taken"]; err != nil || taken || m.Values["bytes"] != 0 || !strings.HasPrefix(m.Note, "never taken within 20 s") {
		t.Errorf("9500 endpoints: got %+v, error %v; want no figures and a note that the list was never accepted", m, err)
	}
}

// TestMembersProbeOrdersDetectionTimes checks that the times until 50% to 100% of nodes detect a death increase, and
// that none is shorter than the protocol allows.
func TestMembersProbeOrdersDetectionTimes(t *testing.T) {
	m, err := probeByName(t, "members").Measure(t.Context(), &Env{Quick: true}, 30)
	if err != nil || m.Note != "" {
		t.Fatal(err, m.Note)
	}
	v := m.Values
	for _, name := range []string{"busy", "death"} {
		// No node can consider another one dead before a probe has failed and the shortest suspicion timeout has
		// passed, which takes some protocol periods of 0.5 s.
		if !(v[name+"50"] >= 1.5 && v[name+"50"] <= v[name+"90"] && v[name+"90"] <= v[name+"99"] && v[name+"99"] <= v[name+"100"] && v[name+"100"] < 30) {
			t.Errorf("%s: got %v, want increasing detection times from 1.5 to under 30 s", name, v)
		}
	}
	if v["told"] < v["up"] || v["up"] <= 0 {
		t.Errorf("got updates ended after %v s and all nodes up after %v s, want up above 0 and no later", v["told"], v["up"])
	}
}
