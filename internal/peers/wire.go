package peers

import (
	"encoding/binary"
	"errors"

	"github.com/dchest/siphash"
)

// MaxDatagram is the most bytes that a datagram between schedulers may have.
const MaxDatagram = 256

// A datagram is a head, entries and a check:
//
//	byte 0     version in the high four bits, kind in the low ones
//	byte 1-2   incarnation of the sender, big endian as all numbers
//	byte 3-4   sequence number, of this sender to this receiver
//	...        entries of the kind
//	last 3     the low 24 bits of SipHash-2-4 over all before, keyed by the site's fingerprint
//
// Of the kinds of the watch the first entry byte is the sender's life; an ask then has the number of a member in two
// bytes; claims of five bytes follow.
//
// An entry of kind held is the box (24 bits of a hash of its id) and a byte: slots in the high five bits,
// attempts that have not started in the low three. Both stop at the most that fits.
const (
	version   = 1
	headSize  = 5
	checkSize = 3
	heldSize  = 4

	mostSlots   = 31
	mostWaiting = 7
)

type kind uint8

// The kinds of datagrams. A reader refuses those that it does not know.
const (
	kindHeld kind = 1 // absolute values of what the sender has out at some boxes
	kindPing kind = 2 // asks for a sign of life
	kindAck  kind = 3 // is one
	kindAsk  kind = 4 // asks for one of another member, or, of the sender's own number, for all that is known
	kindTold kind = 5 // answers an ask: the first claim's member has given one

	kindWords  kind = 6 // who has a revision of the configuration in force
	kindHashes kind = 7 // hashes of parts of the table of those
)

// Why a datagram is refused.
var (
	ErrLength  = errors.New("peers: a datagram of no possible length")
	ErrVersion = errors.New("peers: a datagram of another version")
	ErrCheck   = errors.New("peers: a datagram that is damaged, or of another site")
	ErrKind    = errors.New("peers: a datagram of an unknown kind")
	ErrSender  = errors.New("peers: a datagram of nobody we know")
	ErrOld     = errors.New("peers: a datagram that is late or of an earlier run")
)

// Out is what somebody has out at a box.
type Out struct {
	Slots   int `json:"slots"`   // 0 to 31; more counts as 31
	Waiting int `json:"waiting"` // attempts that have not started, 0 to 7
}

func (o Out) bound() Out {
	return Out{min(max(0, o.Slots), mostSlots), min(max(0, o.Waiting), mostWaiting)}
}

// codec seals and opens datagrams of one site.
type codec struct{ k0, k1 uint64 }

func newCodec(site uint64) codec { return codec{site, mix(site)} }

type head struct {
	kind        kind
	incarnation uint16
	seq         uint16
}

// begin starts a datagram in buf, which is at least MaxDatagram long.
func (c codec) begin(buf []byte, h head) []byte {
	buf = append(buf[:0], version<<4|byte(h.kind))
	buf = binary.BigEndian.AppendUint16(buf, h.incarnation)
	return binary.BigEndian.AppendUint16(buf, h.seq)
}

// seal ends a datagram.
func (c codec) seal(buf []byte) []byte {
	sum := c.sum(buf)
	return append(buf, byte(sum>>16), byte(sum>>8), byte(sum))
}

func (c codec) sum(b []byte) uint32 { return uint32(siphash.Hash(c.k0, c.k1, b)) & 0xffffff }

// open checks a datagram and returns its head and the bytes of its entries.
func (c codec) open(b []byte) (h head, body []byte, err error) {
	switch {
	case len(b) < headSize+checkSize || len(b) > MaxDatagram:
		return h, nil, ErrLength
	case b[0]>>4 != version:
		return h, nil, ErrVersion
	}
	end := len(b) - checkSize
	if c.sum(b[:end]) != uint32(b[end])<<16|uint32(b[end+1])<<8|uint32(b[end+2]) {
		return h, nil, ErrCheck
	}
	h = head{kind(b[0] & 15), binary.BigEndian.Uint16(b[1:]), binary.BigEndian.Uint16(b[3:])}
	body = b[headSize:end]
	entries, size := len(body), claimSize
	switch h.kind {
	case kindHeld:
		size = heldSize
	case kindPing, kindAck, kindTold:
		entries--
	case kindAsk:
		entries -= 3
	case kindWords:
		entries, size = entries-wordsHead, wordSize
	case kindHashes:
		entries, size = entries-hashesHead, hashSize
	default:
		return h, nil, ErrKind
	}
	if entries < 0 || entries%size != 0 || entries == 0 && (h.kind == kindWords || h.kind == kindHashes) {
		return h, nil, ErrLength
	}
	return h, body, nil
}

// heldRoom is how many entries of kind held fit into a datagram.
const heldRoom = (MaxDatagram - headSize - checkSize) / heldSize

func appendHeld(buf []byte, key uint32, o Out) []byte {
	return append(buf, byte(key>>16), byte(key>>8), byte(key), byte(o.Slots)<<3|byte(o.Waiting))
}

func heldAt(b []byte) (key uint32, o Out) {
	return uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2]), Out{int(b[3] >> 3), int(b[3] & 7)}
}

// newer reports whether a is after b, of numbers that wrap.
func newer(a, b uint16) bool { return int16(a-b) > 0 }

// mix spreads the bits of a number.
func mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
