package settings

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

const nestedJSON = `{"discovery":"ask","goal":{"nines_part":0.3,"top_nines":3},"limits":{"connect_timeout_us":75000,"idle_close_us":60000000,"try_limit":3,
"retry_after":true,"max_retry_after_us":1500000},"parties":[{"name":"acme","portion":0.6},{"name":"other","portion":0.4}],
"profiles":[{"deadline_us":300000,"name":"view","objective_us":150000,"repeat":"safe","late_worth":0.25},{"deadline_us":1500000,
"group":"cell","memory_span_us":1500000,"name":"update","objective_us":500000,"repeat":"keyed"}],"quantum_us":2000,
"report":{"fields":["queue","util"],"how":"inline"},"rules":{"ask_within_us":10000000,"cold_from":0.14,
"warm_within_us":22000000},"weights":"off","zone":1,"zones":["a","b"],"new":[],"newer":null,"newest":[{"x":[1,2]}]}`

const pathValueLine = "discovery=ask goal.nines_part=0.3 goal.top_nines=3 limits.connect_timeout_us=75000 limits.idle_close_us=60000000 limits.try_limit=3 " +
	"limits.retry_after=true limits.max_retry_after_us=1500000 parties.count=2 parties.0.name=acme parties.0.portion=0.6 " +
	"parties.1.name=other parties.1.portion=0.4 profiles.count=2 profiles.0.deadline_us=300000 profiles.0.name=view " +
	"profiles.0.objective_us=150000 profiles.0.repeat=safe profiles.0.late_worth=0.25 profiles.1.deadline_us=1500000 " +
	"profiles.1.group=cell profiles.1.memory_span_us=1500000 profiles.1.name=update profiles.1.objective_us=500000 " +
	"profiles.1.repeat=keyed quantum_us=2000 report.fields=queue,util report.how=inline rules.ask_within_us=10000000 " +
	"rules.cold_from=0.14 rules.warm_within_us=22000000 weights=off zone=1 zones=a,b"

// Guards against a simulator and a node reading the same settings differently.
func TestLineAndJSONDecodeEqually(t *testing.T) {
	fromLine, err := FromLine(pathValueLine)
	if err != nil {
		t.Fatal(err)
	}
	fromJSON, err := FromJSON([]byte(nestedJSON))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(fromLine, fromJSON) {
		t.Errorf("the line gives\n%+v, the object\n%+v", fromLine, fromJSON)
	}
	if len(fromJSON.Tenants) != 2 || fromJSON.Zones[1] != "b" || fromJSON.Deadlines[1] != 1500000000 || !fromJSON.Policy.ReportsUtilization ||
		fromJSON.Policy.SlowStartMinCapacity != 0.14 || fromJSON.Policy.MaxRetryAfter != 1500*time.Millisecond {
		t.Errorf("decoded %+v", fromJSON)
	}
}

func TestErrorsNameTheSetting(t *testing.T) {
	for text, want := range map[string]string{
		strings.Replace(nestedJSON, `"try_limit":3`, `"try_limit":"many"`, 1): "limits.try_limit: expected a number of at least 1, got many",
		strings.Replace(nestedJSON, `"safe"`, `"odd"`, 1):                     "profiles.0.repeat: expected one of safe keyed unsafe, got odd",
		strings.Replace(nestedJSON, `"profiles"`, `"profile"`, 1):             "profiles.count: expected a number of at least 1, got nothing",
		strings.Replace(nestedJSON, `"top_nines":3`, `"top_nines":"all"`, 1):  "goal.top_nines: expected a number of at least 0, got all",
		"[]": "expected an object",
		"":   "expected an object",
	} {
		if _, err := FromJSON([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q in it", err, want)
		}
	}
}

// Guards against a deployment without zones, or one that does not say how soon sends have to stop, being refused.
func TestOptionalSettings(t *testing.T) {
	got, err := FromJSON([]byte(strings.NewReplacer(`"zone":1,"zones":["a","b"],`, "").Replace(nestedJSON)))
	if err != nil || got.Policy.Zone != 0 || got.Zones != nil || got.DrainGrace != 0 {
		t.Errorf("%v, zone %d of %v, stop within %d", err, got.Policy.Zone, got.Zones, got.DrainGrace)
	}
	got, err = FromJSON([]byte(strings.Replace(nestedJSON, `"rules":{`, `"rules":{"stop_sending_within_us":250000,`, 1)))
	if err != nil || got.DrainGrace != 250e6 {
		t.Errorf("%v, stop within %d", err, got.DrainGrace)
	}
}
