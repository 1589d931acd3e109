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

// Config configures the process of an origin or a relay, as its TOML file does.
type Config struct {
	// Name of the process, in its log. Of a relay it also seeds the jitter of its backoff.
	Name string `toml:"name"`
	// Role is origin or relay.
	Role string `toml:"role"`
	// Listen is the address and port for subscribers; with port 0 a free one is taken.
	Listen string `toml:"listen"`
	// Upstream are a relay's upstreams as addresses and ports, the first choice first.
	Upstream []string `toml:"upstream"`
	// Scopes are what a relay follows, region/service; a star at the end stands for all that begin so. Default: all.
	Scopes []string `toml:"scopes"`
	// BytesPerSecond is the pace to each subscriber; 0: not paced.
	BytesPerSecond int `toml:"pace"`
	// Limits bound what is held; 0 stands for the defaults of distribution.Limits.
	Limits LimitsConfig `toml:"limits"`
	// Origin configures an origin; nil for a relay.
	Origin *OriginConfig `toml:"origin"`
}

// LimitsConfig bounds what a process holds.
type LimitsConfig struct {
	Records     int `toml:"records"`
	Bytes       int `toml:"bytes"` // of names, keys and bodies
	Subscribers int `toml:"subscribers"`
}

// OriginConfig configures where an origin's records come from.
type OriginConfig struct {
	// Discovery is the address and port of discovery; empty: no endpoints.
	Discovery string `toml:"discovery"`
	// Configuration is the directory of configuration; empty: no configuration.
	Configuration string `toml:"configuration"`
	// PollInterval is how often the directory is scanned, 50ms to 1h. Default: 1s.
	PollInterval string `toml:"every"`
	// State is the file that stores the epoch, so that it grows though the machine's clock goes back; empty: none.
	State string `toml:"state"`
	// Scope says which scope a host is in.
	Scope ScopeRule `toml:"scope"`

	// PollIntervalNs is PollInterval in nanoseconds, once the file has been checked.
	PollIntervalNs int64 `toml:"-"`
}

// ScopeRule says which scope a host is in, region/service.
type ScopeRule struct {
	// Service is the service of all hosts; or empty, with ServiceFrom.
	Service string `toml:"service"`
	// ServiceFrom "host" takes what is before the last dash of a host's name for its service.
	ServiceFrom string `toml:"service_from"`
	// Region is the region of sites that Regions doesn't name; empty: their hosts are skipped.
	Region string `toml:"region"`
	// Regions are the sites of each region.
	Regions map[string][]string `toml:"regions"`

	regionByZone map[string]string // by site
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
	maxScopePartBytes   = maxNameBytes / 2 // of a region or service
)

// ReadConfig reads and checks a file. The error names all that is wrong.
func ReadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseConfig(path, text)
}

// ParseConfig parses and checks a file's text. The error names all that is wrong; path stands in it.
func ParseConfig(path string, text []byte) (*Config, error) {
	config := &Config{}
	complaints, err := tomlfile.Decode(path, text, config, configPage)
	if err != nil {
		return nil, err
	}
	config.check(complaints)
	return config, complaints.Err()
}

func checkAddress(c *tomlfile.Problems, key, found string, portZero bool) {
	address, err := netip.ParseAddrPort(found)
	c.Require(err == nil && (portZero || address.Port() != 0), key, "an address and a port", fmt.Sprintf("%q", found))
}

func (f *Config) check(c *tomlfile.Problems) {
	c.Require(f.Name != "" && len(f.Name) <= maxNameBytes, "name",
		fmt.Sprintf("a name of up to %d bytes", maxNameBytes), fmt.Sprintf("%q", f.Name))
	c.Require(f.Role == roleOrigin || f.Role == roleRelay, "role", "origin or relay", fmt.Sprintf("%q", f.Role))
	checkAddress(c, "listen", f.Listen, true)
	c.Require(f.BytesPerSecond == 0 || f.BytesPerSecond >= minBytesPerSecond, "pace",
		fmt.Sprintf("0, or at least %d bytes a second", minBytesPerSecond), f.BytesPerSecond)
	limits := map[string]int{
		"limits.records":     f.Limits.Records,
		"limits.bytes":       f.Limits.Bytes,
		"limits.subscribers": f.Limits.Subscribers,
	}
	for key, n := range limits {
		c.Require(n >= 0, key, "a number from 0, which stands for the default", n)
	}
	if f.Role == roleOrigin {
		f.checkOrigin(c)
	} else {
		f.checkRelay(c)
	}
}

func (f *Config) checkOrigin(c *tomlfile.Problems) {
	c.Require(len(f.Upstream) == 0, "upstream", "none, as role is origin", len(f.Upstream))
	c.Require(len(f.Scopes) == 0, "scopes", "none, as role is origin", len(f.Scopes))
	c.Require(f.Origin != nil, "origin", "a table, as role is origin", "none")
	if f.Origin != nil {
		f.Origin.check(c)
	}
}

func (f *Config) checkRelay(c *tomlfile.Problems) {
	c.Require(f.Origin == nil, "origin", "none, as role is not origin", "a table")
	c.Require(len(f.Upstream) >= 1 && len(f.Upstream) <= maxUpstreams, "upstream",
		fmt.Sprintf("1 to %d addresses and ports", maxUpstreams), len(f.Upstream))
	seen := map[string]bool{}
	for i, upstream := range f.Upstream {
		key := fmt.Sprintf("upstream.%d", i)
		checkAddress(c, key, upstream, false)
		c.Require(!seen[upstream], key, "an address that is not there twice", fmt.Sprintf("%q again", upstream))
		c.Require(upstream != f.Listen, key, "another address than listen", fmt.Sprintf("%q", upstream))
		seen[upstream] = true
	}
	if len(f.Scopes) == 0 {
		f.Scopes = []string{wildcard}
	}
	c.Require(len(f.Scopes) <= maxScopes, "scopes", fmt.Sprintf("%d at most", maxScopes), len(f.Scopes))
	for i, scope := range f.Scopes {
		starAtEnd := !strings.Contains(strings.TrimSuffix(scope, wildcard), wildcard)
		c.Require(scope != "" && len(scope) <= distribution.MaxNameBytes && starAtEnd, fmt.Sprintf("scopes.%d", i),
			fmt.Sprintf("a scope of up to %d bytes, with a star at its end alone", distribution.MaxNameBytes),
			fmt.Sprintf("%q", scope))
	}
}

func (o *OriginConfig) check(c *tomlfile.Problems) {
	c.Require(o.Discovery != "" || o.Configuration != "", "origin", "discovery, configuration or both", "neither")
	interval := defaultPollInterval
	if o.PollInterval != "" {
		var err error
		interval, err = time.ParseDuration(o.PollInterval)
		c.Require(err == nil && interval >= minPollInterval && interval <= maxPollInterval, "origin.every",
			"a time from 50ms to 1h", fmt.Sprintf("%q", o.PollInterval))
	}
	o.PollIntervalNs = int64(interval)
	if o.Discovery != "" {
		checkAddress(c, "origin.discovery", o.Discovery, false)
		o.Scope.check(c)
	}
}

func (s *ScopeRule) check(c *tomlfile.Problems) {
	c.Require((s.Service == "") != (s.ServiceFrom == ""), "origin.scope.service", "a name, or service_from in its place",
		fmt.Sprintf("%q and %q", s.Service, s.ServiceFrom))
	c.Require(s.ServiceFrom == "" || s.ServiceFrom == serviceFromName, "origin.scope.service_from", "host",
		fmt.Sprintf("%q", s.ServiceFrom))
	c.Require(s.Region != "" || len(s.Regions) > 0, "origin.scope.region",
		"a region, or regions with their sites", "neither")
	s.regionByZone = map[string]string{}
	for region, sites := range s.Regions {
		for _, site := range sites {
			other := s.regionByZone[site]
			c.Require(other == "", "origin.scope.regions."+region, "sites of one region each",
				fmt.Sprintf("%q, which is also of %s", site, other))
			s.regionByZone[site] = region
		}
	}
	for key, name := range map[string]string{"service": s.Service, "region": s.Region} {
		c.Require(validScopePart(name), "origin.scope."+key,
			fmt.Sprintf("a name of up to %d bytes without / and *", maxScopePartBytes), fmt.Sprintf("%q", name))
	}
	for region := range s.Regions {
		c.Require(region != "" && validScopePart(region), "origin.scope.regions",
			fmt.Sprintf("names of up to %d bytes without / and *", maxScopePartBytes), fmt.Sprintf("%q", region))
	}
}

func validScopePart(name string) bool {
	return len(name) <= maxScopePartBytes && !strings.ContainsAny(name, "/*")
}

// scopeOf returns the scope of a host; empty: it has none.
func (s *ScopeRule) scopeOf(host, site string) string {
	region := cmp.Or(s.regionByZone[site], s.Region)
	service := s.Service
	if s.ServiceFrom == serviceFromName {
		service = ""
		if dash := strings.LastIndexByte(host, '-'); dash > 0 {
			service = host[:dash]
		}
	}
	if region == "" || service == "" {
		return ""
	}
	return region + "/" + service
}
