package journal

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
)

// A segment is a header followed by frames. All numbers are little-endian; sizes are in bytes.
//
//	header: magic 8 | version 2 | 0 2 | 0 4 | number 8 | run ID 16 | first sequence 8 | previous MAC 16 | key ID 8 | MAC 16
//	frame:  length 4 | durable 4 | record | MAC 16
//
// The MAC of a frame is HMAC-SHA-256 (RFC 2104), truncated to 128 bits as in RFC 4868, over the previous MAC and the frame.
// The MAC of a header is over the header, which contains the MAC of the last record before it. All segments of a log
// therefore form one chain. Durable is the number of bytes of the segment that were known to be on disk when the frame was
// written: a hole before that offset is damage, whereas a power failure can leave a hole after it.
const (
	Version         = 1
	HeaderSize      = 8 + 2 + 2 + 4 + 8 + 16 + 8 + MACSize + 8 + MACSize
	MACSize         = 16
	frameHeaderSize = 8
	FrameOverhead   = frameHeaderSize + MACSize // size of a frame without its record
	MinKeySize      = 32
)

var magic = [8]byte{'S', 'V', 'J', 'O', 'B', 'L', 'O', 'G'}

// MAC is a message authentication code over a record and all records before it.
type MAC [MACSize]byte

// Key computes and verifies MACs. It is not safe for concurrent use.
type Key struct {
	id        [8]byte // identifies the key without revealing the secret
	mac       hash.Hash
	sumBuffer []byte // scratch buffer of authenticate
}

// NewKey returns the key for a secret of at least MinKeySize bytes.
func NewKey(secret []byte) (*Key, error) {
	if len(secret) < MinKeySize {
		return nil, fmt.Errorf("journal key has %d bytes; at least %d are required", len(secret), MinKeySize)
	}
	k := &Key{mac: hmac.New(sha256.New, secret)}
	m := k.authenticate([]byte("sedgevale job journal key id"))
	copy(k.id[:], m[:])
	return k, nil
}

// authenticate returns the MAC of the concatenated parts.
func (k *Key) authenticate(parts ...[]byte) (m MAC) {
	k.mac.Reset()
	for _, p := range parts {
		k.mac.Write(p)
	}
	k.sumBuffer = k.mac.Sum(k.sumBuffer[:0])
	copy(m[:], k.sumBuffer)
	return m
}

// Header is the header of a segment.
type Header struct {
	Number        uint64   // segment number, counted from 1
	RunID         [16]byte // random ID of the process that wrote the segment
	FirstSequence uint64   // sequence number of the first record, counted from 1
	PrevMAC       MAC      // MAC of the preceding record; zero for the first record of a journal
}

// Errors of ReadHeader.
var (
	ErrVersion   = errors.New("written by another version")
	ErrKey       = errors.New("written with another key")
	ErrMalformed = errors.New("not a segment of a journal")
	ErrAltered   = errors.New("altered")
)

// AppendHeader appends a header to b and returns its MAC, which the first frame is chained to.
func (k *Key) AppendHeader(b []byte, h Header) ([]byte, MAC) {
	at := len(b)
	b = append(b, magic[:]...)
	b = binary.LittleEndian.AppendUint16(b, Version)
	b = append(b, make([]byte, 6)...)
	b = binary.LittleEndian.AppendUint64(b, h.Number)
	b = append(b, h.RunID[:]...)
	b = binary.LittleEndian.AppendUint64(b, h.FirstSequence)
	b = append(b, h.PrevMAC[:]...)
	b = append(b, k.id[:]...)
	m := k.authenticate(b[at:])
	return append(b, m[:]...), m
}

// ReadHeader reads and verifies the header at the start of b. It returns ErrMalformed, ErrVersion, ErrKey or ErrAltered if the
// header is invalid.
func (k *Key) ReadHeader(b []byte) (h Header, m MAC, err error) {
	if len(b) < HeaderSize || !bytes.Equal(b[:8], magic[:]) {
		return h, m, ErrMalformed
	}
	if v := binary.LittleEndian.Uint16(b[8:]); v != Version {
		return h, m, fmt.Errorf("%w: %d, this is %d", ErrVersion, v, Version)
	}
	h.Number = binary.LittleEndian.Uint64(b[16:])
	copy(h.RunID[:], b[24:])
	h.FirstSequence = binary.LittleEndian.Uint64(b[40:])
	copy(h.PrevMAC[:], b[48:])
	if !hmac.Equal(b[64:72], k.id[:]) {
		return h, m, ErrKey
	}
	m = k.authenticate(b[:72])
	if !hmac.Equal(m[:], b[72:HeaderSize]) {
		return h, m, ErrAltered
	}
	return h, m, nil
}

// AppendFrame appends a frame with a record to b, chained to the MAC prev. durableBytes is the number of bytes of the segment
// that are known to be on disk.
func (k *Key) AppendFrame(b []byte, prev MAC, durableBytes int64, r *Record) ([]byte, MAC, error) {
	at := len(b)
	b = append(b, make([]byte, frameHeaderSize)...)
	b, err := Encode(b, r)
	if err != nil {
		return b[:at], prev, err
	}
	binary.LittleEndian.PutUint32(b[at:], uint32(len(b)-at-frameHeaderSize))
	binary.LittleEndian.PutUint32(b[at+4:], uint32(durableBytes))
	m := k.authenticate(prev[:], b[at:])
	return append(b, m[:]...), m, nil
}

// Frame is a frame that was read and verified.
type Frame struct {
	Record       []byte // encoded record; a subslice of the buffer that was read
	DurableBytes int64  // bytes of the segment that were on disk when the frame was written
	MAC          MAC
	Size         int // size of the complete frame in bytes
}

var (
	errIncompleteFrame = errors.New("incomplete frame")
	errBrokenChain     = errors.New("frame not chained to the one before it")
)

// ReadFrame reads the frame at the start of b and verifies that it is chained to prev.
func (k *Key) ReadFrame(b []byte, prev MAC) (f Frame, err error) {
	if len(b) < FrameOverhead {
		return f, errIncompleteFrame
	}
	n := int(binary.LittleEndian.Uint32(b))
	if n == 0 || n > MaxRecord || len(b) < n+FrameOverhead {
		return f, errIncompleteFrame
	}
	f = Frame{Record: b[frameHeaderSize : frameHeaderSize+n], DurableBytes: int64(binary.LittleEndian.Uint32(b[4:])), Size: n + FrameOverhead}
	f.MAC = k.authenticate(prev[:], b[:frameHeaderSize+n])
	if !hmac.Equal(f.MAC[:], b[frameHeaderSize+n:f.Size]) {
		return f, errBrokenChain
	}
	return f, nil
}

// Tail classifies the bytes that follow the last valid frame of a segment.
type Tail uint8

// The classes of a tail.
const (
	CleanTail   Tail = iota // no bytes
	TornTail                // bytes that a crash or a power failure can leave
	DamagedTail             // bytes that neither a crash nor a power failure can leave
)

func (t Tail) String() string { return [...]string{"clean", "torn", "damaged"}[t] }

const (
	maxResyncBytes = 1 << 20 // bytes that are searched for a valid frame after an invalid one
	sectorSize     = 512     // bytes; the unit that a disk writes atomically
)

// hasHole reports whether a part of b[from:to] never reached the disk, which shows as a sector whose part of the range is all
// zeros. Whatever was written to a sector earlier ends with a complete frame, so each sector of a frame is either present or
// missing as a whole.
func hasHole(b []byte, from, to int) bool {
	for at := from; at < to; {
		end := min(to, (at/sectorSize+1)*sectorSize)
		if len(bytes.Trim(b[at:end], "\x00")) == 0 {
			return true
		}
		at = end
	}
	return false
}

// ClassifyTail distinguishes a torn tail from damage. b is the segment, of which the first validBytes bytes are valid. Neither
// a crash nor a power failure removes bytes that a later frame declares durable, or changes bits of a complete frame.
func (k *Key) ClassifyTail(b []byte, validBytes int) Tail {
	rest := b[validBytes:]
	if len(rest) == 0 {
		return CleanTail
	}
	if len(rest) >= FrameOverhead {
		n := int(binary.LittleEndian.Uint32(rest))
		if n > 0 && n <= MaxRecord && len(rest) >= n+FrameOverhead && !hasHole(b, validBytes, validBytes+n+FrameOverhead) {
			return DamagedTail // a complete frame with other contents than were written
		}
	}
	limit := min(len(rest), maxResyncBytes)
	for p := 1; p+FrameOverhead <= limit; p++ {
		if validBytes+p < MACSize {
			continue
		}
		n := int(binary.LittleEndian.Uint32(rest[p:]))
		if n == 0 || n > MaxRecord || p+n+FrameOverhead > len(rest) {
			continue
		}
		var prev MAC
		copy(prev[:], b[validBytes+p-MACSize:])
		if f, err := k.ReadFrame(rest[p:], prev); err == nil && f.DurableBytes > int64(validBytes) {
			return DamagedTail
		}
	}
	return TornTail
}
