package config

import (
	"strconv"
	"strings"

	"github.com/tidwall/gjson"
)

// flatten converts nested JSON to the pairs of the simulator's first message. A list of scalars becomes one value
// joined with commas; a list of objects has its length under .count and each item under its index.
func flatten(pairs map[string]string, path string, v gjson.Result) {
	switch {
	case v.IsObject():
		v.ForEach(func(key, item gjson.Result) bool {
			flatten(pairs, joinPath(path, key.String()), item)
			return true
		})
	case v.IsArray():
		flattenList(pairs, path, v.Array())
	case v.Type == gjson.Null:
	default:
		pairs[path] = plainText(v)
	}
}

func flattenList(pairs map[string]string, path string, items []gjson.Result) {
	if len(items) > 0 && (items[0].IsObject() || items[0].IsArray()) {
		pairs[joinPath(path, "count")] = strconv.Itoa(len(items))
		for i, item := range items {
			flatten(pairs, joinPath(path, strconv.Itoa(i)), item)
		}
		return
	}
	texts := make([]string, len(items))
	for i, item := range items {
		texts[i] = plainText(item)
	}
	pairs[path] = strings.Join(texts, ",")
}

// joinPath returns the path of a key of the object at path.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// plainText returns a scalar as the value of a pair. Spaces and commas are replaced, since they separate pairs and list
// items.
func plainText(v gjson.Result) string {
	if v.Type == gjson.String {
		return strings.NewReplacer(" ", "_", ",", "_").Replace(v.Str)
	}
	return v.Raw
}

// splitList splits the value of a pair into list items.
func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// namesOf returns the names of the items of a list of objects.
func namesOf(pairs map[string]string, list string, items int) []string {
	var names []string
	for i := range items {
		names = append(names, pairs[list+"."+strconv.Itoa(i)+".name"])
	}
	return names
}
