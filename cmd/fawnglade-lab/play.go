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

// runOptions are those of one run on sockets.
type runOptions struct {
	scenario *scenario.Scenario
	seed     uint64
	node     []string // the command line of the node under test
	out      string   // directory for the nodes' logs; empty: none are kept
	verbose  bool
}

// runOnSockets plays a scenario once around processes of the node under test.
func runOnSockets(ctx context.Context, o runOptions) (*result.Result, error) {
	s := o.scenario
	options := emulator.Options{Scenario: s, Seed: o.seed, Start: emulator.Command(o.node), LogDir: o.out, Log: newLogger(o.verbose)}
	if isTerminal(os.Stderr) {
		options.Progress = func(at, length time.Duration, settled, requests int) {
			fmt.Fprintf(os.Stderr, "\r\033[K%s: %.0f of %.0f s, %d of %d tasks settled",
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

// verdictError returns the error of a command by the verdicts of its runs; nil if all held.
func verdictError(results []*result.Result) error {
	var err error
	for _, r := range results {
		switch r.Verdict {
		case result.Void:
			return fmt.Errorf("%s: the machine ran late by %.0f ms: play it again with less beside it", r.Scenario, r.LateMs)
		case result.FellShort:
			err = errNotPassed
		}
	}
	return err
}

// readScenario reads a scenario file; nodes replaces the number of its nodes unless it is 0.
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

// The shortest and the longest demo, seconds.
const (
	minDemoSeconds = 6
	maxDemoSeconds = 600
)

func newDemoCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "demo",
		Short: "Play a short day with one fault and a drain, without any file",
		Example: "  fawnglade-lab demo\n" +
			"  fawnglade-lab demo --seconds 20 --json",
		Args: cobra.NoArgs,
	}
	seconds := c.Flags().Int("seconds", 10, "how long the day lasts, 6 at least")
	asJSON := c.Flags().Bool("json", false, "print one JSON object")
	node := c.Flags().String("node", "", "the node's program; by default the one beside this program")
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

// runFlags are those of the run command.
type runFlags struct {
	seed    uint64
	out     string
	asJSON  bool
	node    string
	verbose bool
	retries int
	virtual bool
	by      string
	nodes   int
}

func newRunCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "run SCENARIO...",
		Short: "Play scenarios and say whether they hold",
		Long: `Play scenarios and say whether they hold.

With --out DIR each run leaves DIR/NAME/result.json and the nodes' logs there; "report" makes a page of it.
--retry plays a day again, up to that often, on which the machine ran late.`,
		Example: "  fawnglade-lab run lab/scenarios/calm.toml\n" +
			"  fawnglade-lab run lab/scenarios/*.toml --out out --json\n" +
			"  fawnglade-lab run lab/scenarios/slow.toml --node plain:random\n" +
			"  fawnglade-lab run lab/scenarios/*.toml --virtual\n" +
			"  fawnglade-lab run lab/scenarios/slow.toml --virtual --by two-choices --nodes 30",
		Args: cobra.MinimumNArgs(1),
	}
	var f runFlags
	c.Flags().Uint64Var(&f.seed, "seed", 0, "seed of all that is drawn; 0: the scenario's")
	c.Flags().StringVar(&f.out, "out", "", "directory for results and logs")
	c.Flags().BoolVar(&f.asJSON, "json", false, "print one JSON object, or a list of them for several scenarios")
	c.Flags().StringVar(&f.node, "node", "", "the node's command, or plain:KIND; by default the program beside this one")
	c.Flags().BoolVar(&f.verbose, "verbose", false, "say on standard error what the rig sees")
	c.Flags().IntVar(&f.retries, "retry", 1, "how often to play again where the machine ran late")
	c.Flags().BoolVar(&f.virtual, "virtual", false, "play in virtual time: no sockets, no processes, the same figures each time")
	c.Flags().StringVar(&f.by, "by", moduleName,
		"what decides in virtual time: "+moduleName+" or "+strings.Join(baseline.Names(), ", "))
	c.Flags().IntVar(&f.nodes, "nodes", 0, "number of nodes in place of the scenario's; its load stays")
	c.RunE = func(c *cobra.Command, paths []string) error { return runScenarios(c, f, paths) }
	return c
}

// runScenarios plays scenarios in turn, after it has read all of them.
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

// readScenarios reads all files before it changes any number of nodes, so that a file with an error is named first.
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

// play plays one scenario, and stores its result if a directory is given.
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
		r, err = runVirtual(ctx, virtualRun{s, seed, f.by})
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

// runWithRetries plays again while the machine runs late.
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
