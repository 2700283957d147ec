package config

import (
	"bytes"
	"encoding/json"
	"slices"
)

// Changed returns the JSON paths whose values differ between two settings, sorted.
func Changed(before, after Settings) []string {
	var paths []string
	diffTrees("", jsonTree(before), jsonTree(after), &paths)
	slices.Sort(paths)
	return paths
}

// tree returns settings as JSON objects.
func jsonTree(s Settings) any {
	b, err := json.Marshal(s)
	if err != nil {
		// Settings hold nothing that JSON lacks.
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
	bm, bok := before.(map[string]any)
	am, aok := after.(map[string]any)
	if !bok || !aok {
		if !equalJSON(before, after) {
			*paths = append(*paths, path)
		}
		return
	}
	for name := range bm {
		diffTrees(joinPath(path, name), bm[name], am[name], paths)
	}
	for name := range am {
		if _, both := bm[name]; !both {
			*paths = append(*paths, joinPath(path, name))
		}
	}
}

func equalJSON(a, b any) bool {
	ab, aerr := json.Marshal(a)
	bb, berr := json.Marshal(b)
	return aerr == nil && berr == nil && bytes.Equal(ab, bb)
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
