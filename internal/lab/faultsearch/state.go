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

// stateFile of a search in its directory.
const stateFile = "hunt.json"

// State is the progress of a search. It is stored after each round and each find, so that a search that was ended is
// resumed.
type State struct {
	Seed       uint64      `json:"seed"`
	Base       string      `json:"base"` // name of the scenario
	Round      int         `json:"round"`
	Runs       int         `json:"played"`
	Candidates []Candidate `json:"days"` // the pool for the next round, the worst first
	Finds      []Candidate `json:"shrunk,omitempty"`
}

// loadState reads the state in the directory; where there is none, it makes the directory and begins anew.
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
		return nil, fmt.Errorf("%s holds a hunt over %s with seed %d: expected %s with seed %d, or another directory",
			o.Dir, state.Base, state.Seed, o.Base.Name, o.Seed)
	}
	return state, nil
}

// save replaces the stored state by a rename, so that an interrupted write leaves the old one.
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

// FindName is the name of the nth find's scenario, from 1; its file has the extension .toml.
func FindName(base string, n int) string { return fmt.Sprintf("%s-found-%d", base, n) }

// writeFind stores the nth find as a scenario file without expectations.
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
