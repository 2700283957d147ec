package config

import (
	"bytes"
	"encoding/json"
	"slices"
)

// Changed returns the sorted JSON paths whose values differ between two settings. For a section that only one of them has, it returns
// the path of the section.
func Changed(before, after Settings) []string {
	var paths []string
	diffTrees("", jsonTree(before), jsonTree(after), &paths)
	slices.Sort(paths)
	return paths
}

// jsonTree returns settings as a tree of decoded JSON values.
func jsonTree(s Settings) any {
	b, err := json.Marshal(s)
	if err != nil {
		// Cannot happen: all types in Settings can be encoded as JSON.
		return nil
	}
	var v any
	dec := json.NewDecoder(bytes.NewReader(b))
	if dec.Decode(&v) != nil {
		return nil
	}
	return v
}

func diffTrees(path string, before, after any, paths *[]string) {
	beforeObject, beforeOK := before.(map[string]any)
	afterObject, afterOK := after.(map[string]any)
	if !beforeOK || !afterOK {
		if !equalJSON(before, after) {
			*paths = append(*paths, path)
		}
		return
	}
	for name := range beforeObject {
		diffTrees(joinPath(path, name), beforeObject[name], afterObject[name], paths)
	}
	for name := range afterObject {
		if _, both := beforeObject[name]; !both {
			*paths = append(*paths, joinPath(path, name))
		}
	}
}

func equalJSON(a, b any) bool {
	aJSON, aErr := json.Marshal(a)
	bJSON, bErr := json.Marshal(b)
	return aErr == nil && bErr == nil && bytes.Equal(aJSON, bJSON)
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
