// Package golden compares the output of a test with a golden file under testdata/golden that an earlier build wrote. It
// ensures that the bytes of a message, record or output don't change unintentionally. Only tests import it.
package golden

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

// update rewrites the golden files. Use it only for an intended change of a format, or for a new one.
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
		t.Errorf("%s: the output differs from the golden file\ngot  %q\nwant %q", path, got, want)
	}
}
