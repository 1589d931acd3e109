package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"syscall"

	"fawnglade/internal/features"
	"fawnglade/internal/settings"
	"fawnglade/internal/store"
)

// Config is a node's configuration. ReadConfig and ParseConfig return validated ones.
type Config struct {
	// Name identifies the node to operators, to other nodes, and to the node's other process during a hot restart.
	// Default: empty.
	Name string `json:"name"`
	// Listen is the address and port that clients connect to. Required.
	Listen string `json:"listen"`
	// Discovery is the address and port of the discovery service, where the endpoint list is watched. Required. SIGHUP
	// reloads it.
	Discovery string `json:"discovery"`
	// Seed is the seed of the policy's random draws, up to 16 hexadecimal digits. Required.
	Seed string `json:"seed"`
	// Limits are the node's resource limits, shared by all of its processes.
	Limits struct {
		// Cores bounds GOMAXPROCS; fractions are rounded down, to at least 1. Default 0: one per core of the machine.
		Cores float64 `json:"cores"`
		// MemoryMB bounds the heap, the buffered bodies and the length of the endpoint list, in MiB. Default 0: the
		// heap is unbounded, buffered bodies take up to 64 MiB.
		MemoryMB int64 `json:"memory_mb"`
		// Sockets is the number of file descriptors available to the node. Default 0: 1024.
		Sockets int `json:"sockets"`
	} `json:"limits"`
	// Gossip (key news) configures the messages that the policies of the nodes exchange, if the settings allow messages
	// between nodes.
	Gossip struct {
		// Listen is the address and port of the UDP socket. Default: empty, which disables gossip.
		Listen string `json:"listen"`
		// Peers are the addresses and ports of the nodes; this node's own address may be included. At most 4096.
		Peers []string `json:"peers"`
	} `json:"news"`
	// AdminListen (key console) is the address and port of the admin API; $NODE_CONSOLE takes precedence. Default:
	// empty, which disables the admin API.
	AdminListen string `json:"console"`
	// KnownList (key known) is the initial endpoint list, in the discovery service's JSON format. Default: none.
	KnownList json.RawMessage `json:"known"`
	// Settings are the platform's settings for the policy. Required.
	Settings json.RawMessage `json:"settings"`

	path           string // of the configuration file, read again by a reload
	filesDir       string // directory of small files that outlive a process
	inheritedFD    string // $NODE_INHERITED_FD
	seed           uint64
	parsedSettings settings.Settings
	stateDir       string // where state is persisted; empty if state is not persisted
	openFiles      func(path string, write bool) (store.Directory, error)
	features       *features.Features // nil: no features beyond the platform's protocol
}

// UseStateDir makes the node persist its state and its overrides in a directory, creating the directory if necessary.
func (c *Config) UseStateDir(dir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	c.stateDir, c.filesDir, c.openFiles = dir, dir, store.SystemDirectory
	return nil
}

// ReadFeatures reads the features file, which enables features beyond the platform's protocol.
func (c *Config) ReadFeatures(path string) (err error) {
	c.features, err = features.Read(path, c.Name)
	return err
}

// ReadConfig reads and validates a configuration file; errors name the file and the key.
func ReadConfig(path string) (*Config, error) { return readConfig(path, os.Getenv(envInherited)) }

// rereadConfig is ReadConfig for a running node. It ignores the inherited descriptor, which the node has duplicated and
// closed: by now its number may stand for another file.
func rereadConfig(path string) (*Config, error) { return readConfig(path, "") }

func readConfig(path, inheritedFD string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c := &Config{path: path, filesDir: os.TempDir(), inheritedFD: inheritedFD}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if address := os.Getenv(envConsole); address != "" {
		c.AdminListen = address
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// ParseConfig parses and validates a configuration in JSON. Unlike ReadConfig it ignores environment variables.
func ParseConfig(text []byte) (*Config, error) {
	c := &Config{filesDir: os.TempDir()}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, err
	}
	return c, c.check()
}

func (c *Config) check() (err error) {
	for name, address := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fmt.Errorf("%s: expected an address and a port, got %q", name, address)
		}
	}
	if c.seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed: expected up to 16 hexadecimal digits, got %q", c.Seed)
	}
	if c.Limits.Sockets != 0 && c.Limits.Sockets < minDescriptors {
		return fmt.Errorf("limits.sockets: expected at least %d, got %d", minDescriptors, c.Limits.Sockets)
	}
	if c.Limits.MemoryMB < 0 || c.Limits.Cores < 0 {
		return errors.New("limits: expected memory_mb and cores of at least 0")
	}
	if err := c.checkSettings(); err != nil {
		return err
	}
	if err := c.checkGossip(); err != nil {
		return err
	}
	if err := c.checkAdmin(); err != nil {
		return err
	}
	return c.checkInherited()
}

func (c *Config) checkSettings() (err error) {
	if len(c.Settings) == 0 {
		return errors.New("settings: expected an object, got none")
	}
	if c.parsedSettings, err = settings.FromJSON(c.Settings); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if c.parsedSettings.ConnectTimeout == 0 || c.parsedSettings.IdleTimeout == 0 {
		return errors.New("settings: limits.connect_timeout_us, limits.idle_close_us: expected both to be above 0")
	}
	if p := c.parsedSettings.Policy; p.NodeCount > 1 && p.NodeIndex >= p.NodeCount {
		return fmt.Errorf("settings: position: expected a number below group_size, which is %d, got %d",
			p.NodeCount, p.NodeIndex)
	}
	return nil
}

func (c *Config) checkGossip() error {
	if c.Gossip.Listen == "" {
		if len(c.Gossip.Peers) > 0 {
			return errors.New("news.listen: expected an address and a port, as there are news.peers, got none")
		}
		if c.parsedSettings.Policy.MayGossip && c.parsedSettings.Policy.NodeCount > 1 {
			return errors.New("news.listen: expected an address and a port, " +
				"as limits.peer_messages is true in the settings, got none")
		}
		return nil
	}
	if _, err := netip.ParseAddrPort(c.Gossip.Listen); err != nil {
		return fmt.Errorf("news.listen: expected an address and a port, got %q", c.Gossip.Listen)
	}
	if len(c.Gossip.Peers) > maxGossipPeers {
		return fmt.Errorf("news.peers: expected at most %d, got %d", maxGossipPeers, len(c.Gossip.Peers))
	}
	for i, address := range c.Gossip.Peers {
		if parsed, err := netip.ParseAddrPort(address); err != nil || parsed.Port() == 0 {
			return fmt.Errorf("news.peers.%d: expected an address and a port, got %q", i, address)
		}
	}
	return nil
}

func (c *Config) checkAdmin() error {
	if c.AdminListen == "" {
		return nil
	}
	address, err := netip.ParseAddrPort(c.AdminListen)
	if err != nil {
		return fmt.Errorf("console: expected an address and a port, got %q", c.AdminListen)
	}
	if address == netip.MustParseAddrPort(c.Listen) && address.Port() != 0 {
		return fmt.Errorf("console: expected another address than listen, got %q for both", c.AdminListen)
	}
	return nil
}

func (c *Config) checkInherited() error {
	if c.inheritedFD == "" {
		return nil
	}
	fd, err := strconv.ParseUint(c.inheritedFD, 10, 31)
	if err != nil {
		return fmt.Errorf("%s: expected a descriptor's number, got %q", envInherited, c.inheritedFD)
	}
	listens, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil || listens == 0 {
		return fmt.Errorf("%s: expected a listening socket, got descriptor %d, which does not listen", envInherited, fd)
	}
	return nil
}
