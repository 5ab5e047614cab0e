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

// A segment is a header and frames. All numbers are little-endian.
//
//	header: magic 8 | version 2 | 0 2 | 0 4 | number 8 | run 16 | first 8 | prev 16 | key 8 | mac 16
//	frame:  length 4 | durable 4 | record | mac 16
//
// Each frame's mac is HMAC-SHA-256 (RFC 2104), truncated to 128 bits as in RFC 4868, over the mac before it and the frame;
// the header's is over the header, which contains the mac of the last record before it. So all segments are one chain.
// Durable is how many bytes of the segment were certainly on the disk when the frame was written: a hole before that offset is
// damage, a hole behind it can be left by a power failure.
//
// The sizes are in bytes.
const (
	Version         = 1
	HeaderSize      = 8 + 2 + 2 + 4 + 8 + 16 + 8 + MacSize + 8 + MacSize
	MacSize         = 16
	frameHeaderSize = 8
	FrameOverhead   = frameHeaderSize + MacSize // bytes of a frame besides its record
	MinKeySize      = 32
)

var magic = [8]byte{'S', 'V', 'J', 'O', 'B', 'L', 'O', 'G'}

// Mac is a message authentication code of a record and all records before it.
type Mac [MacSize]byte

// Key computes and verifies Macs. It is not safe for concurrent use.
type Key struct {
	id  [8]byte // identifies the key without revealing the secret
	mac hash.Hash
	sum []byte // buffer of authenticate
}

// NewKey returns the key of a secret, which has at least MinKeySize bytes.
func NewKey(secret []byte) (*Key, error) {
	if len(secret) < MinKeySize {
		return nil, fmt.Errorf("a key of %d bytes, %d at least", len(secret), MinKeySize)
	}
	k := &Key{mac: hmac.New(sha256.New, secret)}
	m := k.authenticate([]byte("sedgevale job journal key id"))
	copy(k.id[:], m[:])
	return k, nil
}

// authenticate returns the Mac of the concatenated parts.
func (k *Key) authenticate(parts ...[]byte) (m Mac) {
	k.mac.Reset()
	for _, p := range parts {
		k.mac.Write(p)
	}
	k.sum = k.mac.Sum(k.sum[:0])
	copy(m[:], k.sum)
	return m
}

// Header is the first part of a segment.
type Header struct {
	Number uint64   // counted from 1
	Run    [16]byte // random id of the process that writes it
	First  uint64   // the sequence number of its first record, counted from 1
	Prev   Mac      // of the record before that; zero for the first record of a journal
}

// Why a header is rejected.
var (
	ErrVersion   = errors.New("written by another version")
	ErrKey       = errors.New("written with another key")
	ErrMalformed = errors.New("not a segment of a journal")
	ErrAltered   = errors.New("altered")
)

// AppendHeader appends a header to b and returns its Mac, which the first frame is chained to.
func (k *Key) AppendHeader(b []byte, h Header) ([]byte, Mac) {
	at := len(b)
	b = append(b, magic[:]...)
	b = binary.LittleEndian.AppendUint16(b, Version)
	b = append(b, make([]byte, 6)...)
	b = binary.LittleEndian.AppendUint64(b, h.Number)
	b = append(b, h.Run[:]...)
	b = binary.LittleEndian.AppendUint64(b, h.First)
	b = append(b, h.Prev[:]...)
	b = append(b, k.id[:]...)
	m := k.authenticate(b[at:])
	return append(b, m[:]...), m
}

// ReadHeader reads and verifies the header at the start of b. The errors are ErrMalformed, ErrVersion, ErrKey and ErrAltered.
func (k *Key) ReadHeader(b []byte) (h Header, m Mac, err error) {
	if len(b) < HeaderSize || !bytes.Equal(b[:8], magic[:]) {
		return h, m, ErrMalformed
	}
	if v := binary.LittleEndian.Uint16(b[8:]); v != Version {
		return h, m, fmt.Errorf("%w: %d, this is %d", ErrVersion, v, Version)
	}
	h.Number = binary.LittleEndian.Uint64(b[16:])
	copy(h.Run[:], b[24:])
	h.First = binary.LittleEndian.Uint64(b[40:])
	copy(h.Prev[:], b[48:])
	if !hmac.Equal(b[64:72], k.id[:]) {
		return h, m, ErrKey
	}
	m = k.authenticate(b[:72])
	if !hmac.Equal(m[:], b[72:HeaderSize]) {
		return h, m, ErrAltered
	}
	return h, m, nil
}

// AppendFrame appends a frame with a record to b, chained to the Mac before it, prev. Durable is how many bytes of the
// segment are certainly on the disk.
func (k *Key) AppendFrame(b []byte, prev Mac, durable int64, r *Record) ([]byte, Mac, error) {
	at := len(b)
	b = append(b, make([]byte, frameHeaderSize)...)
	b, err := Encode(b, r)
	if err != nil {
		return b[:at], prev, err
	}
	binary.LittleEndian.PutUint32(b[at:], uint32(len(b)-at-frameHeaderSize))
	binary.LittleEndian.PutUint32(b[at+4:], uint32(durable))
	m := k.authenticate(prev[:], b[at:])
	return append(b, m[:]...), m, nil
}

// Frame is a frame that was read and verified.
type Frame struct {
	Record  []byte // encoded; a part of the buffer that was read
	Durable int64  // bytes of the segment that were on the disk when the frame was written
	Mac     Mac
	Size    int // of the complete frame, in bytes
}

var (
	errIncompleteFrame = errors.New("incomplete frame")
	errBrokenChain     = errors.New("frame not chained to the one before it")
)

// ReadFrame reads the frame at the start of b and verifies that it is chained to prev.
func (k *Key) ReadFrame(b []byte, prev Mac) (f Frame, err error) {
	if len(b) < FrameOverhead {
		return f, errIncompleteFrame
	}
	n := int(binary.LittleEndian.Uint32(b))
	if n == 0 || n > MaxRecord || len(b) < n+FrameOverhead {
		return f, errIncompleteFrame
	}
	f = Frame{Record: b[frameHeaderSize : frameHeaderSize+n], Durable: int64(binary.LittleEndian.Uint32(b[4:])), Size: n + FrameOverhead}
	f.Mac = k.authenticate(prev[:], b[:frameHeaderSize+n])
	if !hmac.Equal(f.Mac[:], b[frameHeaderSize+n:f.Size]) {
		return f, errBrokenChain
	}
	return f, nil
}

// Tail is the state of what follows the last valid frame of a segment.
type Tail uint8

// The states of a tail.
const (
	CleanTail   Tail = iota // nothing
	TornTail                // what a crash or a power failure can leave
	DamagedTail             // what neither can leave
)

func (t Tail) String() string { return [...]string{"clean", "torn", "damaged"}[t] }

const (
	maxResyncBytes = 1 << 20 // searched for a valid frame behind an invalid one
	sectorSize     = 512     // bytes that a disk writes atomically
)

// hasHole reports whether a part of b[from:to] never reached the disk: all of it that lies in some sector is zero. What was
// written to a sector before ends with a complete frame, so a frame is there or not, sector by sector.
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

// ClassifyTail distinguishes a torn tail from damage. B is the segment, of which the first good bytes are valid. Neither a crash nor
// a power failure takes away what a later frame says was durable, nor changes bits of a frame that is complete.
func (k *Key) ClassifyTail(b []byte, good int) Tail {
	rest := b[good:]
	if len(rest) == 0 {
		return CleanTail
	}
	if len(rest) >= FrameOverhead {
		n := int(binary.LittleEndian.Uint32(rest))
		if n > 0 && n <= MaxRecord && len(rest) >= n+FrameOverhead && !hasHole(b, good, good+n+FrameOverhead) {
			return DamagedTail // complete, but not what was written
		}
	}
	limit := min(len(rest), maxResyncBytes)
	for p := 1; p+FrameOverhead <= limit; p++ {
		if good+p < MacSize {
			continue
		}
		n := int(binary.LittleEndian.Uint32(rest[p:]))
		if n == 0 || n > MaxRecord || p+n+FrameOverhead > len(rest) {
			continue
		}
		var prev Mac
		copy(prev[:], b[good+p-MacSize:])
		if f, err := k.ReadFrame(rest[p:], prev); err == nil && f.Durable > int64(good) {
			return DamagedTail
		}
	}
	return TornTail
}
