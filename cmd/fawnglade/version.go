package main

import (
	"fmt"
	"runtime"

	"github.com/spf13/cobra"
)

const release = "0.1.0"

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(c.OutOrStdout(), "fawnglade", release, runtime.Version())
			return err
		},
	}
}
