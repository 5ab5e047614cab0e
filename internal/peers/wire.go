package peers

import (
	"encoding/binary"
	"errors"

	"github.com/dchest/siphash"
)

// MaxDatagram is the maximum size of a datagram in bytes.
const MaxDatagram = 256

// A datagram consists of a header, entries and a checksum. All numbers are big-endian.
//
//	byte 0     protocol version in the high four bits, kind in the low four bits
//	byte 1-2   generation of the sender
//	byte 3-4   sequence number of the datagrams from this sender to this receiver
//	...        entries, whose format depends on the kind
//	last 3     the low 24 bits of SipHash-2-4 over all preceding bytes, keyed by the site's fingerprint
//
// In the datagrams of the failure detector the first byte after the header is the sender's incarnation. In a ping request the number
// of the member to ping follows in two bytes. The rest are claims of five bytes each.
//
// An entry of kindLoads is the worker's key (24 bits of a hash of its ID) and one byte: the slots in use in the high five bits, the
// attempts that have not started in the low three bits. Values above the range are sent as its maximum. revisions.go describes the entries of
// kindEntries and kindDigests.
const (
	version      = 1
	headerSize   = 5
	checksumSize = 3
	loadSize     = 4

	maxSlots   = 31
	maxWaiting = 7
)

type kind uint8

// The kinds of datagrams. A receiver rejects a datagram of an unknown kind.
const (
	kindLoads       kind = 1 // absolute values of the sender's load on some workers
	kindPing        kind = 2 // requests an acknowledgement
	kindAck         kind = 3 // acknowledges a ping
	kindPingRequest kind = 4 // requests an indirect ping of another member; with the sender's own number, the full member state
	kindIndirectAck kind = 5 // reports that the member of the first claim acknowledged an indirect ping

	kindEntries kind = 6 // entries of the revision table: members that have a revision of the configuration in force
	kindDigests kind = 7 // digests of buckets of the revision table
)

// The errors with which Receive rejects a datagram.
var (
	ErrLength   = errors.New("peers: datagram has an invalid length")
	ErrVersion  = errors.New("peers: datagram has an unsupported protocol version")
	ErrChecksum = errors.New("peers: datagram has a wrong checksum: it is corrupt or from another site")
	ErrKind     = errors.New("peers: datagram has an unknown kind")
	ErrSender   = errors.New("peers: datagram is from an unknown sender")
	ErrStale    = errors.New("peers: datagram is stale or from an earlier generation of its sender")
)

// Load is the load that a scheduler puts on a worker.
type Load struct {
	Slots   int `json:"slots"`   // slots in use, clamped to 0 to 31
	Waiting int `json:"waiting"` // attempts that have not started, clamped to 0 to 7
}

func (l Load) clamped() Load {
	return Load{min(max(0, l.Slots), maxSlots), min(max(0, l.Waiting), maxWaiting)}
}

// codec encodes and verifies the datagrams of one site.
type codec struct{ k0, k1 uint64 }

func newCodec(site uint64) codec { return codec{site, fmix64(site)} }

type header struct {
	kind       kind
	generation uint16
	sequence   uint16
}

// encodeHeader overwrites buf, whose capacity must be at least MaxDatagram, with the header of a new datagram.
func (c codec) encodeHeader(buf []byte, h header) []byte {
	buf = append(buf[:0], version<<4|byte(h.kind))
	buf = binary.BigEndian.AppendUint16(buf, h.generation)
	return binary.BigEndian.AppendUint16(buf, h.sequence)
}

func (c codec) appendChecksum(buf []byte) []byte {
	sum := c.sum(buf)
	return append(buf, byte(sum>>16), byte(sum>>8), byte(sum))
}

func (c codec) sum(b []byte) uint32 { return uint32(siphash.Hash(c.k0, c.k1, b)) & 0xffffff }

// decode verifies a datagram and returns its header and the bytes between header and checksum.
func (c codec) decode(b []byte) (h header, body []byte, err error) {
	switch {
	case len(b) < headerSize+checksumSize || len(b) > MaxDatagram:
		return h, nil, ErrLength
	case b[0]>>4 != version:
		return h, nil, ErrVersion
	}
	end := len(b) - checksumSize
	if c.sum(b[:end]) != uint32(b[end])<<16|uint32(b[end+1])<<8|uint32(b[end+2]) {
		return h, nil, ErrChecksum
	}
	h = header{kind(b[0] & 15), binary.BigEndian.Uint16(b[1:]), binary.BigEndian.Uint16(b[3:])}
	body = b[headerSize:end]
	entries, size := len(body), claimSize
	switch h.kind {
	case kindLoads:
		size = loadSize
	case kindPing, kindAck, kindIndirectAck:
		entries--
	case kindPingRequest:
		entries -= 3
	case kindEntries:
		entries, size = entries-entriesHeaderSize, entrySize
	case kindDigests:
		entries, size = entries-digestsHeaderSize, digestSize
	default:
		return h, nil, ErrKind
	}
	if entries < 0 || entries%size != 0 || entries == 0 && (h.kind == kindEntries || h.kind == kindDigests) {
		return h, nil, ErrLength
	}
	return h, body, nil
}

// maxLoadsPerDatagram is the number of loads that fit into a datagram.
const maxLoadsPerDatagram = (MaxDatagram - headerSize - checksumSize) / loadSize

func appendLoad(buf []byte, key uint32, l Load) []byte {
	return append(buf, byte(key>>16), byte(key>>8), byte(key), byte(l.Slots)<<3|byte(l.Waiting))
}

func decodeLoad(b []byte) (key uint32, l Load) {
	return uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2]), Load{int(b[3] >> 3), int(b[3] & 7)}
}

// newer reports whether a is later than b in serial number arithmetic (RFC 1982).
func newer(a, b uint16) bool { return int16(a-b) > 0 }

// fmix64 is the 64-bit finalizer of MurmurHash3.
func fmix64(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
