package clusterconfig

import (
	"bytes"
	"encoding/json"
	"slices"
)

// Diff returns a patch that turns the configuration before into the configuration after. It returns false if no patch can
// do so: a key was removed, a changed key other than version and limits is not a list of named items, or one of the texts
// is not a JSON object.
func Diff(before, after []byte) ([]byte, bool) {
	old, err := splitObject(before)
	if err != nil {
		return nil, false
	}
	changed, err := splitObject(after)
	if err != nil {
		return nil, false
	}
	for _, f := range old {
		if fieldValue(changed, f.key) == nil {
			return nil, false
		}
	}
	patch := []field{{"version", fieldValue(changed, "version")}}
	var upsert, remove []field
	for _, f := range changed {
		switch {
		case f.key == "version" || f.key != "limits" && bytes.Equal(fieldValue(old, f.key), f.value):
		case f.key == "limits":
			patch = append(patch, f)
		default:
			upserted, removed, ok := diffLists(fieldValue(old, f.key), f.value)
			if !ok {
				return nil, false
			}
			upsert = append(upsert, field{f.key, joinList(upserted)})
			remove = append(remove, field{f.key, removed})
		}
	}
	patch = append(patch, field{"upsert", joinObject(upsert)}, field{"remove", joinObject(remove)})
	return joinObject(patch), true
}

// diffLists compares two lists of named items. It returns the items that were added or changed, and the names of the
// removed items as a JSON array.
func diffLists(before, after []byte) (upserted []item, removed []byte, ok bool) {
	old, err := splitList(before)
	if err != nil {
		return nil, nil, false
	}
	items, err := splitList(after)
	if err != nil {
		return nil, nil, false
	}
	oldTexts := make(map[string][]byte, len(old))
	for _, it := range old {
		oldTexts[it.name] = it.text
	}
	for _, it := range items {
		if !bytes.Equal(oldTexts[it.name], it.text) {
			upserted = append(upserted, it)
		}
		delete(oldTexts, it.name)
	}
	names := []string{}
	for name := range oldTexts {
		names = append(names, name)
	}
	slices.Sort(names)
	removed, err = json.Marshal(names)
	return upserted, removed, err == nil
}
