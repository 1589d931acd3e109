package main

// This file owns the command that measures slopes. It must never start a size that the package refuses.

import (
	"encoding/json"
	"errors"
	"fawnglade/internal/lab/scale"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// figures are those of the design and the limits that have a flag.
func figures(d *scale.Design, l *scale.Limits) map[string]*float64 {
	return map[string]*float64{
		"design-nodes": &d.Nodes, "design-servers": &d.Servers, "design-tenants": &d.Tenants, "limit-cores": &l.Cores, "limit-bytes": &l.Bytes,
		"limit-bytes-s": &l.Network,
	}
}

// commandLine is how a run is done again: without where its result went, which is each machine's own.
func commandLine(c *cobra.Command) string {
	out := "fawnglade-lab scale"
	for _, name := range []string{"only", "sizes", "quick", "design", "design-nodes", "design-servers", "design-tenants", "limit-cores", "limit-bytes", "limit-bytes-s"} {
		if !c.Flags().Changed(name) {
			continue
		}
		switch value := strings.Trim(c.Flags().Lookup(name).Value.String(), "[]"); name {
		case "quick":
			out += " --quick"
		case "design":
			out += " --design " + filepath.Base(value)
		default:
			out += " --" + name + " " + value
		}
	}
	return out
}

func measureScale() *cobra.Command {
	var names []string
	for _, p := range scale.Probes() {
		names = append(names, p.Name)
	}
	c := &cobra.Command{
		Use:   "scale",
		Short: "Measure how the costs of a node's control grow, and set them beside their limits",
		Long: `Measure how the costs of a node's control grow with servers, services, classes, tenants and nodes. A line is fitted to each figure, and
drawn out to the size that the operators design for; where the line breaks, the table says beyond which size.

What can be measured: ` + strings.Join(names, ", ") + `.
Sizes that would take over half of the machine's memory, or more than 200 processes, are refused.`,
		Example: "  fawnglade-lab scale --json slopes.json --plot slopes.png\n" +
			"  fawnglade-lab scale --only decisions --sizes 1200,4000,12000,40000",
		Args: cobra.NoArgs,
	}
	only := c.Flags().StringSlice("only", nil, "measure these alone")
	sizes := c.Flags().Float64Slice("sizes", nil, "at these sizes; four at least, the last ten times the first")
	quick := c.Flags().Bool("quick", false, "small sizes and short watches: a look, not a figure")
	node := c.Flags().String("node", "", "the node's command; by default the program beside this one")
	asJSON := c.Flags().String("json", "", "leave the result in a file as JSON; - prints it in place of the table")
	picture := c.Flags().String("plot", "", "leave a picture as PNG, with the limits drawn in")
	file := c.Flags().String("design", "", "TOML with [design] and [limits] that go before the operators' figures")
	from := c.Flags().StringSlice("from", nil, "measure nothing: show files of --json, the later going before the earlier")
	design, limits := scale.TheDesign, scale.TheLimits
	c.Flags().Float64Var(&design.Nodes, "design-nodes", design.Nodes, "nodes to design for")
	c.Flags().Float64Var(&design.Servers, "design-servers", design.Servers, "servers to design for")
	c.Flags().Float64Var(&design.Tenants, "design-tenants", design.Tenants, "tenants to design for")
	c.Flags().Float64Var(&limits.Cores, "limit-cores", limits.Cores, "part of a core that control may use of a node")
	c.Flags().Float64Var(&limits.Bytes, "limit-bytes", limits.Bytes, "bytes of memory that it may use")
	c.Flags().Float64Var(&limits.Network, "limit-bytes-s", limits.Network, "bytes a second that it may send and receive")
	c.RunE = func(c *cobra.Command, _ []string) error {
		flags := map[string]float64{} // go before the file
		for name, v := range figures(&design, &limits) {
			if c.Flags().Changed(name) {
				if flags[name] = *v; !(*v > 0) {
					return fmt.Errorf("--%s: expected a number above 0, got %g", name, *v)
				}
			}
		}
		if *file != "" {
			if err := scale.Read(*file, &design, &limits); err != nil {
				return err
			}
			for name, v := range flags {
				*figures(&design, &limits)[name] = v
			}
		}
		var r *scale.Result
		var problems []error
		if len(*from) > 0 {
			for _, path := range *from {
				text, err := os.ReadFile(path)
				if err != nil {
					return err
				}
				one := &scale.Result{}
				if err := json.Unmarshal(text, one); err != nil {
					return fmt.Errorf("%s: %w", path, err)
				}
				r = scale.Join(r, one)
			}
		} else {
			machine, err := scale.ThisMachine()
			if err != nil {
				return err
			}
			words, _ := nodeCommand(*node) // probes that want a process say so
			var hollow []string
			if self, err := os.Executable(); err == nil {
				hollow = []string{self, "scale", "hollow"}
			}
			dir, err := os.MkdirTemp("", "fawnglade-scale-")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			r, err = scale.Run(c.Context(), scale.Options{
				Only: *only, Sizes: *sizes, Command: commandLine(c),
				Env: scale.Env{Node: words, Hollow: hollow, Quick: *quick, Log: os.Stderr, Dir: dir}, Day: time.Now(), Design: design, Limits: limits, Machine: machine,
			})
			if r == nil {
				return err
			}
			problems = append(problems, err)
		}
		if *picture != "" {
			problems = append(problems, scale.Plot(*picture, r))
		}
		if *asJSON == "-" {
			return errors.Join(append(problems, printJSON(c.OutOrStdout(), r))...)
		}
		if *asJSON != "" {
			text, err := json.MarshalIndent(r, "", " ")
			if err == nil {
				err = os.WriteFile(*asJSON, append(text, '\n'), 0o644)
			}
			problems = append(problems, err)
		}
		return errors.Join(append(problems, scale.Print(c.OutOrStdout(), r))...)
	}
	for _, name := range []string{"only", "sizes", "quick", "node", "design", "design-nodes", "design-servers", "design-tenants", "limit-cores", "limit-bytes", "limit-bytes-s"} {
		c.MarkFlagsMutuallyExclusive("from", name) // what was kept is shown as it was measured
	}
	c.AddCommand(&cobra.Command{
		Use: "hollow FILE", Short: "Run the hollow nodes of a file; scale starts this by itself", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return scale.Hollow(args[0], c.OutOrStdout()) },
	})
	return c
}
