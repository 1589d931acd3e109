package simadapter

import (
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"fawnglade/internal/golden"
	"fawnglade/internal/gossip"
	"fawnglade/policy"
)

// settingsLines together cover settings that exclude each other in one line.
var settingsLines = []string{
	settingsLine,
	strings.NewReplacer(
		"discovery=ask", "discovery=push", "report.how=inline", "report.how=on_probe", "weights=off", "weights=rough",
	).Replace(settingsLine) +
		" limits.probes=true limits.peer_messages=true limits.multiplex=8 family_info.warm_keys=true value_by=work position=2 over_share_worth=0.2" +
		" goal.worst_class=0.3 parties.count=2 parties.0.name=a parties.0.portion=0.7 parties.1.name=b parties.1.portion=0.3" +
		" rules.removal_not_binding=true profiles.0.late_worth=0.5 profiles.0.worth=5.0 profiles.1.worth=8.0 zones=x,y limits.idle_close_us=5000000",
}

// simulatorInput generates random events of a simulator. It does not depend on the replies.
func simulatorInput(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 1))
	var b strings.Builder
	clock := int64(1_000_000)
	fmt.Fprintf(&b, "BEGIN_BATCH %d\n", clock)
	for i, settings := range settingsLines {
		fmt.Fprintf(&b, "CONFIGURE %d %d %s\n", i, 42+i, settings)
	}
	b.WriteString("CATALOG 3 6\n")
	for i := range 6 {
		fmt.Fprintf(
			&b, "SERVER %d %d 0 %d active %g %s\n", 100+i, i%2, i/2, 1+0.5*float64(i), []string{"-", "900000"}[i/5],
		)
	}
	b.WriteString("REGISTRY 0 SAVED 41 3\nREGISTRY 1 FULL 41 3\nEOB\n")
	outcomes := []string{
		"Ok", "Ok", "Ok", "Ok", "Failed", "QueueFull", "TimedOut", "ConnectError", "ResetByPeer", "Canceled", "Ignored",
		"Other",
	}
	states := []string{"active", "leaving", "left"}
	for n := range 600 {
		clock += random.Int64N(20_000)
		fmt.Fprintf(&b, "BEGIN_BATCH %d\n", clock)
		instanceIndex := n % 2
		id := fmt.Sprint("t", n)
		fmt.Fprintf(
			&b, "REQ %d %s %d %d %d %d %d key%d\n", instanceIndex, id, random.IntN(3), random.IntN(2), clock+4_000_000, random.IntN(4),
			1000+random.IntN(20_000), random.IntN(9),
		)
		for attempt := range random.IntN(3) {
			fmt.Fprintf(&b, "RESOLVED %d t%d %d %d 0 %s %d latency_ms:%d,util:0.%d,queue:%d,new:1\n", instanceIndex, max(0, n-2*random.IntN(3)), 500+random.IntN(40_000), 100+random.IntN(6),
				outcomes[random.IntN(len(outcomes))], attempt, 1+random.IntN(30), random.IntN(10), random.IntN(4))
		}
		for attempt := range 3 { // end all attempts of an earlier request that are still in flight
			fmt.Fprintf(&b, "RESOLVED %d t%d 30000 %d 0 Ok %d -\n", instanceIndex, max(0, n-8), 100+random.IntN(6), attempt)
		}
		switch random.IntN(12) {
		case 0:
			fmt.Fprintf(&b, "WITHDRAWN %d t%d\n", instanceIndex, max(0, n-4))
		case 1:
			fmt.Fprintf(&b, "WAKEUP %d %d\n", instanceIndex, random.IntN(40))
		case 2:
			fmt.Fprintf(&b, "HEALTH_RESULT %d %d Ok 700 util:0.4,latency_ms:9\n", instanceIndex, 100+random.IntN(6))
		case 3:
			fmt.Fprintf(&b, "REGISTRY %d FAILED 41 -\n", instanceIndex)
		case 4:
			fmt.Fprintf(
				&b, "CATALOG 5 1\nSERVER %d 1 0 2 %s 1 %d\nREGISTRY %d INCREMENTAL 42 5\n", 100+random.IntN(6),
				states[random.IntN(3)], clock, instanceIndex,
			)
		case 5:
			message := gossip.Encode(
				policy.GossipMessage{Endpoint: policy.EndpointID(100 + random.IntN(6)), Class: random.IntN(3)},
				clock*nanosPerMicrosecond,
			)
			fmt.Fprintf(&b, "PEER %d %d %s\n", instanceIndex, random.IntN(5), base64.StdEncoding.EncodeToString(message))
		case 6:
			fmt.Fprintf(&b, "OPENED %d t%d 0 100 50\n", instanceIndex, n)
		}
		if n%40 == 39 {
			fmt.Fprintf(&b, "WAKEUP 0 1\nWAKEUP 1 1\nREGISTRY %d FULL 43 3\n", instanceIndex)
		}
		b.WriteString("EOB\n")
	}
	b.WriteString("BEGIN_BATCH 99000000\nSTOP 0\nSTOP 1\nEOB\n")
	return b.String()
}

// TestGoldenReplies compares the replies to the simulator with the golden file, for every event and both lines of
// settings.
func TestGoldenReplies(t *testing.T) {
	out, errorText, code := serve(simulatorInput(53))
	if code != 0 {
		t.Fatalf("got exit code %d, want 0; error output: %s", code, errorText)
	}
	for _, action := range []string{"ISSUE", "RECALL", "BUSY", "FINISH_ERROR", "AFTER", "OBSERVE", "ANNOUNCE", "TEST", "RELEASE"} {
		if !strings.Contains(out, action+" ") {
			t.Errorf("got no %s among the replies, want the input to lead to every action", action)
		}
	}
	golden.Check(t, "conversation.txt", []byte(out+errorText))
}
