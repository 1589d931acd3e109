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

// faultyDisk is a directory whose syncs hang while hangs is locked, and fail while fails is set.
type faultyDisk struct {
	store.Directory
	hangs sync.Mutex // while locked, no sync returns
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
		return errors.New("injected sync failure")
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

// Guards against a disk that affects requests: they are served while syncs hang or fail. When syncs return, all changes
// are written; a failure is reported by the admin API.
func TestRequestsAreServedWhileDiskHangsOrFails(t *testing.T) {
	server, _ := startUpstream(t, echo)
	disk, dir := &faultyDisk{}, t.TempDir()
	n := startNode(t, withStateDir(t, disk, dir), server)
	eventually(t, "the first batch to be written", func() bool { return n.persistence.writtenBatches.Load() > 0 })
	disk.hangs.Lock()
	before, written := disk.syncs.Load(), n.persistence.writtenBatches.Load()
	n.persistence.recordList([]endpointEntry{{name: "s-0", address: server}}, 2, true)
	sendRequests := func(first string) {
		for _, id := range []string{"1", "2", "3"} {
			if status, _, _ := sendRequest(t, n, "view", first+id, ""); status != 200 {
				t.Errorf("request %s%s: got status %d, want 200", first, id, status)
			}
		}
	}
	eventually(t, "a hanging sync", func() bool { return disk.syncs.Load() > before })
	sendRequests("hanging")
	if n.persistence.writtenBatches.Load() != written || strings.Contains(n.persistence.statusJSON(), `"write_under_way_s":0,`) {
		t.Error(n.persistence.statusJSON())
	}
	disk.hangs.Unlock()
	eventually(t, "the batch to be written", func() bool { return n.persistence.writtenBatches.Load() > written })
	disk.fails.Store(true)
	n.persistence.recordList([]endpointEntry{{name: "s-0", address: server}}, 2, true)
	eventually(t, "the failure to be reported", func() bool { return strings.Contains(n.persistence.statusJSON(), "a write failed") })
	sendRequests("failing")
}

// A second process on the same directory starts with the list persisted by the first.
func TestPersistedListIsUsedAfterRestart(t *testing.T) {
	server, requests := startUpstream(t, echo)
	disk := &faultyDisk{}
	dir := t.TempDir()
	n := startNode(t, withStateDir(t, disk, dir))
	entry, err := n.parseEntry(listEntry("s-9", server, "up"))
	if err != nil {
		t.Fatal(err)
	}
	n.persistence.recordList([]endpointEntry{entry}, 2, true)
	n.persistence.close()
	restarted := startNode(t, withStateDir(t, disk, dir))
	sent := 0
	eventually(t, "a request at the upstream, which is in slow start", func() bool {
		sent++
		status, _, _ := sendRequest(t, restarted, "view", fmt.Sprint(sent), "")
		return status == 200 && requests.Load() == 1
	})
	if restarted.persistence.state.Epoch() != 2 {
		t.Errorf("got epoch %d, want 2", restarted.persistence.state.Epoch())
	}
}

// Of a configured and a persisted list the newer one is used, and an older configured list ends no drain.
func TestNewerOfConfiguredAndPersistedListIsUsed(t *testing.T) {
	drainingServer, drainingRequests := startUpstream(t, echo)
	activeServer, activeRequests := startUpstream(t, echo)
	dir := t.TempDir()
	start := func(version int) *Node {
		return startNode(t, func(c *Config) {
			withStateDir(t, &faultyDisk{}, dir)(c)
			c.KnownList = []byte(listText(version, true, listEntry("s-0", drainingServer, "up"), listEntry("s-1", activeServer, "up")))
		})
	}
	n := start(3)
	draining, err := n.parseEntry(listEntry("s-0", drainingServer, "draining"))
	if err != nil {
		t.Fatal(err)
	}
	n.persistence.recordList([]endpointEntry{draining}, 5, false)
	n.persistence.close()
	for _, version := range []int{4, 6} {
		configuredIsNewer := version > 5
		restarted := start(version)
		before, sent := drainingRequests.Load(), 0
		eventually(t, "requests at the upstreams, which are in slow start", func() bool {
			sent++ // most are rejected
			sendRequest(t, restarted, "view", fmt.Sprint(version, "-", sent), "")
			return sent > 40 && activeRequests.Load() > 2 && (!configuredIsNewer || drainingRequests.Load() > before)
		})
		if (drainingRequests.Load() > before) != configuredIsNewer {
			t.Errorf("configured list of version %d, persisted list of version 5: got %d requests to the draining upstream (want some only if the configured list is newer), %d to the other", version, drainingRequests.Load()-before, activeRequests.Load())
		}
		restarted.persistence.close()
		if version == 4 && !restarted.persistence.isOlderThan(6) {
			t.Error("persisted version 5 does not count as older than version 6")
		}
	}
}
