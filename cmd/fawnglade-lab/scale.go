package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"fawnglade/internal/lab/scale"

	"github.com/spf13/cobra"
)

// scaleFlags are those of the scale command.
type scaleFlags struct {
	only       []string
	sizes      []float64
	quick      bool
	node       string
	jsonPath   string // "-": standard output
	plotPath   string
	designPath string
	from       []string
	design     scale.Design
	limits     scale.Limits
}

// figureFlags are the fields of the design and the limits that have a flag, by its name.
func (f *scaleFlags) figureFlags() map[string]*float64 {
	return map[string]*float64{
		"design-nodes":   &f.design.Nodes,
		"design-servers": &f.design.Endpoints,
		"design-tenants": &f.design.Tenants,
		"limit-cores":    &f.limits.Cores,
		"limit-bytes":    &f.limits.MemoryBytes,
		"limit-bytes-s":  &f.limits.BytesPerSecond,
	}
}

func newScaleCommand() *cobra.Command {
	var probes []string
	for _, p := range scale.Probes() {
		probes = append(probes, p.Name)
	}
	c := &cobra.Command{
		Use:   "scale",
		Short: "Measure how the costs of a node's control grow, and set them beside their limits",
		Long: `Measure how the costs of a node's control grow with servers, services, classes, tenants and nodes. A line is fitted to each figure, and
drawn out to the size that the operators design for; where the line breaks, the table says beyond which size.

What can be measured: ` + strings.Join(probes, ", ") + `.
Sizes that would take over half of the machine's memory, or more than 200 processes, are refused.`,
		Example: "  fawnglade-lab scale --json slopes.json --plot slopes.png\n" +
			"  fawnglade-lab scale --only decisions --sizes 1200,4000,12000,40000",
		Args: cobra.NoArgs,
	}
	f := &scaleFlags{design: scale.DefaultDesign, limits: scale.DefaultLimits}
	f.addTo(c)
	c.RunE = func(c *cobra.Command, _ []string) error { return runScale(c, f) }
	c.AddCommand(&cobra.Command{
		Use: "hollow FILE", Short: "Run the hollow nodes of a file; scale starts this by itself",
		Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return scale.RunHollow(args[0], c.OutOrStdout()) },
	})
	return c
}

func (f *scaleFlags) addTo(c *cobra.Command) {
	flags := c.Flags()
	flags.StringSliceVar(&f.only, "only", nil, "measure these alone")
	flags.Float64SliceVar(&f.sizes, "sizes", nil, "at these sizes; four at least, the last ten times the first")
	flags.BoolVar(&f.quick, "quick", false, "small sizes and short watches: a look, not a figure")
	flags.StringVar(&f.node, "node", "", "the node's command; by default the program beside this one")
	flags.StringVar(&f.jsonPath, "json", "", "leave the result in a file as JSON; - prints it in place of the table")
	flags.StringVar(&f.plotPath, "plot", "", "leave a picture as PNG, with the limits drawn in")
	flags.StringVar(&f.designPath, "design", "", "TOML with [design] and [limits] that go before the operators' figures")
	flags.StringSliceVar(&f.from, "from", nil, "measure nothing: show files of --json, the later going before the earlier")
	flags.Float64Var(&f.design.Nodes, "design-nodes", f.design.Nodes, "nodes to design for")
	flags.Float64Var(&f.design.Endpoints, "design-servers", f.design.Endpoints, "servers to design for")
	flags.Float64Var(&f.design.Tenants, "design-tenants", f.design.Tenants, "tenants to design for")
	flags.Float64Var(&f.limits.Cores, "limit-cores", f.limits.Cores, "part of a core that control may use of a node")
	flags.Float64Var(&f.limits.MemoryBytes, "limit-bytes", f.limits.MemoryBytes, "bytes of memory that it may use")
	flags.Float64Var(&f.limits.BytesPerSecond, "limit-bytes-s", f.limits.BytesPerSecond,
		"bytes a second that it may send and receive")
	// A stored result is shown as it was measured.
	for _, name := range append([]string{"node"}, measurementFlags...) {
		c.MarkFlagsMutuallyExclusive("from", name)
	}
}

// measurementFlags decide what is measured, in the order in which the command line of a result names them.
var measurementFlags = []string{
	"only", "sizes", "quick", "design", "design-nodes", "design-servers", "design-tenants",
	"limit-cores", "limit-bytes", "limit-bytes-s",
}

// commandLine returns the command that repeats a measurement, without the places of this machine's files.
func commandLine(c *cobra.Command) string {
	line := "fawnglade-lab scale"
	for _, name := range measurementFlags {
		if !c.Flags().Changed(name) {
			continue
		}
		value := strings.Trim(c.Flags().Lookup(name).Value.String(), "[]")
		switch name {
		case "quick":
			line += " --quick"
		case "design":
			line += " --design " + filepath.Base(value)
		default:
			line += " --" + name + " " + value
		}
	}
	return line
}

func runScale(c *cobra.Command, f *scaleFlags) error {
	if err := f.readDesign(c); err != nil {
		return err
	}
	var result *scale.Result
	var problems []error
	var err error
	if len(f.from) > 0 {
		result, err = f.loadResults()
		if err != nil {
			return err
		}
	} else {
		result, err = f.measure(c) // a result may come with an error: what was measured before it is shown
		if result == nil {
			return err
		}
		problems = append(problems, err)
	}
	problems = append(problems, f.write(c, result))
	return errors.Join(problems...)
}

// readDesign reads the design file; flags that are given go before it.
func (f *scaleFlags) readDesign(c *cobra.Command) error {
	given := map[string]float64{}
	for name, figure := range f.figureFlags() {
		if !c.Flags().Changed(name) {
			continue
		}
		if !(*figure > 0) {
			return fmt.Errorf("--%s: expected a number above 0, got %g", name, *figure)
		}
		given[name] = *figure
	}
	if f.designPath == "" {
		return nil
	}
	if err := scale.ReadDesign(f.designPath, &f.design, &f.limits); err != nil {
		return err
	}
	figures := f.figureFlags()
	for name, value := range given {
		*figures[name] = value
	}
	return nil
}

func (f *scaleFlags) loadResults() (*scale.Result, error) {
	var joined *scale.Result
	for _, path := range f.from {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		result := &scale.Result{}
		if err := json.Unmarshal(text, result); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		joined = scale.Join(joined, result)
	}
	return joined, nil
}

// measure runs the probes. It may return what was measured beside an error.
func (f *scaleFlags) measure(c *cobra.Command) (result *scale.Result, err error) {
	machine, err := scale.ThisMachine()
	if err != nil {
		return nil, err
	}
	node, err := nodeCommand(f.node)
	if err != nil {
		node = nil // probes that need a process say so
	}
	var hollow []string
	if self, err := os.Executable(); err == nil {
		hollow = []string{self, "scale", "hollow"}
	}
	dir, err := os.MkdirTemp("", "fawnglade-scale-")
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	return scale.Run(c.Context(), scale.Options{
		Only: f.only, Sizes: f.sizes, Command: commandLine(c),
		Env:  scale.Env{NodeCommand: node, HollowCommand: hollow, Quick: f.quick, Log: os.Stderr, Dir: dir},
		Time: time.Now(), Design: f.design, Limits: f.limits, Machine: machine,
	})
}

// write writes a result in the forms that were asked for; one that fails keeps none of the others back.
func (f *scaleFlags) write(c *cobra.Command, result *scale.Result) error {
	var problems []error
	if f.plotPath != "" {
		problems = append(problems, scale.Plot(f.plotPath, result))
	}
	if f.jsonPath == "-" {
		problems = append(problems, printJSON(c.OutOrStdout(), result))
		return errors.Join(problems...)
	}
	if f.jsonPath != "" {
		problems = append(problems, writeJSON(f.jsonPath, result))
	}
	problems = append(problems, scale.Print(c.OutOrStdout(), result))
	return errors.Join(problems...)
}
