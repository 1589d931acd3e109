package features

import (
	"strings"
	"testing"
)

func TestParseDistribution(t *testing.T) {
	f, err := Parse("f.toml", "n", []byte("[distribution]\nrelays = [\"127.0.0.1:1\"]\nscopes = [\"eu1/*\"]\n"))
	if err != nil || f.Distribution.RelayTimeoutNs != 4e9 || f.Members != nil {
		t.Errorf("%+v, %v", f, err)
	}
	_, err = Parse("f.toml", "n", []byte("[distribution]\nrelays = [\"x\", \"127.0.0.1:1\", \"127.0.0.1:1\"]\nscopes = [\"\", \"a*b\"]\nsilence = \"1h\"\nwhat = 1\n"))
	if err == nil {
		t.Fatal("no complaint")
	}
	for _, part := range []string{
		"f.toml: distribution.what: expected a key of docs/operate/members.md or docs/operate/relay.md, found an unknown one in line 5",
		`f.toml: distribution.relays.0: expected an address and a port, found "x"`,
		`f.toml: distribution.relays.2: expected an address that is not there twice, found "127.0.0.1:1" again`,
		`f.toml: distribution.scopes.0: expected a scope of up to 256 bytes, with a star at its end alone, found ""`,
		`f.toml: distribution.scopes.1: expected a scope of up to 256 bytes, with a star at its end alone, found "a*b"`,
		`f.toml: distribution.silence: expected a time from 1s to 1m, found "1h"`,
	} {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("lacks %q in\n%v", part, err)
		}
	}
	if _, err = Parse("f.toml", "n", []byte("[distribution]\n")); err == nil || !strings.Contains(err.Error(), "distribution.relays: expected 1 to 64") ||
		!strings.Contains(err.Error(), "distribution.scopes: expected 1 to 4096") {
		t.Errorf("an empty table: %v", err)
	}
}
