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

// startRelayProcess starts an origin or relay and returns its address. log waits until the process has closed its error
// output, and returns that output.
func startRelayProcess(t *testing.T, text string) (c *exec.Cmd, address string, log func() string) {
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
	serving, logText, logDone := make(chan string, 1), &strings.Builder{}, make(chan struct{})
	go func() {
		defer close(logDone)
		for in := bufio.NewScanner(out); in.Scan(); {
			var line struct{ Msg, Listen string }
			if err := json.Unmarshal(in.Bytes(), &line); err == nil && line.Msg == "serving" {
				serving <- line.Listen
			}
			logText.WriteString(in.Text() + "\n")
		}
	}()
	select {
	case address = <-serving:
	case <-time.After(10 * time.Second):
		t.Fatal("the process is not serving after 10 s")
	}
	return c, address, func() string { <-logDone; return logText.String() }
}

// When a relay is stopped, its subscriber must receive records through another relay within 6 s.
func TestRelayProcessesFailOver(t *testing.T) {
	dir := t.TempDir()
	writeRecord := func(n int) {
		text := fmt.Sprintf(`{"scope":"all/tenants","key":"tenant/a","body":%d}`, n)
		if err := os.WriteFile(filepath.Join(dir, "new"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(filepath.Join(dir, "new"), filepath.Join(dir, "a.jsonl")); err != nil {
			t.Fatal(err)
		}
	}
	writeRecord(1)
	origin, originAddress, originLog := startRelayProcess(t, fmt.Sprintf("name = \"o\"\nrole = \"origin\"\nlisten = \"127.0.0.1:0\"\n[origin]\nconfiguration = %q\nevery = \"50ms\"\nstate = %q\n", dir, filepath.Join(t.TempDir(), "epoch")))
	relayText := "name = %q\nrole = \"relay\"\nlisten = \"127.0.0.1:0\"\nupstream = [%q]\n"
	relayOne, addressOne, _ := startRelayProcess(t, fmt.Sprintf(relayText, "one", originAddress))
	relayTwo, addressTwo, relayTwoLog := startRelayProcess(t, fmt.Sprintf(relayText, "two", originAddress))

	subscriber, err := distribution.NewSubscriber(relay.Selectors([]string{"all/tenants"}), distribution.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	sink := relay.NewSubscriberSink(subscriber, []string{"all/tenants"}, nil, zap.NewNop())
	client := relay.NewClient(relay.ClientConfig{Name: "n", Upstreams: []string{addressOne, addressTwo}}, sink, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go client.Run(ctx)
	expectRecord := func(n int, timeout time.Duration) {
		t.Helper()
		startedAt := time.Now()
		for got := ""; got != fmt.Sprint(n); time.Sleep(5 * time.Millisecond) {
			if time.Since(startedAt) > timeout {
				t.Fatalf("got the record %q after %v, want %d", got, timeout, n)
			}
			sink.Inspect(func(s *distribution.Subscriber) { s.Each(func(r distribution.Record) { got = string(r.Body) }) })
		}
	}
	expectRecord(1, 10*time.Second)
	if err := relayOne.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	writeRecord(2)
	expectRecord(2, 6*time.Second)
	killAndWait(relayOne) // SIGKILL, as the process is stopped and would not handle SIGTERM
	sendSignal(t, relayTwo, syscall.SIGUSR1)
	writeRecord(3)
	expectRecord(3, 6*time.Second)
	for _, c := range []*exec.Cmd{relayTwo, origin} {
		if err := c.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	for name, log := range map[string]string{"two": relayTwoLog(), "origin": originLog()} {
		if !strings.Contains(log, "counters at exit") || name == "two" && !strings.Contains(log, "counters asked for") {
			t.Errorf("%s: want the counters in the log, got %s", name, log)
		}
	}
	for _, c := range []*exec.Cmd{relayTwo, origin} {
		if err := c.Wait(); err != nil {
			t.Errorf("the process exited with %v, want exit code 0", err)
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
		t.Errorf("invalid configuration: got %v, want an error with both keys; output: %s", err, text)
	}
	c = exec.Command(os.Args[0], "relay", "--check", "--config", "../../deploy/relay/origin.toml")
	c.Env = append(os.Environ(), "RUN_FAWNGLADE=1")
	if text, err = c.CombinedOutput(); err != nil ||
		!strings.Contains(string(text), "origin-1, role origin on 127.0.0.1:7400") {
		t.Errorf("deploy/relay/origin.toml: got %v, want it valid; output: %s", err, text)
	}
}
