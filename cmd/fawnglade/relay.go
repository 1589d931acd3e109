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

An origin takes discovery's list and a directory of configuration, relays pass on what is of their scopes, and nodes follow relays by
[distribution] in their features file: docs/operate/relay.md.`,
		Args: cobra.NoArgs,
	}
	path := c.Flags().String("config", "", "configuration file, as deploy/relay/relay.toml")
	checkOnly := c.Flags().Bool("check", false, "check the configuration without starting")
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

// runRelay runs an origin or a relay until a signal ends it.
func runRelay(path string) error {
	signals := relay.Signals() // first, so that a signal during the start does not end the process at once
	config, err := relay.ReadConfig(path)
	if err != nil {
		return err
	}
	log, err := newLog()
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }() // standard error may be a pipe, which can't be synced
	process, err := relay.NewProcess(config, log)
	if err != nil {
		return err
	}
	return process.Run(signals)
}

// requireFlag marks a flag of the command as required.
func requireFlag(c *cobra.Command, name string) {
	if err := c.MarkFlagRequired(name); err != nil {
		panic(err) // the command has no such flag
	}
}
