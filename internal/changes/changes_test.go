package changes

import (
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/contract"
)

func example() contract.Set {
	return contract.Set{
		Services: []contract.Service{{Name: "tally", Slots: 10, Committed: map[string]int{"a": 2}}},
		Contracts: []contract.Contract{{
			Customer: "x", TokenHashes: []string{"0123456789abcdef"}, Classes: []string{"crew"},
			Grants: []contract.Grant{{Service: "tally", Share: 0.5, Limit: 1}},
			Routes: []contract.Route{{Name: "tallies", Prefix: "/t", Service: "tally", Class: "crew"}},
		}},
	}
}

// If a key is added to contracts and the diff does not show it, operators approve a
// change that they have not seen. Changing any single field of a resource must
// therefore give a change.
func TestEveryFieldIsCompared(t *testing.T) {
	for _, resource := range []struct {
		desc string
		get  func(*contract.Set) reflect.Value
	}{
		{"service", func(s *contract.Set) reflect.Value { return reflect.ValueOf(&s.Services[0]).Elem() }},
		{"contract", func(s *contract.Set) reflect.Value { return reflect.ValueOf(&s.Contracts[0]).Elem() }},
		{"grant", func(s *contract.Set) reflect.Value { return reflect.ValueOf(&s.Contracts[0].Grants[0]).Elem() }},
		{"route", func(s *contract.Set) reflect.Value { return reflect.ValueOf(&s.Contracts[0].Routes[0]).Elem() }},
	} {
		before := example()
		for i := range resource.get(&before).NumField() {
			after := example()
			value := resource.get(&after)
			name := value.Type().Field(i).Name
			t.Run(resource.desc+"/"+name, func(t *testing.T) {
				mutate(t, value.Field(i))
				assert.Check(t, len(Diff(&before, &after)) > 0)
			})
		}
	}
}

func mutate(t *testing.T, value reflect.Value) {
	t.Helper()
	switch value.Kind() {
	case reflect.String:
		value.SetString(value.String() + "x")
	case reflect.Int, reflect.Int64:
		value.SetInt(value.Int() + 1)
	case reflect.Float64:
		value.SetFloat(value.Float()/2 + 0.125)
	case reflect.Bool:
		value.SetBool(!value.Bool())
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		mutate(t, value.Elem())
	case reflect.Map:
		value.SetMapIndex(reflect.ValueOf("b"), reflect.ValueOf(1))
	case reflect.Slice:
		element := reflect.New(value.Type().Elem()).Elem()
		if element.Kind() == reflect.String {
			mutate(t, element)
		}
		value.Set(reflect.Append(value, element))
	default:
		t.Fatalf("no mutation for kind %s", value.Kind())
	}
}

func TestEqualSetsHaveNoChanges(t *testing.T) {
	before, after := example(), example()
	assert.Equal(t, len(Diff(&before, &after)), 0)
}
