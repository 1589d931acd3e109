package main

// This file owns the move of a configuration from the older shape of a deployment, a pool of nodes for all clients, to
// a node for each client process. It must never change the file it reads nor overwrite another, and writes nothing that
// a node would not start with.

import (
	"bytes"
	"encoding/json"
	"errors"
	"fawnglade/internal/node"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

// shape is what the new deployment is like and an old file cannot tell.
type shape struct {
	nodes, position, streams int
	news                     string
	peers                    []string
	reports                  string
	copies                   bool
}

func migrate() *cobra.Command {
	c := &cobra.Command{Use: "migrate", Short: "Write a configuration's counterpart for a node beside each client", Args: cobra.NoArgs}
	path := configFlag(c)
	var s shape
	out := c.Flags().String("out", "", "file to write; must not be there yet")
	dry := c.Flags().Bool("dry-run", false, "change nothing, print what would be written")
	c.Flags().IntVar(&s.nodes, "nodes", 0, "how many nodes there are together")
	c.Flags().IntVar(&s.position, "position", 0, "which of them this one is, from 0")
	c.Flags().IntVar(&s.streams, "streams", 100, "tasks that a connection to a server carries at once")
	c.Flags().StringVar(&s.news, "news", "", "address with port on which this node hears the others; left out, no messages")
	c.Flags().StringSliceVar(&s.peers, "peer", nil, "address with port of another node's news; once for each")
	list := c.Flags().String("peers", "", "file with such addresses, one a line; this node's own may stand among them")
	c.Flags().StringVar(&s.reports, "reports", "inline", "where servers report their load: inline, on_probe, off")
	c.Flags().BoolVar(&s.copies, "copies", true, "second copies stay allowed where they were")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if *path == "" {
			return errors.New("no configuration: give --config or set NODE_CONFIG")
		}
		if *out == "" && !*dry {
			return errors.New("nowhere to write: give --out, or --dry-run")
		}
		if *list != "" {
			addresses, err := os.ReadFile(*list)
			if err != nil {
				return err
			}
			s.peers = append(s.peers, strings.Fields(string(addresses))...)
		}
		text, err := os.ReadFile(*path)
		if err != nil {
			return err
		}
		if _, err := node.ParseConfig(text); err != nil {
			return fmt.Errorf("%s: %w", *path, err)
		}
		moved, left, err := s.move(text)
		if err != nil {
			return fmt.Errorf("%s: %w", *path, err)
		}
		if _, err := node.ParseConfig(moved); err != nil {
			return fmt.Errorf("%s: its counterpart would not start a node: %w", *path, err)
		}
		for _, l := range left {
			fmt.Fprintln(c.ErrOrStderr(), "not carried over:", l)
		}
		if *dry {
			_, err = c.OutOrStdout().Write(moved)
			return err
		}
		if err := writeNew(*out, moved); err != nil {
			return err
		}
		fmt.Fprintf(c.OutOrStdout(), "%s: written, %d settings not carried over\n", *out, len(left))
		return nil
	}
	return c
}

// writeNew writes a file that was not there, or leaves none behind.
func writeNew(path string, text []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o640)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		os.Remove(path)
	}
	return err
}

// move makes the counterpart. What it does not know stays as it is.
func (s *shape) move(text []byte) (moved []byte, left []string, err error) {
	in := json.NewDecoder(bytes.NewReader(text))
	in.UseNumber() // a number must come out as it went in
	var file map[string]any
	if err := in.Decode(&file); err != nil {
		return nil, nil, err
	}
	if s.nodes < 1 {
		return nil, nil, errors.New("settings.group_size: give --nodes, the old file cannot tell it")
	}
	settings, ok := file["settings"].(map[string]any)
	if !ok { // a reader that takes Settings for settings has let it pass
		return nil, nil, errors.New("settings: expected an object under this very name, got none")
	}
	settings["group_size"], settings["position"] = s.nodes, s.position
	limits := inside(settings, "limits")
	limits["multiplex"], limits["peer_messages"] = s.streams, s.news != ""
	if s.reports != "inline" {
		inside(settings, "report")["how"] = s.reports
		limits["probes"] = s.reports == "on_probe"
	}
	if limits["may_duplicate"] == true && !s.copies {
		limits["may_duplicate"] = false
	}
	if _, had := file["news"]; had {
		left = append(left, "news: the one of the old file; --news and --peers tell the new one")
		delete(file, "news")
	}
	if s.news != "" {
		file["news"] = map[string]any{"listen": s.news, "peers": append([]string{}, s.peers...)}
	}
	drop := func(of map[string]any, at, key, why string) {
		if value, had := of[key]; had && value != false && value != nil {
			left = append(left, fmt.Sprintf("%s%s: %s", at, key, why))
		}
		delete(of, key)
	}
	if goal, ok := settings["goal"].(map[string]any); ok {
		drop(goal, "settings.goal.", "tail", "a borne share of misses is no longer a goal")
		drop(goal, "settings.goal.", "borne_misses", "a borne share of misses is no longer a goal")
	}
	profiles, _ := settings["profiles"].([]any)
	for i, p := range profiles {
		if profile, ok := p.(map[string]any); ok {
			at := fmt.Sprintf("settings.profiles.%d.", i)
			drop(profile, at, "aim_stretch", "soft limits no longer stretch with a task's work")
			drop(profile, at, "streaming", "answers are passed on whole")
		}
	}
	if settings["weights"] == "live" {
		settings["weights"] = "off"
		left = append(left, "settings.weights: live weights are passed over, servers' reports say it better; now off")
	}
	if fields, _ := inside(settings, "report")["fields"].([]any); slices.Contains(fields, any("inflight")) {
		left = append(left, "settings.report.fields: inflight is no longer read")
	}
	moved, err = json.MarshalIndent(file, "", "  ")
	return append(moved, '\n'), left, err
}

// inside returns the object under a key, made where there is none.
func inside(of map[string]any, key string) map[string]any {
	inner, ok := of[key].(map[string]any)
	if !ok {
		inner = map[string]any{}
		of[key] = inner
	}
	return inner
}
