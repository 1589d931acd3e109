// Package soak generates short random scenarios from seeds and checks their runs. For every seed, no invariant may be
// violated and no node may end by itself; if all endpoints are healthy and have spare capacity, every request must
// succeed.
package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"fawnglade/internal/lab/result"
	"fawnglade/internal/lab/scenario"
)

const (
	lengthSeconds = 5
	// requestsPerCore is the request rate per second that leaves a core spare capacity: each takes 20 to 80 ms of work.
	requestsPerCore      = 5
	coresPerEndpoint     = 16
	maxRate              = 400 // requests a second
	largeFleet           = 30
	crowdDescriptors     = 128
	faultyEndpointsOneIn = 2 // one seed in this many has faulty endpoints
	lateCopiesOneIn      = 3 // one seed in this many has endpoints that send responses again
	crowdOneIn           = 3 // one seed in this many has a crowd of clients that keep their connections open
)

// Case is the scenario of a seed.
type Case struct {
	Scenario *scenario.Scenario
	Healthy  bool // all endpoints are healthy and have spare capacity
}

// DrawCase returns the case of a seed. It is deterministic.
func DrawCase(seed uint64) (*Case, error) {
	random := rand.New(rand.NewPCG(seed, 1))
	endpoints := 1 + random.IntN(3)
	if random.IntN(2) == 0 {
		endpoints = largeFleet
	}
	drawn := &Case{Healthy: random.IntN(faultyEndpointsOneIn) != 0}
	var text strings.Builder
	fmt.Fprintf(&text, "name = \"soak-%d\"\nlength = \"%ds\"\nseed = %d\n[nodes]\ncount = 2\n", seed, lengthSeconds, seed)
	isCrowd := random.IntN(crowdOneIn) == 0
	if isCrowd {
		fmt.Fprintf(&text, "sockets = %d\n[clients]\nonce = 0.3\n", crowdDescriptors)
	}
	fmt.Fprintf(&text, "[[fleet]]\ncount = %d\ncores = %d\nplaces = 64\nspread = 0.2\n", endpoints, coresPerEndpoint)
	fmt.Fprintf(&text, "[load]\nrate = %d\n", min(endpoints*coresPerEndpoint*requestsPerCore, maxRate))
	writeClasses(&text, random)
	writeStops(&text, random)
	if !drawn.Healthy {
		writeEndpointFault(&text, random, endpoints)
	}
	if random.IntN(lateCopiesOneIn) == 0 {
		fmt.Fprintf(&text, "[network]\nsame = \"4ms\"\n"+
			"[[fault]]\nkind = \"spoil\"\nat = \"0s\"\nfor = \"%ds\"\ncount = %d\nhow = \"late-copy\"\nhand_offs = 0.2\n",
			lengthSeconds, endpoints)
	}
	var err error
	drawn.Scenario, err = scenario.Parse(fmt.Sprintf("soak seed %d", seed), []byte(text.String()))
	return drawn, err
}

// writeClasses writes one class for each kind of idempotency, with exponentially distributed work.
func writeClasses(text *strings.Builder, random *rand.Rand) {
	for _, class := range []string{"rerunnable", "ticketed", "exclusive"} {
		fmt.Fprintf(text, "[[category]]\nname = %q\nrepeat = %q\nsoft_limit = \"1s\"\nhard_limit = \"2s\"\nvary = 1.0\nwork = \"%dms\"\n",
			class, class, 20+random.IntN(60))
	}
}

// writeStops writes one to three faults that stop a node and restart it, with other signals sent in between.
func writeStops(text *strings.Builder, random *rand.Rand) {
	for stop := range 1 + random.IntN(3) {
		fmt.Fprintf(text, "[[fault]]\nkind = \"stop\"\nhow = \"signals\"\nat = \"%dms\"\nfor = \"200ms\"\nnodes = [%d]\n",
			500+1500*stop+random.IntN(500), stop%2)
	}
}

// writeEndpointFault writes a fault that makes some endpoints hang, reset, fail or reject for two seconds.
func writeEndpointFault(text *strings.Builder, random *rand.Rand, endpoints int) {
	kinds := []string{"silent", "reset", "fail", "turn-away"}
	fmt.Fprintf(text, "[[fault]]\nkind = %q\nat = \"1s\"\nfor = \"2s\"\ncount = %d\n",
		kinds[random.IntN(len(kinds))], 1+random.IntN(max(1, endpoints/3)))
}

// Problems returns a message for each failed check of a run; none if the run passed.
func (d *Case) Problems(r *result.Result) []string {
	var problems []string
	for _, violation := range r.Violations {
		problems = append(problems, fmt.Sprint(violation))
	}
	for _, node := range r.Nodes {
		if node.Crashes > 0 {
			problems = append(problems, fmt.Sprintf("node %d ended by itself %d times", node.Node, node.Crashes))
		}
	}
	if unanswered := r.Rejected + r.Failed + r.Lost; d.Healthy && unanswered > 0 {
		problems = append(problems, fmt.Sprintf("healthy endpoints with spare capacity: %d requests rejected, %d failed, %d lost of %d",
			r.Rejected, r.Failed, r.Lost, r.Requests))
	}
	return problems
}
