package fleet

// Hard cases of membership. Each is run in virtual time and with processes from the same description; what it allows is
// counted in protocol rounds, never in clock time.

import (
	"fmt"

	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/members"
)

// Case is one hard case.
type Case struct {
	Name  string
	Nodes int
	Run   func(f Fleet) error
}

const (
	startupPeriods        = 40  // rounds in which nodes that start together all know one another
	detectionPeriods      = 60  // in which all know of a death
	mergePeriods          = 80  // in which two halves are one again
	stablePeriods         = 25  // over which something is watched to stay
	lossyDetectionPeriods = 160 // where a third of all is lost
)

// first runs the steps of a case up to the first that fails.
func runSteps(steps ...func() error) error {
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func startAll(f Fleet) func() error {
	return func() error {
		for i := range f.Len() {
			if err := f.Start(i); err != nil {
				return err
			}
		}
		_, err := WaitUntil(f, startupPeriods, "all know one another", ViewsMatch(NodeRange(0, f.Len()), AllInState("up")))
		return err
	}
}

func waitStep(f Fleet, rounds int64, what string, holds func([]*members.View) bool) func() error {
	return func() error { _, err := WaitUntil(f, rounds, what, holds); return err }
}

func holdStep(f Fleet, rounds int64, what string, holds func([]*members.View) bool) func() error {
	return func() error { return RequireDuring(f, rounds, what, holds) }
}

func actionStep(what func()) func() error { return func() error { what(); return nil } }

func cutFault(a, b []int, oneWay bool) netfault.Fault {
	return netfault.Fault{Kind: netfault.Cut, From: NodeEnds(a), To: NodeEnds(b), OneWay: oneWay}
}

// dropShare is the part of the datagrams that drop loses.
const dropShare = 0.3

// drop loses datagrams between all nodes, in bursts of so many on average.
func dropFault(nodes, burst int) netfault.Fault {
	all := NodeEnds(NodeRange(0, nodes))
	return netfault.Fault{Kind: netfault.Drop, From: all, To: all, Share: dropShare, Burst: burst, Seed: 7}
}

// noneFailed tells that none of some nodes takes one of others for failed or gone.
func noneFailed(by, of []int) func([]*members.View) bool {
	return func(views []*members.View) bool {
		for _, i := range by {
			if views[i] == nil {
				continue
			}
			for _, k := range of {
				if s := views[i].Members[k].State; s == "silent" || s == "left" {
					return false
				}
			}
		}
		return true
	}
}

func onlyUp(a []int) func(int) string {
	in := map[int]bool{}
	for _, i := range a {
		in[i] = true
	}
	return func(k int) string {
		if in[k] {
			return "up"
		}
		return "silent"
	}
}

func allUpExcept(gone ...int) func(int) string {
	return func(k int) string {
		for _, g := range gone {
			if k == g {
				return "silent"
			}
		}
		return "up"
	}
}

// startedAfter tells whether everybody believes a node up that started after a moment of its own clock.
func startedAfter(views []*members.View, node int, start uint64) bool {
	for _, v := range views {
		if v == nil || v.Members[node].StartMs <= start || v.Members[node].State != "up" {
			return false
		}
	}
	return true
}

// Cases are all of them.
var Cases = []Case{
	{"half of twelve cut off and back: two views, then one", 12, func(f Fleet) error {
		a, b := NodeRange(0, 6), NodeRange(6, 12)
		return runSteps(startAll(f),
			actionStep(func() { f.AddFaults(cutFault(a, b, false)) }),
			waitStep(f, detectionPeriods, "the first half sees itself alone", ViewsMatch(a, onlyUp(a))),
			waitStep(f, detectionPeriods, "the second half sees itself alone", ViewsMatch(b, onlyUp(b))),
			actionStep(f.ClearFaults),
			waitStep(f, mergePeriods, "one view again", ViewsMatch(NodeRange(0, 12), AllInState("up"))),
			holdStep(f, stablePeriods, "nobody is lost afterwards", noneFailed(NodeRange(0, 12), NodeRange(0, 12))))
	}},
	{"one of twelve cut off and back: the others take nothing back", 12, func(f Fleet) error {
		rest := NodeRange(1, 12)
		var before [12]uint64
		return runSteps(startAll(f),
			actionStep(func() {
				for i, v := range f.Views() {
					before[i] = v.Incarnation
				}
				f.AddFaults(cutFault([]int{0}, rest, false))
			}),
			waitStep(f, detectionPeriods, "the others know", ViewsMatch(rest, allUpExcept(0))),
			waitStep(f, detectionPeriods, "it knows that it hears nobody, and says that nothing is known", func(views []*members.View) bool {
				v := views[0]
				return v != nil && !v.Summary.Reliable && v.Summary.Reason == "this node hears nobody" && v.Summary.Dead == 11
			}),
			actionStep(f.ClearFaults),
			waitStep(f, mergePeriods, "one view again", ViewsMatch(NodeRange(0, 12), AllInState("up"))),
			func() error {
				for i, v := range f.Views() {
					if i > 0 && v != nil && v.Incarnation > before[i]+1 {
						return fmt.Errorf("n%d had to take back what the one that was cut off held of it: incarnation %d, before %d", i, v.Incarnation, before[i])
					}
				}
				return nil
			})
	}},
	{"one-way loss: others vouch for who is heard one way only", 6, func(f Fleet) error {
		all := NodeRange(0, 6)
		return runSteps(startAll(f),
			actionStep(func() { f.AddFaults(cutFault([]int{0}, []int{1}, true)) }),
			holdStep(f, 2*stablePeriods, "nobody is taken for silent", noneFailed(all, all)),
			actionStep(f.ClearFaults),
			waitStep(f, mergePeriods, "one view", ViewsMatch(all, AllInState("up"))))
	}},
	{"a node that is heard by nobody, and hears all", 6, func(f Fleet) error {
		rest := NodeRange(1, 6)
		return runSteps(startAll(f),
			actionStep(func() { f.AddFaults(cutFault([]int{0}, rest, true)) }),
			waitStep(f, detectionPeriods, "the others take it for silent", ViewsMatch(rest, allUpExcept(0))),
			actionStep(f.ClearFaults),
			waitStep(f, mergePeriods, "one view", ViewsMatch(NodeRange(0, 6), AllInState("up"))))
	}},
	{"three in ten datagrams lost, in bursts", 12, func(f Fleet) error {
		all := NodeRange(0, 12)
		return runSteps(startAll(f),
			actionStep(func() { f.AddFaults(dropFault(12, 4)) }),
			holdStep(f, 2*stablePeriods, "nobody is taken for silent", noneFailed(all, all)),
			actionStep(func() { f.Kill(11) }),
			waitStep(f, lossyDetectionPeriods, "a death is known all the same", ViewsMatch(NodeRange(0, 11), allUpExcept(11))),
			actionStep(f.ClearFaults),
			waitStep(f, mergePeriods, "one view", ViewsMatch(NodeRange(0, 11), allUpExcept(11))))
	}},
	{"a node frozen among well ones sows no doubt when it wakes", 8, func(f Fleet) error {
		rest, doubts := NodeRange(1, 8), int64(0)
		return runSteps(startAll(f),
			actionStep(func() { f.Pause(0) }),
			waitStep(f, detectionPeriods, "the others know", ViewsMatch(rest, allUpExcept(0))),
			actionStep(func() {
				f.Resume(0)
				for _, i := range rest {
					if v := f.Views()[i]; v != nil {
						doubts += v.Counters.Refutations
					}
				}
			}),
			waitStep(f, mergePeriods, "it is back", ViewsMatch(NodeRange(0, 8), AllInState("up"))),
			holdStep(f, stablePeriods, "nobody is doubted", noneFailed(NodeRange(0, 8), rest)),
			func() error {
				after := int64(0)
				for _, i := range rest {
					if v := f.Views()[i]; v != nil {
						after += v.Counters.Refutations
					}
				}
				if after > doubts {
					return fmt.Errorf("the others had to take back %d doubts after it woke", after-doubts)
				}
				return nil
			})
	}},
	{"a restart that is faster than anybody notices", 6, func(f Fleet) error {
		var start uint64
		return runSteps(startAll(f),
			actionStep(func() { start = f.Views()[3].StartMs; f.Kill(3); f.Step() }),
			func() error { return f.Start(3) },
			waitStep(f, startupPeriods, "all know the new start", func(views []*members.View) bool { return startedAfter(views, 3, start) }),
			waitStep(f, startupPeriods, "the new one knows all", ViewsMatch([]int{3}, AllInState("up"))))
	}},
	{"a node that ends in order has left, and is back under a new start", 6, func(f Fleet) error {
		left := func(k int) string {
			if k == 2 {
				return "left"
			}
			return "up"
		}
		return runSteps(startAll(f),
			actionStep(func() { f.Stop(2) }),
			waitStep(f, startupPeriods, "the others know that it left", ViewsMatch([]int{0, 1, 3, 4, 5}, left)),
			func() error { return f.Start(2) },
			waitStep(f, startupPeriods, "it is back", ViewsMatch(NodeRange(0, 6), AllInState("up"))))
	}},
	{"an old copy of a message comes again", 6, func(f Fleet) error {
		var old []byte
		var start uint64
		return runSteps(startAll(f),
			waitStep(f, startupPeriods, "a message to be copied", func([]*members.View) bool { old = f.CapturedDatagram(2, 1); return old != nil }),
			actionStep(func() { start = f.Views()[2].StartMs; f.Kill(2); f.Step() }),
			func() error { return f.Start(2) },
			waitStep(f, startupPeriods, "all know the new start", func(views []*members.View) bool { return startedAfter(views, 2, start) }),
			actionStep(func() { f.Inject(1, old) }),
			holdStep(f, stablePeriods, "the old message changes nothing", ViewsMatch([]int{0, 1, 3, 4, 5}, func(k int) string {
				if k == 2 {
					return "up"
				}
				return ""
			})),
			func() error {
				if v := f.Views()[1]; v == nil || v.Counters.StaleIncarnations == 0 {
					return fmt.Errorf("the old message was not told from a new one")
				}
				return nil
			})
	}},
	{"all started within a moment", 40, func(f Fleet) error {
		return startAll(f)()
	}},
	{"all killed but one", 12, func(f Fleet) error {
		return runSteps(startAll(f),
			actionStep(func() {
				for i := 1; i < 12; i++ {
					f.Kill(i)
				}
			}),
			waitStep(f, 2*detectionPeriods, "it holds all others for silent, and the figure for unknown", func(views []*members.View) bool {
				v := views[0]
				return v != nil && v.Summary.Dead == 11 && !v.Summary.Reliable
			}),
			func() error {
				for i := 1; i < 12; i++ {
					if err := f.Start(i); err != nil {
						return err
					}
				}
				return nil
			},
			waitStep(f, mergePeriods, "all are back", ViewsMatch(NodeRange(0, 12), AllInState("up"))))
	}},
	{"messages late, doubled, overtaken and spoilt at once", 8, func(f Fleet) error {
		all := NodeEnds(NodeRange(0, 8))
		way := func(t netfault.Kind, share float64, wait int64) netfault.Fault {
			return netfault.Fault{Kind: t, From: all, To: all, Share: share, Wait: wait, Seed: 3}
		}
		return runSteps(startAll(f),
			actionStep(func() {
				f.AddFaults(way(netfault.Duplicate, 0.3, 2e9), way(netfault.Reorder, 0.2, 60e6), way(netfault.Corrupt, 0.1, 0), way(netfault.Delay, 0, 10e6))
			}),
			holdStep(f, 2*stablePeriods, "nobody is taken for silent", noneFailed(NodeRange(0, 8), NodeRange(0, 8))),
			func() error {
				bad := int64(0)
				for _, v := range f.Views() {
					if v != nil {
						bad += v.Counters.Invalid + v.Counters.UnknownVersions
					}
				}
				if bad == 0 {
					return fmt.Errorf("no spoilt message was seen")
				}
				return nil
			})
	}},
}
