package distribution

import (
	"cmp"
	"fmt"
	"strings"
)

// Class is the priority of a record: lower ones are sent first.
type Class uint8

// The classes, in the order in which they are sent.
const (
	ClassWithdrawal    Class = iota // an endpoint that drains or is removed
	ClassEndpoint                   // an endpoint that serves
	ClassConfiguration              // a route, a tenant, a service
	classCount
)

// String returns the class's name.
func (c Class) String() string {
	switch c {
	case ClassWithdrawal:
		return "withdrawal"
	case ClassEndpoint:
		return "endpoint"
	case ClassConfiguration:
		return "configuration"
	}
	return fmt.Sprintf("Class(%d)", uint8(c))
}

// whenDeleted returns the class of the tombstone of a record of this class.
func (c Class) whenDeleted() Class {
	if c == ClassEndpoint {
		return ClassWithdrawal
	}
	return c
}

// Record is the newest state of one key of a scope. Whoever gets one must not change its Body.
type Record struct {
	Scope, Key string
	Class      Class
	Epoch      uint64
	Version    uint64 // of the last change, within Epoch
	Deleted    bool
	Body       []byte // opaque
}

// Change is a change of a record at a subscriber.
type Change struct {
	Record
	OldBody []byte // the body before; nil where there was none
	Swept   bool   // deleted because a snapshot of the scope came without it
}

// Position says that all changes up to version Through of Epoch are known. The zero value says that none are.
type Position struct{ Epoch, Through uint64 }

func (p Position) compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, q.Epoch), cmp.Compare(p.Through, q.Through))
}

// Selector names one scope, or with Prefix all whose names begin with Scope, also those that come into being later. An
// empty Scope with Prefix names all scopes.
type Selector struct {
	Scope  string
	Prefix bool
}

func (s Selector) covers(scope string) bool {
	return s.Scope == scope || s.Prefix && strings.HasPrefix(scope, s.Scope)
}

func validateRecord(scope, key string, class Class, body []byte) error {
	switch {
	case scope == "" || len(scope) > MaxNameBytes:
		return fmt.Errorf("distribution: scope %.64q: a name of 1 to %d bytes expected, found %d",
			scope, MaxNameBytes, len(scope))
	case key == "" || len(key) > MaxNameBytes:
		return fmt.Errorf("distribution: scope %q, key %.64q: a name of 1 to %d bytes expected, found %d",
			scope, key, MaxNameBytes, len(key))
	case class >= classCount:
		return fmt.Errorf("distribution: scope %q, key %q: a class under %d expected, found %d",
			scope, key, uint8(classCount), uint8(class))
	case len(body) > MaxBodyBytes:
		return fmt.Errorf("scope %q, key %q: %w", scope, key, limitError("bytes of a body", MaxBodyBytes, len(body)))
	}
	return nil
}
