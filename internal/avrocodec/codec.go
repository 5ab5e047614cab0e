// Package avrocodec encodes the messages of the internal protocol and stored records in Avro's binary encoding.
//
// Schemas are derived from Go types by reflection and are not part of the encoded data. A record is encoded field by field
// in the order of the struct, so its fields may be renamed, but must never be moved, retyped, added or removed: other
// programs and stored data would then be read wrongly.
package avrocodec

import (
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"sync"

	"github.com/hamba/avro/v2"
)

var schemas sync.Map // a cache: reflect.Type to avro.Schema

// SchemaOf returns the Avro schema of a struct type. It panics for a type with a field of a kind that has no schema here.
func SchemaOf(message reflect.Type) (avro.Schema, error) {
	if known, ok := schemas.Load(message); ok {
		return known.(avro.Schema), nil
	}
	text := schemaText(message, map[reflect.Type]bool{})
	schema, err := avro.ParseWithCache(text, "", &avro.SchemaCache{})
	if err != nil {
		return nil, fmt.Errorf("schema of %v: %w", message, err)
	}
	schemas.Store(message, schema)
	return schema, nil
}

// schemaText returns the schema of a type as JSON. A record that was defined before is referred to by its name.
func schemaText(t reflect.Type, named map[reflect.Type]bool) string {
	switch t.Kind() {
	case reflect.String:
		return `"string"`
	case reflect.Bool:
		return `"boolean"`
	case reflect.Int, reflect.Int64:
		return `"long"`
	case reflect.Float64:
		return `"double"`
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Uint8 {
			return `"bytes"`
		}
		return `{"type":"array","items":` + schemaText(t.Elem(), named) + `}`
	case reflect.Map:
		return `{"type":"map","values":` + schemaText(t.Elem(), named) + `}`
	case reflect.Struct:
		return recordText(t, named)
	default:
		panic(fmt.Sprintf("avrocodec: no schema for %v", t))
	}
}

func recordText(t reflect.Type, named map[reflect.Type]bool) string {
	name := strings.ReplaceAll(t.PkgPath(), "/", "_") + "_" + t.Name()
	if named[t] {
		return `"` + name + `"`
	}
	named[t] = true
	var fields []string
	for i := range t.NumField() {
		field := t.Field(i)
		fields = append(fields, `{"name":"`+field.Name+`","type":`+schemaText(field.Type, named)+`}`)
	}
	return `{"type":"record","name":"` + name + `","fields":[` + strings.Join(fields, ",") + `]}`
}

// Encode returns the encoding of the struct to which message points.
func Encode(message any) ([]byte, error) {
	schema, err := SchemaOf(reflect.TypeOf(message).Elem())
	if err != nil {
		return nil, err
	}
	return avro.Marshal(schema, message)
}

// ErrTruncated is returned for a body that ends before all fields are read.
var ErrTruncated = errors.New("avrocodec: the body is truncated")

// Decode decodes body into the struct to which message points. A body that lacks fields is ErrTruncated; message is then set in
// part.
func Decode(body []byte, message any) error {
	schema, err := SchemaOf(reflect.TypeOf(message).Elem())
	if err != nil {
		return err
	}
	reader := avro.NewReader(nil, 0).Reset(body)
	reader.ReadVal(schema, message)
	if errors.Is(reader.Error, io.EOF) || errors.Is(reader.Error, io.ErrUnexpectedEOF) { // avro.Unmarshal would ignore the former
		return fmt.Errorf("%w: %d bytes are no %v", ErrTruncated, len(body), reflect.TypeOf(message).Elem())
	}
	return reader.Error
}
