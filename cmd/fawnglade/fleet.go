package main

// The commands that ask nodes for their view of the fleet, by their admin APIs. None of them changes anything.

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"fawnglade/internal/members"

	"github.com/spf13/cobra"
)

const (
	adminTimeout     = 3 * time.Second // for a call, its connection included
	maxAdminResponse = 4 << 20         // bytes that are read of a response
	membersPath      = "/members"
)

func fleetCommands() *cobra.Command {
	root := &cobra.Command{
		Use:   "fleet",
		Short: "Ask nodes for their view of one another",
		Long: `Ask nodes for their view of one another.

A node answers by its admin API (the console), if its features file has [members] and the settings allow messages
between nodes.`,
	}
	root.AddCommand(fleetViewCommand())
	return root
}

func fleetViewCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "view --console ADDRESS...",
		Short: "Show which nodes a node counts as members",
		Args:  cobra.NoArgs,
		Long: `Show which nodes a node counts as members, and by what. Several consoles are asked in turn.

Exit code 0: every node asked has answered. 1: one did not, or members are off there.`,
		Example: "  fawnglade fleet view --console 127.0.0.1:9000\n" +
			"  fawnglade fleet view --console 127.0.0.1:9000 --console 127.0.0.2:9000 --json",
	}
	var defaults []string
	if own := os.Getenv("NODE_CONSOLE"); own != "" {
		defaults = []string{own}
	}
	consoles := c.Flags().StringArray("console", defaults,
		"address of a node's console; may be given several times; by default NODE_CONSOLE's")
	asJSON := c.Flags().Bool("json", false, "print one JSON object for each node, as it came")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if len(*consoles) == 0 {
			return errors.New("no console: give --console or set NODE_CONSOLE")
		}
		var failed error
		for _, console := range *consoles {
			if err := showView(c.OutOrStdout(), console, *asJSON); err != nil {
				failed = errors.Join(failed, fmt.Errorf("%s: %w", console, err))
			}
		}
		return failed
	}
	return c
}

// showView prints one node's view of the members.
func showView(w io.Writer, console string, asJSON bool) error {
	text, err := callAdmin(console, http.MethodGet, membersPath)
	if err != nil {
		return err
	}
	var view members.View
	if err := json.Unmarshal(text, &view); err != nil {
		return err
	}
	if asJSON {
		_, err := w.Write(append(bytes.TrimSpace(text), '\n'))
		return err
	}
	_, err = w.Write(formatView(&view))
	return err
}

// callAdmin makes one call of a node's admin API and returns the response's text; any status but 200 is an error.
func callAdmin(console, method, path string) ([]byte, error) {
	conn, err := net.DialTimeout("tcp", console, adminTimeout)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(adminTimeout))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", method, path, console)
	if err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAdminResponse))
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s %s", response.Status, bytes.TrimSpace(text))
	}
	return text, err
}

// formatAge is an age in nanoseconds for people; below 0 it is that of what never happened.
func formatAge(ns int64) string {
	if ns < 0 {
		return "never"
	}
	return time.Duration(ns).Round(100 * time.Millisecond).String()
}

// formatView is a view as a summary and a table of the members.
func formatView(v *members.View) []byte {
	var b bytes.Buffer // writes to it can't fail
	f := &v.Summary
	fmt.Fprintf(&b, "%s, incarnation %d, %d rounds, strain %d\n", v.Name, v.Incarnation, v.Periods, v.HealthScore)
	if f.Reliable {
		fmt.Fprintf(&b, "%d of %d nodes up, %d doubted, %d silent, %d left, %d never seen; "+
			"%.0f%% of the last probes answered, %s ago\n",
			f.Alive, f.Nodes, f.Suspect, f.Dead, f.Left, f.Unknown, 100*f.ProbeSuccessRate, formatAge(f.AgeNs))
	} else {
		fmt.Fprintf(&b, "how many of %d nodes there are is unknown: %s\n", f.Nodes, f.Reason)
	}
	var rows bytes.Buffer
	fmt.Fprintln(&rows, "NODE\tSTATE\tFOR\tHEARD\tSTARTED\tINCARNATION\tREMARK")
	for i := range v.Members {
		m := &v.Members[i]
		fmt.Fprintf(&rows, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", m.Name, m.State, formatAge(m.StateAgeNs), formatAge(m.LastReceivedAgeNs),
			formatStart(m), m.Incarnation, memberRemark(v, m))
	}
	table := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = table.Write(rows.Bytes())
	_ = table.Flush()
	return b.Bytes()
}

// formatStart is when a member started; empty if that is unknown.
func formatStart(m *members.Member) string {
	if m.StartMs == 0 {
		return ""
	}
	return time.UnixMilli(int64(m.StartMs)).UTC().Format(time.DateTime)
}

// remark is what is unusual about a member.
func memberRemark(v *members.View, m *members.Member) string {
	switch {
	case m.Name == v.Name && v.NameConflict:
		return "another process has this name"
	case m.Name == v.Name:
		return "itself"
	case m.NameConflict:
		return "messages from another life or process of this name"
	case m.LocalOnly:
		return "by this node's sight alone"
	}
	return ""
}
