package main

import (
	"fmt"

	"github.com/spf13/cobra"
)

func checkCommand() *cobra.Command {
	c := &cobra.Command{Use: "check", Short: "Check a configuration without starting a node", Args: cobra.NoArgs}
	configPath := configFlag(c)
	featuresPath := featuresFlag(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		config, err := readConfig(*configPath, *featuresPath)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(c.OutOrStdout(), "%s: a node named %s on %s\n", *configPath, config.Name, config.Listen)
		return err
	}
	return c
}
