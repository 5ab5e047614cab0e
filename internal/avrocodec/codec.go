// Package avrocodec encodes and decodes structs in Avro's binary encoding, for the messages of the internal protocol and
// for stored records.
//
// Schemas are derived from Go types by reflection and are not part of the encoded data. The fields of a record are encoded
// in the order of the struct. Fields may be renamed, but must never be reordered, retyped or removed: messages of other
// releases and stored data would be decoded incorrectly. A field may be added only at the end of a struct that is encoded by
// itself, not as part of another one, and with the tag `avrocodec:"added"`: earlier releases ignore what follows the fields
// that they know, and Decode accepts an encoding that ends before an added field, which keeps its zero value.
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

// MaxBytes is the maximum length of an encoded struct. Encode and Decode have the same limit, so that all that was encoded can be
// decoded. Callers bound what they accept such that it is never reached.
const MaxBytes = 64 << 20

// ErrTooLong is returned for a struct whose encoding exceeds MaxBytes.
var ErrTooLong = fmt.Errorf("avrocodec: more than %d bytes", MaxBytes)

// readerConfig lets a byte string be as long as the whole encoding. The library's default is 1 MiB.
var readerConfig = avro.Config{MaxByteSliceSize: MaxBytes}.Freeze()

// addedTag marks the fields that a later release has added to a struct.
const (
	tagKey   = "avrocodec"
	addedTag = "added"
)

// schemaKey identifies the schema of the first fields of a struct type.
type schemaKey struct {
	message reflect.Type
	fields  int
}

var schemas sync.Map // cache of avro.Schema by schemaKey

// SchemaOf returns the Avro schema of a struct type. It panics if a field has an unsupported kind.
func SchemaOf(message reflect.Type) (avro.Schema, error) {
	return schemaOfFields(message, message.NumField())
}

// schemaOfFields returns the Avro schema of the first fields of a struct type.
func schemaOfFields(message reflect.Type, fields int) (avro.Schema, error) {
	key := schemaKey{message, fields}
	if known, ok := schemas.Load(key); ok {
		return known.(avro.Schema), nil
	}
	text := recordText(message, fields, map[reflect.Type]bool{})
	schema, err := avro.ParseWithCache(text, "", &avro.SchemaCache{})
	if err != nil {
		return nil, fmt.Errorf("schema of %v: %w", message, err)
	}
	schemas.Store(key, schema)
	return schema, nil
}

// schemaText returns the JSON schema of a type. A record type that is already in named is referenced by its name.
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
		return recordText(t, t.NumField(), named)
	default:
		panic(fmt.Sprintf("avrocodec: unsupported type %v", t))
	}
}

// recordText returns the JSON schema of the first fields of a struct type.
func recordText(t reflect.Type, count int, named map[reflect.Type]bool) string {
	name := strings.ReplaceAll(t.PkgPath(), "/", "_") + "_" + t.Name()
	if named[t] {
		return `"` + name + `"`
	}
	named[t] = true
	var fields []string
	for i := range count {
		field := t.Field(i)
		fields = append(fields, `{"name":"`+field.Name+`","type":`+schemaText(field.Type, named)+`}`)
	}
	return `{"type":"record","name":"` + name + `","fields":[` + strings.Join(fields, ",") + `]}`
}

// Encode encodes the struct to which message points. The error wraps ErrTooLong if it is longer than MaxBytes.
func Encode(message any) ([]byte, error) {
	schema, err := SchemaOf(reflect.TypeOf(message).Elem())
	if err != nil {
		return nil, err
	}
	body, err := avro.Marshal(schema, message)
	if err == nil && len(body) > MaxBytes {
		return nil, fmt.Errorf("%w: %v of %d bytes", ErrTooLong, reflect.TypeOf(message).Elem(), len(body))
	}
	return body, err
}

// ErrTruncated is returned for a body that ends before all fields are decoded.
var ErrTruncated = errors.New("avrocodec: the body is truncated")

// Decode decodes body into the struct to which message points. If the body ends before the last field, other than just before
// an added one, it returns an error that wraps ErrTruncated, and message is partially set. The error wraps ErrTooLong if body is
// longer than MaxBytes.
func Decode(body []byte, message any) error {
	messageType := reflect.TypeOf(message).Elem()
	if len(body) > MaxBytes {
		return fmt.Errorf("%w: %v of %d bytes", ErrTooLong, messageType, len(body))
	}
	err := decodeFields(body, message, messageType.NumField())
	for fields := messageType.NumField() - 1; fields > 0 && errors.Is(err, ErrTruncated) && isAdded(messageType.Field(fields)); fields-- {
		reflect.ValueOf(message).Elem().Field(fields).SetZero()
		if earlier := decodeFields(body, message, fields); earlier == nil {
			return nil
		}
	}
	return err
}

func isAdded(field reflect.StructField) bool { return field.Tag.Get(tagKey) == addedTag }

// decodeFields decodes the first fields of a struct. If they are not all, body must end behind them.
func decodeFields(body []byte, message any, fields int) error {
	messageType := reflect.TypeOf(message).Elem()
	schema, err := schemaOfFields(messageType, fields)
	if err != nil {
		return err
	}
	reader := avro.NewReader(nil, 0, avro.WithReaderConfig(readerConfig)).Reset(body)
	reader.ReadVal(schema, message)
	readError := reader.Error
	if errors.Is(readError, io.EOF) || errors.Is(readError, io.ErrUnexpectedEOF) { // avro.Unmarshal would ignore the former
		return fmt.Errorf("%w: %d bytes are no %v", ErrTruncated, len(body), messageType)
	}
	if readError != nil || fields == messageType.NumField() || atEnd(reader) {
		return readError
	}
	return fmt.Errorf("%w: %d bytes are no %v", ErrTruncated, len(body), messageType)
}

// atEnd reports whether nothing is left to read.
func atEnd(reader *avro.Reader) bool {
	reader.Peek()
	return errors.Is(reader.Error, io.EOF)
}
