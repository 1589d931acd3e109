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

// run plays a command line and returns what it printed.
func runMigrate(arguments ...string) (out, complaints string, err error) {
	root := &cobra.Command{Use: "fawnglade", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(migrateCommand())
	var o, e strings.Builder
	root.SetOut(&o)
	root.SetErr(&e)
	root.SetArgs(append([]string{"migrate"}, arguments...))
	err = root.Execute()
	return o.String(), e.String(), err
}

func writeOldConfig(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "old.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestMigrateWritesValidConfiguration(t *testing.T) {
	from := writeOldConfig(t, oldConfig)
	to := filepath.Join(filepath.Dir(from), "new.json")
	all := filepath.Join(filepath.Dir(from), "all")
	if err := os.WriteFile(all, []byte("127.0.0.1:9001\n127.0.0.1:9002\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	arguments := []string{
		"--config", from, "--out", to, "--nodes", "400", "--position", "7", "--news", "127.0.0.1:9001",
		"--peers", all, "--peer", "127.0.0.1:9003", "--reports", "on_probe", "--copies=false",
	}
	dry, left, err := runMigrate(append(arguments, "--dry-run")...)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(to); err == nil {
		t.Fatal("a dry run wrote the file")
	}
	for _, want := range []string{
		"goal.tail", "goal.borne_misses", "profiles.0.aim_stretch",
		"settings.weights", "news:", "report.fields: inflight",
	} {
		if !strings.Contains(left, want) {
			t.Errorf("%s is not told as not carried over in\n%s", want, left)
		}
	}
	if strings.Contains(left, "streaming") {
		t.Error("a category that does not stream lost nothing")
	}
	if _, _, err := runMigrate(arguments...); err != nil {
		t.Fatal(err)
	}
	text, _ := os.ReadFile(to)
	if string(text) != dry {
		t.Error("the dry run printed something else than was written")
	}
	c, err := node.ReadConfig(to)
	if err != nil {
		t.Fatal(err)
	}
	if c.Gossip.Listen != "127.0.0.1:9001" || len(c.Gossip.Peers) != 3 || !strings.Contains(dry, `"group_size": 400`) ||
		!strings.Contains(dry, `"multiplex": 100`) || !strings.Contains(dry, "12345678901234567890") ||
		!strings.Contains(dry, `"may_duplicate": false`) {
		t.Errorf("written:\n%s", text)
	}
	if _, _, err := runMigrate(arguments...); err == nil {
		t.Error("it wrote over a file")
	}
	if again, _ := os.ReadFile(to); string(again) != string(text) {
		t.Error("the file that was there has changed")
	}
	if same, _ := os.ReadFile(from); string(same) != oldConfig {
		t.Error("the old file has changed")
	}
}

func TestMigrateErrorsNameFileAndKey(t *testing.T) {
	for want, c := range map[string]struct {
		text  string
		extra []string
	}{
		"settings: limits.try_limit: expected": {
			strings.Replace(oldConfig, `"try_limit":3`, `"try_limit":"x"`, 1), nil,
		},
		"old.json: unexpected end": {oldConfig[:300], nil},
		"under this very name":     {strings.Replace(oldConfig, `"settings"`, `"Settings"`, 1), nil},
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
		from := writeOldConfig(t, c.text)
		to := filepath.Join(filepath.Dir(from), "new.json")
		arguments := []string{"--config", from, "--out", to, "--nodes", "400", "--news", "127.0.0.1:9001"}
		_, _, err := runMigrate(append(arguments, c.extra...)...)
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "old.json") {
			t.Errorf("%v: got %v, want %q and the file's name in it", c.extra, err, want)
		}
		if _, err := os.Stat(to); err == nil {
			t.Errorf("%v: something was written", c.extra)
		}
	}
	if _, _, err := runMigrate("--config", writeOldConfig(t, oldConfig), "--nodes", "3"); err == nil {
		t.Error("neither --out nor --dry-run, and no complaint")
	}
}
