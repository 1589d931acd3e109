package main

import (
	"os"
	"strings"

	"fawnglade/internal/lab/emulator"

	"github.com/spf13/cobra"
)

// newProxyCommand returns the hidden command that runs a reference proxy in place of a node.
func newProxyCommand() *cobra.Command {
	c := &cobra.Command{Use: "proxy", Short: "Run a reference proxy in place of a node", Hidden: true, Args: cobra.NoArgs}
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
