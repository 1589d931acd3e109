// Package scenario reads scenario files in TOML. Unknown keys are errors; missing keys get defaults, and all values are
// checked. The struct tags map the keys of the files to the terms of the code.
package scenario

import (
	"fmt"
	"time"
)

// Duration is a duration in nanoseconds, written in files as 1.5s or 20ms.
type Duration int64

// UnmarshalText parses a duration in the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("expected a time such as 1.5s or 20ms, got %q", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText formats a duration like time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.Std().String()), nil }

// Std converts the duration to a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

func milliseconds(v float64) Duration { return Duration(v * float64(time.Millisecond)) }

// Scenario describes one run: the network, nodes and endpoints, the load, the faults, and the expected results.
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
	lines map[string]int // line of each key, for error messages
}

// Network has the one-way delays of the network. Clients reach nodes through a front, a load balancer in their zone.
type Network struct {
	Zones     []string `toml:"zones"`
	SameZone  Duration `toml:"same"`
	CrossZone Duration `toml:"cross"`
	Client    Duration `toml:"client"` // between a client and its front
	Jitter    float64  `toml:"jitter"` // a delay is longer by a random fraction of up to this
}

// Nodes configures the nodes. Node i is in zone i modulo the number of zones, unless Zones lists the zone of each node.
type Nodes struct {
	Count          int      `toml:"count"`
	Zones          []string `toml:"zones"`
	Cores          float64  `toml:"cores"`     // value in the node's configuration; not enforced by the lab
	MemoryMB       int64    `toml:"memory_mb"` // a node that uses more is killed
	Sockets        int      `toml:"sockets"`   // limit on the file descriptors of a node's process
	DeathNotice    Duration `toml:"notice"`    // until the front stops sending to a node that has died
	StaleList      bool     `toml:"old_list"`  // a restarted node starts with the endpoint list of the run's start
	NoList         bool     `toml:"no_list"`   // a restarted node has no endpoint list, and is ready once it gets one
	ClockSkew      Duration `toml:"skew"`      // largest offset of a node's clock in either direction; simulation only
	Gossip         bool     `toml:"news"`
	PersistState   bool     `toml:"state"` // emulation only
	Membership     bool     `toml:"members"`
	ProtocolPeriod Duration `toml:"round"` // of membership
	ListGossip     bool     `toml:"list"`  // members exchange the endpoint list while discovery does not respond
}

// Fleet is a group of endpoints of one kind, assigned to its zones in turn.
type Fleet struct {
	Name    string   `toml:"name"`
	Count   int      `toml:"count"`
	Zones   []string `toml:"zones"`
	PodSize int      `toml:"pod_size"`

	Cores        int     `toml:"cores"`
	Speed        float64 `toml:"speed"`     // seconds of work that one core does in a second
	Spread       float64 `toml:"spread"`    // speeds are drawn from Speed plus or minus this fraction of it
	Concurrency  int     `toml:"places"`    // requests that run at a time
	QueueLimit   int     `toml:"waiting"`   // queued requests
	Slowdown     float64 `toml:"dearer"`    // fraction by which work grows for each request per core beyond SlowdownFrom
	SlowdownFrom float64 `toml:"dearer_at"` // running requests per core
	ErrorShare   float64 `toml:"error_share"`
	DropExpired  bool    `toml:"drop_expired"` // rejects requests that were queued past their deadline
	Cancel       string  `toml:"cancel"`       // which canceled attempts stop: nothing, waiting (queued) or work (all)

	SlowStartCapacity float64  `toml:"cold_from"` // fraction of the full capacity at an endpoint's start
	SlowStartWindow   Duration `toml:"warm_for"`
	StartsCold        bool     `toml:"cold"` // endpoints are in slow start at the start of the run

	PauseEvery Duration `toml:"pause_every"` // mean time between pauses; 0: no pauses
	PauseFor   Duration `toml:"pause_for"`

	Connections     int      `toml:"connections"`     // limit; attempts on connections beyond it are rejected
	ConnectionWork  Duration `toml:"connection_work"` // work to accept a connection
	ConnectionWait  Duration `toml:"connection_wait"` // extra delay of the first request on a connection
	IdleClose       Duration `toml:"idle_close"`      // an idle connection is closed after this time
	HealthCheckWork Duration `toml:"probe_work"`
}

// Reports configures the endpoints' load reports.
type Reports struct {
	Fields        []string `toml:"fields"` // inflight, queue, util, latency_ms; none: no reports
	Period        Duration `toml:"period"` // interval between load samples
	Delay         Duration `toml:"delay"`  // from a sample until reports contain it
	Noise         float64  `toml:"noise"`  // largest relative error of a figure
	HealthChecked bool     `toml:"probed"` // only health checks return reports; simulation only
}

// Discovery configures the discovery service, which serves the endpoint list to nodes.
type Discovery struct {
	MustPoll       bool     `toml:"ask"`      // the decisions have to request each watch; else nodes open one on their own
	ChangeDelay    Duration `toml:"notice"`   // from a change of an endpoint until it is listed
	UpdateInterval Duration `toml:"period"`   // between two updates of a watch
	CallTime       Duration `toml:"call"`     // time to handle a call; calls are handled one at a time
	EntryTime      Duration `toml:"per_line"` // additional time for each entry in the response
	CallTimeout    Duration `toml:"give_up"`  // a call that would take longer, with its time in the queue, fails
	KeyAffinity    bool     `toml:"warm_keys"`
}

// Rules are limits that nodes must keep. They are part of the nodes' settings, and the rule checker enforces them.
type Rules struct {
	StopSending    Duration `toml:"stop_sending"`
	PollWithin     Duration `toml:"ask_within"`
	CrashMultiple  float64  `toml:"fall_multiple"`
	CrashWindow    Duration `toml:"fall_after"`
	CrashSlack     string   `toml:"fall_slack"` // beyond the budget: tight, or chance (what random arrivals explain)
	AnswerGrace    Duration `toml:"answer_grace"`
	MaxAttempts    int      `toml:"most_hand_offs"`
	MayHedge       bool     `toml:"may_duplicate"`
	MayCancel      bool     `toml:"may_recall"`
	MaxRetryAfter  Duration `toml:"max_advice"` // 0: no Retry-After is allowed
	ConnectTimeout Duration `toml:"connect_within"`
}

// Load describes the operations of the clients, which are drawn before the run.
type Load struct {
	Rate        float64   `toml:"rate"`       // mean operations per second of all clients
	Shape       string    `toml:"shape"`      // steady, wave, burst or month-end
	Swing       float64   `toml:"swing"`      // amplitude of the rate, as a fraction of the mean
	Period      Duration  `toml:"period"`     // of a wave, or between the starts of bursts
	ZoneShare   []float64 `toml:"zone_share"` // weight of each zone; equal by default
	Keys        int       `toml:"keys"`       // number of affinity keys; 0: requests have none
	HotKeyShare float64   `toml:"hot_key"`    // fraction of the operations that are certain to have key 0
	Body        int       `toml:"body"`       // bytes
	NodeSkew    float64   `toml:"uneven"`     // standard deviation of the logarithm of a node's share of its zone's load
}

// Values of Class.Idempotency.
const (
	Idempotent      = "rerunnable"
	IdempotentByKey = "ticketed"
	NonIdempotent   = "exclusive"
)

// Class is a class of requests.
type Class struct {
	Name             string   `toml:"name"`
	Idempotency      string   `toml:"repeat"`
	DedupGroup       string   `toml:"group"` // for IdempotentByKey: fleet, zone or pod
	DedupWindow      Duration `toml:"memory"`
	Share            float64  `toml:"share"`
	LatencyObjective Duration `toml:"soft_limit"`
	Deadline         Duration `toml:"hard_limit"`
	PriorityWeight   float64  `toml:"earnings"`
	Work             Duration `toml:"work"`       // mean, on a core of speed 1
	WorkSpread       float64  `toml:"vary"`       // 0: constant; 1: exponentially distributed
	AttemptNoise     float64  `toml:"hand_noise"` // largest relative deviation of an attempt's work from the request's
	CostHint         bool     `toml:"estimate"`   // clients send an estimate of the work
}

// Tenant is a tenant to which operations belong.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // of the operations
	Quota float64 `toml:"owns"`  // weight of its quota of the service; Share by default
}

// Clients configures the behavior of clients.
type Clients struct {
	Retries             int      `toml:"retries"`
	Backoff             Duration `toml:"backoff"`     // before the first retry; doubled with each further one
	HonorShare          float64  `toml:"honour"`      // fraction of operations whose client waits for Retry-After
	CancelShare         float64  `toml:"leave"`       // fraction of operations whose client cancels before the deadline
	OneShotShare        float64  `toml:"once"`        // fraction of operations whose connection stays open, unused
	RequestTimeoutShare float64  `toml:"try_share"`   // fraction of the deadline that a client waits for one request
	MaxConnections      int      `toml:"connections"` // to a node; further requests wait, which counts in their latency
}

// Fault is one fault of a run. Its targets are named by Endpoints or Nodes, or drawn: Count of them or a Share.
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
	Each         Duration `toml:"each" json:"Each"`          // between the starts of the fault at successive targets
	AttemptShare float64  `toml:"hand_offs" json:"HandOffs"` // fraction of the attempts or responses that it affects
	How          string   `toml:"how" json:"How"`            // variant of the kind
	Rate         float64  `toml:"rate" json:"Rate"`          // bad clients per second; bytes per second of a narrow link
	Class        string   `toml:"category" json:"Category"`
	Tenant       string   `toml:"customer" json:"Customer"`
	Wait         Duration `toml:"wait" json:"Wait"` // delay before the work, on the link or of the list; step of a clock

	// For link faults: the ends, by the names that package netfault resolves.
	From   []string `toml:"from" json:"From"`
	To     []string `toml:"to" json:"To"`
	OneWay bool     `toml:"one_way" json:"OneWay"` // only from From to To
	Burst  int      `toml:"burst" json:"Burst"`    // number of successive messages that share one fate

	// For a power loss: the time from the loss until the targets are back, plus a random time of up to Each for each
	// node and endpoint; 0: they stay down.
	NodesBack     Duration `toml:"nodes_back" json:"NodesBack"`
	EndpointsBack Duration `toml:"servers_back" json:"ServersBack"`
	DiscoveryBack Duration `toml:"discovery_back" json:"DiscoveryBack"`
}

// Expect is what must hold for a run to end with exit code 0, besides the rules, which always must. Numbers without a
// unit are fractions, except MaxLost and MaxSlowStartExcess.
type Expect struct {
	MinWeightInTime      float64  `toml:"earnings_in_time_min"` // of the priority weight, answered within the objective
	MinSucceeded         float64  `toml:"satisfied_min"`        // fraction of the operations
	MaxRejected          float64  `toml:"declined_max"`
	MaxP99               Duration `toml:"p99_max"`
	MaxBadUnanswered     float64  `toml:"bad_unanswered_max"` // of bad clients: got neither an error nor a close
	MaxLost              int      `toml:"lost_max"`           // operations lost because nodes were killed
	MinShareOfLateSeeing float64  `toml:"seeing_part_min"`    // of what the late-seeing baseline keeps; gate only
	ViewsAgree           bool     `toml:"agree"`              // at the end all views match the running nodes
	// RecoverWithin is the longest time from the last power loss until 0.95 of the weight is served again; 0: not
	// checked.
	RecoverWithin Duration `toml:"back_within"`
	// MaxSlowStartExcess limits by how much nodes that knew of an endpoint's start may exceed its slow start budget of
	// N requests, in multiples of sqrt(N).
	MaxSlowStartExcess *float64 `toml:"cold_over_max"`
	MaxBelowRandom     float64  `toml:"plain_less_max"` // below what random choice keeps; gate only; 0: not checked
}

// EndpointNames returns the names of the endpoints that exist at the start of the run, by index.
func (s *Scenario) EndpointNames() []string {
	var names []string
	for i := range s.Fleets {
		for n := range s.Fleets[i].Count {
			names = append(names, fmt.Sprintf("%s-%d", s.Fleets[i].Name, n))
		}
	}
	return names
}

// NodeZone returns the zone of a node.
func (s *Scenario) NodeZone(node int) string {
	if len(s.Nodes.Zones) == s.Nodes.Count {
		return s.Nodes.Zones[node]
	}
	return s.Network.Zones[node%max(len(s.Network.Zones), 1)]
}
