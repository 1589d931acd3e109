package policy_test

import (
	"container/heap"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"fawnglade/policy"
)

// writeDigests rewrites testdata/digests.json. Use it only for an intended change of decisions.
var writeDigests = flag.Bool("write-digests", false, "rewrite policy/testdata/digests.json")

const (
	millisecond = 1_000_000 // nanoseconds
	second      = 1000 * millisecond

	digestStart     = 1000 * second
	digestDuration  = 40 * second
	digestDrainTime = 20 * second // after the last arrival, for requests still in flight
)

// digestRecord is the stored result of one generated run: the digest of all actions, and the number of each action,
// which shows whether one never occurs.
type digestRecord struct {
	Digest  string         `json:"digest"`
	Actions map[string]int `json:"actions"`
}

// digestEvent is an event at a virtual time. Events at the same time run in the order in which they were queued.
type digestEvent struct {
	at, sequence int64
	run          func()
}

type digestQueue []digestEvent

func (q digestQueue) Len() int { return len(q) }
func (q digestQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q digestQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *digestQueue) Push(x any)   { *q = append(*q, x.(digestEvent)) }
func (q *digestQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// digestEndpoint is a generated endpoint with its speed and current faults.
type digestEndpoint struct {
	info                       policy.EndpointInfo
	speed                      float64
	inFlight                   int
	failing, silent, queueFull bool
	failsClass                 int // class that it answers with errors only; -1: none
	connected                  bool
}

// digestRun sends generated events to a Balancer and hashes all its actions.
type digestRun struct {
	settings   policy.Settings
	instance   *policy.Balancer
	random     *rand.Rand
	now        int64
	sequence   int64
	queue      digestQueue
	endpoints  []*digestEndpoint
	attempts   map[policy.RequestID]int
	classOf    map[policy.RequestID]int
	answered   map[policy.RequestID]bool
	canceled   map[string]bool
	slowdown   float64
	watchCount int
	hash       interface {
		Write([]byte) (int, error)
		Sum64() uint64
	}
	actions map[string]int
}

func (r *digestRun) record(action string, arguments ...any) {
	r.actions[action]++
	if _, err := fmt.Fprintln(r.hash, r.now, action, arguments); err != nil {
		panic(err) // a hash never returns an error
	}
}

func (r *digestRun) schedule(delay int64, run func()) {
	r.sequence++
	heap.Push(&r.queue, digestEvent{r.now + max(delay, 0), r.sequence, run})
}

func (r *digestRun) Send(req policy.RequestID, id policy.EndpointID, timeoutDuration time.Duration) {
	timeout := int64(timeoutDuration)
	r.record("send", req, id, timeout)
	number := r.attempts[req]
	r.attempts[req]++
	endpoint := r.endpoints[int(id)-1]
	endpoint.inFlight++
	outcome, elapsed := r.drawOutcome(endpoint, r.classOf[req], timeout)
	if r.settings.MayCancel || elapsed < timeout {
		elapsed = min(elapsed, timeout)
	}
	newConnection := !endpoint.connected
	endpoint.connected = outcome != policy.OutcomeReset && outcome != policy.OutcomeConnectFailed
	if r.canceled[fmt.Sprint(req, number)] {
		outcome = policy.OutcomeCanceled
	}
	r.schedule(elapsed, func() {
		endpoint.inFlight--
		if r.canceled[fmt.Sprint(req, number)] {
			outcome = policy.OutcomeCanceled
		}
		result := policy.AttemptResult{
			Request:       req,
			Attempt:       number,
			Endpoint:      id,
			Outcome:       outcome,
			Elapsed:       time.Duration(elapsed),
			NewConnection: newConnection,
			RequestDone:   outcome == policy.OutcomeSucceeded,
			BodyConsumed:  outcome != policy.OutcomeSucceeded && r.random.IntN(25) == 0,
			Report:        r.report(endpoint, outcome),
		}
		if result.RequestDone {
			r.answered[req] = true
		}
		r.instance.AttemptEnded(policy.Time(r.now), result)
	})
}

// drawOutcome draws the outcome and duration of an attempt.
func (r *digestRun) drawOutcome(endpoint *digestEndpoint, class int, timeout int64) (policy.Outcome, int64) {
	work := float64(8+4*class) * float64(millisecond) * (0.4 + r.random.ExpFloat64())
	elapsed := int64(work*endpoint.speed*r.slowdown*float64(1+endpoint.inFlight)/2) + millisecond
	draw := r.random.Float64()
	switch {
	case endpoint.info.State == policy.StateRemoved && draw < 0.8:
		return policy.OutcomeConnectFailed, 2 * millisecond
	case endpoint.silent:
		return policy.OutcomeTimedOut, timeout
	case endpoint.queueFull && draw < 0.9:
		return policy.OutcomeRejected, millisecond
	case endpoint.failing && draw < 0.7, endpoint.failsClass == class && draw < 0.95:
		return policy.OutcomeError, elapsed / 4
	case draw < 0.004:
		return policy.OutcomeReset, elapsed / 2
	case draw < 0.006:
		return policy.OutcomeUnknown, elapsed / 2
	case draw < 0.008:
		return policy.OutcomeNotSent, 0
	case draw < 0.010:
		return policy.OutcomeConnectFailed, 5 * millisecond
	case elapsed >= timeout:
		return policy.OutcomeTimedOut, timeout
	}
	return policy.OutcomeSucceeded, elapsed
}

func (r *digestRun) report(endpoint *digestEndpoint, outcome policy.Outcome) policy.LoadReport {
	none := policy.LoadReport{Utilization: -1, QueueLength: -1, ServiceTime: -1}
	if r.settings.HealthChecksReport || outcome != policy.OutcomeSucceeded && outcome != policy.OutcomeRejected ||
		r.random.IntN(4) == 0 {
		return none
	}
	report := policy.LoadReport{Utilization: -1, QueueLength: float64(endpoint.inFlight), ServiceTime: -1}
	if r.settings.ReportsUtilization {
		report.Utilization = min(1, float64(1+endpoint.inFlight)*endpoint.speed/8)
	}
	if r.settings.ReportsServiceTime {
		report.ServiceTime = 8 * endpoint.speed * r.slowdown
	}
	return report
}

func (r *digestRun) Cancel(req policy.RequestID, number int) {
	r.record("cancel", req, number)
	r.canceled[fmt.Sprint(req, number)] = true
}

func (r *digestRun) Reject(req policy.RequestID, retryAfter time.Duration, _ policy.Reason) {
	r.record("reject", req, int64(retryAfter))
	r.answered[req] = true
}

func (r *digestRun) Fail(req policy.RequestID, _ policy.Reason) {
	r.record("fail", req)
	r.answered[req] = true
}

func (r *digestRun) SetTimer(at policy.Time, timer uint64) {
	r.record("timer", int64(at), timer)
	instance := r.instance
	r.schedule(int64(at)-r.now, func() {
		if instance == nil || instance == r.instance { // timers end with the instance that set them
			r.instance.TimerFired(policy.Time(r.now), timer)
		}
	})
}

func (r *digestRun) WatchEndpoints() {
	r.record("watch")
	r.schedule(50*millisecond, func() {
		if r.watchCount++; r.watchCount%7 == 3 {
			r.instance.WatchFailed(policy.Time(r.now))
			return
		}
		r.sendList(r.watchCount%2 == 0)
	})
}

func (r *digestRun) CloseIdle(id policy.EndpointID) {
	r.record("close", id)
	r.endpoints[int(id)-1].connected = false
}

func (r *digestRun) CheckHealth(id policy.EndpointID) {
	r.record("probe", id)
	endpoint := r.endpoints[int(id)-1]
	r.schedule(3*millisecond, func() {
		outcome := policy.OutcomeSucceeded
		if endpoint.silent {
			outcome = policy.OutcomeTimedOut
		}
		r.instance.HealthChecked(policy.Time(r.now), id, outcome, policy.LoadReport{
			Utilization: 0.5 * endpoint.speed,
			QueueLength: float64(endpoint.inFlight), ServiceTime: 8 * endpoint.speed,
		})
	})
}

func (r *digestRun) Gossip(message policy.GossipMessage) {
	r.record("gossip", uint32(message.Endpoint), message.Class, int64(message.IdleTime))
	for range r.random.IntN(5) { // other nodes observed the same
		r.schedule(r.random.Int64N(400)*millisecond, func() { r.instance.GossipReceived(policy.Time(r.now), message) })
	}
}

// sendList sends the instance the complete list without removed endpoints, or every tenth entry of it.
func (r *digestRun) sendList(complete bool) {
	var entries []policy.EndpointInfo
	for i, endpoint := range r.endpoints {
		if complete && endpoint.info.State != policy.StateRemoved || !complete && i%10 == r.watchCount%10 {
			entries = append(entries, endpoint.info)
		}
	}
	r.instance.EndpointsUpdated(policy.Time(r.now), entries, complete)
}

// changeEndpoint changes the condition of one endpoint and, if the list contains the change, sends the instance the
// changed entry.
func (r *digestRun) changeEndpoint() {
	endpoint := r.endpoints[r.random.IntN(len(r.endpoints))]
	inUpdate := true
	switch r.random.IntN(9) {
	case 0:
		endpoint.info.State = policy.StateDraining
	case 1:
		endpoint.info.State = policy.StateRemoved
	case 2, 3:
		endpoint.info.State, endpoint.info.StartedAt = policy.StateActive, policy.Time(r.now-50*millisecond)
		endpoint.failing, endpoint.silent, endpoint.queueFull, endpoint.connected = false, false, false, false
	case 4:
		endpoint.failing, inUpdate = !endpoint.failing, false
	case 5:
		endpoint.silent, inUpdate = !endpoint.silent, false
	case 6:
		endpoint.queueFull, inUpdate = !endpoint.queueFull, false
	case 7:
		endpoint.failsClass, inUpdate = r.random.IntN(4)-1, false
	case 8:
		endpoint.connected, inUpdate = false, false
	}
	if inUpdate && r.random.IntN(5) > 0 {
		r.instance.EndpointsUpdated(policy.Time(r.now), []policy.EndpointInfo{endpoint.info}, false)
	}
}

func (r *digestRun) sendRequest(number int) {
	id := policy.RequestID(fmt.Sprint("r", number))
	class := r.random.IntN(len(r.settings.Classes))
	req := policy.Request{
		ID: id, Class: class, Tenant: r.random.IntN(4),
		Deadline:    policy.Time(r.now).Add(r.settings.Classes[class].LatencyObjective * time.Duration(2+r.random.IntN(3))),
		ClientRetry: r.random.IntN(12) == 0, StreamingBody: r.random.IntN(20) == 0,
	}
	if r.random.IntN(2) == 0 {
		req.CostHint = time.Duration(int64(8+4*class) * millisecond * int64(1+r.random.IntN(3)) / 2)
	}
	if r.random.IntN(4) > 0 {
		req.Key = fmt.Sprint("key", min(r.random.IntN(40), r.random.IntN(40)))
	}
	r.classOf[id] = class
	r.instance.RequestArrived(policy.Time(r.now), req)
	if r.random.IntN(40) == 0 {
		r.schedule(r.random.Int64N(60)*millisecond, func() {
			if !r.answered[id] {
				r.answered[id] = true
				r.instance.ClientGone(policy.Time(r.now), id)
			}
		})
	}
}

// hotRestart replaces the instance by a new one with its estimates, as a hot restart does. Requests in flight end with
// the old instance, and the new one does not know the responses to them.
func (r *digestRun) hotRestart(seed uint64) {
	estimates := r.instance.Estimates()
	r.instance = policy.New(r.settings, seed, r)
	r.sendList(true)
	r.instance.Inherit(&estimates)
	clear(r.attempts)
}

func digestOf(settings policy.Settings, endpoints int, seed uint64) digestRecord {
	r := &digestRun{
		settings: settings, random: rand.New(rand.NewPCG(seed, uint64(endpoints))), now: digestStart,
		attempts: map[policy.RequestID]int{},
		classOf:  map[policy.RequestID]int{},
		answered: map[policy.RequestID]bool{},
		canceled: map[string]bool{}, slowdown: 1, hash: fnv.New64a(), actions: map[string]int{},
	}
	for i := range endpoints {
		started := int64(0)
		if i%6 == 5 {
			started = digestStart - int64(i%5)*second
		}
		r.endpoints = append(r.endpoints, &digestEndpoint{
			speed: 0.5 + 1.5*r.random.Float64(), failsClass: -1,
			info: policy.EndpointInfo{
				ID:        policy.EndpointID(i + 1),
				Zone:      i % 3,
				Pod:       i / 4,
				Weight:    0.5 + r.random.Float64(),
				StartedAt: policy.Time(started),
			},
		})
	}
	r.instance = policy.New(settings, seed, r)
	r.sendList(true)
	meanInterval := 16 * millisecond * 8 / int64(min(endpoints, 64))
	number := 0
	var next func()
	next = func() {
		if r.now > digestStart+digestDuration {
			return
		}
		number++
		r.sendRequest(number)
		r.schedule(int64(r.random.ExpFloat64()*float64(meanInterval)), next)
	}
	r.schedule(millisecond, next)
	for at := int64(second); at < digestDuration; at += 300 * millisecond * 16 / int64(min(endpoints, 128)) {
		r.schedule(at, r.changeEndpoint)
	}
	for at := int64(5 * second); at < digestDuration; at += 5 * second { // complete lists, which restore lost changes
		r.schedule(at, func() { r.sendList(true) })
	}
	r.schedule(12*second, func() { r.slowdown = 12 }) // overload
	r.schedule(24*second, func() { r.slowdown = 1 })
	r.schedule(30*second, func() { r.hotRestart(seed + 1) })
	for len(r.queue) > 0 {
		event := heap.Pop(&r.queue).(digestEvent)
		if event.at > digestStart+digestDuration+digestDrainTime {
			break // the instance's tick timer never ends
		}
		r.now = event.at
		event.run()
	}
	return digestRecord{fmt.Sprintf("%016x", r.hash.Sum64()), r.actions}
}

// digestSettings returns the settings of the runs. Each enables different rules.
func digestSettings() map[string]policy.Settings {
	classes := []policy.Class{
		{LatencyObjective: 120 * millisecond, Idempotency: policy.Idempotent, PriorityWeight: 5},
		{
			LatencyObjective: 160 * millisecond,
			Idempotency:      policy.IdempotentByKey,
			DedupGroup:       policy.DedupPod,
			DedupWindow:      400 * millisecond,
			PriorityWeight:   8,
			LateFraction:     0.5,
		},
		{LatencyObjective: 200 * millisecond, Idempotency: policy.NonIdempotent, PriorityWeight: 3},
	}
	withGroup := func(group policy.DedupGroup) []policy.Class {
		changed := append([]policy.Class(nil), classes...)
		changed[1].DedupGroup = group
		return changed
	}
	return map[string]policy.Settings{
		"hedging": {
			Classes:              classes,
			TenantShares:         []float64{0.5, 0.3, 0.2},
			OverQuotaFraction:    0.2,
			WorstClassWeight:     0.1,
			NodeIndex:            1,
			NodeCount:            3,
			StreamsPerConnection: 1,
			MaxAttempts:          5,
			ClockResolution:      5 * millisecond,
			MaxPollInterval:      10 * second,
			SlowStartWindow:      8 * second,
			KeyAffinity:          true,
			MayHedge:             true,
			MayCancel:            true,
			MaySetRetryAfter:     true,
			MayGossip:            true,
			MaxRetryAfter:        3 * second,
			SlowStartMinCapacity: 0.12,
			ReportsUtilization:   true, ReportsServiceTime: true,
		},
		"plain": {
			Classes:              withGroup(policy.DedupZone),
			OverQuotaFraction:    1,
			NodeCount:            1,
			StreamsPerConnection: 8,
			MaxAttempts:          3,
			ClockResolution:      millisecond,
			MaxPollInterval:      4 * second,
			SlowStartWindow:      20 * second,
			MustPollList:         true,
			MayCancel:            true,
			SlowStartMinCapacity: 0.2,
		},
		"probes": {
			Classes:              withGroup(policy.DedupFleet),
			TenantShares:         []float64{0.6, 0.4},
			OverQuotaFraction:    0.5,
			WorstClassWeight:     0.5,
			NodeIndex:            7,
			NodeCount:            30,
			StreamsPerConnection: 4,
			MaxAttempts:          4,
			ClockResolution:      2 * millisecond,
			MaxPollInterval:      6 * second,
			SlowStartWindow:      12 * second,
			RemovedMayServe:      true,
			WeightIsSize:         true,
			WeightByWork:         true,
			MayCheckHealth:       true,
			HealthChecksReport:   true,
			MayGossip:            true,
			MayCancel:            true,
			SlowStartMinCapacity: 0.3,
			ReportsUtilization:   true,
		},
		"no-cancel": {
			Classes:              classes,
			TenantShares:         []float64{0.7, 0.2, 0.1},
			OverQuotaFraction:    0.1,
			WorstClassWeight:     0.3,
			NodeIndex:            299,
			NodeCount:            300,
			StreamsPerConnection: 1,
			MaxAttempts:          2,
			ClockResolution:      millisecond,
			MaxPollInterval:      5 * second,
			SlowStartWindow:      5 * second,
			MustPollList:         true,
			KeyAffinity:          true,
			MayHedge:             true,
			MaySetRetryAfter:     true,
			MaxRetryAfter:        second / 20,
			SlowStartMinCapacity: 0.05,
		},
	}
}

// TestDigests checks that the decisions, including their arguments and times, are exactly those recorded when the
// digests were written. It shows that a refactoring changes no decision.
func TestDigests(t *testing.T) {
	path := filepath.Join("testdata", "digests.json")
	stored := map[string]digestRecord{}
	if text, err := os.ReadFile(path); err == nil {
		if err := json.Unmarshal(text, &stored); err != nil {
			t.Fatal(err)
		}
	} else if !*writeDigests {
		t.Fatal(err)
	}
	got := map[string]digestRecord{}
	for name, settings := range digestSettings() {
		for _, endpoints := range []int{8, 64, 512} {
			run := fmt.Sprint(name, "/", endpoints)
			got[run] = digestOf(settings, endpoints, 53)
			want := stored[run]
			if !*writeDigests && (got[run].Digest != want.Digest ||
				fmt.Sprint(got[run].Actions) != fmt.Sprint(want.Actions)) {
				t.Errorf(
					"%s: got digest %s with actions %v, want %s with %v", run, got[run].Digest, got[run].Actions,
					want.Digest, want.Actions,
				)
			}
		}
	}
	if !*writeDigests {
		return
	}
	text, err := json.MarshalIndent(got, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		t.Fatal(err)
	}
}
