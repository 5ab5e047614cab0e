package statefile

import (
	"encoding/binary"
	"hash/crc32"
	"os"
)

const (
	frameHeader   = 8        // bytes: the length and the CRC-32C of the payload, little endian
	maxFrameBytes = 64 << 20 // of a payload
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends a frame with a payload to a buffer.
func appendFrame(buffer, payload []byte) []byte {
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(payload, crcTable))
	return append(buffer, payload...)
}

// readFrames returns the payloads of the complete frames of a file from an offset on, and how many bytes after them are no
// frame. A file that cannot be read has none.
func readFrames(path string, from int64) (payloads [][]byte, torn int64) {
	text, err := os.ReadFile(path)
	if err != nil || int64(len(text)) < from {
		return nil, 0
	}
	text = text[from:]
	for len(text) >= frameHeader {
		size := binary.LittleEndian.Uint32(text)
		sum := binary.LittleEndian.Uint32(text[4:])
		if size > maxFrameBytes || int(size) > len(text)-frameHeader {
			break
		}
		payload := text[frameHeader : frameHeader+int(size)]
		if crc32.Checksum(payload, crcTable) != sum {
			break
		}
		payloads = append(payloads, payload)
		text = text[frameHeader+int(size):]
	}
	return payloads, int64(len(text))
}
