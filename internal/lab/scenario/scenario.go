// Package scenario owns what a day in the lab is told: the TOML file, its defaults and its check. It must never start
// anything, draw anything or guess at what a file may have meant.
package scenario

import (
	"fmt"
	"os"
	"time"
)

// Duration is a time in whole nanoseconds, written as 1.5s or 20ms.
type Duration int64

func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("expected a time such as 1.5s or 20ms, got %q", text)
	}
	*d = Duration(v)
	return nil
}

func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }
func (d Duration) Std() time.Duration           { return time.Duration(d) }

// Scenario is one day: who takes part, what comes, what breaks and when, and what must hold at its end.
type Scenario struct {
	Name   string   `toml:"name"`
	About  string   `toml:"about"`
	Length Duration `toml:"length"`
	Seed   uint64   `toml:"seed"`

	Network   Network   `toml:"network"`
	Nodes     Nodes     `toml:"nodes"`
	Fleets    []Fleet   `toml:"fleet"`
	Reports   Reports   `toml:"reports"`
	Discovery Discovery `toml:"discovery"`
	Rules     Rules     `toml:"rules"`
	Load      Load      `toml:"load"`
	Classes   []Class   `toml:"category"`
	Tenants   []Tenant  `toml:"customer"`
	Clients   Clients   `toml:"clients"`
	Faults    []Fault   `toml:"fault"`
	Expect    Expect    `toml:"expect"`

	Path  string         `toml:"-"`
	lines map[string]int // of keys, to say where a fault lies
}

// Network has a delay for one way between each two places. A zone's clients come through a front in their zone.
type Network struct {
	Zones     []string `toml:"zones"`
	SameZone  Duration `toml:"same"`   // within a zone, one way
	CrossZone Duration `toml:"cross"`  // between two zones, one way
	Client    Duration `toml:"client"` // from a client to its front, one way
	Jitter    float64  `toml:"jitter"` // up to this part more
}

// Nodes are real processes. Node i stands in zone i modulo the number of zones, unless Zones says otherwise.
type Nodes struct {
	Count          int      `toml:"count"`
	Zones          []string `toml:"zones"`
	Cores          float64  `toml:"cores"`
	MemoryMB       int64    `toml:"memory_mb"` // past it the node is killed
	Sockets        int      `toml:"sockets"`   // descriptors, set as the process's limit
	DeathNotice    Duration `toml:"notice"`    // until the front sees that one has died
	StaleList      bool     `toml:"old_list"`  // a node that comes back knows the list of the day's beginning
	NoList         bool     `toml:"no_list"`   // a node that comes back knows no list, and is ready once it has one
	ClockSkew      Duration `toml:"skew"`      // clocks differ by up to this, either way; in virtual time alone
	Gossip         bool     `toml:"news"`      // nodes may tell one another what they find out
	PersistState   bool     `toml:"state"`     // nodes remember through a crash; on sockets alone
	Membership     bool     `toml:"members"`   // nodes know of one another, which they can only where they may tell
	ProtocolPeriod Duration `toml:"round"`     // of the members
	ListGossip     bool     `toml:"list"`      // members ask one another for the list while discovery does not tell it
}

// Fleet is a number of servers of one kind, spread over its zones in turn.
type Fleet struct {
	Name    string   `toml:"name"`
	Count   int      `toml:"count"`
	Zones   []string `toml:"zones"`
	PodSize int      `toml:"pod_size"`

	Cores        int     `toml:"cores"`
	Speed        float64 `toml:"speed"`  // work done by one core in a second, in seconds of work
	Spread       float64 `toml:"spread"` // speeds lie within this part of Speed, drawn
	Concurrency  int     `toml:"places"` // tasks in work at a time
	QueueLimit   int     `toml:"waiting"`
	Slowdown     float64 `toml:"dearer"`    // part by which work gets dearer with each task a core beyond dearer_at
	SlowdownFrom float64 `toml:"dearer_at"` // tasks in work to a core
	ErrorShare   float64 `toml:"error_share"`
	DropExpired  bool    `toml:"drop_expired"` // turns away what has waited past its time
	Cancel       string  `toml:"cancel"`       // what a hand-off given up on stops: nothing, waiting or work

	SlowStartCapacity float64  `toml:"cold_from"` // share of its capacity that a server has at its start
	SlowStartWindow   Duration `toml:"warm_for"`
	StartsCold        bool     `toml:"cold"` // started at the day's beginning, so cold then

	PauseEvery Duration `toml:"pause_every"` // on average; 0: never
	PauseFor   Duration `toml:"pause_for"`

	Connections     int      `toml:"connections"`     // at most
	ConnectionWork  Duration `toml:"connection_work"` // work that a new one costs
	ConnectionWait  Duration `toml:"connection_wait"` // time that the first task on a new one waits
	IdleClose       Duration `toml:"idle_close"`      // closes one that has stood idle this long
	HealthCheckWork Duration `toml:"probe_work"`      // work that a probe costs
}

// Reports are the load reports in servers' answers.
type Reports struct {
	Fields        []string `toml:"fields"` // inflight, queue, util, latency_ms; none: no reports
	Period        Duration `toml:"period"` // figures are taken anew this often
	Delay         Duration `toml:"delay"`  // and seen this much later
	Noise         float64  `toml:"noise"`
	HealthChecked bool     `toml:"probed"` // only probes bring them; in virtual time alone
}

// Discovery tells nodes of servers.
type Discovery struct {
	MustPoll       bool     `toml:"ask"`    // nodes have to ask for a watch
	ChangeDelay    Duration `toml:"notice"` // until a change among the servers stands in the list
	UpdateInterval Duration `toml:"period"` // between two writings to a watch
	CallTime       Duration `toml:"call"`   // to work through one call; calls wait their turn
	EntryTime      Duration `toml:"per_line"`
	CallTimeout    Duration `toml:"give_up"` // a call that waits longer fails
	KeyAffinity    bool     `toml:"warm_keys"`
}

// Rules are what nodes are held to, and told.
type Rules struct {
	StopSending    Duration `toml:"stop_sending"`
	PollWithin     Duration `toml:"ask_within"`
	CrashMultiple  float64  `toml:"fall_multiple"`
	CrashWindow    Duration `toml:"fall_after"`
	CrashSlack     string   `toml:"fall_slack"` // over the budget: tight, or chance as in the standing test
	AnswerGrace    Duration `toml:"answer_grace"`
	MaxAttempts    int      `toml:"most_hand_offs"`
	MayHedge       bool     `toml:"may_duplicate"`
	MayCancel      bool     `toml:"may_recall"`
	MaxRetryAfter  Duration `toml:"max_advice"` // 0: no advice may be given
	ConnectTimeout Duration `toml:"connect_within"`
}

// Load is what clients ask for, drawn ahead.
type Load struct {
	Rate        float64   `toml:"rate"`       // tasks in a second, mean of all clients
	Shape       string    `toml:"shape"`      // steady, wave, burst or month-end
	Swing       float64   `toml:"swing"`      // how far the rate moves from its mean, as a part of it
	Period      Duration  `toml:"period"`     // of a wave; between bursts
	ZoneShare   []float64 `toml:"zone_share"` // even if left out
	Keys        int       `toml:"keys"`       // number of keys; 0: tasks have none
	HotKeyShare float64   `toml:"hot_key"`    // share of the tasks that have one and the same key
	Body        int       `toml:"body"`       // bytes
	NodeSkew    float64   `toml:"uneven"`     // spread over the nodes of a zone: the deviation of the logarithm of a node's part; 0: all alike
}

// Category of tasks.
type Class struct {
	Name             string   `toml:"name"`
	Idempotency      string   `toml:"repeat"` // rerunnable, ticketed or exclusive
	DedupGroup       string   `toml:"group"`  // of a ticketed one: fleet, zone or pod
	DedupWindow      Duration `toml:"memory"`
	Share            float64  `toml:"share"`
	LatencyObjective Duration `toml:"soft_limit"`
	Deadline         Duration `toml:"hard_limit"`
	PriorityWeight   float64  `toml:"earnings"`
	Work             Duration `toml:"work"`       // mean, on a core of speed 1
	WorkSpread       float64  `toml:"vary"`       // 0: all alike; 1: exponential
	AttemptNoise     float64  `toml:"hand_noise"` // one hand-off's work lies within this part of the task's
	CostHint         bool     `toml:"estimate"`   // clients tell a guess at the work
}

// Customer whose tasks these are.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // of the tasks that come
	Quota float64 `toml:"owns"`  // of the service; as Share if left out
}

// Clients tells how they behave.
type Clients struct {
	Retries             int      `toml:"retries"`
	Backoff             Duration `toml:"backoff"`     // doubled with each
	HonorShare          float64  `toml:"honour"`      // share that heeds advice when to come back
	LeaveShare          float64  `toml:"leave"`       // share that may leave early
	OneShotShare        float64  `toml:"once"`        // share that asks once and keeps its connection for good
	RequestTimeoutShare float64  `toml:"try_share"`   // of the hard limit that one try waits
	MaxConnections      int      `toml:"connections"` // to a node, at most; tasks beyond wait, which counts in their times
}

// Fault is one trouble in the day. Who is named by Servers or Nodes, or drawn: Count of them or a Share.
type Fault struct {
	Kind         string   `toml:"kind" json:"Kind"`
	At           Duration `toml:"at" json:"At"`
	For          Duration `toml:"for" json:"For"`
	Endpoints    []string `toml:"servers" json:"Servers"` // names as in fleet-0
	Nodes        []int    `toml:"nodes" json:"Nodes"`
	Zone         string   `toml:"zone" json:"Zone"`
	Count        int      `toml:"count" json:"Count"`
	Share        float64  `toml:"share" json:"Share"`
	Factor       float64  `toml:"factor" json:"Factor"`
	Each         Duration `toml:"each" json:"Each"`          // apart, when several are hit one after another
	AttemptShare float64  `toml:"hand_offs" json:"HandOffs"` // share of hand-offs or answers that it hits
	How          string   `toml:"how" json:"How"`
	Rate         float64  `toml:"rate" json:"Rate"` // of bad clients, a second
	Class        string   `toml:"category" json:"Category"`
	Tenant       string   `toml:"customer" json:"Customer"`
	Wait         Duration `toml:"wait" json:"Wait"` // in its place, before the work; of a way: how much later; of a clock: the step

	// Of ways: which ends, by the names that package links resolves.
	From   []string `toml:"from" json:"From"`
	To     []string `toml:"to" json:"To"`
	OneWay bool     `toml:"one_way" json:"OneWay"` // only what goes from From to To
	Burst  int      `toml:"burst" json:"Burst"`    // so many messages in a row meet the same fate

	// Of a power loss: when what was lost is back, counted from the loss, each up to Each later; 0: not in the day.
	NodesBack     Duration `toml:"nodes_back" json:"NodesBack"`
	EndpointsBack Duration `toml:"servers_back" json:"ServersBack"`
	DiscoveryBack Duration `toml:"discovery_back" json:"DiscoveryBack"`
}

// Expect is what must hold for a run to end with exit 0. No rule may be broken, whatever stands here.
type Expect struct {
	WeightInTime       float64  `toml:"earnings_in_time_min"` // part of the earnings that came
	Succeeded          float64  `toml:"satisfied_min"`        // part of the tasks
	Rejected           float64  `toml:"declined_max"`
	P99                Duration `toml:"p99_max"`
	BadUnanswered      float64  `toml:"bad_unanswered_max"` // part of bad clients that got neither an error nor a close
	MaxLost            int      `toml:"lost_max"`           // tasks lost with nodes that were killed
	OfLateSeeing       float64  `toml:"seeing_part_min"`    // of what a policy keeps that sees the true state late; the gate
	ViewsAgree         bool     `toml:"agree"`              // at the end every node knows which nodes run
	RecoverWithin      Duration `toml:"back_within"`        // from the last loss of power until service is back at 0.95 of the earnings; 0: not asked
	MaxSlowStartExcess *float64 `toml:"cold_over_max"`      // the most over a cold server's budget of N requests from nodes that were told, in roots of N
	MaxBelowRandom     float64  `toml:"plain_less_max"`     // by how much less than random choice it may keep; the gate; 0: not asked
}

// Read reads and checks a file. Its errors name the line and what was expected.
func Read(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Default returns what a file need not say. The figures are those of a small, healthy site.
func Default() *Scenario {
	s := &Scenario{Length: Duration(10 * time.Second), Seed: 1}
	s.Network = Network{Zones: []string{"a"}, SameZone: ms(0.2), CrossZone: ms(5), Client: ms(0.3), Jitter: 0.1}
	s.Nodes = Nodes{Count: 1, MemoryMB: 192, Sockets: 1024, DeathNotice: ms(1000), ProtocolPeriod: ms(500)}
	s.Reports = Reports{Fields: []string{"queue", "inflight"}, Period: ms(400), Delay: ms(100), Noise: 0.03}
	s.Discovery = Discovery{MustPoll: true, ChangeDelay: ms(500), UpdateInterval: ms(200), CallTime: ms(20), CallTimeout: ms(2000)}
	s.Rules = Rules{
		StopSending: ms(500), PollWithin: ms(10000), CrashMultiple: 3, CrashWindow: ms(1000), CrashSlack: "tight", AnswerGrace: ms(20),
		MaxAttempts: 4, MayCancel: true, MaxRetryAfter: ms(1500), ConnectTimeout: ms(75),
	}
	s.Load = Load{Rate: 200, Shape: "steady", Swing: 0.3, Period: ms(5000), Body: 200}
	s.Clients = Clients{Retries: 2, Backoff: ms(20), HonorShare: 0.8, RequestTimeoutShare: 1, MaxConnections: 200}
	return s
}

func ms(v float64) Duration { return Duration(v * 1e6) }

// fleetDefault fills what a fleet leaves out.
func fleetDefault(f *Fleet) {
	setDefault(&f.Name, "s")
	setDefault(&f.PodSize, 4)
	setDefault(&f.Cores, 2)
	setDefault(&f.Speed, 1)
	setDefault(&f.Concurrency, 16)
	setDefault(&f.QueueLimit, 16)
	setDefault(&f.SlowStartCapacity, 0.25)
	setDefault(&f.SlowStartWindow, ms(15000))
	setDefault(&f.Connections, 1000)
	setDefault(&f.IdleClose, ms(60000))
	setDefault(&f.Cancel, "nothing")
	if f.PauseEvery > 0 {
		setDefault(&f.PauseFor, ms(100))
	}
}

func classDefault(c *Class) {
	setDefault(&c.Idempotency, "rerunnable")
	setDefault(&c.Share, 1)
	setDefault(&c.PriorityWeight, 1)
	if c.Idempotency == "ticketed" {
		setDefault(&c.DedupGroup, "fleet")
		setDefault(&c.DedupWindow, ms(5000))
	}
}

func setDefault[T comparable](v *T, missing T) {
	var zero T
	if *v == zero {
		*v = missing
	}
}
