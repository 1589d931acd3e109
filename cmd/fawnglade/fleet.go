package main

// This file owns the commands that ask nodes what they believe of the fleet. None of them changes anything.

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fawnglade/internal/members"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

const askWithin = 3 * time.Second

func fleetCommands() *cobra.Command {
	root := &cobra.Command{
		Use:   "fleet",
		Short: "Ask nodes what they believe of one another",
		Long: `Ask nodes what they believe of one another.

A node answers at its console, where its features file has [members] and the settings allow messages between nodes.`,
	}
	root.AddCommand(fleetView())
	return root
}

// askConsole asks a console one thing and returns the answer's text.
func askConsole(console, method, path string) ([]byte, error) {
	c, err := net.DialTimeout("tcp", console, askWithin)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(askWithin))
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", method, path, console); err != nil {
		return nil, err
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, 4<<20))
	if err == nil && answer.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s %s", answer.Status, bytes.TrimSpace(text))
	}
	return text, err
}

func fleetView() *cobra.Command {
	c := &cobra.Command{
		Use: "view --console ADDRESS...", Short: "Show which nodes one node believes are there", Args: cobra.NoArgs,
		Long: `Show which nodes one node believes are there, with what it goes by. Several consoles are asked in turn.

Exit code 0: every node asked has answered. 1: one did not, or members are off there.`,
		Example: "  fawnglade fleet view --console 127.0.0.1:9000\n  fawnglade fleet view --console 127.0.0.1:9000 --console 127.0.0.2:9000 --json",
	}
	var consoles []string
	if own := os.Getenv("NODE_CONSOLE"); own != "" {
		consoles = []string{own}
	}
	list := c.Flags().StringArray("console", consoles, "address of a node's console; may be given several times; by default NODE_CONSOLE's")
	asJSON := c.Flags().Bool("json", false, "print one JSON object for each node, as it came")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if len(*list) == 0 {
			return errors.New("no console: give --console or set NODE_CONSOLE")
		}
		var failed error
		for _, console := range *list {
			text, err := askConsole(console, http.MethodGet, "/members")
			var v members.View
			if err == nil {
				err = json.Unmarshal(text, &v)
			}
			switch {
			case err != nil:
				failed = errors.Join(failed, fmt.Errorf("%s: %w", console, err))
			case *asJSON:
				c.OutOrStdout().Write(append(bytes.TrimSpace(text), '\n'))
			default:
				printView(c.OutOrStdout(), &v)
			}
		}
		return failed
	}
	return c
}

func age(ns int64) string {
	if ns < 0 {
		return "never"
	}
	return time.Duration(ns).Round(100 * time.Millisecond).String()
}

func printView(w io.Writer, v *members.View) {
	f := &v.Summary
	fmt.Fprintf(w, "%s, incarnation %d, %d rounds, strain %d\n", v.Name, v.Incarnation, v.Rounds, v.HealthScore)
	if f.Known {
		fmt.Fprintf(w, "%d of %d nodes up, %d doubted, %d silent, %d left, %d never seen; %.0f%% of the last probes answered, %s ago\n",
			f.Alive, f.Nodes, f.Suspect, f.Dead, f.Left, f.Unknown, 100*f.ProbeSuccess, age(f.AgeNs))
	} else {
		fmt.Fprintf(w, "how many of %d nodes there are is unknown: %s\n", f.Nodes, f.Reason)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "NODE\tSTATE\tFOR\tHEARD\tSTARTED\tINCARNATION\tREMARK")
	for _, r := range v.Members {
		started, remark := "", ""
		if r.StartMs > 0 {
			started = time.UnixMilli(int64(r.StartMs)).UTC().Format("2006-01-02 15:04:05")
		}
		switch {
		case r.Name == v.Name && v.NameConflict:
			remark = "another process has this name"
		case r.Name == v.Name:
			remark = "itself"
		case r.NameConflict:
			remark = "messages from another life or process of this name"
		case r.OwnViewOnly:
			remark = "by this node's sight alone"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", r.Name, r.State, age(r.StateAgeNs), age(r.LastHeardNs), started, r.Incarnation, remark)
	}
	t.Flush()
}
