package main

import (
	"errors"
	"os"

	"fawnglade/internal/node"

	"github.com/spf13/cobra"
)

var errNoConfig = errors.New("no configuration file: expected --config or NODE_CONFIG")

// configFlag adds --config to a command and returns a pointer to its value, which is set when the command runs.
func configFlag(c *cobra.Command) *string {
	return c.Flags().String("config", os.Getenv("NODE_CONFIG"),
		"configuration file (default: the value of NODE_CONFIG)")
}

// featuresFlag adds --features to a command and returns a pointer to its value, which is set when the command runs.
func featuresFlag(c *cobra.Command) *string {
	return c.Flags().String("features", os.Getenv("NODE_FEATURES"),
		"file that turns on optional features, see deploy/features.toml "+
			"(default: the value of NODE_FEATURES, if set)")
}

// readConfig reads and checks a node's configuration, and its features file unless featuresPath is empty.
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
