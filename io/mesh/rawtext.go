package mesh

import (
	"reflect"
	"unicode/utf8"
)

// hasRawText reports whether a text in a message isn't UTF-8, as header values needn't be
// (RFC 9110, section 5.5). Daemons of version 0 can't decode it.
func hasRawText(msg any) bool { return isRaw(reflect.ValueOf(msg)) }

// isRaw is hasRawText for a part of a message.
func isRaw(v reflect.Value) bool {
	switch v.Kind() {
	case reflect.String:
		return !utf8.ValidString(v.String())
	case reflect.Pointer:
		return !v.IsNil() && v.Elem().Kind() == reflect.Struct && isRaw(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() && isRaw(v.Field(i)) {
				return true
			}
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return false // bytes, not text
		}
		for i := range v.Len() {
			if isRaw(v.Index(i)) {
				return true
			}
		}
	}
	return false
}
