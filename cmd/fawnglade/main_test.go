package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"fawnglade/internal/store"
)

const config = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"seq":1,"whole":true,"hosts":[{"host":""},{"host":"s-1",
"dial":"127.0.0.1:1","site":"a","class":"m","block":0,"health":"up","share":1.0,"born_ms":0}]},"settings":{
"discovery":"ask","limits":{"connect_timeout_us":75000,"idle_close_us":60000000,"try_limit":3},"profiles":[
{"deadline_us":300000,"name":"view","objective_us":100000,"repeat":"safe"}],"quantum_us":2000,"report":{"how":"off"},
"rules":{"ask_within_us":10000000,"cold_from":0.2,"warm_within_us":20000000},"weights":"off","zone":0,"zones":["a"]}}`

// TestMain runs the program itself when a test asks for it.
func TestMain(m *testing.M) {
	if os.Getenv("RUN_FAWNGLADE") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func nodeCommand(t *testing.T, config string, args ...string) *exec.Cmd {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), "RUN_FAWNGLADE=1", "NODE_CONFIG="+path)
	return c
}

func TestServeLogsCountersAndExitsCleanly(t *testing.T) {
	c := nodeCommand(t, config, "serve")
	log, err := c.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer killProcess(c)
	next := map[string]syscall.Signal{`"serving"`: syscall.SIGUSR1, `"counters asked for"`: syscall.SIGTERM}
	var all strings.Builder
	for lines := bufio.NewScanner(log); lines.Scan(); {
		all.WriteString(lines.Text() + "\n")
		for message, signal := range next {
			if strings.Contains(lines.Text(), message) {
				sendSignal(t, c, signal)
				delete(next, message)
			}
		}
	}
	if err := c.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
	for _, want := range []string{`"counters asked for"`, `"counters at exit"`, `"list entries skipped":1`} {
		if !strings.Contains(all.String(), want) {
			t.Errorf("no %s in the log:\n%s", want, all.String())
		}
	}
}

func TestInvalidConfigurationExitsWithError(t *testing.T) {
	for text, want := range map[string]string{
		"{":  "unexpected end of JSON input",
		"{}": "expected an address and a port",
		strings.Replace(config, `"repeat":"safe"`, `"repeat":"odd"`, 1): "" +
			"profiles.0.repeat: expected one of safe keyed unsafe, got odd",
	} {
		for _, subcommand := range []string{"serve", "check"} {
			out, err := nodeCommand(t, text, subcommand).CombinedOutput()
			var exit *exec.ExitError
			if !errors.As(err, &exit) || exit.ExitCode() != 1 || !strings.Contains(string(out), want) ||
				strings.Contains(string(out), "goroutine") {
				t.Errorf("%s with %.20q: %v, %s", subcommand, text, err, out)
			}
		}
	}
}

// The store's commands on a whole directory, then on a damaged one.
func TestStoreCommands(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	s, _, err := store.Open(dir, store.Options{})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 5 {
		putValue(t, s, fmt.Sprint("a/", i), []byte("value"))
	}
	putValue(t, s, "b", []byte{0xff})
	run := func(code int, args ...string) string {
		t.Helper()
		c := nodeCommand(t, config, append([]string{"store"}, args...)...)
		out, _ := c.CombinedOutput()
		if c.ProcessState.ExitCode() != code {
			t.Errorf("%v: exit %d, want %d: %s", args, c.ProcessState.ExitCode(), code, out)
		}
		return string(out)
	}
	for want, args := range map[string][]string{
		"whole, 6 keys":                {"check", dir}, // beside its holder
		`"whole":true`:                 {"check", dir, "--json"},
		"5\ta/4\n":                     {"list", dir, "--prefix", "a/"},
		"value":                        {"get", dir, "a/3"},
		`{"base64":"/w==","key":"b"}`:  {"export", dir},
		`{"key":"a/0","text":"value"}`: {"export", dir},
	} {
		if out := run(0, args...); !strings.Contains(out, want) {
			t.Errorf("%v: %q, want %q in it", args, out, want)
		}
	}
	run(1, "get", dir, "c")
	run(1, "check", filepath.Join(dir, "nowhere"))
	run(1, "repair", dir, "--to", dir)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	files, _ := filepath.Glob(filepath.Join(dir, "seg-*"))
	text, _ := os.ReadFile(files[0])
	text[len(text)/2] ^= 1
	if err := os.WriteFile(files[0], text, 0o600); err != nil {
		t.Fatal(err)
	}
	if out := run(1, "check", dir); !strings.Contains(out, "is damaged at byte") {
		t.Errorf("a damaged store: %q", out)
	}
	to := filepath.Join(t.TempDir(), "mended")
	if out := run(0, "repair", dir, "--to", to); !strings.Contains(out, "5 batches copied") {
		t.Errorf("repaired: %q", out)
	}
	if out := run(0, "check", to); !strings.Contains(out, "whole, 5 keys") {
		t.Errorf("mended: %q", out)
	}
}
