package node

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against several concurrent changes that each have the lock file open: each open file is a descriptor, and the
// timeout for another process's lock must not include waiting for a change of this process.
func TestConcurrentOverrideChangesOpenOneLockFile(t *testing.T) {
	server, _ := startUpstream(t, echo)
	n := startNode(t, nil, server)
	lock, err := lockFile(n.overrides.path+".lock", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	countOpenFiles := func() (files int) {
		list, _ := os.ReadDir("/proc/self/fd")
		for _, entry := range list {
			if target, _ := os.Readlink("/proc/self/fd/" + entry.Name()); strings.HasPrefix(target, n.overrides.path) {
				files++
			}
		}
		return files - 1 // without the lock held by this test
	}
	maxOpen := 0
	var done sync.WaitGroup
	for i := range 8 {
		done.Go(func() {
			disable := func(o *overrideSet) string { return o.disable(fmt.Sprint("s-", i), 1) }
			if _, err := n.overrides.change(disable); err != nil {
				t.Error(err)
			}
		})
	}
	eventually(t, "a change that waits for the lock", func() bool { maxOpen = max(maxOpen, countOpenFiles()); return maxOpen > 0 })
	for range 20 {
		time.Sleep(time.Millisecond)
		maxOpen = max(maxOpen, countOpenFiles())
	}
	lock.Close()
	if done.Wait(); maxOpen != 1 {
		t.Errorf("got %d lock files open at once, want 1", maxOpen)
	}
}
