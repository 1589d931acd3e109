package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"fawnglade/internal/lab/distsim"

	"github.com/spf13/cobra"
)

const originCommand = "distribution-origin"

// distributionFlags holds the flags of the distribution command.
type distributionFlags struct {
	size   distsim.Size
	quick  bool
	relay  string
	asJSON bool
}

func newDistributionCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "distribution",
		Short: "Test the distribution tree at scale: an origin, relay processes and hollow nodes",
		Long: `Test the distribution tree at scale: an origin, two levels of relay processes, and hollow nodes over TCP on loopback.

Hollow nodes run the node's own subscriber and client, without requests. The verdict depends on records and versions only: at the
end of each phase every node must hold exactly the origin's records of its scopes, and no change may be missing, duplicated or
reverted. Times, bytes, CPU and memory are reported next to their targets. A run ends within four minutes.`,
		Example: "  fawnglade-lab distribution --quick\n  fawnglade-lab distribution --nodes 5300 --json > distribution.json",
		Args:    cobra.NoArgs,
	}
	f := distributionFlags{size: distsim.Full()}
	c.Flags().BoolVar(&f.quick, "quick", false, "small size: 300 nodes in 3 regions, takes under a minute")
	addSizeFlags(c, &f.size)
	c.Flags().StringVar(&f.relay, "relay", "", "program with the relay command (default fawnglade in this program's directory, in bin/ or on the path)")
	c.Flags().BoolVar(&f.asJSON, "json", false, "print the result as one JSON object")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if f.quick {
			f.size = quickSize(c, f.size)
		}
		return runDistribution(c, f)
	}
	return c
}

// addSizeFlags adds a flag for each field of a size. The current values are the defaults.
func addSizeFlags(c *cobra.Command, size *distsim.Size) {
	flags := c.Flags()
	flags.IntVar(&size.Nodes, "nodes", size.Nodes, "number of hollow nodes")
	flags.IntVar(&size.Regions, "regions", size.Regions, "regions")
	flags.IntVar(&size.Zones, "zones", size.Zones, "number of zones over all regions")
	flags.IntVar(&size.UpperRelays, "upper", size.UpperRelays, "number of upper relays, which follow the origin")
	flags.IntVar(&size.LowerRelays, "lower", size.LowerRelays, "number of lower relays, which nodes follow")
	flags.IntVar(&size.Services, "services", size.Services, "number of services; each exists in every region")
	flags.IntVar(&size.Endpoints, "endpoints", size.Endpoints, "number of endpoints over all scopes")
	flags.IntVar(&size.ServicesPerNode, "take", size.ServicesPerNode, "number of services that a node follows in its region")
	flags.IntVar(&size.Routes, "routes", size.Routes, "number of routes, which are configuration records")
	flags.IntVar(&size.Tenants, "tenants", size.Tenants, "number of tenants, which are configuration records")
	flags.IntVar(&size.SharedServices, "shared", size.SharedServices,
		"number of services whose configuration every node follows; only their configuration changes")
	flags.Float64Var(&size.Speedup, "pace", size.Speedup, "change rate of the faster phases, as a multiple of an ordinary day's rate")
	flags.DurationVar(&size.OrdinaryTime, "true", size.OrdinaryTime, "duration of the phase at an ordinary day's change rate")
	flags.DurationVar(&size.PhaseTime, "day", size.PhaseTime, "duration of each faster phase, without a fault and with each fault")
	flags.IntVar(&size.ZoneLoss, "burst", size.ZoneLoss, "number of endpoints of one zone that are removed at once")
	flags.IntVar(&size.BytesPerSecond, "bytes", size.BytesPerSecond, "send rate of lower relays, bytes per second and subscriber; 0: unlimited")
	flags.BoolVar(&size.ShareMemory, "share", size.ShareMemory,
		"store equal names and bodies once for all hollow nodes, to save memory; the reported memory of a node is then not valid")
	flags.Uint64Var(&size.Seed, "seed", size.Seed, "random seed")
}

// quickSize returns the quick size with the fields that may be combined with --quick replaced by their flags.
func quickSize(c *cobra.Command, given distsim.Size) distsim.Size {
	size := distsim.Quick()
	for name, set := range map[string]func(){
		"nodes":     func() { size.Nodes = given.Nodes },
		"endpoints": func() { size.Endpoints = given.Endpoints },
		"seed":      func() { size.Seed = given.Seed },
		"day":       func() { size.PhaseTime = given.PhaseTime },
		"pace":      func() { size.Speedup = given.Speedup },
		"bytes":     func() { size.BytesPerSecond = given.BytesPerSecond },
	} {
		if c.Flags().Changed(name) {
			set()
		}
	}
	return size
}

func runDistribution(c *cobra.Command, f distributionFlags) error {
	relay := f.relay
	if relay == "" {
		node, err := nodeCommand("")
		if err != nil {
			return err
		}
		relay = node[0]
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	programs := distsim.Programs{Relay: []string{relay, "relay"}, Origin: []string{self, originCommand}}
	began := time.Now()
	progress := func(format string, args ...any) {
		c.PrintErrf("%5.1fs %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
	result, err := distsim.Run(c.Context(), f.size, programs, progress)
	if result == nil {
		return err
	}
	if f.asJSON {
		err = errors.Join(err, printJSON(c.OutOrStdout(), result))
	} else {
		err = errors.Join(err, printf(c.OutOrStdout(), "%s", result.Table()))
	}
	if err == nil && !result.Holds() {
		return errNotPassed
	}
	return err
}

// newDistributionOriginCommand returns the hidden command that runs the origin of a distribution run as a process.
func newDistributionOriginCommand() *cobra.Command {
	return &cobra.Command{
		Use:    originCommand,
		Short:  "Run the origin process of the distribution command",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return distsim.Origin(c.Context(), os.Stdin, os.Stdout)
		},
	}
}
