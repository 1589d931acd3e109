package node

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// Of several changes at once only one has the lock file open: each open file is a descriptor, and the wait for
// another process must not come after the wait for one's own.
func TestConcurrentOverrideChangesOpenOneLockFile(t *testing.T) {
	server, _ := startUpstream(t, echo)
	n := startNode(t, nil, server)
	held, err := lockFile(n.overrides.path+".lock", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	open := func() (files int) {
		list, _ := os.ReadDir("/proc/self/fd")
		for _, one := range list {
			if at, _ := os.Readlink("/proc/self/fd/" + one.Name()); strings.HasPrefix(at, n.overrides.path) {
				files++
			}
		}
		return files - 1 // the one that is held
	}
	most := 0
	var done sync.WaitGroup
	for i := range 8 {
		done.Go(func() {
			disable := func(o *overrideSet) string { return o.disable(fmt.Sprint("s-", i), 1) }
			if _, err := n.overrides.change(disable); err != nil {
				t.Error(err)
			}
		})
	}
	eventually(t, "one that waits", func() bool { most = max(most, open()); return most > 0 })
	for range 20 {
		time.Sleep(time.Millisecond)
		most = max(most, open())
	}
	held.Close()
	if done.Wait(); most != 1 {
		t.Errorf("%d files were open at once", most)
	}
}
