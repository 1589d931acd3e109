package main

// This file owns the commands that play days.

import (
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fawnglade/internal/lab/baseline"
	"fawnglade/internal/lab/emulator"
	"fawnglade/internal/lab/result"
	"fawnglade/internal/lab/scenario"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

//go:embed demo.toml
var demoText []byte

// nodeCommand finds the node to play around: what was told, else the one beside this program, in bin/, or on the path.
func nodeCommand(told string) ([]string, error) {
	if told != "" {
		return commandOf(told)
	}
	if self, err := os.Executable(); err == nil {
		if beside := filepath.Join(filepath.Dir(self), "fawnglade"); executable(beside) {
			return []string{beside, "serve"}, nil
		}
	}
	if inBin, err := filepath.Abs("bin/fawnglade"); err == nil && executable(inBin) {
		return []string{inBin, "serve"}, nil
	}
	if onPath, err := exec.LookPath("fawnglade"); err == nil {
		return []string{onPath, "serve"}, nil
	}
	return nil, errors.New("no node found beside this program, in bin/ or on the path: build it with make build or give --node")
}

// commandOf turns what a user calls a node into its command: plain:KIND for a built-in proxy, the path of a node's
// program, or a whole command line.
func commandOf(text string) ([]string, error) {
	if kind, plain := strings.CutPrefix(text, "plain:"); plain {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		for _, k := range append([]string{relayKind}, emulator.PlainKinds...) {
			if k == kind {
				return []string{self, "proxy", "--kind", kind}, nil
			}
		}
		return nil, fmt.Errorf("%s: expected plain: and one of %s", text, strings.Join(emulator.PlainKinds, ", "))
	}
	words := strings.Fields(text)
	if len(words) == 0 {
		return nil, errors.New("expected a command, got none")
	}
	path, err := exec.LookPath(words[0])
	if err != nil {
		return nil, err
	}
	if words[0], err = filepath.Abs(path); err != nil {
		return nil, err
	}
	if len(words) == 1 {
		words = append(words, "serve")
	}
	return words, nil
}

func executable(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular() && info.Mode()&0o111 != 0
}

// terminal tells whether a file is one, so that progress goes there and nowhere else.
func terminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0 && os.Getenv("TERM") != "dumb" && os.Getenv("TERM") != ""
}

func logger(verbose bool) *zap.Logger {
	if !verbose {
		return zap.NewNop()
	}
	c := zap.NewDevelopmentConfig()
	c.DisableStacktrace, c.DisableCaller = true, true
	c.EncoderConfig.EncodeTime = zapcore.TimeEncoderOfLayout("15:04:05.000")
	log, err := c.Build()
	if err != nil {
		return zap.NewNop()
	}
	return log
}

// once plays one scenario once.
func once(ctx context.Context, s *scenario.Scenario, seed uint64, node []string, out string, verbose bool) (*result.Result, error) {
	o := emulator.Options{Scenario: s, Seed: seed, Start: emulator.Command(node), LogDir: out, Log: logger(verbose)}
	if terminal(os.Stderr) {
		o.Progress = func(at, length time.Duration, settled, tasks int) {
			fmt.Fprintf(os.Stderr, "\r\033[K%s: %.0f of %.0f s, %d of %d tasks settled", s.Name, min(at, length).Seconds(), length.Seconds(), settled, tasks)
		}
		defer fmt.Fprint(os.Stderr, "\r\033[K")
	}
	record, err := emulator.Run(ctx, o)
	if err != nil {
		return nil, err
	}
	return result.Of(s, record), nil
}

func printJSON(w io.Writer, v any) error {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", text)
	return err
}

// verdictError turns verdicts into the program's end.
func verdictError(results []*result.Result) error {
	var err error
	for _, r := range results {
		switch r.Verdict {
		case result.Void:
			return fmt.Errorf("%s: the machine ran late by %.0f ms: play it again with less beside it", r.Scenario, r.LagMs)
		case result.Fell:
			err = fell
		}
	}
	return err
}

func demo() *cobra.Command {
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
		if *seconds < 6 || *seconds > 600 {
			return fmt.Errorf("--seconds: expected 6 to 600, got %d", *seconds)
		}
		s, err := scenario.Parse("demo", demoText)
		if err != nil {
			return err
		}
		s.Length = scenario.Duration(*seconds) * scenario.Duration(time.Second)
		words, err := nodeCommand(*node)
		if err != nil {
			return err
		}
		r, err := once(c.Context(), s, s.Seed, words, "", false)
		if err != nil {
			return err
		}
		if *asJSON {
			err = printJSON(c.OutOrStdout(), r)
		} else {
			fmt.Fprintln(c.OutOrStdout(), s.About)
			r.Print(c.OutOrStdout())
		}
		return errors.Join(err, verdictError([]*result.Result{r}))
	}
	return c
}

func play() *cobra.Command {
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
	seed := c.Flags().Uint64("seed", 0, "seed of all that is drawn; 0: the scenario's")
	out := c.Flags().String("out", "", "directory for results and logs")
	asJSON := c.Flags().Bool("json", false, "print one JSON object, or a list of them for several scenarios")
	node := c.Flags().String("node", "", "the node's command, or plain:KIND; by default the program beside this one")
	verbose := c.Flags().Bool("verbose", false, "say on standard error what the rig sees")
	retry := c.Flags().Int("retry", 1, "how often to play again where the machine ran late")
	inVirtual := c.Flags().Bool("virtual", false, "play in virtual time: no sockets, no processes, the same figures each time")
	by := c.Flags().String("by", moduleName, "what decides in virtual time: "+moduleName+" or "+strings.Join(baseline.Names(), ", "))
	nodes := c.Flags().Int("nodes", 0, "number of nodes in place of the scenario's; its load stays")
	c.RunE = func(c *cobra.Command, args []string) error {
		var days []*scenario.Scenario
		for _, path := range args { // all are read before anything starts
			s, err := scenario.Read(path)
			if err != nil {
				return err
			}
			days = append(days, s)
		}
		for _, s := range days {
			if *nodes != 0 {
				if err := s.WithNodes(*nodes); err != nil {
					return err
				}
			}
		}
		var words []string
		if !*inVirtual {
			var err error
			if words, err = nodeCommand(*node); err != nil {
				return err
			}
		}
		var results []*result.Result
		for _, s := range days {
			with := s.Seed
			if *seed != 0 {
				with = *seed
			}
			dir := ""
			if *out != "" {
				dir = filepath.Join(*out, s.Name)
			}
			var r *result.Result
			var err error
			if *inVirtual {
				if r, err = virtual(c.Context(), s, with, *by); err != nil {
					return err
				}
			}
			for tried := 0; !*inVirtual; tried++ {
				if r, err = once(c.Context(), s, with, words, dir, *verbose); err != nil {
					return fmt.Errorf("%s: %w", s.Name, err)
				}
				if r.Verdict != result.Void || tried >= *retry {
					break
				}
			}
			if dir != "" {
				if err := r.Write(dir); err != nil {
					return err
				}
			}
			results = append(results, r)
			if !*asJSON {
				r.Print(c.OutOrStdout())
				fmt.Fprintln(c.OutOrStdout())
			}
		}
		if *asJSON {
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
	return c
}

func checkFiles() *cobra.Command {
	return &cobra.Command{
		Use:     "check SCENARIO...",
		Short:   "Check scenario files without starting anything",
		Example: "  fawnglade-lab check lab/scenarios/*.toml",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var problems []error
			for _, path := range args {
				s, err := scenario.Read(path)
				if err != nil {
					problems = append(problems, err)
					continue
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: %s, %v, %d servers, %d nodes, %d faults\n", path, s.Name, s.Length.Std(),
					len(s.EndpointNames()), s.Nodes.Count, len(s.Faults))
			}
			return errors.Join(problems...)
		},
	}
}

// relayKind is the relay that reads nothing, for the measure of a node's cost.
const relayKind = "relay"

// proxy is a plain proxy in a process of its own, to be played around like a node.
func proxy() *cobra.Command {
	c := &cobra.Command{Use: "proxy", Short: "Run a plain proxy to measure against", Hidden: true, Args: cobra.NoArgs}
	kind := c.Flags().String("kind", "random", strings.Join(emulator.PlainKinds, ", "))
	c.RunE = func(c *cobra.Command, _ []string) error {
		if *kind == relayKind {
			go func() {
				<-c.Context().Done()
				os.Exit(exitHeld)
			}()
			return emulator.PassThrough(os.Getenv("NODE_CONFIG"))
		}
		p, err := emulator.NewReferenceProxy(os.Getenv("NODE_CONFIG"), *kind, "")
		if err != nil {
			return err
		}
		go func() {
			<-c.Context().Done()
			p.Stop()
		}()
		p.Run()
		return nil
	}
	return c
}
