package relay

import (
	"slices"
	"strings"

	"fawnglade/internal/distribution"
)

const wildcard = "*" // at the end of a scope: all scopes that begin so

// Selectors reads scopes as configuration files name them: a star at the end stands for all that begin so.
func Selectors(scopes []string) []distribution.Selector {
	out := make([]distribution.Selector, len(scopes))
	for i, scope := range scopes {
		name, prefix := strings.CutSuffix(scope, wildcard)
		out[i] = distribution.Selector{Scope: name, Prefix: prefix}
	}
	return out
}

// WithOrigin adds ScopeOrigin to scopes that don't cover it.
func WithOrigin(scopes []string) []string {
	for _, scope := range scopes {
		prefix, isPrefix := strings.CutSuffix(scope, wildcard)
		if scope == ScopeOrigin || isPrefix && strings.HasPrefix(ScopeOrigin, prefix) {
			return scopes
		}
	}
	return append(slices.Clone(scopes), ScopeOrigin)
}
