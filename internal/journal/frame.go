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
// Each frame's mac is HMAC-SHA-256 (RFC 2104), cut to 128 bits as RFC 4868 does, over
// the mac before it and the frame; the header's is over the header, which has the mac
// of the last record before it. So all segments are one chain. Durable is how much of
// the segment was surely on the disk when the frame was written: a hole before that is
// damage, a hole behind it can be the work of a power cut.
const (
	Version    = 1
	HeaderSize = 8 + 2 + 2 + 4 + 8 + 16 + 8 + MacSize + 8 + MacSize
	MacSize    = 16
	frameHead  = 8
	FrameExtra = frameHead + MacSize // bytes of a frame beside its record
	MinKey     = 32
)

var magic = [8]byte{'S', 'V', 'J', 'O', 'B', 'L', 'O', 'G'}

// Mac authenticates a record and all before it.
type Mac [MacSize]byte

// Key makes and checks Macs. It is for one goroutine at a time.
type Key struct {
	id  [8]byte
	mac hash.Hash
	sum []byte
}

// NewKey returns a key of at least MinKey secret bytes.
func NewKey(secret []byte) (*Key, error) {
	if len(secret) < MinKey {
		return nil, fmt.Errorf("a key of %d bytes, %d at least", len(secret), MinKey)
	}
	k := &Key{mac: hmac.New(sha256.New, secret)}
	m := k.over([]byte("sedgevale job journal key id"))
	copy(k.id[:], m[:])
	return k, nil
}

func (k *Key) over(parts ...[]byte) (m Mac) {
	k.mac.Reset()
	for _, p := range parts {
		k.mac.Write(p)
	}
	k.sum = k.mac.Sum(k.sum[:0])
	copy(m[:], k.sum)
	return m
}

// Header begins a segment.
type Header struct {
	Number uint64   // counted from 1
	Run    [16]byte // of the process that writes it
	First  uint64   // the sequence number of its first record, counted from 1
	Prev   Mac      // of the record before that
}

// The errors of a header.
var (
	ErrVersion   = errors.New("written by another version")
	ErrKey       = errors.New("written with another key")
	ErrMalformed = errors.New("not a segment of a journal")
	ErrAltered   = errors.New("altered")
)

// AppendHeader appends a header to b and returns its mac, on which the first frame
// follows.
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
	m := k.over(b[at:])
	return append(b, m[:]...), m
}

// ReadHeader reads the header at the start of b.
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
	m = k.over(b[:72])
	if !hmac.Equal(m[:], b[72:HeaderSize]) {
		return h, m, ErrAltered
	}
	return h, m, nil
}

// AppendFrame appends a record that follows on prev. Durable is how many bytes of its
// segment are on the disk.
func (k *Key) AppendFrame(b []byte, prev Mac, durable int64, r *Record) ([]byte, Mac, error) {
	at := len(b)
	b = append(b, make([]byte, frameHead)...)
	b, err := Encode(b, r)
	if err != nil {
		return b[:at], prev, err
	}
	binary.LittleEndian.PutUint32(b[at:], uint32(len(b)-at-frameHead))
	binary.LittleEndian.PutUint32(b[at+4:], uint32(durable))
	m := k.over(prev[:], b[at:])
	return append(b, m[:]...), m, nil
}

// Frame is a frame that was read.
type Frame struct {
	Record  []byte // encoded
	Durable int64
	Mac     Mac
	Size    int // of the whole frame
}

var (
	errShort = errors.New("the frame is not whole")
	errMac   = errors.New("the frame does not follow on the one before it")
)

// ReadFrame reads the frame at the start of b, which follows on prev.
func (k *Key) ReadFrame(b []byte, prev Mac) (f Frame, err error) {
	if len(b) < FrameExtra {
		return f, errShort
	}
	n := int(binary.LittleEndian.Uint32(b))
	if n == 0 || n > MaxRecord || len(b) < n+FrameExtra {
		return f, errShort
	}
	f = Frame{Record: b[frameHead : frameHead+n], Durable: int64(binary.LittleEndian.Uint32(b[4:])), Size: n + FrameExtra}
	f.Mac = k.over(prev[:], b[:frameHead+n])
	if !hmac.Equal(f.Mac[:], b[frameHead+n:f.Size]) {
		return f, errMac
	}
	return f, nil
}

// Tail says what stands behind the last good frame of a segment.
type Tail uint8

// The tails.
const (
	CleanTail   Tail = iota // nothing
	TornTail                // what a crash or a power cut can leave
	DamagedTail             // what neither can leave
)

func (t Tail) String() string { return [...]string{"clean", "torn", "damaged"}[t] }

const (
	resyncMost = 1 << 20 // bytes searched for a good frame behind a bad one
	sector     = 512     // what a disk writes whole or not at all
)

// holed reports whether a part of b[from:to] never came to the disk: all of it that lies
// in some sector is zero. What was in a sector before ends with a whole frame, so a frame
// is there or not, sector by sector.
func holed(b []byte, from, to int) bool {
	for at := from; at < to; {
		end := min(to, (at/sector+1)*sector)
		if len(bytes.Trim(b[at:end], "\x00")) == 0 {
			return true
		}
		at = end
	}
	return false
}

// JudgeTail tells a torn tail from damage. B is the segment and good how much of it is
// good. Neither a crash nor a power cut takes away what a later frame says was durable,
// nor changes bits of a frame that is all there.
func (k *Key) JudgeTail(b []byte, good int) Tail {
	rest := b[good:]
	if len(rest) == 0 {
		return CleanTail
	}
	if len(rest) >= FrameExtra {
		n := int(binary.LittleEndian.Uint32(rest))
		if n > 0 && n <= MaxRecord && len(rest) >= n+FrameExtra && !holed(b, good, good+n+FrameExtra) {
			return DamagedTail // all there, and not what was written
		}
	}
	most := min(len(rest), resyncMost)
	for p := 1; p+FrameExtra <= most; p++ {
		if good+p < MacSize {
			continue
		}
		n := int(binary.LittleEndian.Uint32(rest[p:]))
		if n == 0 || n > MaxRecord || p+n+FrameExtra > len(rest) {
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
