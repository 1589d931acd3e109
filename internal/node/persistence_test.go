package node

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"fawnglade/internal/store"
)

// faultyDisk is a directory whose syncs hang until hangs is unlocked, or fail.
type faultyDisk struct {
	store.Directory
	hangs sync.Mutex // locked: no sync returns
	fails atomic.Bool
	syncs atomic.Int64
}

type faultyFile struct {
	store.File
	disk *faultyDisk
}

func (d *faultyDisk) Create(name string) (store.File, error) {
	f, err := d.Directory.Create(name)
	return faultyFile{f, d}, err
}

func (d *faultyDisk) Open(name string, write bool) (store.File, error) {
	f, err := d.Directory.Open(name, write)
	return faultyFile{f, d}, err
}

func (f faultyFile) Sync() error {
	f.disk.syncs.Add(1)
	f.disk.hangs.Lock()
	defer f.disk.hangs.Unlock()
	if f.disk.fails.Load() {
		return errors.New("the disk is gone")
	}
	return f.File.Sync()
}

func withStateDir(t *testing.T, disk *faultyDisk, dir string) func(*Config) {
	return func(c *Config) {
		if err := c.UseStateDir(dir); err != nil {
			t.Fatal(err)
		}
		c.openFiles = func(path string, write bool) (store.Directory, error) {
			var err error
			disk.Directory, err = store.SystemDirectory(path, write)
			return disk, err
		}
	}
}

// TestRequestsAreServedWhileDiskHangsOrFails has no sync return while requests are served; when they do, all is written; a failure is
// reported, and requests go on.
func TestRequestsAreServedWhileDiskHangsOrFails(t *testing.T) {
	server, _ := startUpstream(t, echo)
	disk, dir := &faultyDisk{}, t.TempDir()
	n := startNode(t, withStateDir(t, disk, dir), server)
	eventually(t, "a first batch", func() bool { return n.persistence.writtenBatches.Load() > 0 })
	disk.hangs.Lock()
	before, written := disk.syncs.Load(), n.persistence.writtenBatches.Load()
	n.persistence.recordList([]endpointEntry{{name: "s-0", address: server}}, 2, true)
	requests := func(first string) {
		for _, id := range []string{"1", "2", "3"} {
			if status, _, _ := sendRequest(t, n, "view", first+id, ""); status != 200 {
				t.Errorf("request %s%s: %d", first, id, status)
			}
		}
	}
	eventually(t, "a sync that hangs", func() bool { return disk.syncs.Load() > before })
	requests("hanging")
	if n.persistence.writtenBatches.Load() != written || strings.Contains(n.persistence.statusJSON(), `"write_under_way_s":0,`) {
		t.Error(n.persistence.statusJSON())
	}
	disk.hangs.Unlock()
	eventually(t, "written", func() bool { return n.persistence.writtenBatches.Load() > written })
	disk.fails.Store(true)
	n.persistence.recordList([]endpointEntry{{name: "s-0", address: server}}, 2, true)
	eventually(t, "a failure that is reported", func() bool { return strings.Contains(n.persistence.statusJSON(), "a write failed") })
	requests("failing")
}

// TestPersistedListIsUsedAfterRestart starts twice on one directory: the second run begins with the list of the first.
func TestPersistedListIsUsedAfterRestart(t *testing.T) {
	server, requests := startUpstream(t, echo)
	whole := &faultyDisk{}
	dir := t.TempDir()
	n := startNode(t, withStateDir(t, whole, dir))
	at, err := n.parseEntry(listEntry("s-9", server, "up"))
	if err != nil {
		t.Fatal(err)
	}
	n.persistence.recordList([]endpointEntry{at}, 2, true)
	n.persistence.close()
	again := startNode(t, withStateDir(t, whole, dir))
	asked := 0
	eventually(t, "a request at the upstream, which counts as just started", func() bool {
		asked++
		status, _, _ := sendRequest(t, again, "view", fmt.Sprint(asked), "")
		return status == 200 && requests.Load() == 1
	})
	if again.persistence.state.Epoch() != 2 {
		t.Errorf("epoch %d", again.persistence.state.Epoch())
	}
}

// TestNewerOfConfiguredAndPersistedListIsUsed starts with the list of a configuration and a persisted one: the newer one wins, and
// an older one ends no drain.
func TestNewerOfConfiguredAndPersistedListIsUsed(t *testing.T) {
	drains, drained := startUpstream(t, echo)
	serves, served := startUpstream(t, echo)
	dir := t.TempDir()
	start := func(version int) *Node {
		return startNode(t, func(c *Config) {
			withStateDir(t, &faultyDisk{}, dir)(c)
			c.KnownList = []byte(listText(version, true, listEntry("s-0", drains, "up"), listEntry("s-1", serves, "up")))
		})
	}
	n := start(3)
	out, err := n.parseEntry(listEntry("s-0", drains, "draining"))
	if err != nil {
		t.Fatal(err)
	}
	n.persistence.recordList([]endpointEntry{out}, 5, false)
	n.persistence.close()
	for _, version := range []int{4, 6} {
		want := version > 5
		again := start(version)
		before, asked := drained.Load(), 0
		eventually(t, "requests at upstreams, which count as just started", func() bool {
			asked++ // most are rejected
			sendRequest(t, again, "view", fmt.Sprint(version, "-", asked), "")
			return asked > 40 && served.Load() > 2 && (!want || drained.Load() > before)
		})
		if (drained.Load() > before) != want {
			t.Errorf("a configured list of version %d after one of 5: %d requests to the draining upstream, %d to the other", version, drained.Load()-before, served.Load())
		}
		again.persistence.close()
		if version == 4 && !again.persistence.isOlderThan(6) {
			t.Error("6 is not newer than 5")
		}
	}
}
