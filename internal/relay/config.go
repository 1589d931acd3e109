package relay

// This file owns the configuration of a relay's or an origin's process. It must never start anything.

import (
	"fawnglade/internal/distribution"
	"fawnglade/internal/tomlfile"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"
)

// Config of one process, checked.
type Config struct {
	Name           string   `toml:"name"`
	Role           string   `toml:"role"`     // origin or relay
	Listen         string   `toml:"listen"`   // address and port; port 0: one that is free
	Upstream       []string `toml:"upstream"` // of a relay, the first choice first
	Scopes         []string `toml:"scopes"`   // of a relay: region/service; a star at the end stands for all that begin so; none: all
	BytesPerSecond int      `toml:"pace"`     // bytes a second and subscriber; 0: no bound
	Limits         struct {
		Records     int `toml:"records"`
		Bytes       int `toml:"bytes"` // of names, keys and bodies
		Subscribers int `toml:"subscribers"`
	} `toml:"limits"`
	Origin *OriginConfig `toml:"origin"`
}

// OriginConfig is where an origin's truth comes from.
type OriginConfig struct {
	Discovery     string    `toml:"discovery"`     // address and port; empty: no endpoints
	Configuration string    `toml:"configuration"` // directory; empty: no configuration
	PollInterval  string    `toml:"every"`         // how often the directory is looked at
	State         string    `toml:"state"`         // file that keeps the epoch, so that it grows though the machine's clock goes back
	ScopeRule     ScopeRule `toml:"scope"`

	PollIntervalNs int64 `toml:"-"`
}

// Scope is how a host is put into a scope, region/service.
type ScopeRule struct {
	Service     string              `toml:"service"`      // that all hosts serve
	ServiceFrom string              `toml:"service_from"` // "host": what is before the last dash of the host's name
	Region      string              `toml:"region"`       // of sites that no region names; empty: their hosts are passed over
	Regions     map[string][]string `toml:"regions"`      // the sites of each

	sites map[string]string // the region of each
}

const (
	roleOrigin = "origin"
	roleRelay  = "relay"
	fromHost   = "host"

	configPage          = "docs/operate/relay.md"
	defaultPollInterval = time.Second
	minPollInterval     = 50 * time.Millisecond
	maxPollInterval     = time.Hour
	minBytesPerSecond   = 1024
	maxUpstreams        = 64
	maxScopes           = 4096
	maxNameBytes        = 255
)

// ReadConfig reads and checks a file. All that is wrong is told at once.
func ReadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseConfig(path, text)
}

// ParseConfig checks a file's text.
func ParseConfig(path string, text []byte) (*Config, error) {
	f := &Config{}
	c, err := tomlfile.Decode(path, text, f, configPage)
	if err != nil {
		return nil, err
	}
	f.check(c)
	return f, c.Err()
}

func address(c *tomlfile.Problems, key, found string, portless bool) {
	at, err := netip.ParseAddrPort(found)
	c.Require(err == nil && (portless || at.Port() != 0), key, "an address and a port", fmt.Sprintf("%q", found))
}

func (f *Config) check(c *tomlfile.Problems) {
	c.Require(f.Name != "" && len(f.Name) <= maxNameBytes, "name", fmt.Sprintf("a name of up to %d bytes", maxNameBytes), fmt.Sprintf("%q", f.Name))
	c.Require(f.Role == roleOrigin || f.Role == roleRelay, "role", "origin or relay", fmt.Sprintf("%q", f.Role))
	address(c, "listen", f.Listen, true)
	c.Require(f.BytesPerSecond == 0 || f.BytesPerSecond >= minBytesPerSecond, "pace", fmt.Sprintf("0, or at least %d bytes a second", minBytesPerSecond), f.BytesPerSecond)
	for key, n := range map[string]int{"limits.records": f.Limits.Records, "limits.bytes": f.Limits.Bytes, "limits.subscribers": f.Limits.Subscribers} {
		c.Require(n >= 0, key, "a number from 0, which stands for the default", n)
	}
	if f.Role == roleOrigin {
		c.Require(len(f.Upstream) == 0, "upstream", "none, as role is origin", len(f.Upstream))
		c.Require(len(f.Scopes) == 0, "scopes", "none, as role is origin", len(f.Scopes))
		c.Require(f.Origin != nil, "origin", "a table, as role is origin", "none")
		if f.Origin != nil {
			f.Origin.check(c)
		}
		return
	}
	c.Require(f.Origin == nil, "origin", "none, as role is not origin", "a table")
	c.Require(len(f.Upstream) >= 1 && len(f.Upstream) <= maxUpstreams, "upstream", fmt.Sprintf("1 to %d addresses and ports", maxUpstreams), len(f.Upstream))
	seen := map[string]bool{}
	for i, up := range f.Upstream {
		key := fmt.Sprintf("upstream.%d", i)
		address(c, key, up, false)
		c.Require(!seen[up], key, "an address that is not there twice", fmt.Sprintf("%q again", up))
		c.Require(up != f.Listen, key, "another address than listen", fmt.Sprintf("%q", up))
		seen[up] = true
	}
	if len(f.Scopes) == 0 {
		f.Scopes = []string{"*"}
	}
	c.Require(len(f.Scopes) <= maxScopes, "scopes", fmt.Sprintf("%d at most", maxScopes), len(f.Scopes))
	for i, s := range f.Scopes {
		c.Require(s != "" && len(s) <= distribution.MaxNameBytes && !strings.Contains(strings.TrimSuffix(s, "*"), "*"), fmt.Sprintf("scopes.%d", i),
			fmt.Sprintf("a scope of up to %d bytes, with a star at its end alone", distribution.MaxNameBytes), fmt.Sprintf("%q", s))
	}
}

func (o *OriginConfig) check(c *tomlfile.Problems) {
	c.Require(o.Discovery != "" || o.Configuration != "", "origin", "discovery, configuration or both", "neither")
	every, err := defaultPollInterval, error(nil)
	if o.PollInterval != "" {
		every, err = time.ParseDuration(o.PollInterval)
		c.Require(err == nil && every >= minPollInterval && every <= maxPollInterval, "origin.every", "a time from 50ms to 1h", fmt.Sprintf("%q", o.PollInterval))
	}
	o.PollIntervalNs = int64(every)
	if o.Discovery == "" {
		return
	}
	address(c, "origin.discovery", o.Discovery, false)
	s := &o.ScopeRule
	c.Require((s.Service == "") != (s.ServiceFrom == ""), "origin.scope.service", "a name, or service_from in its place", fmt.Sprintf("%q and %q", s.Service, s.ServiceFrom))
	c.Require(s.ServiceFrom == "" || s.ServiceFrom == fromHost, "origin.scope.service_from", "host", fmt.Sprintf("%q", s.ServiceFrom))
	c.Require(s.Region != "" || len(s.Regions) > 0, "origin.scope.region", "a region, or regions with their sites", "neither")
	s.sites = map[string]string{}
	for region, sites := range s.Regions {
		for _, site := range sites {
			c.Require(s.sites[site] == "", "origin.scope.regions."+region, "sites of one region each", fmt.Sprintf("%q, which is also of %s", site, s.sites[site]))
			s.sites[site] = region
		}
	}
	for key, name := range map[string]string{"service": s.Service, "region": s.Region} {
		c.Require(len(name) <= maxNameBytes/2 && !strings.ContainsAny(name, "/*"), "origin.scope."+key, fmt.Sprintf("a name of up to %d bytes without / and *", maxNameBytes/2), fmt.Sprintf("%q", name))
	}
	for region := range s.Regions {
		c.Require(region != "" && len(region) <= maxNameBytes/2 && !strings.ContainsAny(region, "/*"), "origin.scope.regions", fmt.Sprintf("names of up to %d bytes without / and *", maxNameBytes/2), fmt.Sprintf("%q", region))
	}
}

// of is the scope of a host; empty: none.
func (s *ScopeRule) scopeOf(host, site string) string {
	region, ok := s.sites[site]
	if !ok {
		region = s.Region
	}
	service := s.Service
	if s.ServiceFrom == fromHost {
		service = ""
		if i := strings.LastIndexByte(host, '-'); i > 0 {
			service = host[:i]
		}
	}
	if region == "" || service == "" {
		return ""
	}
	return region + "/" + service
}
