package fleet

// Fault cases of membership, which run in virtual time and with real processes alike. Their limits count protocol
// periods, not clock time, so that a slow machine does not fail them.

import (
	"fmt"

	"fawnglade/internal/lab/netfault"
	"fawnglade/internal/members"
)

// Case is one fault case.
type Case struct {
	Name  string
	Nodes int
	Run   func(f Fleet) error
}

const (
	startupPeriods        = 40  // until nodes that start together all report each other as up
	detectionPeriods      = 60  // until all nodes report a failure
	mergePeriods          = 80  // until two partitions have merged
	stablePeriods         = 25  // over which a condition has to hold
	lossyDetectionPeriods = 160 // as detectionPeriods, with a third of the datagrams lost
)

// runSteps runs the steps of a case, and stops at the first that fails.
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
		_, err := WaitUntil(f, startupPeriods, "all nodes report each other as up", ViewsMatch(NodeRange(0, f.Len()), AllInState("up")))
		return err
	}
}

func waitStep(f Fleet, periods int64, condition string, holds func([]*members.View) bool) func() error {
	return func() error { _, err := WaitUntil(f, periods, condition, holds); return err }
}

func holdStep(f Fleet, periods int64, condition string, holds func([]*members.View) bool) func() error {
	return func() error { return RequireDuring(f, periods, condition, holds) }
}

func actionStep(action func()) func() error { return func() error { action(); return nil } }

func cutFault(a, b []int, oneWay bool) netfault.Fault {
	return netfault.Fault{Kind: netfault.Cut, From: NodeEnds(a), To: NodeEnds(b), OneWay: oneWay}
}

// dropShare is the fraction of datagrams that dropFault loses.
const dropShare = 0.3

// dropFault returns a fault that loses datagrams between all nodes, in bursts of the given length.
func dropFault(nodes, burst int) netfault.Fault {
	all := NodeEnds(NodeRange(0, nodes))
	return netfault.Fault{Kind: netfault.Drop, From: all, To: all, Share: dropShare, Burst: burst, Seed: 7}
}

// noneFailed returns a condition that no observer reports an observed node as failed or left.
func noneFailed(observers, observed []int) func([]*members.View) bool {
	return func(views []*members.View) bool {
		for _, i := range observers {
			if views[i] == nil {
				continue
			}
			for _, k := range observed {
				if state := views[i].Members[k].State; state == "silent" || state == "left" {
					return false
				}
			}
		}
		return true
	}
}

func onlyUp(nodes []int) func(int) string {
	up := map[int]bool{}
	for _, i := range nodes {
		up[i] = true
	}
	return func(k int) string {
		if up[k] {
			return "up"
		}
		return "silent"
	}
}

func allUpExcept(failed ...int) func(int) string {
	return func(k int) string {
		for _, f := range failed {
			if k == f {
				return "silent"
			}
		}
		return "up"
	}
}

// startedAfter reports whether all nodes report a node as up, with a start later than a time of its own clock,
// milliseconds.
func startedAfter(views []*members.View, node int, start uint64) bool {
	for _, v := range views {
		if v == nil || v.Members[node].StartMs <= start || v.Members[node].State != "up" {
			return false
		}
	}
	return true
}

// Cases lists all fault cases.
var Cases = []Case{
	{"half of twelve cut off and back: two views, then one", 12, func(f Fleet) error {
		a, b := NodeRange(0, 6), NodeRange(6, 12)
		return runSteps(startAll(f),
			actionStep(func() { f.AddFaults(cutFault(a, b, false)) }),
			waitStep(f, detectionPeriods, "the first half reports only itself as up", ViewsMatch(a, onlyUp(a))),
			waitStep(f, detectionPeriods, "the second half reports only itself as up", ViewsMatch(b, onlyUp(b))),
			actionStep(f.ClearFaults),
			waitStep(f, mergePeriods, "all views agree again", ViewsMatch(NodeRange(0, 12), AllInState("up"))),
			holdStep(f, stablePeriods, "no node is reported as failed afterwards", noneFailed(NodeRange(0, 12), NodeRange(0, 12))))
	}},
	{"one of twelve cut off and back: the others take nothing back", 12, func(f Fleet) error {
		others := NodeRange(1, 12)
		var before [12]uint64
		return runSteps(startAll(f),
			actionStep(func() {
				for i, v := range f.Views() {
					before[i] = v.Incarnation
				}
				f.AddFaults(cutFault([]int{0}, others, false))
			}),
			waitStep(f, detectionPeriods, "the other nodes report the failure", ViewsMatch(others, allUpExcept(0))),
			waitStep(f, detectionPeriods, "the cut-off node reports that it hears no other node and that its summary is unreliable", func(views []*members.View) bool {
				v := views[0]
				return v != nil && !v.Summary.Reliable && v.Summary.Reason == "this node hears nobody" && v.Summary.Dead == 11
			}),
			actionStep(f.ClearFaults),
			waitStep(f, mergePeriods, "all views agree again", ViewsMatch(NodeRange(0, 12), AllInState("up"))),
			func() error {
				for i, v := range f.Views() {
					if i > 0 && v != nil && v.Incarnation > before[i]+1 {
						return fmt.Errorf("n%d refuted suspicions from the node that was cut off: got incarnation %d, want at most one above %d", i, v.Incarnation, before[i])
					}
				}
				return nil
			})
	}},
	{"one-way loss: others vouch for who is heard one way only", 6, func(f Fleet) error {
		all := NodeRange(0, 6)
		return runSteps(startAll(f),
			actionStep(func() { f.AddFaults(cutFault([]int{0}, []int{1}, true)) }),
			holdStep(f, 2*stablePeriods, "no node is reported as failed", noneFailed(all, all)),
			actionStep(f.ClearFaults),
			waitStep(f, mergePeriods, "all views agree", ViewsMatch(all, AllInState("up"))))
	}},
	{"a node that is heard by nobody, and hears all", 6, func(f Fleet) error {
		others := NodeRange(1, 6)
		return runSteps(startAll(f),
			actionStep(func() { f.AddFaults(cutFault([]int{0}, others, true)) }),
			waitStep(f, detectionPeriods, "the other nodes report it as failed", ViewsMatch(others, allUpExcept(0))),
			actionStep(f.ClearFaults),
			waitStep(f, mergePeriods, "all views agree", ViewsMatch(NodeRange(0, 6), AllInState("up"))))
	}},
	{"three in ten datagrams lost, in bursts", 12, func(f Fleet) error {
		all := NodeRange(0, 12)
		return runSteps(startAll(f),
			actionStep(func() { f.AddFaults(dropFault(12, 4)) }),
			holdStep(f, 2*stablePeriods, "no node is reported as failed", noneFailed(all, all)),
			actionStep(func() { f.Kill(11) }),
			waitStep(f, lossyDetectionPeriods, "the failure is reported despite the loss", ViewsMatch(NodeRange(0, 11), allUpExcept(11))),
			actionStep(f.ClearFaults),
			waitStep(f, mergePeriods, "all views agree", ViewsMatch(NodeRange(0, 11), allUpExcept(11))))
	}},
	{"a node frozen among well ones sows no doubt when it wakes", 8, func(f Fleet) error {
		others, refutations := NodeRange(1, 8), int64(0)
		return runSteps(startAll(f),
			actionStep(func() { f.Pause(0) }),
			waitStep(f, detectionPeriods, "the other nodes report the failure", ViewsMatch(others, allUpExcept(0))),
			actionStep(func() {
				f.Resume(0)
				for _, i := range others {
					if v := f.Views()[i]; v != nil {
						refutations += v.Counters.Refutations
					}
				}
			}),
			waitStep(f, mergePeriods, "all nodes report it as up again", ViewsMatch(NodeRange(0, 8), AllInState("up"))),
			holdStep(f, stablePeriods, "no other node is reported as failed", noneFailed(NodeRange(0, 8), others)),
			func() error {
				after := int64(0)
				for _, i := range others {
					if v := f.Views()[i]; v != nil {
						after += v.Counters.Refutations
					}
				}
				if after > refutations {
					return fmt.Errorf("the other nodes refuted %d suspicions after the paused node resumed, want 0", after-refutations)
				}
				return nil
			})
	}},
	{"a restart that is faster than anybody notices", 6, func(f Fleet) error {
		var start uint64
		return runSteps(startAll(f),
			actionStep(func() { start = f.Views()[3].StartMs; f.Kill(3); f.Step() }),
			func() error { return f.Start(3) },
			waitStep(f, startupPeriods, "all nodes report the new start", func(views []*members.View) bool { return startedAfter(views, 3, start) }),
			waitStep(f, startupPeriods, "the restarted node reports all others as up", ViewsMatch([]int{3}, AllInState("up"))))
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
			waitStep(f, startupPeriods, "the other nodes report that it left", ViewsMatch([]int{0, 1, 3, 4, 5}, left)),
			func() error { return f.Start(2) },
			waitStep(f, startupPeriods, "all nodes report it as up again", ViewsMatch(NodeRange(0, 6), AllInState("up"))))
	}},
	{"an old copy of a message comes again", 6, func(f Fleet) error {
		var captured []byte
		var start uint64
		return runSteps(startAll(f),
			waitStep(f, startupPeriods, "a datagram was captured", func([]*members.View) bool { captured = f.CapturedDatagram(2, 1); return captured != nil }),
			actionStep(func() { start = f.Views()[2].StartMs; f.Kill(2); f.Step() }),
			func() error { return f.Start(2) },
			waitStep(f, startupPeriods, "all nodes report the new start", func(views []*members.View) bool { return startedAfter(views, 2, start) }),
			actionStep(func() { f.Inject(1, captured) }),
			holdStep(f, stablePeriods, "the replayed datagram changes no view", ViewsMatch([]int{0, 1, 3, 4, 5}, func(k int) string {
				if k == 2 {
					return "up"
				}
				return ""
			})),
			func() error {
				if v := f.Views()[1]; v == nil || v.Counters.StaleIncarnations == 0 {
					return fmt.Errorf("the replayed datagram was not counted as a stale incarnation")
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
			waitStep(f, 2*detectionPeriods, "it reports all others as failed, and its summary as unreliable", func(views []*members.View) bool {
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
			waitStep(f, mergePeriods, "all nodes report each other as up again", ViewsMatch(NodeRange(0, 12), AllInState("up"))))
	}},
	{"messages late, doubled, overtaken and spoilt at once", 8, func(f Fleet) error {
		all := NodeEnds(NodeRange(0, 8))
		linkFault := func(kind netfault.Kind, share float64, wait int64) netfault.Fault {
			return netfault.Fault{Kind: kind, From: all, To: all, Share: share, Wait: wait, Seed: 3}
		}
		return runSteps(startAll(f),
			actionStep(func() {
				f.AddFaults(linkFault(netfault.Duplicate, 0.3, 2e9), linkFault(netfault.Reorder, 0.2, 60e6), linkFault(netfault.Corrupt, 0.1, 0), linkFault(netfault.Delay, 0, 10e6))
			}),
			holdStep(f, 2*stablePeriods, "no node is reported as failed", noneFailed(NodeRange(0, 8), NodeRange(0, 8))),
			func() error {
				invalid := int64(0)
				for _, v := range f.Views() {
					if v != nil {
						invalid += v.Counters.Invalid + v.Counters.UnknownVersions
					}
				}
				if invalid == 0 {
					return fmt.Errorf("no corrupt datagram was counted as invalid")
				}
				return nil
			})
	}},
}
