package testkit

import (
	"encoding/hex"
	"reflect"
	"testing"

	"sedgevale/internal/avrocodec"
)

// CheckAvro checks that a message, passed by pointer, is encoded as the wanted bytes, in hex, and that decoding these bytes returns
// an equal message.
func CheckAvro(t testing.TB, message any, want string) {
	t.Helper()
	got, err := avrocodec.Encode(message)
	if text := hex.EncodeToString(got); err != nil || text != want {
		t.Errorf("%T: error %v, got\n%q\nwant\n%q", message, err, text, want)
	}
	encoded, err := hex.DecodeString(want)
	if err != nil {
		t.Error(err)
		return
	}
	decoded := reflect.New(reflect.TypeOf(message).Elem()).Interface()
	if err := avrocodec.Decode(encoded, decoded); err != nil || !reflect.DeepEqual(decoded, message) {
		t.Errorf("%T is decoded as %+v, error %v", message, decoded, err)
	}
}
