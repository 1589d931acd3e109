package faultsearch

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"fawnglade/internal/lab/scenario"

	"github.com/pelletier/go-toml/v2"
)

// stateFile is the name of the state file in a search's directory.
const stateFile = "hunt.json"

// State is the progress of a search. It is saved after each round and each find, so that an interrupted search can
// resume.
type State struct {
	Seed       uint64      `json:"seed"`
	Base       string      `json:"base"` // name of the scenario
	Round      int         `json:"round"`
	Runs       int         `json:"played"`
	Candidates []Candidate `json:"days"` // kept for the next round, the worst first
	Finds      []Candidate `json:"shrunk,omitempty"`
}

// loadState reads the state in the directory. If there is none, it creates the directory and returns a new state.
func loadState(o Options) (*State, error) {
	state := &State{Seed: o.Seed, Base: o.Base.Name}
	text, err := os.ReadFile(filepath.Join(o.Dir, stateFile))
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return state, os.MkdirAll(o.Dir, 0o755)
	case err != nil:
		return nil, err
	}
	if err := json.Unmarshal(text, state); err != nil {
		return nil, fmt.Errorf("%s: %w", o.Dir, err)
	}
	if state.Seed != o.Seed || state.Base != o.Base.Name {
		return nil, fmt.Errorf("%s holds a search over %s with seed %d: expected %s with seed %d, or another directory",
			o.Dir, state.Base, state.Seed, o.Base.Name, o.Seed)
	}
	return state, nil
}

// save writes the state to a temporary file and renames it, so that an interrupted write leaves the previous state.
func (s *State) save(dir string) error {
	text, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return err
	}
	path := filepath.Join(dir, stateFile)
	temporary := path + ".new"
	if err := os.WriteFile(temporary, append(text, '\n'), 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

// FindName returns the scenario name of the nth find, from 1. The file name adds the extension .toml.
func FindName(base string, n int) string { return fmt.Sprintf("%s-found-%d", base, n) }

// writeFind writes the nth find as a scenario file without expectations.
func (o *Options) writeFind(n int, c Candidate) error {
	s := o.scenarioOf(c)
	s.Seed = c.Seed
	s.Name = FindName(o.Base.Name, n)
	s.About = fmt.Sprintf("Found by a hunt: loses %.3f of the earnings against a policy that sees the true state late.", c.Loss)
	s.Expect = scenario.Expect{}
	text, err := toml.Marshal(s)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(o.Dir, s.Name+".toml"), text, 0o644)
}
