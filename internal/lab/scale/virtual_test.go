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

// In virtual time the way alone decides: twice 40 ms from the origin over two relays, and 1 ms to the node.
func TestPropagationTakesLinkDelays(t *testing.T) {
	e := &Env{Quick: true, Design: DefaultDesign, Dir: t.TempDir()}
	m, err := probeByName(t, "inforce").Measure(t.Context(), e, 20)
	if err != nil || m.Note != "" {
		t.Fatal(err, m.Note)
	}
	v := m.Values
	if want := float64(2*farDelay+nearDelay) / 1e9; v["change99"] != want || v["change100"] != want {
		t.Errorf("in force after %v and %v s, want %v", v["change99"], v["change100"], want)
	}
	if v["burst100"] < v["burst99"] || v["burst99"] < v["change99"] || v["start100"] < v["start99"] {
		t.Errorf("%v: a burst before a change, or all before 99 in 100", v)
	}
	if maximum := DefaultLimits.BytesPerSecond * 1.05; v["worst"] <= 0 || v["worst"] > maximum {
		t.Errorf("%v bytes a second to a node, paced at %v", v["worst"], DefaultLimits.BytesPerSecond)
	}
	// Five scopes of 24 endpoints, over 100 bytes each, at 22 KB a second of which a quarter of a second may be ahead.
	if minimum := 5*24*100/DefaultLimits.BytesPerSecond - 0.25; v["start99"] < minimum {
		t.Errorf("all have started after %v s, which the pace lets nobody before %v", v["start99"], minimum)
	}
	again, err := probeByName(t, "inforce").Measure(t.Context(), e, 20)
	if err != nil {
		t.Fatal(err)
	}
	for name := range v {
		if v[name] != again.Values[name] {
			t.Errorf("%s: %v, and %v with the same calls", name, v[name], again.Values[name])
		}
	}
}

// A list longer than the nodes take by others' word is told as one that never came, not as a figure.
func TestEndpointGossipProbeReportsListNeverAccepted(t *testing.T) {
	p := probeByName(t, "hearsay")
	m, err := p.Measure(t.Context(), &Env{}, 500)
	if err != nil || m.Note != "" || m.Values["taken"] <= 0 || m.Values["bytes"] < 500*50 {
		t.Errorf("%+v, %v", m, err)
	}
	m, err = p.Measure(t.Context(), &Env{}, 9500)
	if _, taken := m.Values["taken"]; err != nil || taken || m.Values["bytes"] != 0 || !strings.HasPrefix(m.Note, "never taken within 20 s") {
		t.Errorf("%+v, %v", m, err)
	}
}

// A death is known to half before it is known to all, and nobody is counted who does not hold it.
func TestMembersProbeOrdersDetectionTimes(t *testing.T) {
	m, err := probeByName(t, "members").Measure(t.Context(), &Env{Quick: true}, 30)
	if err != nil || m.Note != "" {
		t.Fatal(err, m.Note)
	}
	v := m.Values
	for _, name := range []string{"busy", "death"} {
		// Nobody can hold a node silent before a probe has ended and the least time of a doubt has passed: some rounds
		// of 0.5 s.
		if !(v[name+"50"] >= 1.5 && v[name+"50"] <= v[name+"90"] && v[name+"90"] <= v[name+"99"] && v[name+"99"] <= v[name+"100"] && v[name+"100"] < 30) {
			t.Errorf("%s: %v", name, v)
		}
	}
	if v["told"] < v["up"] || v["up"] <= 0 {
		t.Errorf("told after %v s, all up after %v", v["told"], v["up"])
	}
}
