package scale

// This file owns the size to design for and what the operators allow there. Both are the letter's of the operators who asked for
// this page; a file or a flag may put others in their place. It must never hold a measured figure.

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Design is the deployment that figures are drawn out to.
type Design struct {
	Nodes          float64 `toml:"nodes" json:"nodes"`
	Servers        float64 `toml:"servers" json:"servers"`
	Services       float64 `toml:"services" json:"services"`
	Routes         float64 `toml:"routes" json:"routes"`
	Tenants        float64 `toml:"tenants" json:"tenants"`
	Regions        float64 `toml:"regions" json:"regions"`
	Zones          float64 `toml:"zones" json:"zones"`
	Requests       float64 `toml:"requests_s" json:"requests_s"`                 // a second, of the fleet at its peak
	Configurations float64 `toml:"configurations_day" json:"configurations_day"` // changes of configuration a day
	Failures       float64 `toml:"failures_day" json:"failures_day"`             // machines that fail on an ordinary day
	Restarts       float64 `toml:"restarts_day" json:"restarts_day"`             // machines that are restarted or replaced
	ZoneServers    float64 `toml:"zone_servers" json:"zone_servers"`             // that go at once with a zone
}

// Limits are what control may cost a node, and how soon and how little it may be felt.
type Limits struct {
	Cores    float64 `toml:"cores" json:"cores"`           // of a node's, for control
	Bytes    float64 `toml:"bytes" json:"bytes"`           // of a node's memory, for control
	Network  float64 `toml:"bytes_s" json:"bytes_s"`       // a second a node
	Machines float64 `toml:"machines" json:"machines"`     // set aside for control
	InForce  float64 `toml:"in_force_s" json:"in_force_s"` // until a change is in force everywhere, seconds
	Ready    float64 `toml:"ready_s" json:"ready_s"`       // until nine in ten of restarted nodes are ready, seconds: of the terms, not of the letter
	Added    float64 `toml:"added_s" json:"added_s"`       // to 99 in 100 requests, seconds
}

// TheDesign and TheLimits are the letter's figures.
var (
	TheDesign = Design{
		Nodes: 5300, Servers: 120_000, Services: 5000, Routes: 86_000, Tenants: 980_000, Regions: 10, Zones: 31, Requests: 3.9e6,
		Configurations: 72_000, Failures: 260, Restarts: 16_000, ZoneServers: 3900,
	}
	TheLimits = Limits{Cores: 0.027, Bytes: 128e6, Network: 22e3, Machines: 19, InForce: 5, Ready: 10, Added: 1.3e-3}
)

// listChanges are what the list tells of one restart: it drains, it is up anew.
const listChanges = 2

// Endpoints is how often a second the list of endpoints changes on an ordinary day: two lines for a machine that is restarted or
// replaced, one for one that fails.
func (d *Design) Endpoints() float64 { return (listChanges*d.Restarts + d.Failures) / 86_400 }

// Changes is how often a second anything changes on an ordinary day.
func (d *Design) Changes() float64 { return d.Endpoints() + d.Configurations/86_400 }

// Read puts a file's [design] and [limits] in place of what stands.
func Read(path string, d *Design, l *Limits) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	in := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := in.Decode(&struct {
		Design *Design `toml:"design"`
		Limits *Limits `toml:"limits"`
	}{d, l}); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			var all []error
			for _, one := range strict.Errors {
				all = append(all, fmt.Errorf("%s: %s: expected a key of [design] or [limits], found none of that name", path, strings.Join(one.Key(), ".")))
			}
			return errors.Join(all...)
		}
		return fmt.Errorf("%s: %w", path, err)
	}
	return check(path, d, l)
}

// check tells every figure that makes no sense at once.
func check(path string, d *Design, l *Limits) error {
	var all []error
	for _, f := range []struct {
		key   string
		value float64
	}{
		{"design.nodes", d.Nodes},
		{"design.servers", d.Servers},
		{"design.services", d.Services},
		{"design.routes", d.Routes},
		{"design.tenants", d.Tenants},
		{"design.regions", d.Regions},
		{"design.zones", d.Zones},
		{"design.requests_s", d.Requests},
		{"design.configurations_day", d.Configurations},
		{"design.failures_day", d.Failures},
		{"design.restarts_day", d.Restarts},
		{"design.zone_servers", d.ZoneServers},
		{"limits.cores", l.Cores},
		{"limits.bytes", l.Bytes},
		{"limits.bytes_s", l.Network},
		{"limits.machines", l.Machines},
		{"limits.in_force_s", l.InForce},
		{"limits.ready_s", l.Ready},
		{"limits.added_s", l.Added},
	} {
		if !(f.value > 0) {
			all = append(all, fmt.Errorf("%s: %s: expected a number above 0, found %v", path, f.key, f.value))
		}
	}
	return errors.Join(all...)
}

// The limits, in the units that figures have.
func limitBytes(_ *Design, l *Limits) float64   { return l.Bytes }
func limitCores(_ *Design, l *Limits) float64   { return 100 * l.Cores } // per cent of a core
func limitNetwork(_ *Design, l *Limits) float64 { return l.Network }
func limitReady(_ *Design, l *Limits) float64   { return l.Ready }
func limitInForce(_ *Design, l *Limits) float64 { return l.InForce }
func limitAdded(_ *Design, l *Limits) float64   { return l.Added * 1e6 } // microseconds

// limitChange is what one change of an endpoint may take where an ordinary day's take all that control may, milliseconds.
func limitChange(d *Design, l *Limits) float64 { return 1e3 * l.Cores / d.Endpoints() }
