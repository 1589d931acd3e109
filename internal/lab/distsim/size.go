// Package distsim tests the distribution tree on one machine: an origin process, two levels of relay processes, and
// hollow nodes over TCP on loopback. A run consists of phases with ordinary changes, faults and mass starts. After each
// phase the records of every hollow node are compared with the state expected from the run's own changes, never with
// the state of a relay or another node. All addresses are in 127.0.0.0/8, and no process outlives a run.
package distsim

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

// Size holds the parameters of a run. All random choices follow from Seed.
type Size struct {
	Nodes           int           `json:"nodes"`       // hollow nodes, each with its own connection
	Regions         int           `json:"regions"`     // nodes and endpoints are spread evenly over them
	Zones           int           `json:"zones"`       // number over all regions
	UpperRelays     int           `json:"upper"`       // relays that follow the origin; each has all records
	LowerRelays     int           `json:"lower"`       // relays that nodes follow; each has the scopes of at most two regions
	Services        int           `json:"services"`    // number in every region
	Endpoints       int           `json:"endpoints"`   // number over all scopes; a scope is a service within a region
	ServicesPerNode int           `json:"take"`        // services that a node follows in its region
	Routes          int           `json:"routes"`      // configuration records, spread over services
	Tenants         int           `json:"tenants"`     // configuration records, spread over services
	SharedServices  int           `json:"shared"`      // services whose configuration every node follows; other configuration never changes
	Speedup         float64       `json:"pace"`        // change rate of the faster phases, in multiples of an ordinary day's
	OrdinaryTime    time.Duration `json:"true_ns"`     // duration of the phase at an ordinary day's change rate
	PhaseTime       time.Duration `json:"day_ns"`      // duration of each phase at Speedup, without a fault and with each fault
	ZoneLoss        int           `json:"burst"`       // endpoints of one zone that are removed at once
	SettleTimeout   time.Duration `json:"settle_ns"`   // after a phase, until all nodes have the expected records
	BytesPerSecond  int           `json:"bytes_per_s"` // send rate of a lower relay to a node; 0: unlimited
	ShareMemory     bool          `json:"share"`       // store equal names and bodies once for all hollow nodes; their memory is then not that of real nodes
	Seed            uint64        `json:"seed"`
}

// Numbers of changes on an ordinary day at the full size.
const (
	configurationChangesPerDay = 72_000
	restartsPerDay             = 16_000
	failuresPerDay             = 260
	daySeconds                 = 86_400.0
)

// Full returns the design size. Unlike in production, a node follows only a fraction of the routes and tenants, because
// all of them for all nodes do not fit into the memory of one machine.
func Full() Size {
	return Size{
		Nodes: 5300, Regions: 10, Zones: 31, UpperRelays: 3, LowerRelays: 15,
		Services: 5000, Endpoints: 120_000, ServicesPerNode: 500, Routes: 86_000, Tenants: 980_000, SharedServices: 5,
		Speedup: 60, OrdinaryTime: 5 * time.Second, PhaseTime: 5 * time.Second, ZoneLoss: 3900, SettleTimeout: 20 * time.Second,
		BytesPerSecond: 18_000, Seed: 1,
	}
}

// Quick returns a small size for continuous integration.
func Quick() Size {
	return Size{
		Nodes: 300, Regions: 3, Zones: 6, UpperRelays: 2, LowerRelays: 4,
		Services: 200, Endpoints: 4800, ServicesPerNode: 50, Routes: 1000, Tenants: 4000, SharedServices: 4,
		Speedup: 60, OrdinaryTime: 2 * time.Second, PhaseTime: 3 * time.Second, ZoneLoss: 400, SettleTimeout: 10 * time.Second,
		BytesPerSecond: 18_000, Seed: 1,
	}
}

// Resources of a run, by order of magnitude.
const (
	recordBytes      = 400      // memory of a record in a hollow node
	scopeBytes       = 300      // memory of a scope that a node follows, at the node and at its relay
	nodeBytes        = 100_000  // memory of a node's connection, at both ends
	relayRecordBytes = 500      // memory of a record in a relay or the origin
	processBytes     = 30 << 20 // memory of a process without records
	maxProcesses     = 200
	spareDescriptors = 200
	maxPorts         = 28_000 // ephemeral ports that the system has for outgoing connections
)

// records returns the number of records at the origin.
func (s Size) records() int { return s.Endpoints + s.Routes + s.Tenants }

// recordsPerNode returns the number of records that a node follows.
func (s Size) recordsPerNode() int {
	scopes := s.Services * s.Regions
	return s.Endpoints/scopes*s.ServicesPerNode + s.Endpoints%scopes*s.ServicesPerNode/scopes + s.sharedRecords()
}

func (s Size) sharedRecords() int { return (s.Routes + s.Tenants) * s.SharedServices / s.Services }

// relayGroups returns the number of groups of lower relays, one for every two regions. Each group has several relays
// for failover.
func (s Size) relayGroups() int { return (s.Regions + 1) / 2 }

// Memory returns the estimated memory of the run, in bytes.
func (s Size) Memory() int64 {
	nodes := int64(s.Nodes) * int64(nodeBytes+s.recordsPerNode()*recordBytes+s.ServicesPerNode*scopeBytes)
	upperRecords := int64(s.records())
	lowerRecords := int64(s.Endpoints/s.relayGroups() + s.sharedRecords())
	return nodes + int64(1+s.UpperRelays)*(upperRecords*relayRecordBytes+processBytes) +
		int64(s.LowerRelays)*(lowerRecords*relayRecordBytes+processBytes)
}

// Check returns an error if the size is invalid or too large for this machine.
func (s Size) Check() error {
	halfMemory, err := halfOfMemory()
	if err != nil {
		return err
	}
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err != nil {
		return err
	}
	return s.check(halfMemory, int64(descriptors.Cur))
}

// check implements Check for a machine with the given half of its memory, in bytes, and limit of file descriptors.
func (s Size) check(halfMemory, descriptors int64) error {
	switch {
	case s.Nodes < 1 || s.Regions < 1 || s.Services < 1 || s.Endpoints < 1 || s.Zones < s.Regions || s.UpperRelays < 1 || s.Speedup <= 0:
		return errors.New("expected one node, region, service, endpoint and upper relay at least, a zone for each region and --pace above 0")
	case s.ServicesPerNode < 1 || s.ServicesPerNode > s.Services || s.SharedServices < 1 || s.SharedServices > s.Services:
		return fmt.Errorf("--take and --shared: expected 1 to %d, the number of services, got %d and %d", s.Services, s.ServicesPerNode, s.SharedServices)
	case s.Routes+s.Tenants < s.Services:
		return fmt.Errorf("--routes and --tenants: expected at least %d in total, one for each service, got %d", s.Services, s.Routes+s.Tenants)
	case s.LowerRelays < 2*s.relayGroups():
		return fmt.Errorf("--lower: expected %d at least, two for every two regions, got %d", 2*s.relayGroups(), s.LowerRelays)
	case 2+s.UpperRelays+s.LowerRelays > maxProcesses:
		return fmt.Errorf("the run needs %d processes, expected %d at most", 2+s.UpperRelays+s.LowerRelays, maxProcesses)
	case s.Memory() > halfMemory:
		return fmt.Errorf("the run needs about %d MB, expected %d MB at most, half of the machine's memory", s.Memory()>>20, halfMemory>>20)
	case int64(s.Nodes+spareDescriptors) > descriptors:
		return fmt.Errorf("the run needs %d file descriptors, expected %d at most, the system's limit (ulimit -n)", s.Nodes+spareDescriptors, descriptors)
	case s.Nodes+spareDescriptors > maxPorts:
		return fmt.Errorf("the run needs %d ports, expected %d at most", s.Nodes+spareDescriptors, maxPorts)
	}
	return nil
}
