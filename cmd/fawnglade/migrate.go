package main

// The migration of a configuration from the older form of a deployment, a pool of nodes for all clients, to a node
// beside each client process. The old file is only read, no file is overwritten, and only what a node would start
// with is written.

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

// The values of settings.report.how that --reports takes.
const (
	reportsInline        = "inline"
	reportsOnHealthCheck = "on_probe"
)

// deployment is what an old file does not say of the new deployment.
type deployment struct {
	nodes          int      // in all
	position       int      // of this node among them, from 0
	streamsPerConn int      // requests that an upstream connection carries at once
	gossipAddress  string   // with port; empty: no gossip
	gossipPeers    []string // addresses with port
	reports        string   // where upstreams report their load
	hedging        bool     // hedged requests stay allowed where they were
}

// migrateOptions are the flags of the command.
type migrateOptions struct {
	deployment
	configPath string
	outPath    string
	peersPath  string // file of gossip peers; empty: none
	dryRun     bool
}

func migrateCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "migrate",
		Short: "Write a configuration's counterpart for a node beside each client",
		Args:  cobra.NoArgs,
	}
	configPath := configFlag(c)
	var o migrateOptions
	flags := c.Flags()
	flags.StringVar(&o.outPath, "out", "", "file to write; must not exist yet")
	flags.BoolVar(&o.dryRun, "dry-run", false, "change nothing, print what would be written")
	flags.IntVar(&o.nodes, "nodes", 0, "number of nodes in all")
	flags.IntVar(&o.position, "position", 0, "which of them this one is, from 0")
	flags.IntVar(&o.streamsPerConn, "streams", defaultStreamsPerConn,
		"requests that a connection to an upstream carries at once")
	flags.StringVar(&o.gossipAddress, "news", "",
		"address with port on which this node receives gossip; left out, no gossip")
	flags.StringSliceVar(&o.gossipPeers, "peer", nil,
		"address with port on which another node receives gossip; once for each")
	flags.StringVar(&o.peersPath, "peers", "",
		"file with such addresses, one a line; this node's own may be among them")
	flags.StringVar(&o.reports, "reports", reportsInline, "where upstreams report their load: inline, on_probe, off")
	flags.BoolVar(&o.hedging, "copies", true, "hedged requests stay allowed where they were")
	c.RunE = func(c *cobra.Command, _ []string) error {
		o.configPath = *configPath
		return o.run(c)
	}
	return c
}

// run reads the old configuration, and writes or prints its counterpart.
func (o *migrateOptions) run(c *cobra.Command) error {
	if o.configPath == "" {
		return errNoConfig
	}
	if o.outPath == "" && !o.dryRun {
		return errors.New("nowhere to write: give --out, or --dry-run")
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

// readPeers adds the addresses of the file of gossip peers.
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

// migrate reads the old configuration and makes its counterpart. A node would start with either; if not, the error
// names the old file.
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
		return nil, fmt.Errorf("%s: its counterpart would not start a node: %w", o.configPath, err)
	}
	return migrated, nil
}

// writeNewFile writes a file that does not exist yet, and leaves none behind if that fails.
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

// migratedConfig is the counterpart of a configuration.
type migratedConfig struct {
	text    []byte
	dropped []string // the settings that are not carried over, each with the reason
}

// drop removes a setting, and notes it unless it was off.
func (m *migratedConfig) drop(object map[string]any, path, key, reason string) {
	value, ok := object[key]
	if ok && value != false && value != nil {
		m.dropped = append(m.dropped, fmt.Sprintf("%s%s: %s", path, key, reason))
	}
	delete(object, key)
}

// migrateConfig makes the counterpart of a configuration. Settings that it does not know stay as they are.
func (d *deployment) migrateConfig(text []byte) (*migratedConfig, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber() // a number must come out as it went in
	var file map[string]any
	if err := decoder.Decode(&file); err != nil {
		return nil, err
	}
	if d.nodes < 1 {
		return nil, errors.New("settings.group_size: give --nodes, the old file cannot tell it")
	}
	settings, ok := file["settings"].(map[string]any)
	if !ok { // a reader that takes Settings for settings has let it pass
		return nil, errors.New("settings: expected an object under this very name, got none")
	}
	migrated := &migratedConfig{}
	d.setDeployment(settings)
	d.setGossip(file, migrated)
	dropObsolete(settings, migrated)
	out, err := json.MarshalIndent(file, "", "  ")
	migrated.text = append(out, '\n')
	return migrated, err
}

// setDeployment writes what the new deployment is like into the settings.
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

// setGossip replaces the addresses of gossip.
func (d *deployment) setGossip(file map[string]any, migrated *migratedConfig) {
	if _, ok := file["news"]; ok {
		migrated.dropped = append(migrated.dropped,
			"news: the one of the old file; --news and --peers tell the new one")
		delete(file, "news")
	}
	if d.gossipAddress != "" {
		file["news"] = map[string]any{"listen": d.gossipAddress, "peers": append([]string{}, d.gossipPeers...)}
	}
}

// dropObsolete removes the settings that nothing reads any more.
func dropObsolete(settings map[string]any, migrated *migratedConfig) {
	if goal, ok := settings["goal"].(map[string]any); ok {
		migrated.drop(goal, "settings.goal.", "tail", "a borne share of misses is no longer a goal")
		migrated.drop(goal, "settings.goal.", "borne_misses", "a borne share of misses is no longer a goal")
	}
	profiles, _ := settings["profiles"].([]any)
	for i, p := range profiles {
		if profile, ok := p.(map[string]any); ok {
			path := fmt.Sprintf("settings.profiles.%d.", i)
			migrated.drop(profile, path, "aim_stretch", "soft limits no longer stretch with a task's work")
			migrated.drop(profile, path, "streaming", "answers are passed on whole")
		}
	}
	if settings["weights"] == "live" {
		settings["weights"] = "off"
		migrated.dropped = append(migrated.dropped,
			"settings.weights: live weights are passed over, servers' reports say it better; now off")
	}
	fields, _ := objectAt(settings, "report")["fields"].([]any)
	if slices.Contains(fields, any("inflight")) {
		migrated.dropped = append(migrated.dropped, "settings.report.fields: inflight is no longer read")
	}
}

// objectAt returns the object under a key, and makes one where there is none.
func objectAt(parent map[string]any, key string) map[string]any {
	object, ok := parent[key].(map[string]any)
	if !ok {
		object = map[string]any{}
		parent[key] = object
	}
	return object
}
