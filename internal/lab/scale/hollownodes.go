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

// Hollow nodes are many nodes in one process. Each runs the node's own code for the endpoint list, membership and
// state, but serves no requests. A real node process in the same fleet shows how much the two differ.

// readyLine is the line that the process of hollow nodes prints when all nodes are ready.
const readyLine = "ready\n"

// hollowFleet is the content of the file that the process of hollow nodes reads.
type hollowFleet struct {
	Discovery string          `json:"Discovery"` // address
	Nodes     []nodeAddresses `json:"Nodes"`     // the last one is the real node
	Dir       string          `json:"Dir"`
}

// hollow returns the addresses of the hollow nodes.
func (f *hollowFleet) hollow() []nodeAddresses { return f.Nodes[:len(f.Nodes)-1] }

// writeFeatures writes the features file of a node, and returns its path.
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

// RunHollow runs the hollow nodes of a file in this process, and prints readyLine when all are ready. It returns when
// one of them ends. Normally the process is killed instead; the kernel also kills it when its parent ends.
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
		for startedAt := time.Now(); !isReady(addresses.Admin); time.Sleep(readyPoll) {
			if time.Since(startedAt) > readyTimeout {
				return fmt.Errorf("hollow node %s: not ready within %v", addresses.Name, readyTimeout)
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

// startHollow starts the process of hollow nodes, and waits until all nodes are ready.
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
		return nil, fmt.Errorf("process of hollow nodes: expected the line that all are ready, got: %s", strings.TrimSpace(line))
	case <-time.After(2 * readyTimeout):
		p.kill()
		return nil, fmt.Errorf("process of hollow nodes: not ready within %v", 2*readyTimeout)
	}
}

// readOutput sends the first line to the channel and discards the rest, so that the process never blocks on writes.
func readOutput(output io.Reader, first chan<- string) {
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil && line == "" {
		line = err.Error()
	}
	first <- line
	_, _ = io.Copy(io.Discard, output) // ends with the process
}
