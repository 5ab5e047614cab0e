package clusterconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Apply returns the configuration after a patch. Both are JSON texts; unknown keys are kept. An error names the key of
// the patch that cannot be applied.
func Apply(current, patch []byte) ([]byte, error) {
	config, err := splitObject(current)
	if err != nil {
		return nil, fmt.Errorf("current configuration: %w", err)
	}
	if !json.Valid(patch) {
		return nil, errNotJSON
	}
	change, err := splitObject(patch)
	if err != nil {
		return nil, fmt.Errorf("cannot be read: %w", err)
	}
	version := fieldValue(change, "version")
	if version == nil {
		return nil, errors.New("version: missing")
	}
	config = setField(config, "version", version)
	if limits := fieldValue(change, "limits"); limits != nil {
		config = setField(config, "limits", limits)
	}
	if config, err = removeItems(config, fieldValue(change, "remove")); err != nil {
		return nil, err
	}
	if config, err = upsertItems(config, fieldValue(change, "upsert")); err != nil {
		return nil, err
	}
	return joinObject(config), nil
}

// removeItems removes the items whose names a patch lists.
func removeItems(config []field, remove []byte) ([]field, error) {
	if remove == nil {
		return config, nil
	}
	var lists map[string][]string
	if err := json.Unmarshal(remove, &lists); err != nil {
		return nil, fmt.Errorf("remove: %w", err)
	}
	for list, names := range lists {
		items, err := splitList(fieldValue(config, list))
		if err != nil {
			return nil, fmt.Errorf("%s%w", list, err)
		}
		items = slices.DeleteFunc(items, func(it item) bool { return slices.Contains(names, it.name) })
		config = setField(config, list, joinList(items))
	}
	return config, nil
}

// upsertItems adds the items of a patch, or replaces those of the same names.
func upsertItems(config []field, upsert []byte) ([]field, error) {
	if upsert == nil || string(upsert) == "null" {
		return config, nil
	}
	lists, err := splitObject(upsert)
	if err != nil {
		return nil, fmt.Errorf("upsert: %w", err)
	}
	for _, list := range lists {
		items, err := splitList(fieldValue(config, list.key))
		if err != nil {
			return nil, fmt.Errorf("%s%w", list.key, err)
		}
		upserted, err := splitList(list.value)
		if err != nil {
			return nil, fmt.Errorf("upsert.%s%w", list.key, err)
		}
		config = setField(config, list.key, joinList(mergeItems(items, upserted)))
	}
	return config, nil
}

// mergeItems replaces items by those of the same names, and appends the others.
func mergeItems(items, upserted []item) []item {
	indexes := make(map[string]int, len(items))
	for i, it := range items {
		indexes[it.name] = i
	}
	for _, it := range upserted {
		if i, known := indexes[it.name]; known {
			items[i] = it
			continue
		}
		indexes[it.name] = len(items)
		items = append(items, it)
	}
	return items
}
