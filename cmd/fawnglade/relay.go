package main

import (
	"fmt"

	"fawnglade/internal/relay"

	"github.com/spf13/cobra"
)

func relayCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "relay",
		Short: "Run one origin or relay in the foreground",
		Long: `Run one origin or relay in the foreground.

An origin reads the endpoint list of discovery and a directory of configuration records. Relays forward the records of
their scopes, and nodes subscribe to relays by [distribution] in their features file. See docs/operate/relay.md.`,
		Args: cobra.NoArgs,
	}
	path := c.Flags().String("config", "", "configuration file, see deploy/relay/relay.toml")
	checkOnly := c.Flags().Bool("check", false, "check the configuration and exit")
	requireFlag(c, "config")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if *checkOnly {
			return checkRelay(c, *path)
		}
		return runRelay(*path)
	}
	return c
}

func checkRelay(c *cobra.Command, path string) error {
	config, err := relay.ReadConfig(path)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.OutOrStdout(), "%s: %s, role %s on %s\n", path, config.Name, config.Role, config.Listen)
	return err
}

// runRelay runs an origin or a relay until it is stopped by a signal.
func runRelay(path string) error {
	signals := relay.Signals() // first, so that a signal during the start does not kill the process
	config, err := relay.ReadConfig(path)
	if err != nil {
		return err
	}
	log, err := newLog()
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }() // fails if standard error is a pipe, which can't be synced
	process, err := relay.NewProcess(config, log)
	if err != nil {
		return err
	}
	return process.Run(signals)
}

// requireFlag marks a flag of the command as required.
func requireFlag(c *cobra.Command, name string) {
	if err := c.MarkFlagRequired(name); err != nil {
		panic(err) // programming error: the command has no such flag
	}
}
