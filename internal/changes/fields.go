package changes

import (
	"encoding"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// fieldsOf formats each field of a resource by its TOML key, except the given ones.
// It uses reflection rather than a list of fields, so that a key added to contracts
// later can't be missing from a diff.
func fieldsOf[T any](resource *T, except ...string) map[string]string {
	fields := map[string]string{}
	if resource == nil {
		return fields
	}
	value := reflect.ValueOf(resource).Elem()
	for i := range value.NumField() {
		key, _, _ := strings.Cut(value.Type().Field(i).Tag.Get("toml"), ",")
		if key == "" || slices.Contains(except, key) {
			continue
		}
		flatten(fields, key, value.Field(i))
	}
	return fields
}

// flatten formats maps key by key, so that a change of one failure domain's
// commitment is shown separately.
func flatten(fields map[string]string, key string, value reflect.Value) {
	if value.Kind() != reflect.Map {
		fields[key] = formatValue(value)
		return
	}
	for _, entry := range value.MapKeys() {
		flatten(fields, key+"."+entry.String(), value.MapIndex(entry))
	}
}

// defaultText is shown for a key that is missing in the file.
const defaultText = "(default)"

func formatValue(value reflect.Value) string {
	if text, ok := value.Interface().(encoding.TextMarshaler); ok {
		if raw, err := text.MarshalText(); err == nil {
			return string(raw)
		}
	}
	if value.Kind() == reflect.Pointer {
		if value.IsNil() {
			return defaultText
		}
		return formatValue(value.Elem())
	}
	if value.Kind() == reflect.Slice {
		parts := make([]string, value.Len())
		for i := range parts {
			parts[i] = formatValue(value.Index(i))
		}
		return strings.Join(parts, ", ")
	}
	if value.Kind() == reflect.String && value.String() == "" {
		return defaultText
	}
	return fmt.Sprint(value.Interface())
}

// fields adds a change for each key that differs.
func (c *comparison) fields(base Change, before, after map[string]string) {
	keys := slices.Collect(maps.Keys(before))
	for key := range after {
		if _, ok := before[key]; !ok {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		change := base
		change.Subject = base.Subject + ": " + key
		change.Before, change.After = before[key], after[key]
		c.add(change)
	}
}
