package testkit

import (
	"fmt"
	"reflect"
)

// Fill sets each exported field of the struct that v points to to a different value, in the order of the fields, so that an
// encoding of the struct shows which key belongs to which field. Slices and maps get one element, and pointers a new value.
func Fill(v any) {
	n := 0
	fill(reflect.ValueOf(v).Elem(), &n)
}

func fill(v reflect.Value, n *int) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), n)
			}
		}
		return
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
		return
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n)
		return
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n)
		}
		return
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n)
		fill(value, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
		return
	}
	*n++
	switch {
	case v.CanInt():
		v.SetInt(int64(1 + *n%100))
	case v.CanUint():
		v.SetUint(uint64(1 + *n%100))
	case v.CanFloat():
		v.SetFloat(float64(*n) + 0.5)
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case v.Kind() == reflect.String:
		v.SetString(fmt.Sprint("s", *n))
	}
}
