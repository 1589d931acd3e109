package main

// This file owns the command that runs an origin or a relay of the distribution.

import (
	"fawnglade/internal/relay"
	"fmt"

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
	c.MarkFlagRequired("config")
	c.RunE = func(c *cobra.Command, _ []string) error {
		signals := relay.Signals()
		config, err := relay.ReadConfig(*path)
		if err != nil {
			return err
		}
		if *checkOnly {
			fmt.Fprintf(c.OutOrStdout(), "%s: %s, role %s on %s\n", *path, config.Name, config.Role, config.Listen)
			return nil
		}
		log, err := newLog()
		if err != nil {
			return err
		}
		defer log.Sync()
		p, err := relay.NewProcess(config, log)
		if err != nil {
			return err
		}
		return p.Run(signals)
	}
	return c
}
