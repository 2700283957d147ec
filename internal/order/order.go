// Package order plans which engine is to serve which model. The plan is pure: what is wanted and what is there in, the
// wanted end state of some engines out.
package order

import (
	"cmp"
	"slices"
)

// Engine is one engine as its report shows it.
type Engine struct {
	// Name is unique.
	Name string
	// Models are loaded now.
	Models []string
	// Wanted is the end state that was ordered before; nil when none was, or when it is reached.
	Desired []string
}

// busy reports whether an order is on its way.
func (en Engine) isLoading() bool { return en.Desired != nil && !slices.Equal(en.Desired, en.Models) }

// Change is the wanted end state of one engine.
type Assignment struct {
	Engine string
	Models []string
}

// Plan returns the changes to make now, so that each model comes to its number of copies. It never takes a model's last
// serving copy away, and lets at most maxLoading engines load at a time.
func Plan(engines []Engine, copies map[string]int, maxLoading int) []Assignment {
	engines = slices.SortedFunc(slices.Values(engines), func(a, b Engine) int { return cmp.Compare(a.Name, b.Name) })
	serving, coming, loading := countCopies(engines)
	var changes []Assignment
	for _, model := range sortedModels(copies) {
		for coming[model] < copies[model] && loading < maxLoading {
			i := findReassignable(engines, serving, copies)
			if i < 0 {
				return changes
			}
			for _, m := range engines[i].Models {
				serving[m]--
				coming[m]--
			}
			engines[i].Desired = []string{model}
			coming[model]++
			loading++
			changes = append(changes, Assignment{Engine: engines[i].Name, Models: engines[i].Desired})
		}
	}
	return changes
}

// count returns the copies that serve now, those there will be once all orders are done, and the engines that load.
func countCopies(engines []Engine) (serving, coming map[string]int, loading int) {
	serving, coming = map[string]int{}, map[string]int{}
	for _, en := range engines {
		for _, m := range en.Models {
			serving[m]++
		}
		end := en.Models
		if en.isLoading() {
			loading++
			end = en.Desired
		}
		for _, m := range end {
			coming[m]++
		}
	}
	return serving, coming, loading
}

// spare returns an engine that no model needs: idle, and each of its models has more copies than wanted elsewhere.
func findReassignable(engines []Engine, serving, copies map[string]int) int {
	return slices.IndexFunc(engines, func(en Engine) bool {
		if en.isLoading() {
			return false
		}
		for _, m := range en.Models {
			last := serving[m] <= 1 && copies[m] > 0
			if last || serving[m] <= copies[m] {
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
