package main

// This file owns the command of the run of the distribution tree, and of the origin's process in it.

import (
	"errors"
	"fawnglade/internal/lab/distsim"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"
)

const originCommand = "distribution-origin"

func distribution() *cobra.Command {
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
	full, small := distsim.Full(), distsim.Quick()
	size := full
	f := c.Flags()
	quick := f.Bool("quick", false, "the small form: 300 nodes in 3 regions, under a minute")
	f.IntVar(&size.Nodes, "nodes", full.Nodes, "hollow nodes")
	f.IntVar(&size.Regions, "regions", full.Regions, "regions")
	f.IntVar(&size.Zones, "zones", full.Zones, "zones in all")
	f.IntVar(&size.Upper, "upper", full.Upper, "relays that follow the origin")
	f.IntVar(&size.Lower, "lower", full.Lower, "relays that nodes follow")
	f.IntVar(&size.Services, "services", full.Services, "services, in every region")
	f.IntVar(&size.Endpoints, "endpoints", full.Endpoints, "endpoints over all scopes")
	f.IntVar(&size.Take, "take", full.Take, "services of its region that a node follows")
	f.IntVar(&size.Routes, "routes", full.Routes, "routes, as records of configuration")
	f.IntVar(&size.Tenants, "tenants", full.Tenants, "tenants, as records of configuration")
	f.IntVar(&size.Shared, "shared", full.Shared, "services whose configuration every node follows; all its changes fall there")
	f.Float64Var(&size.Pace, "pace", full.Pace, "times an ordinary day's changes")
	f.DurationVar(&size.True, "true", full.True, "how long a true day's pace is played")
	f.DurationVar(&size.Day, "day", full.Day, "how long the faster pace is played, alone and under each fault")
	f.IntVar(&size.Burst, "burst", full.Burst, "endpoints of one zone that go at once")
	f.IntVar(&size.Bytes, "bytes", full.Bytes, "pace of relays, bytes a second a subscriber; 0: no bound")
	f.BoolVar(&size.Share, "share", full.Share, "hollow nodes hold equal names and bodies once, for a machine with less memory; what a node holds is not told by it")
	f.Uint64Var(&size.Seed, "seed", full.Seed, "of all that is drawn")
	relay := f.String("relay", "", "the program with the relay; by default fawnglade beside this one")
	asJSON := f.Bool("json", false, "print one JSON object")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if *quick {
			set := size
			size = small
			for name, keep := range map[string]func(){
				"nodes": func() { size.Nodes = set.Nodes }, "endpoints": func() { size.Endpoints = set.Endpoints }, "seed": func() { size.Seed = set.Seed },
				"day": func() { size.Day = set.Day }, "pace": func() { size.Pace = set.Pace }, "bytes": func() { size.Bytes = set.Bytes },
			} {
				if f.Changed(name) {
					keep()
				}
			}
		}
		words := []string{*relay, "relay"}
		if *relay == "" {
			serve, err := nodeCommand("")
			if err != nil {
				return err
			}
			words[0] = serve[0]
		}
		self, err := os.Executable()
		if err != nil {
			return err
		}
		began := time.Now()
		say := func(format string, args ...any) {
			fmt.Fprintf(c.ErrOrStderr(), "%5.1fs "+format+"\n", append([]any{time.Since(began).Seconds()}, args...)...)
		}
		result, err := distsim.Play(c.Context(), size, distsim.Programs{Relay: words, Origin: []string{self, originCommand}}, say)
		if result == nil {
			return err
		}
		if *asJSON {
			err = errors.Join(err, printJSON(c.OutOrStdout(), result))
		} else {
			fmt.Fprint(c.OutOrStdout(), result.Table())
		}
		if err == nil && !result.Held() {
			return fell
		}
		return err
	}
	return c
}

func distributionOrigin() *cobra.Command {
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
