package main

import (
	"os"
	"strings"

	"fawnglade/internal/lab/emulator"

	"github.com/spf13/cobra"
)

// newProxyCommand runs a plain proxy in a process of its own, in the place of a node.
func newProxyCommand() *cobra.Command {
	c := &cobra.Command{Use: "proxy", Short: "Run a plain proxy to measure against", Hidden: true, Args: cobra.NoArgs}
	kind := c.Flags().String("kind", "random", strings.Join(emulator.ReferenceProxyKinds, ", "))
	c.RunE = func(c *cobra.Command, _ []string) error {
		configuration := os.Getenv("NODE_CONFIG")
		if *kind == relayProxy {
			go func() {
				<-c.Context().Done()
				os.Exit(exitPassed)
			}()
			return emulator.PassThrough(configuration)
		}
		proxy, err := emulator.NewReferenceProxy(configuration, *kind, "")
		if err != nil {
			return err
		}
		go func() {
			<-c.Context().Done()
			proxy.Stop()
		}()
		proxy.Run()
		return nil
	}
	return c
}
