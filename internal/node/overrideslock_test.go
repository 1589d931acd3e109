package node

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// Of many who order at once, one has the file's lock open: each open file is a descriptor, and the wait for another process's turn is
// not spent behind one's own.
func TestOrdersWaitWithOneFile(t *testing.T) {
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
			n.overrides.change(func(o *overrideSet) string { return o.disable(fmt.Sprint("s-", i), 1) })
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
