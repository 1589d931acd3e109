package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"fawnglade/internal/distribution"
	"fawnglade/internal/relay"

	"go.uber.org/zap"
)

// startRelayProcess starts a process and tells where it serves.
func startRelayProcess(t *testing.T, text string) (c *exec.Cmd, at string, log func() string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "relay.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c = exec.Command(os.Args[0], "relay", "--config", path)
	c.Env = append(os.Environ(), "RUN_FAWNGLADE=1")
	out, err := c.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { killProcess(c) })
	serving, all, over := make(chan string, 1), &strings.Builder{}, make(chan struct{})
	go func() {
		defer close(over)
		for in := bufio.NewScanner(out); in.Scan(); {
			var line struct{ Msg, Listen string }
			if err := json.Unmarshal(in.Bytes(), &line); err == nil && line.Msg == "serving" {
				serving <- line.Listen
			}
			all.WriteString(in.Text() + "\n")
		}
	}()
	select {
	case at = <-serving:
	case <-time.After(10 * time.Second):
		t.Fatal("does not serve")
	}
	return c, at, func() string { <-over; return all.String() }
}

func TestRelayProcessesFailOver(t *testing.T) {
	dir := t.TempDir()
	record := func(n int) {
		text := fmt.Sprintf(`{"scope":"all/tenants","key":"tenant/a","body":%d}`, n)
		if err := os.WriteFile(filepath.Join(dir, "new"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(filepath.Join(dir, "new"), filepath.Join(dir, "a.jsonl")); err != nil {
			t.Fatal(err)
		}
	}
	record(1)
	origin, at, originLog := startRelayProcess(t, fmt.Sprintf("name = \"o\"\nrole = \"origin\"\nlisten = \"127.0.0.1:0\"\n[origin]\nconfiguration = %q\nevery = \"50ms\"\nstate = %q\n", dir, filepath.Join(t.TempDir(), "epoch")))
	relayText := "name = %q\nrole = \"relay\"\nlisten = \"127.0.0.1:0\"\nupstream = [%q]\n"
	one, first, _ := startRelayProcess(t, fmt.Sprintf(relayText, "one", at))
	two, second, twoLog := startRelayProcess(t, fmt.Sprintf(relayText, "two", at))

	core, err := distribution.NewSubscriber(relay.Selectors([]string{"all/tenants"}), distribution.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	f := relay.NewSubscriberSink(core, []string{"all/tenants"}, nil, zap.NewNop())
	client := relay.NewClient(relay.ClientConfig{Name: "n", Upstreams: []string{first, second}}, f, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go client.Run(ctx)
	told := func(n int, within time.Duration) {
		t.Helper()
		began := time.Now()
		for found := ""; found != fmt.Sprint(n); time.Sleep(5 * time.Millisecond) {
			if time.Since(began) > within {
				t.Fatalf("%q after %v, expected %d", found, within, n)
			}
			f.Inspect(func(s *distribution.Subscriber) { s.Each(func(r distribution.Record) { found = string(r.Body) }) })
		}
	}
	told(1, 10*time.Second)
	if err := one.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	record(2)
	told(2, 6*time.Second)
	killAndWait(one) // stopped: nothing else ends it
	sendSignal(t, two, syscall.SIGUSR1)
	record(3)
	told(3, 6*time.Second)
	for _, c := range []*exec.Cmd{two, origin} {
		if err := c.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	for what, log := range map[string]string{"two": twoLog(), "origin": originLog()} {
		if !strings.Contains(log, "counters at exit") || what == "two" && !strings.Contains(log, "counters asked for") {
			t.Errorf("%s: no counters in %s", what, log)
		}
	}
	for _, c := range []*exec.Cmd{two, origin} {
		if err := c.Wait(); err != nil {
			t.Errorf("ended with %v", err)
		}
	}
}

func TestRelayCheckReportsConfigErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "relay.toml")
	if err := os.WriteFile(path, []byte("name = \"r\"\nrole = \"moon\"\nlisten = \"here\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	c := exec.Command(os.Args[0], "relay", "--config", path, "--check")
	c.Env = append(os.Environ(), "RUN_FAWNGLADE=1")
	text, err := c.CombinedOutput()
	if err == nil || !strings.Contains(string(text), "relay.toml: role: expected origin or relay, found \"moon\"") ||
		!strings.Contains(string(text), "relay.toml: listen: expected an address and a port, found \"here\"") {
		t.Errorf("%v: %s", err, text)
	}
	c = exec.Command(os.Args[0], "relay", "--check", "--config", "../../deploy/relay/origin.toml")
	c.Env = append(os.Environ(), "RUN_FAWNGLADE=1")
	if text, err = c.CombinedOutput(); err != nil ||
		!strings.Contains(string(text), "origin-1, role origin on 127.0.0.1:7400") {
		t.Errorf("%v: %s", err, text)
	}
}
