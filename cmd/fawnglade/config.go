package main

import (
	"errors"
	"os"

	"fawnglade/internal/node"

	"github.com/spf13/cobra"
)

var errNoConfig = errors.New("no configuration: give --config or set NODE_CONFIG")

// configFlag adds --config to a command and returns its value, which is there once the command runs.
func configFlag(c *cobra.Command) *string {
	return c.Flags().String("config", os.Getenv("NODE_CONFIG"),
		"configuration file; by default the one that NODE_CONFIG names")
}

// featuresFlag adds --features to a command, likewise.
func featuresFlag(c *cobra.Command) *string {
	return c.Flags().String("features", os.Getenv("NODE_FEATURES"),
		"file of the features beyond the platform's protocol, as deploy/features.toml; "+
			"by default the one that NODE_FEATURES names, if any")
}

// readConfig reads and checks a node's configuration, and its features file unless that path is empty.
func readConfig(path, featuresPath string) (*node.Config, error) {
	if path == "" {
		return nil, errNoConfig
	}
	config, err := node.ReadConfig(path)
	if err != nil {
		return nil, err
	}
	if featuresPath == "" {
		return config, nil
	}
	if err := config.ReadFeatures(featuresPath); err != nil {
		return nil, err
	}
	return config, nil
}
