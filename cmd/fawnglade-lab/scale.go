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

// scaleFlags holds the flags of the scale command.
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

// figureFlags returns the fields of the design and the limits that have a flag, by flag name.
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
		Short: "Measure how the cost of a node's control plane grows, and compare it with limits",
		Long: `Measure how the cost of a node's control plane grows with the number of servers, services, classes, tenants and nodes. A line is
fitted to each figure and extrapolated to the design size. If the points leave the line, the table names the size up to which it holds.

Probes: ` + strings.Join(probes, ", ") + `.
Sizes that need more than half of the machine's memory, or more than 200 processes, are rejected.`,
		Example: "  fawnglade-lab scale --json slopes.json --plot slopes.png\n" +
			"  fawnglade-lab scale --only decisions --sizes 1200,4000,12000,40000",
		Args: cobra.NoArgs,
	}
	f := &scaleFlags{design: scale.DefaultDesign, limits: scale.DefaultLimits}
	f.addTo(c)
	c.RunE = func(c *cobra.Command, _ []string) error { return runScale(c, f) }
	c.AddCommand(&cobra.Command{
		Use: "hollow FILE", Short: "Run the hollow nodes of a configuration file; started by scale",
		Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return scale.RunHollow(args[0], c.OutOrStdout()) },
	})
	return c
}

func (f *scaleFlags) addTo(c *cobra.Command) {
	flags := c.Flags()
	flags.StringSliceVar(&f.only, "only", nil, "probes, or single figures as PROBE.FIGURE, to measure (default all)")
	flags.Float64SliceVar(&f.sizes, "sizes", nil, "sizes to measure at, in order; at least four, the last at least ten times the first")
	flags.BoolVar(&f.quick, "quick", false, "small sizes and short measurements: a smoke test, not valid figures")
	flags.StringVar(&f.node, "node", "", "node command (default the program in this program's directory, in bin/ or on the path)")
	flags.StringVar(&f.jsonPath, "json", "", "write the result to this file as JSON; -: print it instead of the table")
	flags.StringVar(&f.plotPath, "plot", "", "write a plot with the limits to this PNG file")
	flags.StringVar(&f.designPath, "design", "", "TOML file with [design] and [limits] that override the defaults")
	flags.StringSliceVar(&f.from, "from", nil, "show stored results instead of measuring: output files of --json; later files override earlier ones")
	flags.Float64Var(&f.design.Nodes, "design-nodes", f.design.Nodes, "design size: number of nodes")
	flags.Float64Var(&f.design.Endpoints, "design-servers", f.design.Endpoints, "design size: number of servers")
	flags.Float64Var(&f.design.Tenants, "design-tenants", f.design.Tenants, "design size: number of tenants")
	flags.Float64Var(&f.limits.Cores, "limit-cores", f.limits.Cores, "limit for the control plane of a node: fraction of a CPU core")
	flags.Float64Var(&f.limits.MemoryBytes, "limit-bytes", f.limits.MemoryBytes, "limit for the control plane of a node: bytes of memory")
	flags.Float64Var(&f.limits.BytesPerSecond, "limit-bytes-s", f.limits.BytesPerSecond,
		"limit for the control plane of a node: bytes per second sent and received")
	// A stored result is shown as measured, so --from excludes the flags that affect measurements.
	for _, name := range append([]string{"node"}, measurementFlags...) {
		c.MarkFlagsMutuallyExclusive("from", name)
	}
}

// measurementFlags are the flags that affect measurements, in their order in the command line of a result.
var measurementFlags = []string{
	"only", "sizes", "quick", "design", "design-nodes", "design-servers", "design-tenants",
	"limit-cores", "limit-bytes", "limit-bytes-s",
}

// commandLine returns the command that repeats a measurement, without paths of this machine.
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
		result, err = f.measure(c) // a partial result may come with an error; it is shown too
		if result == nil {
			return err
		}
		problems = append(problems, err)
	}
	problems = append(problems, f.write(c, result))
	return errors.Join(problems...)
}

// readDesign reads the design file. Flags on the command line override it.
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

// measure runs the probes. It may return a partial result together with an error.
func (f *scaleFlags) measure(c *cobra.Command) (result *scale.Result, err error) {
	machine, err := scale.ThisMachine()
	if err != nil {
		return nil, err
	}
	node, err := nodeCommand(f.node)
	if err != nil {
		node = nil // probes that need a node process report that it is missing
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

// write writes a result in the requested formats. A failure of one format does not prevent the others.
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
