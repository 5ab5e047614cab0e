package clusterconfig

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/mailru/easyjson/jlexer"
)

// Configurations are patched as JSON text, so that unknown keys are preserved. The text is split once into the spans of
// its keys and of the items of its lists. Spans that a patch does not change are copied without being parsed.

// field is a key of a JSON object and the text of its value.
type field struct {
	key   string
	value []byte
}

// splitObject returns the fields of a JSON object in order.
func splitObject(text []byte) ([]field, error) {
	var fields []field
	lexer := jlexer.Lexer{Data: text}
	lexer.Delim('{')
	for lexer.Ok() && !lexer.IsDelim('}') {
		key := lexer.String()
		lexer.WantColon()
		fields = append(fields, field{key, bytes.TrimSpace(lexer.Raw())})
		lexer.WantComma()
	}
	lexer.Delim('}')
	lexer.Consumed()
	return fields, lexer.Error()
}

// fieldValue returns the value of a key, or nil if the key is missing.
func fieldValue(fields []field, key string) []byte {
	for _, f := range fields {
		if f.key == key {
			return f.value
		}
	}
	return nil
}

// setField replaces the value of a key, or adds the key.
func setField(fields []field, key string, value []byte) []field {
	for i := range fields {
		if fields[i].key == key {
			fields[i].value = value
			return fields
		}
	}
	return append(fields, field{key, value})
}

// joinObject returns the JSON text of an object with the given fields.
func joinObject(fields []field) []byte {
	text := []byte{'{'}
	for i, f := range fields {
		if i > 0 {
			text = append(text, ',')
		}
		key, _ := json.Marshal(f.key) // encoding a string cannot fail
		text = append(append(text, key...), ':')
		text = append(text, f.value...)
	}
	return append(text, '}')
}

// item is a named item of a list and its JSON text.
type item struct {
	name string
	text []byte
}

// splitList returns the items of a JSON array in order. It returns no items for nil and for null.
func splitList(text []byte) ([]item, error) {
	if text == nil {
		return nil, nil
	}
	var items []item
	lexer := jlexer.Lexer{Data: text}
	if lexer.IsNull() {
		return nil, nil
	}
	lexer.Delim('[')
	for lexer.Ok() && !lexer.IsDelim(']') {
		itemText := bytes.TrimSpace(lexer.Raw())
		if !lexer.Ok() {
			break
		}
		name, err := itemName(itemText)
		if err != nil {
			return nil, fmt.Errorf("[%d]: %w", len(items), err)
		}
		items = append(items, item{name, itemText})
		lexer.WantComma()
	}
	lexer.Delim(']')
	lexer.Consumed()
	return items, lexer.Error()
}

// itemName returns the value of an item's "name" key.
func itemName(text []byte) (string, error) {
	lexer := jlexer.Lexer{Data: text}
	name := ""
	lexer.Delim('{')
	for lexer.Ok() && !lexer.IsDelim('}') {
		key := lexer.UnsafeFieldName(false)
		lexer.WantColon()
		if key == "name" {
			name = lexer.String()
		} else {
			lexer.SkipRecursive()
		}
		lexer.WantComma()
	}
	lexer.Delim('}')
	if err := lexer.Error(); err != nil {
		return "", err
	}
	if name == "" {
		return "", errMissingName
	}
	return name, nil
}

// joinList returns the JSON array of the given items.
func joinList(items []item) []byte {
	text := []byte{'['}
	for i, it := range items {
		if i > 0 {
			text = append(text, ',')
		}
		text = append(text, it.text...)
	}
	return append(text, ']')
}
