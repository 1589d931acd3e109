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
		"directory for persisted state (default: the value of NODE_STATE, if set)")
	c.RunE = func(*cobra.Command, []string) error { return serve(*configPath, *featuresPath, *stateDir) }
	return c
}

// serve runs a node until it is stopped by a signal.
func serve(configPath, featuresPath, stateDir string) error {
	signals := node.Signals() // first, so that a signal during the start does not kill the process
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
	defer func() { _ = log.Sync() }() // standard error may not support it, and there is nowhere else to log the error
	n, err := node.New(config, log)
	if err != nil {
		return err
	}
	return n.Run(signals)
}
