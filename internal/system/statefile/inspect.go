package statefile

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// FileInfo describes one file of a state directory.
type FileInfo struct {
	Name      string
	Bytes     int64
	Frames    int   // number of valid frames, without the end marker of a snapshot
	TornBytes int64 // number of bytes after the last valid frame; all bytes of an incomplete snapshot
	Complete  bool  // whether a snapshot has its end marker; always true for a log
	Live      bool  // whether Open reads the file
}

// Inspect describes the snapshots and logs in a state directory without changing them.
func Inspect(dir string) ([]FileInfo, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("statefile: %w", err)
	}
	var infos []FileInfo
	newestSnapshot := int64(-1)
	for _, entry := range entries {
		generation, ok := generationOf(entry.Name())
		if !ok {
			continue
		}
		info := inspectFile(dir, entry.Name())
		isSnapshot := strings.HasPrefix(entry.Name(), snapshotPrefix) && !strings.HasSuffix(entry.Name(), tempSuffix)
		if isSnapshot && info.Complete {
			newestSnapshot = max(newestSnapshot, generation)
		}
		infos = append(infos, info)
	}
	for i := range infos {
		generation, _ := generationOf(infos[i].Name)
		isLog := strings.HasPrefix(infos[i].Name, logPrefix)
		infos[i].Live = newestSnapshot >= 0 && infos[i].Complete &&
			(isLog && generation >= newestSnapshot || !isLog && generation == newestSnapshot)
	}
	return infos, nil
}

// inspectFile describes one file, without setting FileInfo.Live.
func inspectFile(dir, name string) FileInfo {
	path := filepath.Join(dir, name)
	info := FileInfo{Name: name}
	if stat, err := os.Stat(path); err == nil {
		info.Bytes = stat.Size()
	}
	if strings.HasPrefix(name, logPrefix) {
		payloads, torn := readFrames(path, 0)
		info.Frames, info.TornBytes, info.Complete = len(payloads), torn, true
		return info
	}
	payloads, complete := readSnapshot(path)
	info.Frames, info.Complete = len(payloads), complete && !strings.HasSuffix(name, tempSuffix)
	if !complete {
		info.TornBytes = info.Bytes
	}
	return info
}
