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

// distributionFlags are those of the distribution command.
type distributionFlags struct {
	size   distsim.Size
	quick  bool
	relay  string
	asJSON bool
}

func newDistributionCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "distribution",
		Short: "Play the distribution tree at size: an origin, relays as processes, hollow nodes",
		Long: `Play the distribution tree at size: an origin, relays in two levels as processes, and hollow nodes over TCP on loopback.

Hollow nodes run the node's own subscriber and client, without requests. Verdicts go by numbers and versions: in the end every node
has exactly the origin's records of its scopes, nothing was told twice, left out or came back from the dead. Times, bytes, CPU and
memory are told beside the aims. A run ends by itself within four minutes.`,
		Example: "  fawnglade-lab distribution --quick\n  fawnglade-lab distribution --nodes 5300 --json > distribution.json",
		Args:    cobra.NoArgs,
	}
	f := distributionFlags{size: distsim.Full()}
	c.Flags().BoolVar(&f.quick, "quick", false, "the small form: 300 nodes in 3 regions, under a minute")
	addSizeFlags(c, &f.size)
	c.Flags().StringVar(&f.relay, "relay", "", "the program with the relay; by default fawnglade beside this one")
	c.Flags().BoolVar(&f.asJSON, "json", false, "print one JSON object")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if f.quick {
			f.size = quickSize(c, f.size)
		}
		return runDistribution(c, f)
	}
	return c
}

// addSizeFlags adds a flag for each field of a size, whose values are the defaults.
func addSizeFlags(c *cobra.Command, size *distsim.Size) {
	flags := c.Flags()
	flags.IntVar(&size.Nodes, "nodes", size.Nodes, "hollow nodes")
	flags.IntVar(&size.Regions, "regions", size.Regions, "regions")
	flags.IntVar(&size.Zones, "zones", size.Zones, "zones in all")
	flags.IntVar(&size.UpperRelays, "upper", size.UpperRelays, "relays that follow the origin")
	flags.IntVar(&size.LowerRelays, "lower", size.LowerRelays, "relays that nodes follow")
	flags.IntVar(&size.Services, "services", size.Services, "services, in every region")
	flags.IntVar(&size.Endpoints, "endpoints", size.Endpoints, "endpoints over all scopes")
	flags.IntVar(&size.ServicesPerNode, "take", size.ServicesPerNode, "services of its region that a node follows")
	flags.IntVar(&size.Routes, "routes", size.Routes, "routes, as records of configuration")
	flags.IntVar(&size.Tenants, "tenants", size.Tenants, "tenants, as records of configuration")
	flags.IntVar(&size.SharedServices, "shared", size.SharedServices,
		"services whose configuration every node follows; all its changes fall there")
	flags.Float64Var(&size.Speedup, "pace", size.Speedup, "times an ordinary day's changes")
	flags.DurationVar(&size.OrdinaryTime, "true", size.OrdinaryTime, "how long a true day's pace is played")
	flags.DurationVar(&size.PhaseTime, "day", size.PhaseTime, "how long the faster pace is played, alone and under each fault")
	flags.IntVar(&size.ZoneLoss, "burst", size.ZoneLoss, "endpoints of one zone that go at once")
	flags.IntVar(&size.BytesPerSecond, "bytes", size.BytesPerSecond, "pace of relays, bytes a second a subscriber; 0: no bound")
	flags.BoolVar(&size.ShareMemory, "share", size.ShareMemory,
		"hollow nodes hold equal names and bodies once, for a machine with less memory; what a node holds is not told by it")
	flags.Uint64Var(&size.Seed, "seed", size.Seed, "of all that is drawn")
}

// quickSize is the small size, with the fields that were given by flags and may be combined with it.
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

// newDistributionOriginCommand runs the origin of a distribution run in a process of its own.
func newDistributionOriginCommand() *cobra.Command {
	return &cobra.Command{
		Use:    originCommand,
		Short:  "The origin's process of distribution",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return distsim.Origin(c.Context(), os.Stdin, os.Stdout)
		},
	}
}
