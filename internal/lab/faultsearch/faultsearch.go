// Package faultsearch owns the search for the days on which the decisions lose most against a policy that sees more, or break a rule:
// which days are tried, which are kept, and how a found one is cut down to what matters. It must never play a day by itself.
//
// Random draws come first: troubles are many separate kinds, and the loss has no slope between them. The best of those are then
// changed a little at a time, each round with half as many and twice the changes (successive halving), as within one kind of trouble
// the loss does have one. Of days with the same kinds of fault only few stay: three finds are to be three causes.
package faultsearch

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fawnglade/internal/lab/scenario"
	"fmt"
	"io/fs"
	"math/bits"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Found is a day that was tried.
type Found struct {
	Seed   uint64           `json:"seed"`
	Faults []scenario.Fault `json:"faults"`
	Loss   float64          `json:"loss"` // earnings in time that the seeing one keeps and the judged one does not; 2 and more if a rule broke
	Broken int              `json:"rules_broken,omitempty"`
}

// Play plays a scenario with a seed and returns what the judged lost, and how many rules it broke.
type Play func(ctx context.Context, s *scenario.Scenario, seed uint64) (loss float64, broken int, err error)

// Options of a hunt.
type Options struct {
	Base   *scenario.Scenario
	Seed   uint64
	Draws  int // random days of the first round
	Keep   int // of them are changed further
	Dir    string
	Play   Play
	Each   func(ctx context.Context, n int, do func(i int) error) error // runs many at once
	Notice func(string)
}

// State is what a hunt has done so far; it is kept after each round, so that one that was ended goes on.
type State struct {
	Seed   uint64  `json:"seed"`
	Base   string  `json:"base"`
	Round  int     `json:"round"`
	Played int     `json:"played"`
	Days   []Found `json:"days"` // those still in the running, the worst first
	Shrunk []Found `json:"shrunk,omitempty"`
}

const (
	ruleBroken = 2.0
	kept       = 3   // days that are cut down at the end
	pool       = 4   // days that stay in the running, for each that is changed further
	alike      = 2   // of them with the same kinds of fault: else the first find's relatives are all that is left
	keepsPart  = 0.8 // of the loss that a day cut down has to keep
)

// kinds of fault that are drawn, with how they are drawn.
var kinds = []string{
	"slow", "silent", "fail", "turn-away", "reset", "pause", "crowd", "cut", "die", "restart-servers", "replace", "drain", "unlisted",
	"discovery-down", "discovery-slow", "lists-late", "wait", "kill", "stop", "freeze", "cut-node",
}

// Run hunts, or goes on with a hunt that was ended.
func Run(ctx context.Context, o Options) (*State, error) {
	st, err := load(o)
	if err != nil {
		return nil, err
	}
	// Round 0 draws at random. Each later one changes the best, half as many as before and twice as often each.
	for rounds := 1 + bits.Len(uint(o.Keep)); st.Round < rounds; {
		draw := rand.New(rand.NewPCG(o.Seed, 21+uint64(st.Round)))
		var days []Found
		if st.Round == 0 {
			for range o.Draws {
				days = append(days, Found{Seed: draw.Uint64N(1 << 40), Faults: o.drawFaults(draw)})
			}
		} else {
			width, changes := max(o.Keep>>(st.Round-1), 1), 2<<(st.Round-1)
			for _, d := range st.Days[:min(width, len(st.Days))] {
				for range changes {
					days = append(days, o.change(draw, d))
				}
			}
		}
		if err := o.play(ctx, days); err != nil {
			return st, err
		}
		st.Played += len(days)
		st.Days = append(st.Days, days...)
		slices.SortStableFunc(st.Days, func(a, b Found) int { return cmp.Compare(b.Loss, a.Loss) })
		st.Days = spread(st.Days, max(o.Keep*pool, kept))
		st.Round++
		o.say("round %d: %d days played, the worst loses %.3f", st.Round, st.Played, st.Days[0].Loss)
		if err := st.save(o.Dir); err != nil {
			return st, err
		}
	}
	for _, d := range st.Days {
		// A day that holds all kinds of fault of one that was cut down loses by the same, as far as anyone can tell.
		if len(st.Shrunk) == kept || slices.ContainsFunc(st.Shrunk, func(s Found) bool { return includes(d, s) }) {
			continue
		}
		d, played, err := o.shrink(ctx, d)
		if err != nil {
			return st, err
		}
		st.Played += played
		st.Shrunk = append(st.Shrunk, d)
		if err := errors.Join(st.save(o.Dir), o.write(len(st.Shrunk), d)); err != nil {
			return st, err
		}
	}
	return st, nil
}

// spread keeps the worst days, the worst first, and of each set of kinds of fault no more than alike.
func spread(days []Found, most int) []Found {
	seen := map[string]int{}
	days = slices.DeleteFunc(days, func(d Found) bool {
		set := strings.Join(d.kinds(), " ")
		seen[set]++
		return seen[set] > alike
	})
	return days[:min(len(days), most)]
}

// kinds are those of the day's faults, sorted, each once.
func (d *Found) kinds() []string {
	var out []string
	for _, f := range d.Faults {
		out = append(out, f.Kind)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// includes tells whether d has all kinds of fault that part has.
func includes(d, part Found) bool {
	has := d.kinds()
	return !slices.ContainsFunc(part.kinds(), func(k string) bool { return !slices.Contains(has, k) })
}

func (o *Options) say(text string, args ...any) {
	if o.Notice != nil {
		o.Notice(fmt.Sprintf(text, args...))
	}
}

func load(o Options) (*State, error) {
	st := &State{Seed: o.Seed, Base: o.Base.Name}
	text, err := os.ReadFile(filepath.Join(o.Dir, "hunt.json"))
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return st, os.MkdirAll(o.Dir, 0o755)
	case err != nil:
		return nil, err
	}
	if err := json.Unmarshal(text, st); err != nil {
		return nil, fmt.Errorf("%s: %w", o.Dir, err)
	}
	if st.Seed != o.Seed || st.Base != o.Base.Name {
		return nil, fmt.Errorf("%s holds a hunt over %s with seed %d: expected %s with seed %d, or another directory", o.Dir, st.Base, st.Seed, o.Base.Name, o.Seed)
	}
	return st, nil
}

// save replaces the state as a whole, or not at all.
func (s *State) save(dir string) error {
	text, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return err
	}
	part := filepath.Join(dir, "hunt.json.new")
	if err := os.WriteFile(part, append(text, '\n'), 0o644); err != nil {
		return err
	}
	return os.Rename(part, filepath.Join(dir, "hunt.json"))
}

// day is the base with a found one's faults.
func (o *Options) day(d Found) *scenario.Scenario {
	s := *o.Base
	s.Faults = d.Faults
	return &s
}

func (o *Options) play(ctx context.Context, days []Found) error {
	return o.Each(ctx, len(days), func(i int) error {
		loss, broken, err := o.Play(ctx, o.day(days[i]), days[i].Seed)
		if err != nil {
			return err
		}
		if days[i].Loss, days[i].Broken = loss, broken; broken > 0 {
			days[i].Loss += ruleBroken
		}
		return nil
	})
}

// drawFaults draws one to four troubles.
func (o *Options) drawFaults(draw *rand.Rand) []scenario.Fault {
	var faults []scenario.Fault
	for range 1 + draw.IntN(4) {
		faults = append(faults, o.drawFault(draw))
	}
	return faults
}

func (o *Options) drawFault(draw *rand.Rand) scenario.Fault {
	length := float64(o.Base.Length)
	f := scenario.Fault{
		Kind: kinds[draw.IntN(len(kinds))], At: scenario.Duration((0.05 + 0.7*draw.Float64()) * length),
		For: scenario.Duration((0.02 + 0.5*draw.Float64()*draw.Float64()) * length), AttemptShare: 1,
	}
	switch scenario.FaultTargets[f.Kind] {
	case scenario.EndpointTarget, scenario.NodeTarget:
		f.Share = 0.05 + 0.65*draw.Float64()*draw.Float64()
		if draw.IntN(4) == 0 && len(o.Base.Network.Zones) > 1 {
			f.Zone = o.Base.Network.Zones[draw.IntN(len(o.Base.Network.Zones))]
		}
		if draw.IntN(2) == 0 {
			f.Each = scenario.Duration(draw.Float64() * 0.01 * length)
		}
	}
	switch f.Kind {
	case "slow":
		f.Factor = 0.1 + 0.5*draw.Float64()
	case "crowd":
		f.Factor = 0.1 + 0.6*draw.Float64()
	case "discovery-slow":
		f.Factor = 5 + 100*draw.Float64()
	case "fail", "turn-away", "reset":
		f.AttemptShare = 0.1 + 0.9*draw.Float64()
	case "lists-late":
		f.Wait = scenario.Duration(1e9 + 5e9*draw.Float64())
	case "wait":
		c := &o.Base.Classes[draw.IntN(len(o.Base.Classes))]
		f.Class, f.Wait = c.Name, scenario.Duration((0.5+2*draw.Float64())*float64(c.LatencyObjective))
		if n := len(o.Base.Tenants); n > 0 && draw.IntN(2) == 0 {
			f.Class, f.Tenant = "", o.Base.Tenants[draw.IntN(n)].Name
		}
	case "pause", "freeze":
		f.For = scenario.Duration(0.1e9 + 2e9*draw.Float64())
	}
	return f
}

// change alters a day a little: one fault moved, grown, exchanged, added or taken out, or the seed alone.
func (o *Options) change(draw *rand.Rand, d Found) Found {
	out := Found{Seed: d.Seed, Faults: slices.Clone(d.Faults)}
	if len(out.Faults) == 0 || draw.IntN(6) == 0 && len(out.Faults) < 5 {
		out.Faults = append(out.Faults, o.drawFault(draw))
		return out
	}
	i := draw.IntN(len(out.Faults))
	f := &out.Faults[i]
	scale := func(v scenario.Duration) scenario.Duration {
		return scenario.Duration(float64(v) * (0.6 + 0.8*draw.Float64()))
	}
	switch draw.IntN(6) {
	case 0:
		f.At = min(scale(f.At), o.Base.Length-1)
	case 1:
		f.For = scale(f.For)
	case 2:
		f.Share = min(f.Share*(0.6+0.8*draw.Float64()), 1)
	case 3:
		f.Factor, f.Wait = f.Factor*(0.6+0.8*draw.Float64()), scale(f.Wait)
	case 4:
		*f = o.drawFault(draw)
	case 5:
		out.Seed = draw.Uint64N(1 << 40)
	}
	return out
}

// shrink takes out what does not matter: faults, then parts of their time and of whom they hit.
func (o *Options) shrink(ctx context.Context, d Found) (Found, int, error) {
	played, least := 0, d.Loss*keepsPart
	if d.Broken > 0 {
		least = ruleBroken
	}
	try := func(next Found) (bool, error) {
		days := []Found{next}
		played++
		if err := o.play(ctx, days); err != nil {
			return false, err
		}
		if days[0].Loss < least {
			return false, nil
		}
		d = days[0]
		return true, nil
	}
	for i := 0; i < len(d.Faults) && len(d.Faults) > 1; {
		next := Found{Seed: d.Seed, Faults: slices.Delete(slices.Clone(d.Faults), i, i+1)}
		ok, err := try(next)
		if err != nil {
			return d, played, err
		}
		if !ok {
			i++
		}
	}
	for i := range d.Faults {
		for _, smaller := range []func(*scenario.Fault){
			func(f *scenario.Fault) { f.Each = 0 }, func(f *scenario.Fault) { f.Zone = "" },
			func(f *scenario.Fault) { f.For /= 2 }, func(f *scenario.Fault) { f.For /= 2 },
			func(f *scenario.Fault) { f.Share /= 2 }, func(f *scenario.Fault) { f.Share /= 2 },
		} {
			next := Found{Seed: d.Seed, Faults: slices.Clone(d.Faults)}
			if smaller(&next.Faults[i]); reflect.DeepEqual(next.Faults[i], d.Faults[i]) || next.Faults[i].For == 0 && d.Faults[i].For > 0 {
				continue
			}
			if _, err := try(next); err != nil {
				return d, played, err
			}
		}
	}
	return d, played, nil
}

// write leaves the nth found day as a scenario file.
func (o *Options) write(n int, d Found) error {
	s := o.day(d)
	s.Seed = d.Seed
	s.Name = fmt.Sprintf("%s-found-%d", o.Base.Name, n)
	s.About = fmt.Sprintf("Found by a hunt: loses %.3f of the earnings against a policy that sees the true state late.", d.Loss)
	s.Expect = scenario.Expect{}
	text, err := toml.Marshal(s)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(o.Dir, s.Name+".toml"), text, 0o644)
}
