// Package golden holds what a test produced against a file under testdata/golden that an earlier build wrote, so that a
// message, a record or an output keeps its bytes while the code around it changes. Only tests import it.
package golden

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

// update writes the files anew. Only for a format that is meant to change, or for a new message.
var update = flag.Bool("update-golden", false, "rewrite the files under testdata/golden")

// Check compares got with the file of that name under testdata/golden of the package under test.
func Check(t testing.TB, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: the bytes differ from those of an earlier build\ngot  %q\nwant %q", path, got, want)
	}
}
