package features

import (
	"os"
	"strings"
	"testing"
)

func TestExampleFileIsValid(t *testing.T) {
	f, err := Read("../../deploy/features.toml", "n0")
	if err != nil || f.Members == nil || len(f.Members.Addresses) != 3 || f.Members.ProtocolPeriodNs != 500e6 {
		t.Fatalf("%+v, %v", f, err)
	}
}

func TestAllProblemsAreReportedAtOnce(t *testing.T) {
	_, err := Parse("f.toml", "n9", []byte(`
[members]
listen = "nowhere"
round = "1h"
key = "abc"
list = true
colour = "red"
[[members.node]]
name = "n0"
address = "127.0.0.1:1"
[[members.node]]
name = "n0"
address = "127.0.0.1:1"
[[members.node]]
name = ""
address = "x"
`))
	if err == nil {
		t.Fatal("no error")
	}
	for _, want := range []string{
		"members.colour", "members.listen", "members.round", "members.key", "members.node.1.name", "members.node.1.address",
		"members.node.2.name", "members.node.2.address", `"n9", among them`,
	} {
		if !strings.Contains(err.Error(), "f.toml: "+want) && !strings.Contains(err.Error(), want) {
			t.Errorf("%s is missing in:\n%v", want, err)
		}
	}
	for _, line := range strings.Split(err.Error(), "\n") {
		if !strings.Contains(line, "expected") || !strings.Contains(line, "found") {
			t.Errorf("%q", line)
		}
	}
}

func TestReadInvalidEmptyAndMissingFiles(t *testing.T) {
	if _, err := Parse("f.toml", "n0", []byte("[members")); err == nil || !strings.Contains(err.Error(), "line 1") {
		t.Error(err)
	}
	if f, err := Parse("f.toml", "n0", nil); err != nil || f.Members != nil {
		t.Error("an empty file turns something on", err)
	}
	if _, err := Read("no-such-file", "n0"); !os.IsNotExist(err) {
		t.Error(err)
	}
}

func TestListExchangeRequiresAKey(t *testing.T) {
	const text = "[members]\nlisten = \"127.0.0.1:1\"\nlist = true\n%s[[members.node]]\nname = \"n0\"\naddress = \"127.0.0.1:1\"\n"
	if _, err := Parse("f.toml", "n0", []byte(strings.Replace(text, "%s", "", 1))); err == nil || !strings.Contains(err.Error(), "members.key: expected a key") {
		t.Error(err)
	}
	if _, err := Parse("f.toml", "n0", []byte(strings.Replace(text, "%s", "key = \"00112233445566778899aabbccddeeff\"\n", 1))); err != nil {
		t.Error(err)
	}
}
