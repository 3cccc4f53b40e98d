package plan

import (
	"encoding/json"
	"reflect"
	"strings"

	"lycheehook.example/lycheehook/fleet"
)

// schemaVersion identifies the JSON Schema dialect.
const schemaVersion = "https://json-schema.org/draft/2020-12/schema"

// Schema returns the JSON schema of both lists, as published in docs/lists.schema.json.
func Schema() ([]byte, error) {
	schema := map[string]any{
		"$schema": schemaVersion,
		"title":   "The operators' lists",
		"anyOf": []any{
			map[string]any{"$ref": "#/$defs/CustomersList"},
			map[string]any{"$ref": "#/$defs/PlansList"},
		},
		"$defs": map[string]any{
			"CustomersList": typeSchema(reflect.TypeFor[CustomersList]()),
			"PlansList":     typeSchema(reflect.TypeFor[PlansList]()),
		},
	}
	data, err := json.MarshalIndent(schema, "", "  ")

	return append(data, '\n'), err
}

// typeSchema returns the schema of a type as encoding/json encodes it. Lists.Check is stricter.
func typeSchema(t reflect.Type) map[string]any {
	switch kind := kindOf(t); kind {
	case "object":
		return objectSchema(t)
	case "array":
		return map[string]any{"type": []string{kind, "null"}, "items": typeSchema(t.Elem())}
	case "string":
		schema := map[string]any{"type": kind}
		if t == reflect.TypeFor[fleet.Duration]() {
			schema["examples"] = []string{"1m30s"}
		}
		return schema
	default:
		return map[string]any{"type": kind}
	}
}

func objectSchema(t reflect.Type) map[string]any {
	properties, required := map[string]any{}, []string{}
	for f := range fields(t) {
		properties[f.Name] = typeSchema(f.Type)
		if !strings.Contains(f.Tag.Get("json"), ",omit") {
			required = append(required, f.Name)
		}
	}

	return map[string]any{"type": "object", "properties": properties, "required": required, "additionalProperties": false}
}

// fields iterates over the struct fields that are encoded to JSON.
func fields(t reflect.Type) func(func(reflect.StructField) bool) {
	return func(yield func(reflect.StructField) bool) {
		for i := range t.NumField() {
			if f := t.Field(i); f.Tag.Get("json") != "-" && !yield(f) {
				return
			}
		}
	}
}
