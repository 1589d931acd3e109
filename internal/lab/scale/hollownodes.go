package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"fawnglade/internal/lab/emulator"
	"fawnglade/internal/node"

	"go.uber.org/zap"
)

// Hollow nodes are many nodes in one process. Each is the node's own code with its endpoint list, membership and state,
// but without requests. One real process beside them shows how far the two differ.

// readyLine is what the process of hollow nodes prints once all are ready.
const readyLine = "ready\n"

// hollowFleet is the file that the process of hollow nodes reads.
type hollowFleet struct {
	Discovery string          `json:"Discovery"` // address
	Nodes     []nodeAddresses `json:"Nodes"`     // the last is the real one
	Dir       string          `json:"Dir"`
}

// hollow are the places of the hollow nodes.
func (f *hollowFleet) hollow() []nodeAddresses { return f.Nodes[:len(f.Nodes)-1] }

// writeFeatures writes the features file of one node, and returns its path.
func (f *hollowFleet) writeFeatures(index int) (string, error) {
	var text strings.Builder
	self := f.Nodes[index]
	fmt.Fprintf(&text, "[members]\nlisten = %q\nround = \"500ms\"\nkey = %q\nlist = true\n", self.Members, strings.Repeat("5a", 16))
	for _, n := range f.Nodes {
		fmt.Fprintf(&text, "[[members.node]]\nname = %q\naddress = %q\n", n.Name, n.Members)
	}
	path := filepath.Join(f.Dir, self.Name+".toml")
	return path, os.WriteFile(path, []byte(text.String()), 0o600)
}

func (f *hollowFleet) stateDir(index int) string {
	return filepath.Join(f.Dir, f.Nodes[index].Name+".state")
}

// RunHollow runs the hollow nodes of a file in this process, and prints a line once all are ready. It returns if one of
// them ends; otherwise the process is killed, which the system does too if its parent ends.
func RunHollow(path string, out io.Writer) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var f hollowFleet
	if err := json.Unmarshal(text, &f); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	ended := make(chan error, len(f.Nodes))
	for i := range f.hollow() {
		n, err := f.newNode(i)
		if err != nil {
			return err
		}
		go func() { ended <- n.Run(nil) }()
	}
	for _, addresses := range f.hollow() {
		for began := time.Now(); !isReady(addresses.Admin); time.Sleep(readyPoll) {
			if time.Since(began) > readyTimeout {
				return fmt.Errorf("%s not ready within %v", addresses.Name, readyTimeout)
			}
		}
	}
	if _, err := io.WriteString(out, readyLine); err != nil {
		return err
	}
	return <-ended
}

func (f *hollowFleet) newNode(index int) (*node.Node, error) {
	config, err := node.ParseConfig([]byte(nodeConfig(index, f.Nodes[index], f.Discovery, true)))
	if err != nil {
		return nil, err
	}
	features, err := f.writeFeatures(index)
	if err != nil {
		return nil, err
	}
	if err := errors.Join(config.ReadFeatures(features), config.UseStateDir(f.stateDir(index))); err != nil {
		return nil, err
	}
	return node.New(config, zap.NewNop())
}

// startHollow starts the process of hollow nodes, and waits until all are ready.
func startHollow(e *Env, f *hollowFleet) (*nodeProcess, error) {
	text, err := json.Marshal(f)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(f.Dir, "hollow.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	output, input := io.Pipe()
	p := &nodeProcess{startedAt: time.Now()}
	command := append(slices.Clone(e.HollowCommand), path)
	p.Process, err = emulator.Command(command)("", []string{"TMPDIR=" + f.Dir}, input)
	if err != nil {
		return nil, err
	}
	go func() {
		<-p.Done()
		_ = input.Close() // never fails
	}()
	first := make(chan string, 1)
	go readOutput(output, first)
	select {
	case line := <-first:
		if line == readyLine {
			return p, nil
		}
		p.kill()
		return nil, fmt.Errorf("hollow nodes: %s", strings.TrimSpace(line))
	case <-time.After(2 * readyTimeout):
		p.kill()
		return nil, fmt.Errorf("hollow nodes: not ready within %v", 2*readyTimeout)
	}
}

// readOutput passes the first line on, and discards the rest, so that the process never waits for a reader.
func readOutput(output io.Reader, first chan<- string) {
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil && line == "" {
		line = err.Error()
	}
	first <- line
	_, _ = io.Copy(io.Discard, output) // ends with the process
}
