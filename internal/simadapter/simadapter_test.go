package simadapter

import (
	"bytes"
	"encoding/base64"
	"strings"
	"testing"

	"fawnglade/internal/gossip"
	"fawnglade/policy"
)

const settingsLine = "profiles.count=3 profiles.0.deadline_us=8000000 profiles.0.objective_us=2000000 profiles.0.repeat=safe " +
	"profiles.1.deadline_us=4000000 profiles.1.objective_us=1500000 profiles.1.repeat=keyed profiles.1.group=cell " +
	"profiles.1.memory_span_us=20000000 profiles.2.deadline_us=4000000 profiles.2.objective_us=1500000 " +
	"profiles.2.repeat=unsafe profiles.2.streaming=true group_size=3 zone=0 quantum_us=5000 discovery=ask " +
	"limits.cancelling=true limits.may_duplicate=true limits.retry_after=true limits.max_retry_after_us=3000000 " +
	"limits.try_limit=5 report.fields=latency_ms,util report.how=inline rules.ask_within_us=10000000 " +
	"rules.cold_from=0.12 rules.warm_within_us=24000000 weights=off future.key=7"

const startBatch = "BEGIN_BATCH 1000000\nCONFIGURE 3 42 " + settingsLine + "\nCATALOG 0 1\nSERVER 51530247 0 0 0 active 1 -\n" +
	"REGISTRY 3 SAVED 41 0\nEOB\n"

// serve runs the adapter on the input and returns its replies, its error output and its exit code.
func serve(input string) (string, string, int) {
	var out, errorText bytes.Buffer
	code := Run(strings.NewReader(input), &out, &errorText)
	return out.String(), errorText.String(), code
}

func TestReplies(t *testing.T) {
	const began = "AFTER 3 2000000 1\nOBSERVE 3 1\nDONE\n"
	const task = "BEGIN_BATCH 1000000\nREQ 3 aa 0 0 9000000 2 - acct/k\nEOB\n"
	hinted := strings.Replace(task, "aa 0 0 9000000 2 -", "aa 2 0 9000000 1 12000", 1)
	for name, c := range map[string]struct{ in, out string }{
		"empty batch": {"BEGIN_BATCH 8412250\nEOB\n", "DONE\n"},
		"start":       {startBatch, began},
		"killed and started again in one batch": {
			startBatch + "BEGIN_BATCH 1500000\nSTOP 3\nCONFIGURE 3 43 " + settingsLine + "\nREGISTRY 3 SAVED 41 0\nEOB\n",
			began + "AFTER 3 2500000 1\nOBSERVE 3 1\nDONE\n",
		},
		"a request goes out and is answered": {
			startBatch + task + "BEGIN_BATCH 1020000\nRESOLVED 3 aa 18500 51530247 1 Ok 0 latency_ms:14.5,util:0.6,new:1\nEOB\n",
			began + "ISSUE 3 aa 51530247 1958750\nDONE\nDONE\n",
		},
		"a rejection proves harmless after a full queue": {
			startBatch + task + "BEGIN_BATCH 1020000\nRESOLVED 3 aa 500 51530247 0 QueueFull 0 -\nEOB\n",
			began + "ISSUE 3 aa 51530247 1958750\nDONE\nBUSY 3 aa 500000\nDONE\n",
		},
		"an unknown outcome may have run": {
			startBatch + hinted +
				"BEGIN_BATCH 1020000\nRESOLVED 3 aa 500 51530247 0 Melted 0 util:-1,latency_ms:NaN\nEOB\n",
			began + "ISSUE 3 aa 51530247 1466562\nDONE\nFINISH_ERROR 3 aa\nDONE\n",
		},
		"a stream, a withdrawal and an answer began for a request no longer held": {
			startBatch + hinted +
				"BEGIN_BATCH 1020000\nOPENED 3 aa 0 51530247 100\nWITHDRAWN 3 aa\nWITHDRAWN 3 aa\nOPENED 3 bb 0 1 1\nEOB\n",
			began + "ISSUE 3 aa 51530247 1466562\nDONE\nRECALL 3 aa 0\nDONE\n",
		},
		"a list number used again within a batch": {
			startBatch + "BEGIN_BATCH 1000000\nCATALOG 0 1\nSERVER 51530247 0 0 0 left 1 -\nREGISTRY 3 INCREMENTAL 42 0\n" +
				"CATALOG 0 1\nSERVER 7 0 0 0 active 1.5 -\nREGISTRY 3 INCREMENTAL 43 0\nREQ 3 aa 0 - 9000000 - - -\nEOB\n",
			began + "ISSUE 3 aa 7 1958750\nDONE\n",
		},
		"a failed list call, a timer and a health check": {
			startBatch + "BEGIN_BATCH 1000000\nREGISTRY 3 FAILED 41 -\nWAKEUP 3 0\nHEALTH_RESULT 3 7 Ok 5 util:0.5\nEOB\n",
			began + "AFTER 3 1156250 0\nOBSERVE 3 1\nDONE\n",
		},
	} {
		if out, errorText, code := serve(c.in); out != c.out || errorText != "" || code != 0 {
			t.Errorf("%s: exit %d, error output %q, replies\n%swant\n%s", name, code, errorText, out, c.out)
		}
	}
}

func TestMalformedLineErrors(t *testing.T) {
	batch := startBatch + "BEGIN_BATCH 1000001\n"
	for in, want := range map[string]string{
		"HELLO\n":                    "line 1: message: expected BEGIN_BATCH",
		"BEGIN_BATCH soon\n":         "line 1: clock: expected a time",
		"BEGIN_BATCH 1\n":            "expected EOB, the input ends",
		"BEGIN_BATCH 1":              "expected a whole line",
		batch + "MAIL 3\n":           "line 8: message: expected an event",
		batch + "STOP x\n":           "line 8: who: expected a whole number",
		batch + "STOP 4\n":           "line 8: who: expected an instance",
		batch + "REQ 3 aa\n":         "line 8: band: expected",
		batch + "REQ 3 aa 9 0 1\n":   "line 8: band: expected a category",
		batch + "REQ 3 aa 0 0 x\n":   "line 8: client_deadline_us: expected",
		batch + "CATALOG 16 0\n":     "line 8: sheet: expected a number from 0 to 15",
		batch + "CATALOG 1 1\nEOB\n": "line 9: message: expected SERVER",
		batch + "CATALOG 1 1\nSERVER 1 0 0 0 asleep 1 -\n":            "line 9: condition: expected active",
		batch + "REGISTRY 3 FULL 1 5\n":                               "line 8: sheet: expected a list that was given, got 5",
		batch + "REGISTRY 3 SOME 1 0\n":                               "line 8: form: expected",
		batch + "PEER 3 1 a%k\n":                                      "line 8: octets: expected base64",
		batch + "RESOLVED 3 aa 1 1 2 Ok 0 -\n":                        "line 8: over: expected 1 or 0",
		batch + "RESOLVED 3 aa 1 1 1 Ok 0 util\n":                     "line 8: gauge: expected name:value",
		batch + "CONFIGURE 4 1 group_size=3\n":                        "line 8: profile_data: profiles.count: expected",
		batch + "CONFIGURE 4 1 " + settingsLine + " zone=-1\n":        "line 8: profile_data: zone: expected a number of at least 0",
		batch + "CONFIGURE 4 1 " + settingsLine + " weights=heavy\n":  "weights: expected one of off nominal rough live, got heavy",
		batch + "CONFIGURE 4 1 " + settingsLine + " discovery=call\n": "discovery: expected one of push ask, got call",
	} {
		_, errorText, code := serve(in)
		if code == 0 || !strings.Contains(errorText, want) || strings.Count(errorText, "\n") != 1 {
			t.Errorf("%q: exit %d, error output %q, want %q", in[max(0, len(in)-40):], code, errorText, want)
		}
	}
}

// Guards against a peer ending this process, or invalid gossip passing unseen.
func TestInvalidGossipIsCounted(t *testing.T) {
	message := base64.StdEncoding.EncodeToString(gossip.Encode(
		policy.GossipMessage{Endpoint: 51530247}, 1000000*nanosPerMicrosecond,
	))
	in := startBatch + "BEGIN_BATCH 1000001\nPEER 3 1 " + message + "\nPEER 3 1 " + message + "\nPEER 3 2 aGk=\nPEER 3 1 -\nEOB\n"
	out, errorText, code := serve(in)
	if !strings.HasSuffix(out, "DONE\n") || errorText != "benchlink: 3 messages passed over\n" || code != 0 {
		t.Errorf("exit %d, error output %q", code, errorText)
	}
}
