package relay

import (
	"cmp"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"fawnglade/internal/distribution"
	"fawnglade/internal/tomlfile"
)

// Config is the configuration of an origin or relay process, as read from its TOML file.
type Config struct {
	// Name is the name of the process in its log. In a relay it also seeds the jitter of the backoff.
	Name string `toml:"name"`
	// Role is origin or relay.
	Role string `toml:"role"`
	// Listen is the address and port for subscribers. Port 0 selects a free port.
	Listen string `toml:"listen"`
	// Upstream lists the addresses and ports of a relay's upstreams, in the order in which they are tried.
	Upstream []string `toml:"upstream"`
	// Scopes lists the scopes that a relay follows, each as region/service. A star at the end selects all scopes that
	// begin with the text before it. Default: all scopes.
	Scopes []string `toml:"scopes"`
	// BytesPerSecond is the pace at which each subscriber is sent records; 0 disables pacing.
	BytesPerSecond int `toml:"pace"`
	// Limits bounds the memory of the process. 0 selects the defaults of distribution.Limits.
	Limits LimitsConfig `toml:"limits"`
	// Origin configures an origin; nil for a relay.
	Origin *OriginConfig `toml:"origin"`
}

// LimitsConfig bounds the records and subscribers of a process.
type LimitsConfig struct {
	Records     int `toml:"records"`
	Bytes       int `toml:"bytes"` // total size of names, keys and bodies
	Subscribers int `toml:"subscribers"`
}

// OriginConfig configures the sources of an origin's records.
type OriginConfig struct {
	// Discovery is the address and port of discovery. Empty: the origin serves no endpoints.
	Discovery string `toml:"discovery"`
	// Configuration is the directory with files of configuration records. Empty: the origin serves no configuration.
	Configuration string `toml:"configuration"`
	// PollInterval is the interval between scans of the directory, 50ms to 1h. Default: 1s.
	PollInterval string `toml:"every"`
	// State is the file that stores the epoch, so that it increases even if the machine's clock is set back. Empty: the
	// epoch is not stored.
	State string `toml:"state"`
	// Scope determines the scopes of endpoints.
	Scope ScopeRule `toml:"scope"`

	// PollIntervalNs is PollInterval in nanoseconds, set when the configuration is checked.
	PollIntervalNs int64 `toml:"-"`
}

// ScopeRule determines the scope of an endpoint, region/service.
type ScopeRule struct {
	// Service is the service of all endpoints. Exactly one of Service and ServiceFrom must be set.
	Service string `toml:"service"`
	// ServiceFrom "host" derives the service of an endpoint from its name: the part before the last dash.
	ServiceFrom string `toml:"service_from"`
	// Region is the region of zones ("sites" in the list of discovery) that are not in Regions. Empty: endpoints in
	// these zones are skipped.
	Region string `toml:"region"`
	// Regions lists the zones of each region.
	Regions map[string][]string `toml:"regions"`

	regionByZone map[string]string
}

const (
	roleOrigin      = "origin"
	roleRelay       = "relay"
	serviceFromName = "host"

	configPage          = "docs/operate/relay.md"
	defaultPollInterval = time.Second
	minPollInterval     = 50 * time.Millisecond
	maxPollInterval     = time.Hour
	minBytesPerSecond   = 1024
	maxUpstreams        = 64
	maxScopes           = 4096
	maxNameBytes        = 255
	maxScopePartBytes   = maxNameBytes / 2 // length of a region or service
)

// ReadConfig reads and checks a configuration file. The error lists all problems.
func ReadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseConfig(path, text)
}

// ParseConfig parses and checks the text of a configuration file. The error lists all problems and contains path.
func ParseConfig(path string, text []byte) (*Config, error) {
	config := &Config{}
	problems, err := tomlfile.Decode(path, text, config, configPage)
	if err != nil {
		return nil, err
	}
	config.check(problems)
	return config, problems.Err()
}

func checkAddress(problems *tomlfile.Problems, key, found string, allowPortZero bool) {
	address, err := netip.ParseAddrPort(found)
	problems.Require(err == nil && (allowPortZero || address.Port() != 0), key, "an address and a port",
		fmt.Sprintf("%q", found))
}

func (config *Config) check(problems *tomlfile.Problems) {
	problems.Require(config.Name != "" && len(config.Name) <= maxNameBytes, "name",
		fmt.Sprintf("a name of up to %d bytes", maxNameBytes), fmt.Sprintf("%q", config.Name))
	problems.Require(config.Role == roleOrigin || config.Role == roleRelay, "role", "origin or relay",
		fmt.Sprintf("%q", config.Role))
	checkAddress(problems, "listen", config.Listen, true)
	problems.Require(config.BytesPerSecond == 0 || config.BytesPerSecond >= minBytesPerSecond, "pace",
		fmt.Sprintf("0, or at least %d bytes a second", minBytesPerSecond), config.BytesPerSecond)
	limits := map[string]int{
		"limits.records":     config.Limits.Records,
		"limits.bytes":       config.Limits.Bytes,
		"limits.subscribers": config.Limits.Subscribers,
	}
	for key, n := range limits {
		problems.Require(n >= 0, key, "a number from 0, which stands for the default", n)
	}
	if config.Role == roleOrigin {
		config.checkOrigin(problems)
	} else {
		config.checkRelay(problems)
	}
}

func (config *Config) checkOrigin(problems *tomlfile.Problems) {
	problems.Require(len(config.Upstream) == 0, "upstream", "none, as role is origin", len(config.Upstream))
	problems.Require(len(config.Scopes) == 0, "scopes", "none, as role is origin", len(config.Scopes))
	problems.Require(config.Origin != nil, "origin", "a table, as role is origin", "none")
	if config.Origin != nil {
		config.Origin.check(problems)
	}
}

func (config *Config) checkRelay(problems *tomlfile.Problems) {
	problems.Require(config.Origin == nil, "origin", "none, as role is not origin", "a table")
	problems.Require(len(config.Upstream) >= 1 && len(config.Upstream) <= maxUpstreams, "upstream",
		fmt.Sprintf("1 to %d addresses and ports", maxUpstreams), len(config.Upstream))
	seen := map[string]bool{}
	for i, upstream := range config.Upstream {
		key := fmt.Sprintf("upstream.%d", i)
		checkAddress(problems, key, upstream, false)
		problems.Require(!seen[upstream], key, "an address that is listed once", fmt.Sprintf("%q again", upstream))
		problems.Require(upstream != config.Listen, key, "another address than listen", fmt.Sprintf("%q", upstream))
		seen[upstream] = true
	}
	if len(config.Scopes) == 0 {
		config.Scopes = []string{wildcard}
	}
	problems.Require(len(config.Scopes) <= maxScopes, "scopes", fmt.Sprintf("%d at most", maxScopes),
		len(config.Scopes))
	for i, scope := range config.Scopes {
		wildcardOnlyAtEnd := !strings.Contains(strings.TrimSuffix(scope, wildcard), wildcard)
		problems.Require(scope != "" && len(scope) <= distribution.MaxNameBytes && wildcardOnlyAtEnd,
			fmt.Sprintf("scopes.%d", i),
			fmt.Sprintf("a scope of up to %d bytes, with a star only at its end", distribution.MaxNameBytes),
			fmt.Sprintf("%q", scope))
	}
}

func (o *OriginConfig) check(problems *tomlfile.Problems) {
	problems.Require(o.Discovery != "" || o.Configuration != "", "origin", "discovery, configuration or both",
		"neither")
	interval := defaultPollInterval
	if o.PollInterval != "" {
		var err error
		interval, err = time.ParseDuration(o.PollInterval)
		problems.Require(err == nil && interval >= minPollInterval && interval <= maxPollInterval, "origin.every",
			"a duration from 50ms to 1h", fmt.Sprintf("%q", o.PollInterval))
	}
	o.PollIntervalNs = int64(interval)
	if o.Discovery != "" {
		checkAddress(problems, "origin.discovery", o.Discovery, false)
		o.Scope.check(problems)
	}
}

func (s *ScopeRule) check(problems *tomlfile.Problems) {
	problems.Require((s.Service == "") != (s.ServiceFrom == ""), "origin.scope.service",
		"a name, or service_from instead",
		fmt.Sprintf("%q and %q", s.Service, s.ServiceFrom))
	problems.Require(s.ServiceFrom == "" || s.ServiceFrom == serviceFromName, "origin.scope.service_from", "host",
		fmt.Sprintf("%q", s.ServiceFrom))
	problems.Require(s.Region != "" || len(s.Regions) > 0, "origin.scope.region",
		"a region, or regions with their sites", "neither")
	s.regionByZone = map[string]string{}
	for region, zones := range s.Regions {
		for _, zone := range zones {
			other := s.regionByZone[zone]
			problems.Require(other == "", "origin.scope.regions."+region, "sites that are in one region each",
				fmt.Sprintf("%q, which is also in %s", zone, other))
			s.regionByZone[zone] = region
		}
	}
	for key, name := range map[string]string{"service": s.Service, "region": s.Region} {
		problems.Require(validScopePart(name), "origin.scope."+key,
			fmt.Sprintf("a name of up to %d bytes without / and *", maxScopePartBytes), fmt.Sprintf("%q", name))
	}
	for region := range s.Regions {
		problems.Require(region != "" && validScopePart(region), "origin.scope.regions",
			fmt.Sprintf("names of up to %d bytes without / and *", maxScopePartBytes), fmt.Sprintf("%q", region))
	}
}

func validScopePart(name string) bool {
	return len(name) <= maxScopePartBytes && !strings.ContainsAny(name, "/*")
}

// scopeOf returns the scope of an endpoint, given its name and zone, or "" if the rule gives it none.
func (s *ScopeRule) scopeOf(name, zone string) string {
	region := cmp.Or(s.regionByZone[zone], s.Region)
	service := s.Service
	if s.ServiceFrom == serviceFromName {
		service = ""
		if dash := strings.LastIndexByte(name, '-'); dash > 0 {
			service = name[:dash]
		}
	}
	if region == "" || service == "" {
		return ""
	}
	return region + "/" + service
}
