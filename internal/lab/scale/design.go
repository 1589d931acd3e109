package scale

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Design is the deployment size that figures are extrapolated to.
type Design struct {
	Nodes                      float64 `toml:"nodes" json:"nodes"`
	Endpoints                  float64 `toml:"servers" json:"servers"`
	Services                   float64 `toml:"services" json:"services"`
	Routes                     float64 `toml:"routes" json:"routes"`
	Tenants                    float64 `toml:"tenants" json:"tenants"`
	Regions                    float64 `toml:"regions" json:"regions"`
	Zones                      float64 `toml:"zones" json:"zones"`
	RequestsPerSecond          float64 `toml:"requests_s" json:"requests_s"` // peak rate of the fleet
	ConfigurationChangesPerDay float64 `toml:"configurations_day" json:"configurations_day"`
	FailuresPerDay             float64 `toml:"failures_day" json:"failures_day"` // failures of endpoints on an ordinary day
	RestartsPerDay             float64 `toml:"restarts_day" json:"restarts_day"` // restarts of endpoints on an ordinary day, including replacements
	ZoneEndpoints              float64 `toml:"zone_servers" json:"zone_servers"` // endpoints of one zone, which can fail at once
}

// Limits bounds the cost of a node's control plane, the delays of changes and starts, and the latency added to
// requests.
type Limits struct {
	Cores          float64 `toml:"cores" json:"cores"`           // CPU cores of a node that control may use
	MemoryBytes    float64 `toml:"bytes" json:"bytes"`           // memory of a node that control may use
	BytesPerSecond float64 `toml:"bytes_s" json:"bytes_s"`       // network traffic of a node for control
	Machines       float64 `toml:"machines" json:"machines"`     // machines reserved for control
	PropagationS   float64 `toml:"in_force_s" json:"in_force_s"` // seconds until a change is in force at all nodes
	ReadyS         float64 `toml:"ready_s" json:"ready_s"`       // seconds until 90% of restarted nodes are ready
	AddedLatencyS  float64 `toml:"added_s" json:"added_s"`       // seconds added to the latency of requests, 99th percentile
}

// DefaultDesign and DefaultLimits are used unless a file or a flag overrides them.
var (
	DefaultDesign = Design{
		Nodes: 5300, Endpoints: 120_000, Services: 5000, Routes: 86_000, Tenants: 980_000, Regions: 10, Zones: 31,
		RequestsPerSecond: 3.9e6, ConfigurationChangesPerDay: 72_000, FailuresPerDay: 260, RestartsPerDay: 16_000, ZoneEndpoints: 3900,
	}
	DefaultLimits = Limits{
		Cores: 0.027, MemoryBytes: 128e6, BytesPerSecond: 22e3, Machines: 19, PropagationS: 5, ReadyS: 10, AddedLatencyS: 1.3e-3,
	}
)

const (
	daySeconds        = 86_400
	changesPerRestart = 2 // changes of the endpoint list: to draining and back to active
)

// EndpointChangesPerSecond returns the rate of endpoint list changes on an ordinary day. A failure is one change.
func (d *Design) EndpointChangesPerSecond() float64 {
	return (changesPerRestart*d.RestartsPerDay + d.FailuresPerDay) / daySeconds
}

// configurationChangesPerSecond returns the rate of configuration changes on an ordinary day.
func (d *Design) configurationChangesPerSecond() float64 {
	return d.ConfigurationChangesPerDay / daySeconds
}

// ReadDesign reads a TOML file with [design] and [limits] into the given values. Values whose keys are not in the file
// are unchanged.
func ReadDesign(path string, d *Design, l *Limits) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	file := struct {
		Design *Design `toml:"design"`
		Limits *Limits `toml:"limits"`
	}{d, l}
	err = toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&file)
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		return unknownKeys(path, unknown)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return check(path, d, l)
}

// unknownKeys returns an error that names every unknown key.
func unknownKeys(path string, unknown *toml.StrictMissingError) error {
	var problems []error
	for _, e := range unknown.Errors {
		problems = append(problems, fmt.Errorf("%s: %s: expected a key of [design] or [limits], found an unknown key",
			path, strings.Join(e.Key(), ".")))
	}
	return errors.Join(problems...)
}

// check returns an error that names every figure that is not positive.
func check(path string, d *Design, l *Limits) error {
	var problems []error
	for _, f := range []struct {
		key   string
		value float64
	}{
		{"design.nodes", d.Nodes},
		{"design.servers", d.Endpoints},
		{"design.services", d.Services},
		{"design.routes", d.Routes},
		{"design.tenants", d.Tenants},
		{"design.regions", d.Regions},
		{"design.zones", d.Zones},
		{"design.requests_s", d.RequestsPerSecond},
		{"design.configurations_day", d.ConfigurationChangesPerDay},
		{"design.failures_day", d.FailuresPerDay},
		{"design.restarts_day", d.RestartsPerDay},
		{"design.zone_servers", d.ZoneEndpoints},
		{"limits.cores", l.Cores},
		{"limits.bytes", l.MemoryBytes},
		{"limits.bytes_s", l.BytesPerSecond},
		{"limits.machines", l.Machines},
		{"limits.in_force_s", l.PropagationS},
		{"limits.ready_s", l.ReadyS},
		{"limits.added_s", l.AddedLatencyS},
	} {
		if !(f.value > 0) {
			problems = append(problems, fmt.Errorf("%s: %s: expected a number above 0, found %v", path, f.key, f.value))
		}
	}
	return errors.Join(problems...)
}

// The functions below return limits in the units of the figures.
func limitMemory(_ *Design, l *Limits) float64      { return l.MemoryBytes }
func limitCores(_ *Design, l *Limits) float64       { return 100 * l.Cores } // percent of a core
func limitNetwork(_ *Design, l *Limits) float64     { return l.BytesPerSecond }
func limitReady(_ *Design, l *Limits) float64       { return l.ReadyS }
func limitPropagation(_ *Design, l *Limits) float64 { return l.PropagationS }
func limitAdded(_ *Design, l *Limits) float64       { return l.AddedLatencyS * 1e6 } // microseconds

// limitChange returns the CPU time of one endpoint change, in milliseconds, with which an ordinary day's changes would
// use the whole CPU limit.
func limitChange(d *Design, l *Limits) float64 { return 1e3 * l.Cores / d.EndpointChangesPerSecond() }
