package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"fawnglade/internal/lab/result"

	"github.com/spf13/cobra"
)

func newReportCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "report DIR...",
		Short: "Make an HTML page with plots of a stored run, or of several runs side by side",
		Long: `Make an HTML page with plots of a run that was stored with --out: DIR/report.html.

With several directories the page compares the runs, each named by its path, with plots over time of earnings in time, latency and
the spread of load over the servers and, for runs in virtual time, connections, retries and hedged requests of all nodes.`,
		Example: "  fawnglade-lab run lab/scenarios/slow.toml --out out\n" +
			"  fawnglade-lab report out/slow\n" +
			"  fawnglade-lab report out/slow older/slow --page beside.html",
		Args: cobra.RangeArgs(1, 7),
	}
	page := c.Flags().String("page", "",
		"path of the page (default DIR/report.html, or beside.html in the working directory for several runs)")
	c.RunE = func(c *cobra.Command, dirs []string) error {
		results, err := loadResults(dirs)
		if err != nil {
			return err
		}
		path := cmp.Or(*page, "beside.html")
		write := func(w io.Writer) error { return result.WriteSideBySide(w, dirs, results) }
		if len(dirs) == 1 {
			path = cmp.Or(*page, filepath.Join(dirs[0], "report.html"))
			write = results[0].WritePage
		}
		f, err := os.Create(path)
		if err != nil {
			return err
		}
		if err := errors.Join(write(f), f.Close()); err != nil {
			return err
		}
		return printf(c.OutOrStdout(), "%s\n", path)
	}
	return c
}

// loadResults loads results, which must all be of the same scenario.
func loadResults(dirs []string) ([]*result.Result, error) {
	var results []*result.Result
	for _, dir := range dirs {
		r, err := result.Load(dir)
		if err != nil {
			return nil, err
		}
		results = append(results, r)
		if first := results[0]; r.Scenario != first.Scenario {
			return nil, fmt.Errorf("%s: a run of %s, expected one of %s as in %s", dir, r.Scenario, first.Scenario, dirs[0])
		}
	}
	return results, nil
}
