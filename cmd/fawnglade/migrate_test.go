package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fawnglade/internal/node"

	"github.com/spf13/cobra"
)

const oldConfig = `{"name":"n0","listen":"127.0.0.1:8080","discovery":"127.0.0.1:8081","seed":"1f",
"limits":{"sockets":512},"news":{"listen":"127.0.0.1:7"},
"note":12345678901234567890,"settings":{"discovery":"push","family_info":{"warm_keys":true},
"goal":{"tail":0.3,"borne_misses":0.02,"whole":1},
"group_size":3,"limits":{"connect_timeout_us":75000,"idle_close_us":60000000,"may_duplicate":true,"try_limit":3},
"profiles":[{"deadline_us":800000,"name":"view","objective_us":300000,"repeat":"safe",
"aim_stretch":2,"streaming":false}],
"quantum_us":2000,"report":{"fields":["queue","inflight"],"how":"inline"},
"rules":{"cold_from":0.2,"warm_within_us":20000000},
"weights":"live","zone":0,"zones":["a"]}}`

// runMigrate runs the migrate command and returns its standard output, error output and error.
func runMigrate(arguments ...string) (out, errorOutput string, err error) {
	root := &cobra.Command{Use: "fawnglade", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(migrateCommand())
	var stdout, stderr strings.Builder
	root.SetOut(&stdout)
	root.SetErr(&stderr)
	root.SetArgs(append([]string{"migrate"}, arguments...))
	err = root.Execute()
	return stdout.String(), stderr.String(), err
}

func writeOldConfig(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "old.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestMigrateWritesValidConfiguration(t *testing.T) {
	oldPath := writeOldConfig(t, oldConfig)
	newPath := filepath.Join(filepath.Dir(oldPath), "new.json")
	peersPath := filepath.Join(filepath.Dir(oldPath), "all")
	if err := os.WriteFile(peersPath, []byte("127.0.0.1:9001\n127.0.0.1:9002\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	arguments := []string{
		"--config", oldPath, "--out", newPath, "--nodes", "400", "--position", "7", "--news", "127.0.0.1:9001",
		"--peers", peersPath, "--peer", "127.0.0.1:9003", "--reports", "on_probe", "--copies=false",
	}
	dryRunOutput, dropped, err := runMigrate(append(arguments, "--dry-run")...)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(newPath); err == nil {
		t.Fatal("--dry-run wrote the output file, want none")
	}
	for _, want := range []string{
		"goal.tail", "goal.borne_misses", "profiles.0.aim_stretch",
		"settings.weights", "news:", "report.fields: inflight",
	} {
		if !strings.Contains(dropped, want) {
			t.Errorf("want %s among the settings not carried over, got\n%s", want, dropped)
		}
	}
	if strings.Contains(dropped, "streaming") {
		t.Error("got streaming, which was false, among the settings not carried over")
	}
	if _, _, err := runMigrate(arguments...); err != nil {
		t.Fatal(err)
	}
	text, _ := os.ReadFile(newPath)
	if string(text) != dryRunOutput {
		t.Error("the output of --dry-run differs from the file written")
	}
	c, err := node.ReadConfig(newPath)
	if err != nil {
		t.Fatal(err)
	}
	if c.Gossip.Listen != "127.0.0.1:9001" || len(c.Gossip.Peers) != 3 || !strings.Contains(dryRunOutput, `"group_size": 400`) ||
		!strings.Contains(dryRunOutput, `"multiplex": 100`) || !strings.Contains(dryRunOutput, "12345678901234567890") ||
		!strings.Contains(dryRunOutput, `"may_duplicate": false`) {
		t.Errorf("got the following file, want the settings given by the flags, and unknown settings unchanged:\n%s", text)
	}
	if _, _, err := runMigrate(arguments...); err == nil {
		t.Error("an existing output file: got no error, want one")
	}
	if afterSecondRun, _ := os.ReadFile(newPath); string(afterSecondRun) != string(text) {
		t.Error("an existing output file was changed")
	}
	if oldText, _ := os.ReadFile(oldPath); string(oldText) != oldConfig {
		t.Error("the old configuration file was changed")
	}
}

func TestMigrateErrorsNameFileAndKey(t *testing.T) {
	for want, c := range map[string]struct {
		text      string
		extraArgs []string
	}{
		"settings: limits.try_limit: expected": {
			strings.Replace(oldConfig, `"try_limit":3`, `"try_limit":"x"`, 1), nil,
		},
		"old.json: unexpected end": {oldConfig[:300], nil},
		"under exactly this name":  {strings.Replace(oldConfig, `"settings"`, `"Settings"`, 1), nil},
		"settings: expected an object": {
			`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","seed":"1"}`,
			nil,
		},
		"settings.group_size: give --nodes":        {oldConfig, []string{"--nodes", "0"}},
		"position: expected a number below":        {oldConfig, []string{"--position", "400"}},
		"limits.multiplex: expected a number":      {oldConfig, []string{"--streams", "0"}},
		"news.peers.0: expected an address":        {oldConfig, []string{"--peer", "nobody"}},
		"report.how: expected one of":              {oldConfig, []string{"--reports", "sometimes"}},
		"settings: report.how: expected one of in": {oldConfig, []string{"--reports", ""}},
	} {
		oldPath := writeOldConfig(t, c.text)
		newPath := filepath.Join(filepath.Dir(oldPath), "new.json")
		arguments := []string{"--config", oldPath, "--out", newPath, "--nodes", "400", "--news", "127.0.0.1:9001"}
		_, _, err := runMigrate(append(arguments, c.extraArgs...)...)
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "old.json") {
			t.Errorf("%v: got error %v, want one with %q and the name of the old file", c.extraArgs, err, want)
		}
		if _, err := os.Stat(newPath); err == nil {
			t.Errorf("%v: an output file was written, want none", c.extraArgs)
		}
	}
	if _, _, err := runMigrate("--config", writeOldConfig(t, oldConfig), "--nodes", "3"); err == nil {
		t.Error("without --out and --dry-run: got no error, want one")
	}
}
