package clusterconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Apply applies a patch to the current configuration and returns the new one. All are JSON texts; unknown keys are
// preserved. An error names the key of the patch that cannot be applied.
func Apply(current, patch []byte) ([]byte, error) {
	config, err := splitObject(current)
	if err != nil {
		return nil, fmt.Errorf("current configuration: %w", err)
	}
	if !json.Valid(patch) {
		return nil, errNotJSON
	}
	patchFields, err := splitObject(patch)
	if err != nil {
		return nil, fmt.Errorf("cannot be read: %w", err)
	}
	version := fieldValue(patchFields, "version")
	if version == nil {
		return nil, errors.New("version: missing")
	}
	config = setField(config, "version", version)
	if limits := fieldValue(patchFields, "limits"); limits != nil {
		config = setField(config, "limits", limits)
	}
	if config, err = removeItems(config, fieldValue(patchFields, "remove")); err != nil {
		return nil, err
	}
	if config, err = upsertItems(config, fieldValue(patchFields, "upsert")); err != nil {
		return nil, err
	}
	return joinObject(config), nil
}

// removeItems removes the items that the patch's remove value names.
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

// upsertItems adds the items of the patch's upsert value, and replaces existing items with the same names.
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

// mergeItems replaces items with the upserted items of the same name, and appends the other upserted items.
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
