package order

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestPlanAssignments(t *testing.T) {
	on := func(name string, models ...string) Engine { return Engine{Name: name, Models: models} }
	tests := map[string]struct {
		engines []Engine
		copies  map[string]int
		loading int
		want    []Assignment
	}{
		"nothing to do":            {engines: []Engine{on("a", "x")}, copies: map[string]int{"x": 1}, loading: 1},
		"empty engine loads":       {engines: []Engine{on("a")}, copies: map[string]int{"x": 1}, loading: 1, want: []Assignment{{"a", []string{"x"}}}},
		"surplus is changed":       {engines: []Engine{on("a", "x"), on("b", "x")}, copies: map[string]int{"x": 1, "y": 1}, loading: 1, want: []Assignment{{"a", []string{"y"}}}},
		"last copy stays":          {engines: []Engine{on("a", "x")}, copies: map[string]int{"x": 1, "y": 1}, loading: 1},
		"loads are spread":         {engines: []Engine{on("a"), on("b")}, copies: map[string]int{"x": 2}, loading: 1, want: []Assignment{{"a", []string{"x"}}}},
		"one on its way is enough": {engines: []Engine{{Name: "a", Desired: []string{"x"}}, on("b")}, copies: map[string]int{"x": 1}, loading: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(Plan(tc.engines, tc.copies, tc.loading)).To(Equal(tc.want))
		})
	}
}

// TestPlanKeepsEveryServedModel runs plans to their end over drawn fleets: no wanted model that is served ever stops.
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
			changes := Plan(engines, copies, maxLoading)
			if len(changes) > maxLoading {
				t.Fatalf("%d engines load at once", len(changes))
			}
			startLoading(engines, changes)
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

// apply unloads what an engine drops, as it does while it loads.
func startLoading(engines []Engine, changes []Assignment) {
	for _, c := range changes {
		for i := range engines {
			if engines[i].Name == c.Engine {
				engines[i].Models, engines[i].Desired = nil, c.Models
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
