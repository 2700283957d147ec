package modelplan

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestPlanAssignments(t *testing.T) {
	serving := func(name string, models ...string) Engine { return Engine{Name: name, Models: models} }
	tests := map[string]struct {
		engines []Engine
		copies  map[string]int
		loading int
		want    []Assignment
	}{
		"nothing to do":                {engines: []Engine{serving("a", "x")}, copies: map[string]int{"x": 1}, loading: 1},
		"empty engine loads the model": {engines: []Engine{serving("a")}, copies: map[string]int{"x": 1}, loading: 1, want: []Assignment{{"a", []string{"x"}}}},
		"surplus copy is reassigned":   {engines: []Engine{serving("a", "x"), serving("b", "x")}, copies: map[string]int{"x": 1, "y": 1}, loading: 1, want: []Assignment{{"a", []string{"y"}}}},
		"last copy is kept":            {engines: []Engine{serving("a", "x")}, copies: map[string]int{"x": 1, "y": 1}, loading: 1},
		"concurrent loads are limited": {engines: []Engine{serving("a"), serving("b")}, copies: map[string]int{"x": 2}, loading: 1, want: []Assignment{{"a", []string{"x"}}}},
		"copy being loaded is counted": {engines: []Engine{{Name: "a", Desired: []string{"x"}}, serving("b")}, copies: map[string]int{"x": 1}, loading: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(Plan(tc.engines, tc.copies, tc.loading)).To(Equal(tc.want))
		})
	}
}

// TestPlanNeverRemovesLastServingCopy completes successive plans for random fleets: a wanted model that is served stays served.
func TestPlanNeverRemovesLastServingCopy(t *testing.T) {
	models := []string{"x", "y", "z"}
	rapid.Check(t, func(t *rapid.T) {
		engines := make([]Engine, rapid.IntRange(1, 8).Draw(t, "engines"))
		for i := range engines {
			engines[i] = Engine{Name: string(rune('a' + i))}
			if m := rapid.IntRange(0, len(models)).Draw(t, "model"); m < len(models) {
				engines[i].Models = []string{models[m]}
			}
		}
		copies := map[string]int{}
		for _, m := range models {
			copies[m] = rapid.IntRange(0, 4).Draw(t, m)
		}
		maxLoading := rapid.IntRange(1, 3).Draw(t, "loading")
		for range 20 {
			before, _, _ := countCopies(engines)
			assignments := Plan(engines, copies, maxLoading)
			if len(assignments) > maxLoading {
				t.Fatalf("%d engines load at once", len(assignments))
			}
			startLoading(engines, assignments)
			after, _, _ := countCopies(engines)
			for m, n := range before {
				if n > 0 && copies[m] > 0 && after[m] == 0 {
					t.Fatalf("model %s lost its last copy", m)
				}
			}
			finishLoading(engines)
		}
	})
}

// startLoading unloads the models of each assigned engine, as an engine does when it starts loading.
func startLoading(engines []Engine, assignments []Assignment) {
	for _, as := range assignments {
		for i := range engines {
			if engines[i].Name == as.Engine {
				engines[i].Models, engines[i].Desired = nil, as.Models
			}
		}
	}
}

func finishLoading(engines []Engine) {
	for i := range engines {
		if engines[i].Desired != nil {
			engines[i].Models, engines[i].Desired = engines[i].Desired, nil
		}
	}
}
