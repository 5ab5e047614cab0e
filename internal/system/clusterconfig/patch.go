package clusterconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/mailru/easyjson/jlexer"
)

// Configurations are patched as texts, so that keys which are not known stay. A text is cut into the spans of its keys and
// of the items of its lists once; the spans that a patch leaves alone are copied and not looked into.

// field is a key of an object and the text of its value.
type field struct {
	key   string
	value []byte
}

// fieldsOf cuts an object into its keys, in their order.
func fieldsOf(text []byte) ([]field, error) {
	var fields []field
	in := jlexer.Lexer{Data: text}
	in.Delim('{')
	for in.Ok() && !in.IsDelim('}') {
		key := in.String()
		in.WantColon()
		fields = append(fields, field{key, bytes.TrimSpace(in.Raw())})
		in.WantComma()
	}
	in.Delim('}')
	in.Consumed()
	return fields, in.Error()
}

// valueOf returns the value of a key, or nil.
func valueOf(fields []field, key string) []byte {
	for _, f := range fields {
		if f.key == key {
			return f.value
		}
	}
	return nil
}

// set replaces the value of a key, or adds it.
func set(fields []field, key string, value []byte) []field {
	for i := range fields {
		if fields[i].key == key {
			fields[i].value = value
			return fields
		}
	}
	return append(fields, field{key, value})
}

// textOf returns an object of fields.
func textOf(fields []field) []byte {
	text := []byte{'{'}
	for i, f := range fields {
		if i > 0 {
			text = append(text, ',')
		}
		key, _ := json.Marshal(f.key) // a string can always be encoded
		text = append(append(text, key...), ':')
		text = append(text, f.value...)
	}
	return append(text, '}')
}

// item is a named item of a list.
type item struct {
	name string
	text []byte
}

// itemsOf cuts a list into its items.
func itemsOf(text []byte) ([]item, error) {
	if text == nil {
		return nil, nil
	}
	var items []item
	in := jlexer.Lexer{Data: text}
	if in.IsNull() {
		return nil, nil
	}
	in.Delim('[')
	for in.Ok() && !in.IsDelim(']') {
		one := bytes.TrimSpace(in.Raw())
		if !in.Ok() {
			break
		}
		name, err := nameOf(one)
		if err != nil {
			return nil, fmt.Errorf("[%d]: %w", len(items), err)
		}
		items = append(items, item{name, one})
		in.WantComma()
	}
	in.Delim(']')
	in.Consumed()
	return items, in.Error()
}

var errNoName = errors.New("name: missing")

// nameOf returns the name of an item.
func nameOf(text []byte) (string, error) {
	in := jlexer.Lexer{Data: text}
	name := ""
	in.Delim('{')
	for in.Ok() && !in.IsDelim('}') {
		key := in.UnsafeFieldName(false)
		in.WantColon()
		if key == "name" {
			name = in.String()
		} else {
			in.SkipRecursive()
		}
		in.WantComma()
	}
	in.Delim('}')
	if err := in.Error(); err != nil {
		return "", err
	}
	if name == "" {
		return "", errNoName
	}
	return name, nil
}

// listOf returns a list of items.
func listOf(items []item) []byte {
	text := []byte{'['}
	for i, one := range items {
		if i > 0 {
			text = append(text, ',')
		}
		text = append(text, one.text...)
	}
	return append(text, ']')
}

// Apply returns the configuration after a patch. Both are texts, so that keys which are not known stay.
func Apply(current, patch []byte) ([]byte, error) {
	whole, err := fieldsOf(current)
	if err != nil {
		return nil, fmt.Errorf("current configuration: %w", err)
	}
	if !json.Valid(patch) {
		return nil, errors.New("the body is no whole JSON value")
	}
	change, err := fieldsOf(patch)
	if err != nil {
		return nil, fmt.Errorf("cannot be read: %w", err)
	}
	version := valueOf(change, "version")
	if version == nil {
		return nil, errors.New("version: missing")
	}
	whole = set(whole, "version", version)
	if limits := valueOf(change, "limits"); limits != nil {
		whole = set(whole, "limits", limits)
	}
	if whole, err = removeItems(whole, valueOf(change, "remove")); err != nil {
		return nil, err
	}
	if whole, err = upsertItems(whole, valueOf(change, "upsert")); err != nil {
		return nil, err
	}
	return textOf(whole), nil
}

// removeItems drops the items whose names a patch lists.
func removeItems(whole []field, remove []byte) ([]field, error) {
	if remove == nil {
		return whole, nil
	}
	var lists map[string][]string
	if err := json.Unmarshal(remove, &lists); err != nil {
		return nil, fmt.Errorf("remove: %w", err)
	}
	for list, names := range lists {
		items, err := itemsOf(valueOf(whole, list))
		if err != nil {
			return nil, fmt.Errorf("%s%w", list, err)
		}
		items = slices.DeleteFunc(items, func(one item) bool { return slices.Contains(names, one.name) })
		whole = set(whole, list, listOf(items))
	}
	return whole, nil
}

// upsertItems adds the items of a patch, or replaces those of the same names.
func upsertItems(whole []field, upsert []byte) ([]field, error) {
	if upsert == nil || string(upsert) == "null" {
		return whole, nil
	}
	lists, err := fieldsOf(upsert)
	if err != nil {
		return nil, fmt.Errorf("upsert: %w", err)
	}
	for _, list := range lists {
		items, err := itemsOf(valueOf(whole, list.key))
		if err != nil {
			return nil, fmt.Errorf("%s%w", list.key, err)
		}
		added, err := itemsOf(list.value)
		if err != nil {
			return nil, fmt.Errorf("upsert.%s%w", list.key, err)
		}
		place := make(map[string]int, len(items))
		for i, one := range items {
			place[one.name] = i
		}
		for _, one := range added {
			if at, known := place[one.name]; known {
				items[at] = one
				continue
			}
			place[one.name] = len(items)
			items = append(items, one)
		}
		whole = set(whole, list.key, listOf(items))
	}
	return whole, nil
}

// Difference returns a patch that makes the configuration after of the one before, or false where they differ in
// more than their lists of named items, version and limits.
func Difference(before, after []byte) ([]byte, bool) {
	old, err := fieldsOf(before)
	if err != nil {
		return nil, false
	}
	changed, err := fieldsOf(after)
	if err != nil {
		return nil, false
	}
	for _, f := range old {
		if valueOf(changed, f.key) == nil {
			return nil, false
		}
	}
	patch := []field{{"version", valueOf(changed, "version")}}
	var upsert, remove []field
	for _, f := range changed {
		switch {
		case f.key == "version" || f.key != "limits" && bytes.Equal(valueOf(old, f.key), f.value):
		case f.key == "limits":
			patch = append(patch, f)
		default:
			items, gone, ok := differingItems(valueOf(old, f.key), f.value)
			if !ok {
				return nil, false
			}
			upsert = append(upsert, field{f.key, listOf(items)})
			remove = append(remove, field{f.key, gone})
		}
	}
	patch = append(patch, field{"upsert", textOf(upsert)}, field{"remove", textOf(remove)})
	return textOf(patch), true
}

// differingItems compares two lists of named items. It returns those that are new or differ, and the names of those that
// are gone.
func differingItems(before, after []byte) (differ []item, gone []byte, ok bool) {
	old, err := itemsOf(before)
	if err != nil {
		return nil, nil, false
	}
	items, err := itemsOf(after)
	if err != nil {
		return nil, nil, false
	}
	known := make(map[string][]byte, len(old))
	for _, one := range old {
		known[one.name] = one.text
	}
	for _, one := range items {
		if !bytes.Equal(known[one.name], one.text) {
			differ = append(differ, one)
		}
		delete(known, one.name)
	}
	names := []string{}
	for name := range known {
		names = append(names, name)
	}
	slices.Sort(names)
	gone, err = json.Marshal(names)
	return differ, gone, err == nil
}
