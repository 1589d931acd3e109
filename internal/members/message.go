package members

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"

	"github.com/fxamacker/cbor/v2"
)

// The wire format: a version byte, the message as CBOR with whole-number keys, and an authentication tag.

const (
	// MaxDatagramBytes is the length that no datagram reaches, so that none is fragmented.
	MaxDatagramBytes = 1200
	// MaxPayloadBytes is the longest payload of another part of the node.
	MaxPayloadBytes = 1000

	version      = 1
	authTagBytes = 16
)

// kind is the kind of a message.
type kind uint8

const (
	ping     kind = 1 + iota
	ack           // of a ping, or of an indirect probe if Target is set
	pingReq       // asks to probe Target
	nack          // no ack of Target has come yet
	gossip        // updates alone
	pushPull      // the states of one part
	payload       // of another part of the node
)

// message is the content of a datagram. Unknown fields are ignored, so that later versions can add some; a key is never
// reused.
type message struct {
	Kind         kind     `cbor:"1,keyasint"`
	To           uint64   `cbor:"2,keyasint"`
	Self         update   `cbor:"3,keyasint"`
	Sequence     uint64   `cbor:"4,keyasint,omitempty"`
	Target       uint64   `cbor:"5,keyasint,omitempty"`
	Buckets      int      `cbor:"6,keyasint,omitempty"` // into how many the sender divides its view
	Bucket       int      `cbor:"7,keyasint,omitempty"`
	Digest       uint64   `cbor:"8,keyasint,omitempty"` // of Part
	Updates      []update `cbor:"9,keyasint,omitempty"`
	KnownStartMs uint64   `cbor:"10,keyasint,omitempty"` // in an ack: the start of the receiver's run before this one
	Payload      []byte   `cbor:"11,keyasint,omitempty"`
}

var (
	decMode = must(cbor.DecOptions{
		MaxArrayElements: 64, MaxMapPairs: 64, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden,
	}.DecMode())
	encMode = must(cbor.CoreDetEncOptions().EncMode())
)

var (
	errTooLong = errors.New("members: datagram too long")
	errVersion = errors.New("members: unknown version")
	errAuth    = errors.New("members: damaged, or authenticated with another key")
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options are constants
	}
	return v
}

func authTag(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(nil)[:authTagBytes]
}

func encode(key []byte, m *message) []byte {
	body, err := encMode.Marshal(m)
	if err != nil {
		panic(err) // the type can always be encoded
	}
	body = append([]byte{version}, body...)
	return append(body, authTag(key, body)...)
}

func decode(key, datagram []byte) (*message, error) {
	if len(datagram) >= MaxDatagramBytes {
		return nil, errTooLong
	}
	if len(datagram) < 2+authTagBytes {
		return nil, errAuth
	}
	if datagram[0] != version {
		return nil, errVersion
	}
	body, tag := datagram[:len(datagram)-authTagBytes], datagram[len(datagram)-authTagBytes:]
	if !hmac.Equal(authTag(key, body), tag) {
		return nil, errAuth
	}
	m := &message{}
	return m, decMode.Unmarshal(body[1:], m)
}
