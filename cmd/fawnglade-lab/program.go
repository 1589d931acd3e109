package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"fawnglade/internal/lab/emulator"
)

// nodeProgram is the file name of the node program, and the name of the project's own decider in virtual time.
const nodeProgram = "fawnglade"

// serveArgument is the argument with which a node program is started unless a whole command line is given.
const serveArgument = "serve"

// relayProxy is the kind of proxy that forwards bytes without parsing them. It is the baseline of the cost command.
const relayProxy = "relay"

// nodeCommand returns the command line of the node under test: the given one if not empty, else that of the node
// program in this program's directory, in bin/ or on the path.
func nodeCommand(given string) ([]string, error) {
	if given != "" {
		return parseCommand(given)
	}
	if self, err := os.Executable(); err == nil {
		if sibling := filepath.Join(filepath.Dir(self), nodeProgram); isExecutable(sibling) {
			return []string{sibling, serveArgument}, nil
		}
	}
	if inBin, err := filepath.Abs("bin/" + nodeProgram); err == nil && isExecutable(inBin) {
		return []string{inBin, serveArgument}, nil
	}
	if onPath, err := exec.LookPath(nodeProgram); err == nil {
		return []string{onPath, serveArgument}, nil
	}
	return nil, errors.New("no node program found in this program's directory, in bin/ or on the path: build it with make build or set --node")
}

// parseCommand returns the command line for a node as given by a user: plain:KIND for a built-in proxy, the path of a
// node program, or a whole command line.
func parseCommand(text string) ([]string, error) {
	if kind, plain := strings.CutPrefix(text, "plain:"); plain {
		return proxyCommand(text, kind)
	}
	words := strings.Fields(text)
	if len(words) == 0 {
		return nil, errors.New("expected a node command, got an empty one")
	}
	path, err := exec.LookPath(words[0])
	if err != nil {
		return nil, err
	}
	words[0], err = filepath.Abs(path)
	if err != nil {
		return nil, err
	}
	if len(words) == 1 {
		words = append(words, serveArgument)
	}
	return words, nil
}

func proxyCommand(text, kind string) ([]string, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	if kind != relayProxy && !slices.Contains(emulator.ReferenceProxyKinds, kind) {
		return nil, fmt.Errorf("%s: expected plain: and one of %s", text, strings.Join(emulator.ReferenceProxyKinds, ", "))
	}
	return []string{self, "proxy", "--kind", kind}, nil
}

func isExecutable(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular() && info.Mode()&0o111 != 0
}
