package main

// The commands that query the admin APIs of nodes for their view of the fleet. They only read.

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
	adminTimeout     = 3 * time.Second // for a call, including connecting
	maxAdminResponse = 4 << 20         // bytes; the rest of a response is ignored
	membersPath      = "/members"
)

func fleetCommands() *cobra.Command {
	root := &cobra.Command{
		Use:   "fleet",
		Short: "Query nodes for their view of the fleet",
		Long: `Query nodes for their view of the fleet.

A node responds on its admin API (the console) if its features file has [members] and the settings allow messages
between nodes.`,
	}
	root.AddCommand(fleetViewCommand())
	return root
}

func fleetViewCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "view --console ADDRESS...",
		Short: "Show the members of the fleet as a node sees them",
		Args:  cobra.NoArgs,
		Long: `Show the members of the fleet as a node sees them, with their states. Several consoles are queried one after another.

Exit code 0: every node has responded. 1: a node did not respond, or membership is off there.`,
		Example: "  fawnglade fleet view --console 127.0.0.1:9000\n" +
			"  fawnglade fleet view --console 127.0.0.1:9000 --console 127.0.0.2:9000 --json",
	}
	var defaults []string
	if own := os.Getenv("NODE_CONSOLE"); own != "" {
		defaults = []string{own}
	}
	consoles := c.Flags().StringArray("console", defaults,
		"address of a node's console; may be repeated (default: the value of NODE_CONSOLE)")
	asJSON := c.Flags().Bool("json", false, "print the JSON response of each node, unchanged")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if len(*consoles) == 0 {
			return errors.New("no console address: expected --console or NODE_CONSOLE")
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

// showView prints the view of one node.
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

// callAdmin calls a node's admin API and returns the body of the response. Any status other than 200 is an error.
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

// formatAge formats an age in nanoseconds. A negative age stands for an event that never happened.
func formatAge(ns int64) string {
	if ns < 0 {
		return "never"
	}
	return time.Duration(ns).Round(100 * time.Millisecond).String()
}

// formatView formats a view as a summary and a table of the members.
func formatView(view *members.View) []byte {
	var b bytes.Buffer // writing to it can't fail
	summary := &view.Summary
	fmt.Fprintf(&b, "%s, incarnation %d, %d rounds, strain %d\n", view.Name, view.Incarnation, view.Periods, view.HealthScore)
	if summary.Reliable {
		fmt.Fprintf(&b, "%d of %d nodes up, %d doubted, %d silent, %d left, %d never seen; "+
			"%.0f%% of the last probes answered, %s ago\n",
			summary.Alive, summary.Nodes, summary.Suspect, summary.Dead, summary.Left, summary.Unknown, 100*summary.ProbeSuccessRate, formatAge(summary.AgeNs))
	} else {
		fmt.Fprintf(&b, "the number of live nodes, of %d, is unknown: %s\n", summary.Nodes, summary.Reason)
	}
	var rows bytes.Buffer
	fmt.Fprintln(&rows, "NODE\tSTATE\tFOR\tHEARD\tSTARTED\tINCARNATION\tREMARK")
	for i := range view.Members {
		member := &view.Members[i]
		fmt.Fprintf(&rows, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", member.Name, member.State, formatAge(member.StateAgeNs), formatAge(member.LastReceivedAgeNs),
			formatStart(member), member.Incarnation, memberRemark(view, member))
	}
	table := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = table.Write(rows.Bytes())
	_ = table.Flush()
	return b.Bytes()
}

// formatStart formats the start time of a member, or returns "" if it is unknown.
func formatStart(member *members.Member) string {
	if member.StartMs == 0 {
		return ""
	}
	return time.UnixMilli(int64(member.StartMs)).UTC().Format(time.DateTime)
}

// memberRemark returns a remark on what is unusual about a member, or "".
func memberRemark(view *members.View, member *members.Member) string {
	switch {
	case member.Name == view.Name && view.NameConflict:
		return "another process uses this name"
	case member.Name == view.Name:
		return "itself"
	case member.NameConflict:
		return "messages from an earlier run, or another process, with this name"
	case member.LocalOnly:
		return "judged while this node reached no other node"
	}
	return ""
}
