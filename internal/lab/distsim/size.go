// Package distsim runs the distribution tree on one machine: an origin, relays in two levels as processes, and hollow
// nodes over TCP on loopback, through phases with ordinary changes, faults and mass starts. After each phase the
// records of every hollow node are compared with what the run itself changed, never with what a relay or a node says.
// All addresses are in 127.0.0.0/8, and no process outlives a run.
package distsim

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

// Size of a run. All that is drawn follows from Seed.
type Size struct {
	Nodes           int           `json:"nodes"`       // hollow nodes, each with a connection
	Regions         int           `json:"regions"`     // spread evenly over nodes and endpoints
	Zones           int           `json:"zones"`       // over all regions
	UpperRelays     int           `json:"upper"`       // relays that follow the origin, with all records
	LowerRelays     int           `json:"lower"`       // relays that nodes follow, each with the scopes of two regions at most
	Services        int           `json:"services"`    // in every region
	Endpoints       int           `json:"endpoints"`   // over all scopes; a scope is a service within a region
	ServicesPerNode int           `json:"take"`        // of its region, that a node follows
	Routes          int           `json:"routes"`      // configuration records, spread over services
	Tenants         int           `json:"tenants"`     // configuration records, spread over services
	SharedServices  int           `json:"shared"`      // whose configuration every node follows; only it changes
	Speedup         float64       `json:"pace"`        // of changes, over an ordinary day's
	OrdinaryTime    time.Duration `json:"true_ns"`     // of the phase at an ordinary day's pace
	PhaseTime       time.Duration `json:"day_ns"`      // of the phases at Speedup, without a fault and with each
	ZoneLoss        int           `json:"burst"`       // endpoints of one zone that are removed at once
	SettleTimeout   time.Duration `json:"settle_ns"`   // until all nodes are right, after a phase
	BytesPerSecond  int           `json:"bytes_per_s"` // pace of a lower relay to a node; 0: no bound
	ShareMemory     bool          `json:"share"`       // equal names and bodies are held once for all hollow nodes: their memory is no node's then
	Seed            uint64        `json:"seed"`
}

// Changes of an ordinary day at the full size.
const (
	configurationChangesPerDay = 72_000
	restartsPerDay             = 16_000
	failuresPerDay             = 260
	daySeconds                 = 86_400.0
)

// Full is the design size on one machine, where a node follows a part of the routes and tenants, as all do not fit into
// memory.
func Full() Size {
	return Size{
		Nodes: 5300, Regions: 10, Zones: 31, UpperRelays: 3, LowerRelays: 15,
		Services: 5000, Endpoints: 120_000, ServicesPerNode: 500, Routes: 86_000, Tenants: 980_000, SharedServices: 5,
		Speedup: 60, OrdinaryTime: 5 * time.Second, PhaseTime: 5 * time.Second, ZoneLoss: 3900, SettleTimeout: 20 * time.Second,
		BytesPerSecond: 18_000, Seed: 1,
	}
}

// Quick is a small size, for continuous integration.
func Quick() Size {
	return Size{
		Nodes: 300, Regions: 3, Zones: 6, UpperRelays: 2, LowerRelays: 4,
		Services: 200, Endpoints: 4800, ServicesPerNode: 50, Routes: 1000, Tenants: 4000, SharedServices: 4,
		Speedup: 60, OrdinaryTime: 2 * time.Second, PhaseTime: 3 * time.Second, ZoneLoss: 400, SettleTimeout: 10 * time.Second,
		BytesPerSecond: 18_000, Seed: 1,
	}
}

// What a run takes, to the right order of magnitude.
const (
	recordBytes      = 400      // of a record in a hollow node
	scopeBytes       = 300      // of a scope that a node follows, at the node and at its relay
	nodeBytes        = 100_000  // of a node's connection, both ends
	relayRecordBytes = 500      // of a record in a relay or the origin
	processBytes     = 30 << 20 // of a process with nothing
	maxProcesses     = 200
	spareDescriptors = 200
	maxPorts         = 28_000 // that the system has for outgoing connections
)

// records at the origin.
func (s Size) records() int { return s.Endpoints + s.Routes + s.Tenants }

// recordsPerNode is how many records a node follows.
func (s Size) recordsPerNode() int {
	scopes := s.Services * s.Regions
	return s.Endpoints/scopes*s.ServicesPerNode + s.Endpoints%scopes*s.ServicesPerNode/scopes + s.sharedRecords()
}

func (s Size) sharedRecords() int { return (s.Routes + s.Tenants) * s.SharedServices / s.Services }

// relayGroups is how many groups of lower relays there are, one for each two regions; each has several relays, for
// failover.
func (s Size) relayGroups() int { return (s.Regions + 1) / 2 }

// Memory is what the run is expected to take, bytes.
func (s Size) Memory() int64 {
	nodes := int64(s.Nodes) * int64(nodeBytes+s.recordsPerNode()*recordBytes+s.ServicesPerNode*scopeBytes)
	upperRecords := int64(s.records())
	lowerRecords := int64(s.Endpoints/s.relayGroups() + s.sharedRecords())
	return nodes + int64(1+s.UpperRelays)*(upperRecords*relayRecordBytes+processBytes) +
		int64(s.LowerRelays)*(lowerRecords*relayRecordBytes+processBytes)
}

// Check refuses a size that cannot be played on this machine.
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

// check is Check on a machine with half its memory in bytes and a limit of descriptors.
func (s Size) check(halfMemory, descriptors int64) error {
	switch {
	case s.Nodes < 1 || s.Regions < 1 || s.Services < 1 || s.Endpoints < 1 || s.Zones < s.Regions || s.UpperRelays < 1 || s.Speedup <= 0:
		return errors.New("expected one node, region, service, endpoint and upper relay at least, a zone for each region and a pace above 0")
	case s.ServicesPerNode < 1 || s.ServicesPerNode > s.Services || s.SharedServices < 1 || s.SharedServices > s.Services:
		return fmt.Errorf("--take and --shared: expected 1 to %d, the services, got %d and %d", s.Services, s.ServicesPerNode, s.SharedServices)
	case s.Routes+s.Tenants < s.Services:
		return fmt.Errorf("--routes and --tenants: expected %d together at least, one for each service, got %d", s.Services, s.Routes+s.Tenants)
	case s.LowerRelays < 2*s.relayGroups():
		return fmt.Errorf("--lower: expected %d at least, two for each two regions, got %d", 2*s.relayGroups(), s.LowerRelays)
	case 2+s.UpperRelays+s.LowerRelays > maxProcesses:
		return fmt.Errorf("the run is %d processes, expected %d at most", 2+s.UpperRelays+s.LowerRelays, maxProcesses)
	case s.Memory() > halfMemory:
		return fmt.Errorf("the run takes about %d MB, expected %d MB at most, half of the machine's memory", s.Memory()>>20, halfMemory>>20)
	case int64(s.Nodes+spareDescriptors) > descriptors:
		return fmt.Errorf("the run takes %d descriptors, expected %d at most, what the system allows (ulimit -n)", s.Nodes+spareDescriptors, descriptors)
	case s.Nodes+spareDescriptors > maxPorts:
		return fmt.Errorf("the run takes %d ports, expected %d at most", s.Nodes+spareDescriptors, maxPorts)
	}
	return nil
}
