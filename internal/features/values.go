package features

import (
	"fmt"
	"strings"
	"time"

	"fawnglade/internal/tomlfile"
)

// durationRange is what a duration may be, and what it is where the file has none.
type durationRange struct{ defaultValue, min, max time.Duration }

func parseDuration(p *tomlfile.Problems, key, text string, allowed durationRange) time.Duration {
	if text == "" {
		return allowed.defaultValue
	}
	d, err := time.ParseDuration(text)
	want := fmt.Sprintf("a time from %s to %s", formatDuration(allowed.min), formatDuration(allowed.max))
	p.Require(err == nil && d >= allowed.min && d <= allowed.max, key, want, quoted(text))
	return d
}

// short is a duration without zero units: 1m rather than 1m0s.
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	return text
}

func quoted(text string) string { return fmt.Sprintf("%q", text) }
