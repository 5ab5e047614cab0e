package peers

import (
	"encoding/binary"
	"errors"

	"github.com/dchest/siphash"
)

// MaxDatagram is the maximum size of a datagram in bytes.
const MaxDatagram = 256

// A datagram is a head, entries and a checksum. All numbers are big endian.
//
//	byte 0     version in the high four bits, kind in the low ones
//	byte 1-2   generation of the sender
//	byte 3-4   sequence number, of this sender to this receiver
//	...        entries of the kind
//	last 3     the low 24 bits of SipHash-2-4 over all before, keyed by the site's fingerprint
//
// In the kinds of the failure detector the first byte behind the head is the sender's incarnation; a ping request then has the
// number of a member in two bytes; claims of five bytes follow.
//
// An entry of kind loads is the worker (24 bits of a hash of its id) and a byte: slots in the high five bits, attempts that have
// not started in the low three. Both are clamped to what fits. The entries of revisions.go are described there.
const (
	version   = 1
	headSize  = 5
	checkSize = 3
	loadSize  = 4

	maxSlots   = 31
	maxWaiting = 7
)

type kind uint8

// The kinds of datagrams. A receiver rejects unknown ones.
const (
	kindLoads       kind = 1 // the sender's load on some workers, in absolute values
	kindPing        kind = 2 // asks for an acknowledgement
	kindAck         kind = 3 // acknowledges a ping
	kindPingRequest kind = 4 // asks to ping another member or, with the sender's own number, for all that is known
	kindIndirectAck kind = 5 // acknowledges for the member of the first claim, which was pinged on request

	kindEntries kind = 6 // members that have a revision of the configuration in force
	kindDigests kind = 7 // digests of parts of the table of those
)

// Why a datagram is rejected.
var (
	ErrLength  = errors.New("peers: datagram of invalid length")
	ErrVersion = errors.New("peers: datagram of another version")
	ErrCheck   = errors.New("peers: datagram corrupt or of another site")
	ErrKind    = errors.New("peers: datagram of unknown kind")
	ErrSender  = errors.New("peers: datagram of unknown sender")
	ErrStale   = errors.New("peers: datagram stale or of an earlier generation")
)

// Load is the load that a scheduler puts on a worker.
type Load struct {
	Slots   int `json:"slots"`   // in use, 0 to 31; more counts as 31
	Waiting int `json:"waiting"` // attempts that have not started, 0 to 7
}

func (o Load) clamped() Load {
	return Load{min(max(0, o.Slots), maxSlots), min(max(0, o.Waiting), maxWaiting)}
}

// codec encodes and verifies datagrams of one site.
type codec struct{ k0, k1 uint64 }

func newCodec(site uint64) codec { return codec{site, mix(site)} }

// head is the head of a datagram.
type head struct {
	kind       kind
	generation uint16
	sequence   uint16
}

// begin begins a datagram in buf, whose capacity is MaxDatagram at least.
func (c codec) begin(buf []byte, h head) []byte {
	buf = append(buf[:0], version<<4|byte(h.kind))
	buf = binary.BigEndian.AppendUint16(buf, h.generation)
	return binary.BigEndian.AppendUint16(buf, h.sequence)
}

// seal appends the checksum.
func (c codec) seal(buf []byte) []byte {
	sum := c.sum(buf)
	return append(buf, byte(sum>>16), byte(sum>>8), byte(sum))
}

func (c codec) sum(b []byte) uint32 { return uint32(siphash.Hash(c.k0, c.k1, b)) & 0xffffff }

// open verifies a datagram and returns its head and the bytes of its entries.
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
	case kindLoads:
		size = loadSize
	case kindPing, kindAck, kindIndirectAck:
		entries--
	case kindPingRequest:
		entries -= 3
	case kindEntries:
		entries, size = entries-entriesHeadSize, entrySize
	case kindDigests:
		entries, size = entries-digestsHeadSize, digestSize
	default:
		return h, nil, ErrKind
	}
	if entries < 0 || entries%size != 0 || entries == 0 && (h.kind == kindEntries || h.kind == kindDigests) {
		return h, nil, ErrLength
	}
	return h, body, nil
}

// maxLoadsPerDatagram is how many loads fit into a datagram.
const maxLoadsPerDatagram = (MaxDatagram - headSize - checkSize) / loadSize

func appendLoad(buf []byte, key uint32, o Load) []byte {
	return append(buf, byte(key>>16), byte(key>>8), byte(key), byte(o.Slots)<<3|byte(o.Waiting))
}

func decodeLoad(b []byte) (key uint32, o Load) {
	return uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2]), Load{int(b[3] >> 3), int(b[3] & 7)}
}

// newer reports whether a is after b in serial number arithmetic (RFC 1982).
func newer(a, b uint16) bool { return int16(a-b) > 0 }

// mix is the finalizer of MurmurHash3.
func mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
