package main

// This file owns the gate: days at size, played in virtual time by the decisions, by a policy that sees the true state late, and
// by random choice, and one line at the end that says whether all held.

import (
	"fawnglade/internal/lab/result"
	"fawnglade/internal/lab/scenario"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

const (
	seeingName = "late-seeing"
	plainName  = "random"
)

func gate() *cobra.Command {
	c := &cobra.Command{
		Use:   "gate SCENARIO...",
		Short: "Play days in virtual time and pass or fail them, with one line at the end",
		Long: `Play days in virtual time and pass or fail them, with one line at the end.

A day passes if no rule was broken, its [expect] held, the earnings in time are at least seeing_part_min of what a
policy keeps that sees the true state half a second late, and, where plain_less_max stands, no more than that under
random choice. Exit code 0: all passed. 1: one did not. 2: one could not be played.`,
		Example: "  fawnglade-lab gate lab/scenarios/fleet/*.toml\n" +
			"  fawnglade-lab gate lab/scenarios/fleet/*.toml --nodes 30 --seeds 3",
		Args: cobra.MinimumNArgs(1),
	}
	nodes := c.Flags().Int("nodes", 0, "number of nodes in place of the scenarios'")
	seeds := c.Flags().Int("seeds", 1, "seeds of each day, from the scenario's on")
	by := c.Flags().String("by", moduleName, "what is judged")
	asJSON := c.Flags().Bool("json", false, "print one JSON object")
	c.RunE = func(c *cobra.Command, args []string) error {
		if *seeds < 1 || *seeds > 1000 {
			return fmt.Errorf("--seeds: expected 1 to 1,000, got %d", *seeds)
		}
		var days []dayOf
		for _, path := range args {
			s, err := scenario.Read(path)
			if err != nil {
				return err
			}
			if *nodes != 0 {
				if err := s.WithNodes(*nodes); err != nil {
					return err
				}
			}
			for n := range *seeds {
				for _, who := range []string{*by, seeingName, plainName} {
					days = append(days, dayOf{s, s.Seed + uint64(n), who})
				}
			}
		}
		results, err := all(c.Context(), days)
		if err != nil {
			return err
		}
		var judged []judgedDay
		for i := 0; i < len(days); i += 3 {
			judged = append(judged, judge(days[i].scenario, results[i], results[i+1], results[i+2]))
		}
		failed := ""
		for _, d := range judged {
			if len(d.Missed) > 0 && failed == "" {
				failed = fmt.Sprintf("%s, seed %d: %s", d.Day, d.Seed, d.Missed[0])
			}
		}
		if *asJSON {
			err = printJSON(c.OutOrStdout(), map[string]any{"passed": failed == "", "days": judged})
		} else {
			printGate(c.OutOrStdout(), judged, failed)
		}
		if err == nil && failed != "" {
			err = fell
		}
		return err
	}
	return c
}

// judgedDay is one day at the gate.
type judgedDay struct {
	Day         string   `json:"day"`
	Seed        uint64   `json:"seed"`
	InTime      float64  `json:"in_time"`
	Seeing      float64  `json:"late_seeing"`
	Plain       float64  `json:"random"`
	Worst10s    float64  `json:"worst_10s"`
	Connections float64  `json:"connections_a_task"`
	Calls       int      `json:"calls"`
	Broken      int      `json:"rules_broken"`
	Missed      []string `json:"missed,omitempty"`
}

func judge(s *scenario.Scenario, own, seeing, plain *result.Result) judgedDay {
	d := judgedDay{
		Day: s.Name, Seed: own.Drawn.Seed, InTime: own.WeightShare, Seeing: seeing.WeightShare, Plain: plain.WeightShare, Worst10s: own.Worst(10),
		Broken: own.ViolationCount, Missed: own.Missed,
	}
	for _, t := range own.Activity {
		d.Connections += float64(t.Connections) / float64(max(own.Operations, 1))
		d.Calls += t.ListCalls
	}
	if least := s.Expect.OfLateSeeing * seeing.WeightShare; own.WeightShare < least {
		d.Missed = append(d.Missed, fmt.Sprintf("in time %.3f, expected %.3f at least, %.2f of what %s keeps", own.WeightShare, least, s.Expect.OfLateSeeing, seeingName))
	}
	if least := plain.WeightShare - s.Expect.MaxBelowRandom; s.Expect.MaxBelowRandom > 0 && own.WeightShare < least {
		d.Missed = append(d.Missed, fmt.Sprintf("in time %.3f, expected %.3f at least, %.2f under %s", own.WeightShare, least, s.Expect.MaxBelowRandom, plainName))
	}
	return d
}

func printGate(w io.Writer, days []judgedDay, failed string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "day\tseed\tin time\tlate-seeing\trandom\tworst 10 s\tconnections a task\tcalls\trules broken\t")
	for _, d := range days {
		fmt.Fprintf(t, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t\n", d.Day, d.Seed, d.InTime, d.Seeing, d.Plain, d.Worst10s, d.Connections, d.Calls, d.Broken)
	}
	t.Flush()
	for _, d := range days {
		for _, m := range d.Missed {
			fmt.Fprintf(w, "%s, seed %d: %s\n", d.Day, d.Seed, m)
		}
	}
	if failed != "" {
		fmt.Fprintf(w, "gate failed: %s\n", strings.TrimSpace(failed))
		return
	}
	fmt.Fprintf(w, "gate passed: %d days\n", len(days))
}
