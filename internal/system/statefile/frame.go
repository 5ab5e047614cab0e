package statefile

import (
	"encoding/binary"
	"hash/crc32"
	"os"
)

const (
	frameHeaderBytes = 8        // the length and the CRC-32C of the payload, both little-endian uint32
	maxPayloadBytes  = 64 << 20 // maximum payload size of a valid frame
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends a frame that holds a payload to a buffer.
func appendFrame(buffer, payload []byte) []byte {
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(payload, crcTable))
	return append(buffer, payload...)
}

// readFrames returns the payloads of the valid frames of a file from an offset up to the first invalid one, and the number of
// bytes after them. A file that cannot be read counts as empty.
func readFrames(path string, offset int64) (payloads [][]byte, tornBytes int64) {
	data, err := os.ReadFile(path)
	if err != nil || int64(len(data)) < offset {
		return nil, 0
	}
	data = data[offset:]
	for len(data) >= frameHeaderBytes {
		size := binary.LittleEndian.Uint32(data)
		checksum := binary.LittleEndian.Uint32(data[4:])
		if size > maxPayloadBytes || int(size) > len(data)-frameHeaderBytes {
			break
		}
		payload := data[frameHeaderBytes : frameHeaderBytes+int(size)]
		if crc32.Checksum(payload, crcTable) != checksum {
			break
		}
		payloads = append(payloads, payload)
		data = data[frameHeaderBytes+int(size):]
	}
	return payloads, int64(len(data))
}
