package main

// The migration of a configuration from the older kind of deployment, with a pool of nodes for all clients, to the
// newer kind with one node for each client process. The old file is only read, no existing file is overwritten, and
// only a configuration that a node accepts is written.

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"fawnglade/internal/node"

	"github.com/spf13/cobra"
)

const defaultStreamsPerConn = 100

// Values of settings.report.how that --reports accepts, in addition to off.
const (
	reportsInline        = "inline"
	reportsOnHealthCheck = "on_probe"
)

// deployment holds the properties of the new deployment that the old file does not contain.
type deployment struct {
	nodes          int      // number of nodes in total
	position       int      // index of this node, from 0
	streamsPerConn int      // maximum number of concurrent requests on an upstream connection
	gossipAddress  string   // address with port; empty: no gossip
	gossipPeers    []string // addresses with port
	reports        string   // how upstreams send load reports: inline, on_probe or off
	hedging        bool     // hedged requests stay enabled if they were
}

// migrateOptions holds the flags of the command.
type migrateOptions struct {
	deployment
	configPath string
	outPath    string
	peersPath  string // file with addresses of gossip peers; empty: none
	dryRun     bool
}

func migrateCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "migrate",
		Short: "Migrate a configuration to one node for each client process",
		Args:  cobra.NoArgs,
	}
	configPath := configFlag(c)
	var o migrateOptions
	flags := c.Flags()
	flags.StringVar(&o.outPath, "out", "", "file to write; must not exist")
	flags.BoolVar(&o.dryRun, "dry-run", false, "write no file, print the migrated configuration")
	flags.IntVar(&o.nodes, "nodes", 0, "total number of nodes")
	flags.IntVar(&o.position, "position", 0, "index of this node, from 0")
	flags.IntVar(&o.streamsPerConn, "streams", defaultStreamsPerConn,
		"maximum number of concurrent requests on an upstream connection")
	flags.StringVar(&o.gossipAddress, "news", "",
		"address with port on which this node receives gossip; empty: no gossip")
	flags.StringSliceVar(&o.gossipPeers, "peer", nil,
		"address with port on which another node receives gossip; may be repeated")
	flags.StringVar(&o.peersPath, "peers", "",
		"file with addresses as for --peer, one per line; may include this node's own")
	flags.StringVar(&o.reports, "reports", reportsInline, "how upstreams send load reports: inline, on_probe or off")
	flags.BoolVar(&o.hedging, "copies", true, "keep hedged requests enabled if they were")
	c.RunE = func(c *cobra.Command, _ []string) error {
		o.configPath = *configPath
		return o.run(c)
	}
	return c
}

// run reads the old configuration, and writes or prints the migrated one.
func (o *migrateOptions) run(c *cobra.Command) error {
	if o.configPath == "" {
		return errNoConfig
	}
	if o.outPath == "" && !o.dryRun {
		return errors.New("no output: expected --out or --dry-run")
	}
	if err := o.readPeers(); err != nil {
		return err
	}
	migrated, err := o.migrate()
	if err != nil {
		return err
	}
	for _, setting := range migrated.dropped {
		if _, err := fmt.Fprintln(c.ErrOrStderr(), "not carried over:", setting); err != nil {
			return err
		}
	}
	if o.dryRun {
		_, err := c.OutOrStdout().Write(migrated.text)
		return err
	}
	if err := writeNewFile(o.outPath, migrated.text); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.OutOrStdout(), "%s: written, %d settings not carried over\n",
		o.outPath, len(migrated.dropped))
	return err
}

// readPeers adds the addresses in the file of gossip peers.
func (o *migrateOptions) readPeers() error {
	if o.peersPath == "" {
		return nil
	}
	text, err := os.ReadFile(o.peersPath)
	if err != nil {
		return err
	}
	o.gossipPeers = append(o.gossipPeers, strings.Fields(string(text))...)
	return nil
}

// migrate reads the old configuration and returns the migrated one. If a node would not accept either of them, it
// returns an error that names the old file.
func (o *migrateOptions) migrate() (*migratedConfig, error) {
	text, err := os.ReadFile(o.configPath)
	if err != nil {
		return nil, err
	}
	if _, err := node.ParseConfig(text); err != nil {
		return nil, fmt.Errorf("%s: %w", o.configPath, err)
	}
	migrated, err := o.migrateConfig(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", o.configPath, err)
	}
	if _, err := node.ParseConfig(migrated.text); err != nil {
		return nil, fmt.Errorf("%s: the migrated configuration is invalid: %w", o.configPath, err)
	}
	return migrated, nil
}

// writeNewFile writes a file that must not exist. If writing fails, it removes the file.
func writeNewFile(path string, text []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o640)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	err = errors.Join(err, f.Sync(), f.Close())
	if err != nil {
		return errors.Join(err, os.Remove(path))
	}
	return nil
}

// migratedConfig is the result of a migration.
type migratedConfig struct {
	text    []byte
	dropped []string // settings that are not carried over, each with the reason
}

// drop removes a setting, and adds it to dropped unless it was false or null.
func (m *migratedConfig) drop(object map[string]any, path, key, reason string) {
	value, ok := object[key]
	if ok && value != false && value != nil {
		m.dropped = append(m.dropped, fmt.Sprintf("%s%s: %s", path, key, reason))
	}
	delete(object, key)
}

// migrateConfig returns the migrated configuration. Unknown settings stay unchanged.
func (d *deployment) migrateConfig(text []byte) (*migratedConfig, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber() // numbers must be written as they were read
	var file map[string]any
	if err := decoder.Decode(&file); err != nil {
		return nil, err
	}
	if d.nodes < 1 {
		return nil, errors.New("settings.group_size: give --nodes: expected a number of at least 1, which the old file does not contain")
	}
	settings, ok := file["settings"].(map[string]any)
	if !ok { // node.ParseConfig ignores case and accepts Settings, too
		return nil, errors.New("settings: expected an object under exactly this name (case matters), got none")
	}
	migrated := &migratedConfig{}
	d.setDeployment(settings)
	d.setGossip(file, migrated)
	dropObsolete(settings, migrated)
	out, err := json.MarshalIndent(file, "", "  ")
	migrated.text = append(out, '\n')
	return migrated, err
}

// setDeployment writes the properties of the new deployment to the settings.
func (d *deployment) setDeployment(settings map[string]any) {
	settings["group_size"] = d.nodes
	settings["position"] = d.position
	limits := objectAt(settings, "limits")
	limits["multiplex"] = d.streamsPerConn
	limits["peer_messages"] = d.gossipAddress != ""
	if d.reports != reportsInline {
		objectAt(settings, "report")["how"] = d.reports
		limits["probes"] = d.reports == reportsOnHealthCheck
	}
	if limits["may_duplicate"] == true && !d.hedging {
		limits["may_duplicate"] = false
	}
}

// setGossip replaces the gossip addresses.
func (d *deployment) setGossip(file map[string]any, migrated *migratedConfig) {
	if _, ok := file["news"]; ok {
		migrated.dropped = append(migrated.dropped,
			"news: the old addresses; --news, --peer and --peers set the new ones")
		delete(file, "news")
	}
	if d.gossipAddress != "" {
		file["news"] = map[string]any{"listen": d.gossipAddress, "peers": append([]string{}, d.gossipPeers...)}
	}
}

// dropObsolete removes or turns off settings that are no longer supported, and adds them to migrated.dropped. The
// report field inflight stays in the list of fields, where a node ignores it.
func dropObsolete(settings map[string]any, migrated *migratedConfig) {
	if goal, ok := settings["goal"].(map[string]any); ok {
		migrated.drop(goal, "settings.goal.", "tail", "a tolerated fraction of missed objectives is no longer supported")
		migrated.drop(goal, "settings.goal.", "borne_misses", "a tolerated fraction of missed objectives is no longer supported")
	}
	profiles, _ := settings["profiles"].([]any)
	for i, p := range profiles {
		if profile, ok := p.(map[string]any); ok {
			path := fmt.Sprintf("settings.profiles.%d.", i)
			migrated.drop(profile, path, "aim_stretch", "latency objectives no longer grow with the work of a request")
			migrated.drop(profile, path, "streaming", "responses are forwarded only when complete")
		}
	}
	if settings["weights"] == "live" {
		settings["weights"] = "off"
		migrated.dropped = append(migrated.dropped,
			"settings.weights: live weights are ignored, as load reports are more current; set to off")
	}
	fields, _ := objectAt(settings, "report")["fields"].([]any)
	if slices.Contains(fields, any("inflight")) {
		migrated.dropped = append(migrated.dropped, "settings.report.fields: inflight is no longer read")
	}
}

// objectAt returns the object under a key. If there is none, it adds an empty one.
func objectAt(parent map[string]any, key string) map[string]any {
	object, ok := parent[key].(map[string]any)
	if !ok {
		object = map[string]any{}
		parent[key] = object
	}
	return object
}
