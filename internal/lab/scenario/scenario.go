// Package scenario reads scenario files: TOML, decoded strictly, with defaults and checks. Its types are the one place
// where the words of the files meet the terms of the code.
package scenario

import (
	"fmt"
	"time"
)

// Duration is a time in whole nanoseconds, written as 1.5s or 20ms.
type Duration int64

// UnmarshalText reads a duration as time.ParseDuration does.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("expected a time such as 1.5s or 20ms, got %q", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes a duration as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.Std().String()), nil }

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

func milliseconds(v float64) Duration { return Duration(v * float64(time.Millisecond)) }

// Scenario is one run: the parts, the load, the faults, and what must hold at the end.
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
	lines map[string]int // of keys, to say where a mistake is
}

// Network has the delays between parts, one way. Clients reach nodes through a front in their zone.
type Network struct {
	Zones     []string `toml:"zones"`
	SameZone  Duration `toml:"same"`
	CrossZone Duration `toml:"cross"`
	Client    Duration `toml:"client"` // from a client to its front
	Jitter    float64  `toml:"jitter"` // a delay is longer by up to this part of it
}

// Nodes are the nodes of the fleet. Node i is in zone i modulo the number of zones, unless Zones says otherwise.
type Nodes struct {
	Count          int      `toml:"count"`
	Zones          []string `toml:"zones"`
	Cores          float64  `toml:"cores"`     // in the configuration; not enforced
	MemoryMB       int64    `toml:"memory_mb"` // beyond it a node is killed
	Sockets        int      `toml:"sockets"`   // descriptors, set as the process's limit
	DeathNotice    Duration `toml:"notice"`    // until the front notices that a node has died
	StaleList      bool     `toml:"old_list"`  // a restarted node has the endpoint list of the run's beginning
	NoList         bool     `toml:"no_list"`   // a restarted node has no endpoint list, and is ready once it has one
	ClockSkew      Duration `toml:"skew"`      // clocks differ by up to this, either way; in virtual time alone
	Gossip         bool     `toml:"news"`
	PersistState   bool     `toml:"state"` // on sockets alone
	Membership     bool     `toml:"members"`
	ProtocolPeriod Duration `toml:"round"` // of membership
	ListGossip     bool     `toml:"list"`  // members ask each other for the endpoint list while discovery is silent
}

// Fleet is a number of endpoints of one kind, spread over its zones in turn.
type Fleet struct {
	Name    string   `toml:"name"`
	Count   int      `toml:"count"`
	Zones   []string `toml:"zones"`
	PodSize int      `toml:"pod_size"`

	Cores        int     `toml:"cores"`
	Speed        float64 `toml:"speed"`   // seconds of work that one core does in a second
	Spread       float64 `toml:"spread"`  // speeds are drawn within this part of Speed
	Concurrency  int     `toml:"places"`  // requests in work at a time
	QueueLimit   int     `toml:"waiting"` // requests queued
	Slowdown     float64 `toml:"dearer"`  // part by which work grows with each request a core beyond SlowdownFrom
	SlowdownFrom float64 `toml:"dearer_at"`
	ErrorShare   float64 `toml:"error_share"`
	DropExpired  bool    `toml:"drop_expired"` // rejects requests that were queued past their time
	Cancel       string  `toml:"cancel"`       // what a canceled attempt stops: nothing, waiting or work

	SlowStartCapacity float64  `toml:"cold_from"` // part of its capacity that an endpoint has at its start
	SlowStartWindow   Duration `toml:"warm_for"`
	StartsCold        bool     `toml:"cold"` // started at the run's beginning

	PauseEvery Duration `toml:"pause_every"` // on average; 0: never
	PauseFor   Duration `toml:"pause_for"`

	Connections     int      `toml:"connections"`     // at most
	ConnectionWork  Duration `toml:"connection_work"` // work of a new one
	ConnectionWait  Duration `toml:"connection_wait"` // time that the first request on a new one waits
	IdleClose       Duration `toml:"idle_close"`      // an idle one is closed after this
	HealthCheckWork Duration `toml:"probe_work"`
}

// Reports are the load reports in responses.
type Reports struct {
	Fields        []string `toml:"fields"` // inflight, queue, util, latency_ms; none: no reports
	Period        Duration `toml:"period"` // figures are sampled this often
	Delay         Duration `toml:"delay"`  // and visible this much later
	Noise         float64  `toml:"noise"`
	HealthChecked bool     `toml:"probed"` // only health checks bring them; in virtual time alone
}

// Discovery has the endpoint list for nodes.
type Discovery struct {
	MustPoll       bool     `toml:"ask"`    // nodes have to call for a watch
	ChangeDelay    Duration `toml:"notice"` // until a change of an endpoint is on the list
	UpdateInterval Duration `toml:"period"` // between two writes to a watch
	CallTime       Duration `toml:"call"`   // of one call; calls are handled in turn
	EntryTime      Duration `toml:"per_line"`
	CallTimeout    Duration `toml:"give_up"` // a call that waits longer fails
	KeyAffinity    bool     `toml:"warm_keys"`
}

// Rules are the limits that nodes are held to, and have in their settings.
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
	MaxRetryAfter  Duration `toml:"max_advice"` // 0: no Retry-After is allowed
	ConnectTimeout Duration `toml:"connect_within"`
}

// Load is what clients ask for, drawn ahead.
type Load struct {
	Rate        float64   `toml:"rate"`       // operations a second, mean of all clients
	Shape       string    `toml:"shape"`      // steady, wave, burst or month-end
	Swing       float64   `toml:"swing"`      // by which part of its mean the rate moves
	Period      Duration  `toml:"period"`     // of a wave; between bursts
	ZoneShare   []float64 `toml:"zone_share"` // even if left out
	Keys        int       `toml:"keys"`       // number of keys; 0: requests have none
	HotKeyShare float64   `toml:"hot_key"`    // part of the operations with one and the same key
	Body        int       `toml:"body"`       // bytes
	NodeSkew    float64   `toml:"uneven"`     // deviation of the logarithm of a node's part of its zone's load
}

// The kinds of idempotency of a Class.
const (
	Idempotent      = "rerunnable"
	IdempotentByKey = "ticketed"
	NonIdempotent   = "exclusive"
)

// Class of requests.
type Class struct {
	Name             string   `toml:"name"`
	Idempotency      string   `toml:"repeat"`
	DedupGroup       string   `toml:"group"` // of IdempotentByKey: fleet, zone or pod
	DedupWindow      Duration `toml:"memory"`
	Share            float64  `toml:"share"`
	LatencyObjective Duration `toml:"soft_limit"`
	Deadline         Duration `toml:"hard_limit"`
	PriorityWeight   float64  `toml:"earnings"`
	Work             Duration `toml:"work"`       // mean, on a core of speed 1
	WorkSpread       float64  `toml:"vary"`       // 0: all alike; 1: exponential
	AttemptNoise     float64  `toml:"hand_noise"` // an attempt's work is within this part of the request's
	CostHint         bool     `toml:"estimate"`   // clients send a guess at the work
}

// Tenant whose requests these are.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // of the operations
	Quota float64 `toml:"owns"`  // of the service; as Share if left out
}

// Clients say how clients behave.
type Clients struct {
	Retries             int      `toml:"retries"`
	Backoff             Duration `toml:"backoff"`     // doubled with each retry
	HonorShare          float64  `toml:"honour"`      // part that keeps to Retry-After
	CancelShare         float64  `toml:"leave"`       // part that may cancel early
	OneShotShare        float64  `toml:"once"`        // part that sends one request and keeps its connection for good
	RequestTimeoutShare float64  `toml:"try_share"`   // part of the deadline that one request is waited for
	MaxConnections      int      `toml:"connections"` // to a node; operations beyond wait, which counts in their latency
}

// Fault is one fault of the run. What it hits is named by Endpoints or Nodes, or drawn: Count of them or a Share.
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
	AttemptShare float64  `toml:"hand_offs" json:"HandOffs"` // part of the attempts or responses that it hits
	How          string   `toml:"how" json:"How"`
	Rate         float64  `toml:"rate" json:"Rate"` // of bad clients, a second; of a narrow link, bytes a second
	Class        string   `toml:"category" json:"Category"`
	Tenant       string   `toml:"customer" json:"Customer"`
	Wait         Duration `toml:"wait" json:"Wait"` // before the work; of a link: the delay; of a clock: the step

	// Of links: the ends, by the names that package netfault resolves.
	From   []string `toml:"from" json:"From"`
	To     []string `toml:"to" json:"To"`
	OneWay bool     `toml:"one_way" json:"OneWay"` // only from From to To
	Burst  int      `toml:"burst" json:"Burst"`    // so many messages in a row have the same fate

	// Of a power loss: when what was lost is back, counted from the loss, each up to Each later; 0: not in this run.
	NodesBack     Duration `toml:"nodes_back" json:"NodesBack"`
	EndpointsBack Duration `toml:"servers_back" json:"ServersBack"`
	DiscoveryBack Duration `toml:"discovery_back" json:"DiscoveryBack"`
}

// Expect is what must hold for a run to end with exit code 0. The rules hold whatever it says.
type Expect struct {
	MinWeightInTime      float64  `toml:"earnings_in_time_min"` // part of the priority weight answered within the objective
	MinSucceeded         float64  `toml:"satisfied_min"`        // part of the operations
	MaxRejected          float64  `toml:"declined_max"`
	MaxP99               Duration `toml:"p99_max"`
	MaxBadUnanswered     float64  `toml:"bad_unanswered_max"` // part of bad clients that got neither an error nor a close
	MaxLost              int      `toml:"lost_max"`           // operations lost with nodes that were killed
	MinShareOfLateSeeing float64  `toml:"seeing_part_min"`    // part of what a policy keeps that sees the true state late; gate
	ViewsAgree           bool     `toml:"agree"`              // at the end every node knows which nodes run
	// RecoverWithin is the time from the last power loss until service is back at 0.95 of the weight; 0: not checked.
	RecoverWithin Duration `toml:"back_within"`
	// MaxSlowStartExcess is the most over the budget of N requests of an endpoint in slow start, by nodes that knew of
	// its start, in roots of N.
	MaxSlowStartExcess *float64 `toml:"cold_over_max"`
	MaxBelowRandom     float64  `toml:"plain_less_max"` // by how much less than random choice it may keep; gate; 0: not checked
}

// EndpointNames lists the endpoints of the run's beginning in their order.
func (s *Scenario) EndpointNames() []string {
	var names []string
	for i := range s.Fleets {
		for n := range s.Fleets[i].Count {
			names = append(names, fmt.Sprintf("%s-%d", s.Fleets[i].Name, n))
		}
	}
	return names
}

// NodeZone is the zone of a node.
func (s *Scenario) NodeZone(node int) string {
	if len(s.Nodes.Zones) == s.Nodes.Count {
		return s.Nodes.Zones[node]
	}
	return s.Network.Zones[node%max(len(s.Network.Zones), 1)]
}
