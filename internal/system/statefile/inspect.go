package statefile

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// FileInfo describes one file of a state directory.
type FileInfo struct {
	Name     string
	Bytes    int64
	Frames   int   // complete frames
	Torn     int64 // bytes at the end that are no complete frame
	Complete bool  // a snapshot with its end marker; always true for a log
	Live     bool  // it is read at a start
}

// Inspect describes the files of a state directory. It changes nothing.
func Inspect(dir string) ([]FileInfo, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("statefile: %w", err)
	}
	var infos []FileInfo
	newest := int64(-1)
	for _, entry := range entries {
		generation, ok := generationOf(entry.Name())
		if !ok {
			continue
		}
		info := inspectFile(dir, entry.Name())
		snapshot := strings.HasPrefix(entry.Name(), snapshotPrefix) && !strings.HasSuffix(entry.Name(), tempSuffix)
		if snapshot && info.Complete {
			newest = max(newest, generation)
		}
		infos = append(infos, info)
	}
	for i := range infos {
		generation, _ := generationOf(infos[i].Name)
		isLog := strings.HasPrefix(infos[i].Name, logPrefix)
		infos[i].Live = newest >= 0 && infos[i].Complete && (isLog && generation >= newest || !isLog && generation == newest)
	}
	return infos, nil
}

// inspectFile describes one file, but for FileInfo.Live.
func inspectFile(dir, file string) FileInfo {
	path := filepath.Join(dir, file)
	info := FileInfo{Name: file}
	if stat, err := os.Stat(path); err == nil {
		info.Bytes = stat.Size()
	}
	if strings.HasPrefix(file, logPrefix) {
		payloads, torn := readFrames(path, 0)
		info.Frames, info.Torn, info.Complete = len(payloads), torn, true
		return info
	}
	payloads, complete := readSnapshot(path)
	info.Frames, info.Complete = len(payloads), complete && !strings.HasSuffix(file, tempSuffix)
	if !complete {
		info.Torn = info.Bytes
	}
	return info
}
