package relay

import (
	"slices"
	"strings"

	"fawnglade/internal/distribution"
)

const wildcard = "*" // at the end of a scope, selects all scopes that begin with the text before it

// Selectors returns the selectors of scopes in the syntax of configuration files: a star at the end selects all scopes
// that begin with the text before it.
func Selectors(scopes []string) []distribution.Selector {
	out := make([]distribution.Selector, len(scopes))
	for i, scope := range scopes {
		name, prefix := strings.CutSuffix(scope, wildcard)
		out[i] = distribution.Selector{Scope: name, Prefix: prefix}
	}
	return out
}

// WithOrigin returns scopes with ScopeOrigin added, or scopes itself if it covers ScopeOrigin already.
func WithOrigin(scopes []string) []string {
	for _, scope := range scopes {
		prefix, isPrefix := strings.CutSuffix(scope, wildcard)
		if scope == ScopeOrigin || isPrefix && strings.HasPrefix(ScopeOrigin, prefix) {
			return scopes
		}
	}
	return append(slices.Clone(scopes), ScopeOrigin)
}
