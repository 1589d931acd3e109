package main

import (
	"os"

	"fawnglade/internal/node"

	"github.com/spf13/cobra"
)

func serveCommand() *cobra.Command {
	c := &cobra.Command{Use: "serve", Short: "Run one node in the foreground", Args: cobra.NoArgs}
	configPath := configFlag(c)
	featuresPath := featuresFlag(c)
	stateDir := c.Flags().String("state", os.Getenv("NODE_STATE"),
		"directory of the state that survives a crash; by default the one that NODE_STATE names, if any")
	c.RunE = func(*cobra.Command, []string) error { return serve(*configPath, *featuresPath, *stateDir) }
	return c
}

// serve runs a node until a signal ends it.
func serve(configPath, featuresPath, stateDir string) error {
	signals := node.Signals() // first, so that a signal during the start does not end the process at once
	config, err := readConfig(configPath, featuresPath)
	if err != nil {
		return err
	}
	if stateDir != "" {
		if err := config.UseStateDir(stateDir); err != nil {
			return err
		}
	}
	log, err := newLog()
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }() // standard error may not support it, and there is nowhere else to log that
	n, err := node.New(config, log)
	if err != nil {
		return err
	}
	return n.Run(signals)
}
