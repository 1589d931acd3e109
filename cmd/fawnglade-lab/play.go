package main

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"fawnglade/internal/lab/baseline"
	"fawnglade/internal/lab/emulator"
	"fawnglade/internal/lab/result"
	"fawnglade/internal/lab/scenario"

	"github.com/spf13/cobra"
)

//go:embed demo.toml
var demoText []byte

// runOptions are the options of one run on sockets.
type runOptions struct {
	scenario *scenario.Scenario
	seed     uint64
	node     []string // command line of the node under test
	out      string   // directory for the nodes' logs; empty: logs are not kept
	verbose  bool
}

// runOnSockets runs a scenario once, with processes of the node under test.
func runOnSockets(ctx context.Context, o runOptions) (*result.Result, error) {
	s := o.scenario
	options := emulator.Options{Scenario: s, Seed: o.seed, Start: emulator.Command(o.node), LogDir: o.out, Log: newLogger(o.verbose)}
	if isTerminal(os.Stderr) {
		options.Progress = func(at, length time.Duration, settled, requests int) {
			fmt.Fprintf(os.Stderr, "\r\033[K%s: %.0f of %.0f s, %d of %d requests finished",
				s.Name, min(at, length).Seconds(), length.Seconds(), settled, requests)
		}
		defer fmt.Fprint(os.Stderr, "\r\033[K")
	}
	trace, err := emulator.Run(ctx, options)
	if err != nil {
		return nil, err
	}
	return result.FromTrace(s, trace), nil
}

// verdictError returns the error of a command from the verdicts of its runs; nil if all held.
func verdictError(results []*result.Result) error {
	var err error
	for _, r := range results {
		switch r.Verdict {
		case result.Void:
			return fmt.Errorf("%s: void, the lab lagged by %.0f ms (95th percentile): run again with less load on the machine", r.Scenario, r.LateMs)
		case result.FellShort:
			err = errNotPassed
		}
	}
	return err
}

// readScenario reads a scenario file. Unless nodes is 0, it replaces the scenario's number of nodes.
func readScenario(path string, nodes int) (*scenario.Scenario, error) {
	s, err := scenario.Read(path)
	if err != nil {
		return nil, err
	}
	if nodes != 0 {
		if err := s.WithNodes(nodes); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Bounds of the demo's length.
const (
	minDemoSeconds = 6
	maxDemoSeconds = 600
)

func newDemoCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a short built-in scenario with one fault and a drain",
		Example: "  fawnglade-lab demo\n" +
			"  fawnglade-lab demo --seconds 20 --json",
		Args: cobra.NoArgs,
	}
	seconds := c.Flags().Int("seconds", 10, "length of the scenario, seconds, at least 6")
	asJSON := c.Flags().Bool("json", false, "print the result as one JSON object")
	node := c.Flags().String("node", "", "node program (default the one in this program's directory, in bin/ or on the path)")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if *seconds < minDemoSeconds || *seconds > maxDemoSeconds {
			return fmt.Errorf("--seconds: expected %d to %d, got %d", minDemoSeconds, maxDemoSeconds, *seconds)
		}
		s, err := scenario.Parse("demo", demoText)
		if err != nil {
			return err
		}
		s.Length = scenario.Duration(*seconds) * scenario.Duration(time.Second)
		command, err := nodeCommand(*node)
		if err != nil {
			return err
		}
		r, err := runOnSockets(c.Context(), runOptions{scenario: s, seed: s.Seed, node: command})
		if err != nil {
			return err
		}
		if *asJSON {
			err = printJSON(c.OutOrStdout(), r)
		} else {
			err = errors.Join(printf(c.OutOrStdout(), "%s\n", s.About), r.Print(c.OutOrStdout()))
		}
		return errors.Join(err, verdictError([]*result.Result{r}))
	}
	return c
}

// runFlags holds the flags of the run command.
type runFlags struct {
	seed        uint64
	out         string
	asJSON      bool
	node        string
	verbose     bool
	retries     int
	virtual     bool
	deciderName string
	nodes       int
}

func newRunCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "run SCENARIO...",
		Short: "Run scenarios and report whether their expectations hold",
		Long: `Run scenarios and report whether their expectations hold.

With --out DIR each run writes DIR/NAME/result.json and the nodes' logs; "report" makes a page of them.
--retry repeats a void run, in which the lab itself lagged, up to that many times.`,
		Example: "  fawnglade-lab run lab/scenarios/calm.toml\n" +
			"  fawnglade-lab run lab/scenarios/*.toml --out out --json\n" +
			"  fawnglade-lab run lab/scenarios/slow.toml --node plain:random\n" +
			"  fawnglade-lab run lab/scenarios/*.toml --virtual\n" +
			"  fawnglade-lab run lab/scenarios/slow.toml --virtual --by two-choices --nodes 30",
		Args: cobra.MinimumNArgs(1),
	}
	var f runFlags
	c.Flags().Uint64Var(&f.seed, "seed", 0, "random seed; 0: the scenario's")
	c.Flags().StringVar(&f.out, "out", "", "directory for results and logs")
	c.Flags().BoolVar(&f.asJSON, "json", false, "print the result as one JSON object, or as a list for several scenarios")
	c.Flags().StringVar(&f.node, "node", "", "node command or plain:KIND (default the program in this program's directory, in bin/ or on the path)")
	c.Flags().BoolVar(&f.verbose, "verbose", false, "log events of the lab to standard error")
	c.Flags().IntVar(&f.retries, "retry", 1, "maximum number of repeats of a run in which the lab lagged")
	c.Flags().BoolVar(&f.virtual, "virtual", false, "run in virtual time: no sockets, no processes, deterministic figures")
	c.Flags().StringVar(&f.deciderName, "by", moduleName,
		"decider in virtual time: "+moduleName+" or "+strings.Join(baseline.Names(), ", "))
	c.Flags().IntVar(&f.nodes, "nodes", 0, "number of nodes (default the scenario's); the load does not change")
	c.RunE = func(c *cobra.Command, paths []string) error { return runScenarios(c, f, paths) }
	return c
}

// runScenarios reads all scenarios and then runs one after another.
func runScenarios(c *cobra.Command, f runFlags, paths []string) error {
	scenarios, err := readScenarios(paths, f.nodes)
	if err != nil {
		return err
	}
	var command []string
	if !f.virtual {
		command, err = nodeCommand(f.node)
		if err != nil {
			return err
		}
	}
	var results []*result.Result
	for _, s := range scenarios {
		r, err := f.runScenario(c.Context(), s, command)
		if err != nil {
			return err
		}
		results = append(results, r)
		if f.asJSON {
			continue
		}
		if err := errors.Join(r.Print(c.OutOrStdout()), printf(c.OutOrStdout(), "\n")); err != nil {
			return err
		}
	}
	if f.asJSON {
		var v any = results
		if len(results) == 1 {
			v = results[0]
		}
		if err := printJSON(c.OutOrStdout(), v); err != nil {
			return err
		}
	}
	return verdictError(results)
}

// readScenarios reads all files before it changes any number of nodes, so that errors in files are reported first.
func readScenarios(paths []string, nodes int) ([]*scenario.Scenario, error) {
	var scenarios []*scenario.Scenario
	for _, path := range paths {
		s, err := scenario.Read(path)
		if err != nil {
			return nil, err
		}
		scenarios = append(scenarios, s)
	}
	if nodes == 0 {
		return scenarios, nil
	}
	for _, s := range scenarios {
		if err := s.WithNodes(nodes); err != nil {
			return nil, err
		}
	}
	return scenarios, nil
}

// runScenario runs one scenario, and stores its result if an output directory is set.
func (f *runFlags) runScenario(ctx context.Context, s *scenario.Scenario, command []string) (*result.Result, error) {
	seed := s.Seed
	if f.seed != 0 {
		seed = f.seed
	}
	dir := ""
	if f.out != "" {
		dir = filepath.Join(f.out, s.Name)
	}
	var r *result.Result
	var err error
	if f.virtual {
		r, err = runVirtual(ctx, virtualRun{s, seed, f.deciderName})
	} else {
		r, err = f.runWithRetries(ctx, runOptions{scenario: s, seed: seed, node: command, out: dir, verbose: f.verbose})
	}
	if err != nil {
		return nil, err
	}
	if dir != "" {
		if err := r.Write(dir); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// runWithRetries repeats a void run, at most f.retries times.
func (f *runFlags) runWithRetries(ctx context.Context, o runOptions) (*result.Result, error) {
	for retry := 0; ; retry++ {
		r, err := runOnSockets(ctx, o)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", o.scenario.Name, err)
		}
		if r.Verdict != result.Void || retry >= f.retries {
			return r, nil
		}
	}
}

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check SCENARIO...",
		Short:   "Check scenario files without starting anything",
		Example: "  fawnglade-lab check lab/scenarios/*.toml",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, paths []string) error {
			var problems []error
			for _, path := range paths {
				s, err := scenario.Read(path)
				if err != nil {
					problems = append(problems, err)
					continue
				}
				problems = append(problems, printf(c.OutOrStdout(), "%s: %s, %v, %d servers, %d nodes, %d faults\n",
					path, s.Name, s.Length.Std(), len(s.EndpointNames()), s.Nodes.Count, len(s.Faults)))
			}
			return errors.Join(problems...)
		},
	}
}
