// Package modelplan plans which engine is to load which model. Planning is a pure function from the current and desired states to the
// orders for engines.
package modelplan

import (
	"cmp"
	"slices"
)

// Engine is the state of an engine as it reports it.
type Engine struct {
	// Name is unique.
	Name string
	// Models are the models that the engine serves now.
	Models []string
	// Desired holds the models that the engine was ordered to serve; nil if there was no order or it is complete.
	Desired []string
}

// isLoading reports whether the engine has not yet completed an order.
func (en Engine) isLoading() bool { return en.Desired != nil && !slices.Equal(en.Desired, en.Models) }

// Assignment is an order for an engine to serve the given models and no others.
type Assignment struct {
	Engine string
	Models []string
}

// Plan returns the assignments to make now, so that each model gets its number of copies. It never removes the last serving copy
// of a model that is wanted, and lets at most maxLoading engines load at a time.
func Plan(engines []Engine, copies map[string]int, maxLoading int) []Assignment {
	engines = slices.SortedFunc(slices.Values(engines), func(a, b Engine) int { return cmp.Compare(a.Name, b.Name) })
	serving, planned, loading := countCopies(engines)
	var assignments []Assignment
	for _, model := range sortedModels(copies) {
		for planned[model] < copies[model] && loading < maxLoading {
			i := findReassignable(engines, serving, copies)
			if i < 0 {
				return assignments
			}
			for _, m := range engines[i].Models {
				serving[m]--
				planned[m]--
			}
			engines[i].Desired = []string{model}
			planned[model]++
			loading++
			assignments = append(assignments, Assignment{Engine: engines[i].Name, Models: engines[i].Desired})
		}
	}
	return assignments
}

// countCopies returns the copies that serve now, those that will serve once all orders are complete, and the number of loading
// engines.
func countCopies(engines []Engine) (serving, planned map[string]int, loading int) {
	serving, planned = map[string]int{}, map[string]int{}
	for _, en := range engines {
		for _, m := range en.Models {
			serving[m]++
		}
		models := en.Models
		if en.isLoading() {
			loading++
			models = en.Desired
		}
		for _, m := range models {
			planned[m]++
		}
	}
	return serving, planned, loading
}

// findReassignable returns the index of an engine that can be reassigned, or -1: it is not loading, and each of its models is
// served by more copies than are wanted.
func findReassignable(engines []Engine, serving, copies map[string]int) int {
	return slices.IndexFunc(engines, func(en Engine) bool {
		if en.isLoading() {
			return false
		}
		for _, m := range en.Models {
			isLastCopy := serving[m] <= 1 && copies[m] > 0
			if isLastCopy || serving[m] <= copies[m] {
				return false
			}
		}
		return true
	})
}

func sortedModels(copies map[string]int) []string {
	models := make([]string, 0, len(copies))
	for m := range copies {
		models = append(models, m)
	}
	slices.Sort(models)
	return models
}
