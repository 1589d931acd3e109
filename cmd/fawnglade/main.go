// Fawnglade is one node of the reverse proxy.
package main

import (
	"fawnglade/internal/node"
	"fmt"
	"os"
	"runtime"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const release = "0.1.0"

func main() {
	root := &cobra.Command{
		Use:           "fawnglade",
		Short:         "A reverse proxy that spreads tasks over HTTP servers",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(serve(), check(), version(), migrate(), storeCommands(), fleetCommands(), relayCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "fawnglade:", err)
		os.Exit(1)
	}
}

func configFlag(c *cobra.Command) *string {
	return c.Flags().String("config", os.Getenv("NODE_CONFIG"), "configuration file; by default the one that NODE_CONFIG names")
}

func featuresFlag(c *cobra.Command) *string {
	return c.Flags().String("features", os.Getenv("NODE_FEATURES"), "file of what the node does beyond the platform's protocol, as deploy/features.toml; by default the one that NODE_FEATURES names, if any")
}

func read(path, features string) (*node.Config, error) {
	if path == "" {
		return nil, fmt.Errorf("no configuration: give --config or set NODE_CONFIG")
	}
	config, err := node.ReadConfig(path)
	if err == nil && features != "" {
		err = config.ReadFeatures(features)
	}
	return config, err
}

func serve() *cobra.Command {
	c := &cobra.Command{Use: "serve", Short: "Run one node in the foreground", Args: cobra.NoArgs}
	path, features := configFlag(c), featuresFlag(c)
	state := c.Flags().String("state", os.Getenv("NODE_STATE"), "directory in which the node remembers through a crash; by default the one that NODE_STATE names, if any")
	c.RunE = func(*cobra.Command, []string) error {
		signals := node.Signals()
		config, err := read(*path, *features)
		if err == nil && *state != "" {
			err = config.UseStateDir(*state)
		}
		if err != nil {
			return err
		}
		log, err := newLog()
		if err != nil {
			return err
		}
		defer log.Sync()
		n, err := node.New(config, log)
		if err != nil {
			return err
		}
		return n.Run(signals)
	}
	return c
}

func newLog() (*zap.Logger, error) {
	logging := zap.NewProductionConfig()
	logging.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	logging.DisableStacktrace = true // a panic brings its own
	return logging.Build()
}

func check() *cobra.Command {
	c := &cobra.Command{Use: "check", Short: "Check a configuration without starting", Args: cobra.NoArgs}
	path, features := configFlag(c), featuresFlag(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		config, err := read(*path, *features)
		if err == nil {
			fmt.Fprintf(c.OutOrStdout(), "%s: a node named %s on %s\n", *path, config.Name, config.Listen)
		}
		return err
	}
	return c
}

func version() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			fmt.Fprintln(c.OutOrStdout(), "fawnglade", release, runtime.Version())
		},
	}
}
