// Package distsim owns the run of the distribution tree on one machine: an origin, relays in two levels as processes, and hollow nodes
// over TCP on loopback, with a day's changes and faults, and the verdict of every hollow node against what the run itself wrote.
// It must never take a relay's or a node's word for what is true, send to an address outside 127.0.0.0/8, or leave a process behind.
package distsim

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Size is what is played. All that is drawn follows from Seed.
type Size struct {
	Nodes           int           `json:"nodes"`       // hollow nodes, each a connection of its own
	Regions         int           `json:"regions"`     // spread evenly over nodes and endpoints
	Zones           int           `json:"zones"`       // over all regions
	UpperRelays     int           `json:"upper"`       // relays that follow the origin, with everything
	LowerRelays     int           `json:"lower"`       // relays that nodes follow, each with the scopes of two regions at most
	Services        int           `json:"services"`    // in every region
	Endpoints       int           `json:"endpoints"`   // over all scopes; a scope is a service within a region
	ServicesPerNode int           `json:"take"`        // services of its region that a node follows
	Routes          int           `json:"routes"`      // configuration records, spread over services
	Tenants         int           `json:"tenants"`     // configuration records, spread over services
	SharedServices  int           `json:"shared"`      // services whose configuration every node follows; all changes of configuration fall there
	Speedup         float64       `json:"pace"`        // times an ordinary day's
	OrdinaryTime    time.Duration `json:"true_ns"`     // at a true day's pace
	PhaseTime       time.Duration `json:"day_ns"`      // at Pace, without a fault and again under each
	ZoneLoss        int           `json:"burst"`       // endpoints of one zone that go at once
	SettleTimeout   time.Duration `json:"settle_ns"`   // bounds the wait for the verdict of an act
	BytesPerSecond  int           `json:"bytes_per_s"` // of a lower relay to a node; 0: no bound
	ShareMemory     bool          `json:"share"`       // hollow nodes of the process hold equal names and bodies once: their memory is no node's then
	Seed            uint64        `json:"seed"`
}

// The design's size, from the operators' letter, and a day's changes there.
const (
	configurationChangesPerDay = 72_000
	restartsPerDay             = 16_000
	failuresPerDay             = 260
	daySeconds                 = 86_400
)

// Full is the size to design for, on one machine: a node follows a part of the routes and tenants, as the machine could not hold all.
func Full() Size {
	return Size{
		Nodes: 5300, Regions: 10, Zones: 31, UpperRelays: 3, LowerRelays: 15, Services: 5000, Endpoints: 120_000, ServicesPerNode: 500, Routes: 86_000,
		Tenants: 980_000, SharedServices: 5, Speedup: 60, OrdinaryTime: 5 * time.Second, PhaseTime: 5 * time.Second, ZoneLoss: 3900, SettleTimeout: 20 * time.Second, BytesPerSecond: 18_000, Seed: 1,
	}
}

// Quick is the small form, for CI.
func Quick() Size {
	return Size{
		Nodes: 300, Regions: 3, Zones: 6, UpperRelays: 2, LowerRelays: 4, Services: 200, Endpoints: 4800, ServicesPerNode: 50, Routes: 1000,
		Tenants: 4000, SharedServices: 4, Speedup: 60, OrdinaryTime: 2 * time.Second, PhaseTime: 3 * time.Second, ZoneLoss: 400, SettleTimeout: 10 * time.Second, BytesPerSecond: 18_000, Seed: 1,
	}
}

// What a run takes, bytes, rounded up from the runs at size; a refusal needs no more than the right order.
const (
	recordBytes      = 400     // a record in a hollow node
	scopeBytes       = 300     // a scope that a node follows, at the node and at its relay together
	nodeBytes        = 100_000 // its connection, both ends
	relayRecordBytes = 500     // a record in a relay or the origin
	processBytes     = 30 << 20
	maxProcesses     = 200
	spareDescriptors = 200
	maxPorts         = 28_000 // that the system hands out for calls
)

// perNode is how many records a node ends with.
func (s Size) recordsPerNode() int {
	return s.Endpoints/(s.Services*s.Regions)*s.ServicesPerNode + s.Endpoints%(s.Services*s.Regions)*s.ServicesPerNode/(s.Services*s.Regions) + s.sharedRecords()
}

func (s Size) sharedRecords() int { return (s.Routes + s.Tenants) * s.SharedServices / s.Services }

// pairs is how many groups of regions lower relays have; each group has several relays, so that nodes have where to go.
func (s Size) relayGroups() int { return (s.Regions + 1) / 2 }

// Memory is what the run is expected to take, bytes.
func (s Size) Memory() int64 {
	hollow := int64(s.Nodes) * int64(nodeBytes+s.recordsPerNode()*recordBytes+s.ServicesPerNode*scopeBytes)
	all := int64(s.Endpoints + s.Routes + s.Tenants)
	lower := int64(s.Endpoints/s.relayGroups() + s.sharedRecords())
	return hollow + int64(1+s.UpperRelays)*(all*relayRecordBytes+processBytes) + int64(s.LowerRelays)*(lower*relayRecordBytes+processBytes)
}

// Check complains of a size that can't be played here.
func (s Size) Check() error {
	half, err := halfOfMemory()
	if err != nil {
		return err
	}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return err
	}
	return s.check(half, int64(files.Cur))
}

func (s Size) check(half, files int64) error {
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
	case s.Memory() > half:
		return fmt.Errorf("the run takes about %d MB, expected %d MB at most, half of the machine's memory", s.Memory()>>20, half>>20)
	case int64(s.Nodes+spareDescriptors) > files:
		return fmt.Errorf("the run takes %d descriptors, expected %d at most, what the system allows (ulimit -n)", s.Nodes+spareDescriptors, files)
	case s.Nodes+spareDescriptors > maxPorts:
		return fmt.Errorf("the run takes %d ports, expected %d at most", s.Nodes+spareDescriptors, maxPorts)
	}
	return nil
}

func halfOfMemory() (int64, error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) >= 2 && f[0] == "MemTotal:" {
			kb, err := strconv.ParseInt(f[1], 10, 64)
			return kb << 10 / 2, err
		}
	}
	return 0, errors.New("/proc/meminfo: expected MemTotal")
}
